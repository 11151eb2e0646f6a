package relay

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/link/linktest"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// boxBytesPerSecond is the rate of a box's link, 4 Mbit/s.
	boxBytesPerSecond = 4_000_000 / 8
	// boxStaleAfter is the value that the gateway uses.
	boxStaleAfter = 1600 * time.Millisecond
)

// drainPools drops the timers that yamux keeps in a sync.Pool: they must not
// cross the boundary of a synctest bubble. That takes two garbage collections.
func drainPools() {
	runtime.GC()
	runtime.GC()
}

// commandOfLength returns a command of about the given length.
func commandOfLength(length int) *wire.Command {
	return &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: strings.Repeat("z", length)}}
}

// replicaPair is two replicas that publish the same states and a box that follows them.
type replicaPair struct {
	network    linktest.Network
	publishers [2]*Publisher
	// controlAge is the control age of the replicas.
	controlAge atomic.Int64
	nodes      [2]*link.Node
	served     [2]atomic.Int32
	notices    []string
	// applyTime is how long the box takes to apply a state.
	applyTime time.Duration
	// onApply is called with each version that the box applies; it may be nil.
	onApply func(version uint64)
	// sources are the sources that the box is given.
	sources  atomic.Pointer[[]distribution.Source]
	follower *Follower
	// stop ends the follower's context.
	stop context.CancelFunc
}

func (p *replicaPair) publish(s steering.State, c []*wire.Command) {
	for _, x := range p.publishers {
		x.SetState(s, c)
	}
}

func (p *replicaPair) sentBytes() uint64 {
	return p.nodes[0].Control.Sent.Load() + p.nodes[1].Control.Sent.Load()
}

// followPair runs a function in virtual time with two replicas and a box that
// follows them over slow links. The channel gets each version the box applies.
func followPair(t *testing.T, run func(t *testing.T, p *replicaPair, applied <-chan uint64)) {
	t.Helper()
	drainPools()
	defer drainPools()
	bubble.Test(t, func(t *testing.T) {
		p := &replicaPair{network: linktest.Network{DownBytesPerSecond: boxBytesPerSecond, SocketBuffer: 1 << 16}}
		simulated := link.Network{Listen: p.network.Listen, Dial: p.network.Dial}
		clock := timeline.NewClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 3)
		addresses := [2]string{"a", "b"}
		var sources []distribution.Source
		for i, a := range addresses {
			p.publishers[i] = NewPublisher(steering.State{}, func() time.Duration { return time.Duration(p.controlAge.Load()) }, clock.Stamp)
			go func() { ended <- p.publishers[i].Run(ctx) }()
			handlers := link.Handlers{Subscribe: func(ctx context.Context, _ string, m *link.Messages) {
				p.served[i].Add(1)
				defer func() { p.served[i].Add(-1) }()
				p.publishers[i].Serve(ctx, m)
			}}
			n, err := link.Listen(simulated, a, link.Identity{Name: a}, clock, handlers, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			p.nodes[i] = n
			sources = append(sources, distribution.Source{Name: a, Address: a, Control: true})
		}
		box, err := link.Listen(simulated, "box", link.Identity{Name: "box"}, clock, link.Handlers{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer box.Close()
		p.sources.Store(&sources)
		applied := make(chan uint64, 64)
		p.follower = NewFollower(FollowerConfig{
			Box:        "box",
			Node:       func() *link.Node { return box },
			Clock:      clock,
			Seed:       1,
			StaleAfter: boxStaleAfter,
			Sources:    func() []distribution.Source { return *p.sources.Load() },
			ApplyState: func(s steering.State, _ []*wire.Command) {
				time.Sleep(p.applyTime)
				if p.onApply != nil {
					p.onApply(s.Version())
				}
				applied <- s.Version()
			},
			Event: func(e *wire.TimelineEvent) {
				if e.Kind == "upstream" {
					p.notices = append(p.notices, e.Detail)
				}
			},
		})
		following, stop := context.WithCancel(ctx)
		p.stop = stop
		go func() { ended <- p.follower.Run(following) }()
		run(t, p, applied)
		cancel()
		for range cap(ended) {
			<-ended
		}
	})
}

// expectVersion waits for a version and checks that it took about the time that
// its bytes need on the link, and that they were sent once.
func (p *replicaPair) expectVersion(t *testing.T, applied <-chan uint64, version uint64, length int) {
	t.Helper()
	before, began := p.sentBytes(), time.Now()
	transferTime := time.Duration(float64(length) / boxBytesPerSecond * float64(time.Second))
	maxTime := transferTime*11/10 + time.Second
	select {
	case got := <-applied:
		if got != version {
			t.Errorf("got version %d, want %d", got, version)
		}
	case <-time.After(6 * transferTime):
		t.Errorf("version %d did not arrive within %v; %d bytes were sent, the update has %d; %v",
			version, 6*transferTime, p.sentBytes()-before, length, p.notices)
		return
	}
	took := time.Since(began)
	if took > maxTime {
		t.Errorf("version %d took %v, want at most %v", version, took, maxTime)
	}
	time.Sleep(3 * heartbeatInterval)
	t.Logf("%d bytes took %v, %d bytes were sent", length, took, p.sentBytes()-before)
	if sent, maxSent := p.sentBytes()-before, uint64(length)*21/20; sent > maxSent {
		t.Errorf("%d bytes were sent, want at most %d; %v", sent, maxSent, p.notices)
	}
}

// Guards against an update over a slow link that is aborted and restarted without
// end, because it takes longer than the follower's timeout.
func TestLargeUpdateIsSentOnce(t *testing.T) {
	for _, length := range []int{1_500_000, 5_000_000} {
		followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
			time.Sleep(2 * heartbeatInterval)
			c := commandOfLength(length)
			s, _ := steering.State{}.Apply(c)
			p.publish(s, []*wire.Command{c})
			p.expectVersion(t, applied, s.Version(), proto.Size(c))
		})
	}
}

