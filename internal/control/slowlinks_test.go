package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/link/linktest"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// slowLinkBytes is the bandwidth of all links between the replicas together, in bytes per
	// second and direction: 8 Mbit/s.
	slowLinkBytes = 8_000_000 / 8
	// operatorCallTimeout bounds an operator's call.
	operatorCallTimeout = 4 * time.Second
	// maxAckTime bounds the time until a document is acknowledged.
	maxAckTime = time.Second
	// sentBytesDivisor bounds the bytes that replicas send for a document: at most the size of its
	// text divided by this.
	sentBytesDivisor = 2
	// electionWait is long enough to elect a leader, and quiescenceWait to complete what is still in
	// flight.
	electionWait   = 10 * time.Second
	quiescenceWait = 10 * time.Second
)

// slowReplicas are replicas on links with limited bandwidth.
type slowReplicas struct {
	daemons []*Daemon
	// suspended is how long each replica's machine was suspended, in nanoseconds.
	suspended []*atomic.Int64
	network   link.Network
	// drop, if set, reports whether a message between replicas is lost.
	drop atomic.Pointer[func(from *Daemon, m *wire.ConsensusMessage) bool]
	// rewrite, if set, returns the commands that are published in place of others.
	rewrite atomic.Pointer[func([]*wire.Command) []*wire.Command]
	stop    context.CancelFunc
	ended   chan error
}

// runSlowReplicas runs a function in virtual time with replicas that all hold a state.
func runSlowReplicas(t *testing.T, state steering.State, run func(t *testing.T, s *slowReplicas)) {
	t.Helper()
	runReplicasWithBandwidth(t, slowLinkBytes, state, run)
}

// runReplicasWithBandwidth is runSlowReplicas with the given bandwidth of all links together, in bytes per
// second and direction.
func runReplicasWithBandwidth(t *testing.T, bytesPerSecond int, state steering.State, run func(t *testing.T, s *slowReplicas)) {
	t.Helper()
	runReplicas(t, 3, bytesPerSecond, state, run)
}

// runReplicas is runReplicasWithBandwidth with the given number of replicas.
func runReplicas(t *testing.T, count, bytesPerSecond int, state steering.State, run func(t *testing.T, s *slowReplicas)) {
	t.Helper()
	runtime.GC() // yamux keeps timers in a pool, which must not enter or leave
	runtime.GC() // a bubble; that takes two collections
	bubble.Test(t, func(t *testing.T) {
		s := openSlowReplicas(t, count, bytesPerSecond, state)
		t.Cleanup(func() { s.close(t) })
		run(t, s)
	})
	runtime.GC()
	runtime.GC()
}