// The first update, a full state, may take longer than the connect timeout. It
// must not be aborted and sent again either.
func TestLargeFirstUpdateIsSentOnce(t *testing.T) {
	for _, length := range []int{1_500_000, 5_000_000} {
		followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
			s, _ := steering.State{}.Apply(commandOfLength(length))
			p.publish(s, nil)
			p.expectVersion(t, applied, s.Version(), proto.Size(s.EncodeForBoxes()))
		})
	}
}

// A replica must stop serving when a subscriber leaves in the middle of an
// update, rather than hold the rest until the connection ends.
func TestServeEndsWhenSubscriberLeaves(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		s, _ := steering.State{}.Apply(commandOfLength(5_000_000))
		p.publish(s, nil)
		caller := p.newClient(t)
		defer caller.Close()
		m, err := caller.Subscribe(t.Context(), "b", &wire.Subscribe{Box: "other"})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if p.served[1].Load() != 1 {
			t.Fatalf("%d subscriptions before the subscriber leaves, want 1", p.served[1].Load())
		}
		_ = m.Close()
		time.Sleep(5 * time.Second)
		if p.served[1].Load() != 0 {
			t.Errorf("%d subscriptions 5 s after the subscriber left, want none", p.served[1].Load())
		}
	})
}

// newClient returns a node on the same network that only dials.
func (p *replicaPair) newClient(t *testing.T) *link.Node {
	t.Helper()
	n, err := link.Listen(link.Network{Listen: p.network.Listen, Dial: p.network.Dial}, "other", link.Identity{Name: "other"},
		timeline.NewClock(time.Now), link.Handlers{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A box that spends longer on a state than its timeout must handle the updates
// that arrived meanwhile before it looks for another upstream.
func TestBusyBoxKeepsItsUpstream(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		p.applyTime = 3*time.Second + heartbeatInterval/4
		state := steering.State{}
		for range 10 {
			c := commandOfLength(100 + int(state.Version()))
			state, _ = state.Apply(c)
			p.publish(state, []*wire.Command{c})
			<-applied
			time.Sleep(2 * heartbeatInterval)
		}
		if len(p.notices) != 1 {
			t.Errorf("the upstream changed: %v", p.notices)
		}
	})
}

// The same if more states are queued, each of which keeps the box busy for longer
// than its timeout.
func TestBusyBoxKeepsItsUpstreamWithQueuedUpdates(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		const queued = 20
		time.Sleep(2 * heartbeatInterval)
		p.applyTime = 2*time.Second + heartbeatInterval/4
		p.publishSequence(queued, 700*time.Millisecond)
		for version := uint64(0); version < queued; {
			version = <-applied
		}
		time.Sleep(4 * heartbeatInterval)
		if len(p.notices) != 1 {
			t.Errorf("the upstream changed: %v", p.notices)
		}
	})
}