func openSlowReplicas(t *testing.T, count, bytesPerSecond int, state steering.State) *slowReplicas {
	t.Helper()
	n := &linktest.Network{DownBytesPerSecond: bytesPerSecond, UpBytesPerSecond: bytesPerSecond, SocketBuffer: 1 << 16}
	ctx, cancel := context.WithCancel(context.Background())
	network := link.Network{Listen: n.Listen, Dial: n.Dial}
	s := &slowReplicas{network: network, stop: cancel, ended: make(chan error, 2*count)}
	first := &wire.Membership{}
	for i := range count {
		c := config.Control{DataDir: t.TempDir(), ElectionTimeout: time.Second, SnapshotEvery: 1000, PeersAreSeeds: true}
		suspended := &atomic.Int64{}
		s.suspended = append(s.suspended, suspended)
		c.Clock = boottime.NewClock(func() time.Duration { return time.Duration(suspended.Load()) })
		c.Name = fmt.Sprintf("c%d", i)
		c.PeerAddress = c.Name
		c.OperatorAddress = "127.0.0.1:0"
		d, err := openOn(network, c, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		send := d.replica.send
		d.replica.send = func(m *wire.ConsensusMessage) {
			if drop := s.drop.Load(); drop == nil || !(*drop)(d, m) {
				send(m)
			}
		}
		publish := d.replica.publish
		d.replica.publish = func(state steering.State, commands []*wire.Command) {
			if rewrite := s.rewrite.Load(); rewrite != nil {
				commands = (*rewrite)(commands)
			}
			publish(state, commands)
		}
		s.daemons = append(s.daemons, d)
		first.Voters = append(first.Voters, &wire.Replica{Id: d.replica.id, Address: c.PeerAddress})
	}
	for _, d := range s.daemons {
		if err := d.replica.handleOutput(d.replica.handle(bootstrap{first})); err != nil {
			t.Fatal(err)
		}
		d.replica.state = state
		go func() { s.ended <- d.replica.run(ctx) }()
		go func() { s.ended <- d.registrations.run(ctx) }()
	}
	time.Sleep(electionWait)
	return s
}

// suspend simulates a suspension of one replica's machine. Virtual time stands still meanwhile,
// like the machine's monotonic clock.
func (s *slowReplicas) suspend(d *Daemon, length time.Duration) {
	s.suspended[slices.Index(s.daemons, d)].Add(int64(length))
}

func (s *slowReplicas) close(t *testing.T) {
	t.Helper()
	s.stop()
	for range 2 * len(s.daemons) {
		<-s.ended
	}
	for _, d := range s.daemons {
		if err := d.operatorListener.Close(); err != nil {
			t.Error(err)
		}
		if err := d.close(); err != nil {
			t.Error(err)
		}
	}
}

// bytesSent returns the bytes that all replicas have sent.
func (s *slowReplicas) bytesSent() uint64 {
	var sum uint64
	for _, d := range s.daemons {
		sum += d.node.Control.Sent.Load()
	}
	return sum
}

// follower returns a replica that follows a leader.
func (s *slowReplicas) follower(t *testing.T) *Daemon {
	t.Helper()
	i := slices.IndexFunc(s.daemons, func(d *Daemon) bool {
		v, err := d.replica.view(t.Context())
		return err == nil && v.status.Role == consensus.Follower && v.status.Leader != ""
	})
	if i < 0 {
		t.Fatal("no replica follows a leader")
	}
	return s.daemons[i]
}

// sampleRoutesText returns a text of about 220 B per route.
func sampleRoutesText(routes int) []byte {
	r := rand.New(rand.NewPCG(1, 3))
	var out strings.Builder
	for range routes {
		name, share := fmt.Sprintf("%08x", r.Uint32()), 1+r.IntN(99)
		_, _ = fmt.Fprintf(&out, `
    {"name":"route-%s","prefix":"/v2/%s/items/","repeat":"repeatable","objectiveMillis":%d,"priority":%d,"destinations":[{"service":"service-%02d","weight":%d},{"service":"service-%02d","weight":%d}],"timeoutMillis":1500},`,
			name, name, 200+r.IntN(800), r.IntN(4), r.IntN(40), share, r.IntN(40), 100-share)
	}
	return []byte(out.String())
}

// Guards against a long document that is never transferred completely over slow links between
// replicas.
func TestDocumentCrossesSlowLinksOnce(t *testing.T) {
	for _, routes := range []int{1400, 5600} {
		t.Run(fmt.Sprintf("put/%d", routes), func(t *testing.T) {
			runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
				s.putAtFollower(t, sampleRoutesText(routes))
			})
		})
	}
	t.Run("read/5600", func(t *testing.T) {
		text := sampleRoutesText(5600)
		runSlowReplicas(t, stateWithDocument(t, text), func(t *testing.T, s *slowReplicas) { s.readAtFollower(t, text) })
	})
}

// stateWithDocument returns a state whose active routes document has the given text.
func stateWithDocument(t *testing.T, text []byte) steering.State {
	t.Helper()
	document := &wire.RoutesDocument{Number: 1, Text: text}
	s, result := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: document}})
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	return s
}

func (s *slowReplicas) putAtFollower(t *testing.T, text []byte) {
	t.Helper()
	before, began := s.bytesSent(), time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
	defer cancel()
	err := s.follower(t).PutRoutes(ctx, catalog.Document{Number: 1}, text)
	took := time.Since(began)
	time.Sleep(quiescenceWait)
	sent := s.bytesSent() - before
	t.Logf("%d bytes: committed after %v, %d bytes were sent: %v", len(text), took, sent, err)
	if err != nil || took > maxAckTime {
		t.Errorf("acknowledged after %v, want at most %v: %v", took, maxAckTime, err)
	}
	if limit := uint64(len(text) / sentBytesDivisor); sent > limit {
		t.Errorf("replicas sent %d bytes, want at most %d", sent, limit)
	}
	for _, d := range s.daemons {
		state, err := d.State(t.Context())
		if err != nil || string(state.Catalog().Document().GetText()) != string(text) {
			t.Errorf("%s holds a different text after %v: %v", d.config.Name, quiescenceWait, err)
		}
	}
}

func (s *slowReplicas) readAtFollower(t *testing.T, text []byte) {
	t.Helper()
	before, began := s.bytesSent(), time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
	defer cancel()
	got, err := s.follower(t).Routes(ctx)
	sent := s.bytesSent() - before
	t.Logf("%d bytes: read after %v, %d bytes were sent: %v", len(text), time.Since(began), sent, err)
	if err != nil || string(got) != string(text) {
		t.Errorf("got %d bytes of %d: %v", len(got), len(text), err)
	}
	if limit := uint64(len(text) / sentBytesDivisor); sent > limit {
		t.Errorf("replicas sent %d bytes, want at most %d", sent, limit)
	}
}
