package relay

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/link/linktest"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// boxBytes is what a box's link carries in a second, 4 Mbit/s.
	boxBytes = 4_000_000 / 8
	// boxStale is the gateway's.
	boxStale = 1600 * time.Millisecond
)

// emptyPools lets go of the timers that yamux keeps in a pool, which must not
// enter or leave a bubble; that takes two collections.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// bulky returns a command whose state is about as long as given.
func bulky(length int) *wire.Command {
	return &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: strings.Repeat("z", length)}}
}

// replicaPair is two replicas that publish the same, and what followed them.
type replicaPair struct {
	network linktest.Network
	states  [2]*Publisher
	nodes   [2]*link.Node
	served  [2]atomic.Int32
	notices []string
	// busy is how long the box takes to put a state in force.
	busy time.Duration
	// puts is called for each state of the box that comes in force; it may be nil.
	puts func(version uint64)
	// listed are the box's sources.
	listed    atomic.Pointer[[]distribution.Source]
	following *Follower
	// stop ends the following's context.
	stop context.CancelFunc
}

func (p *replicaPair) put(s steering.State, c []*wire.Command) {
	for _, x := range p.states {
		x.SetState(s, c)
	}
}

func (p *replicaPair) sent() uint64 {
	return p.nodes[0].Control.Sent.Load() + p.nodes[1].Control.Sent.Load()
}

// followPair runs a function in virtual time with two replicas and a box that
// follows them over slow links; in force gets each state of the box.
func followPair(t *testing.T, run func(t *testing.T, p *replicaPair, inForce <-chan uint64)) {
	t.Helper()
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		p := &replicaPair{network: linktest.Network{DownBytesPerSecond: boxBytes, SocketBuffer: 1 << 16}}
		seam := link.Network{Listen: p.network.Listen, Dial: p.network.Dial}
		clock := timeline.NewClock(time.Now)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 3)
		addresses := [2]string{"a", "b"}
		var sources []distribution.Source
		for i, a := range addresses {
			p.states[i] = NewPublisher(steering.State{}, func() time.Duration { return 0 }, clock.Stamp)
			go func() { ended <- p.states[i].Run(ctx) }()
			handlers := link.Handlers{Subscribe: func(ctx context.Context, _ string, m *link.Messages) {
				p.served[i].Add(1)
				defer func() { p.served[i].Add(-1) }()
				p.states[i].Serve(ctx, m)
			}}
			n, err := link.Listen(seam, a, link.Identity{Name: a}, clock, handlers, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer n.Close()
			p.nodes[i] = n
			sources = append(sources, distribution.Source{Name: a, Address: a, Control: true})
		}
		box, err := link.Listen(seam, "box", link.Identity{Name: "box"}, clock, link.Handlers{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer box.Close()
		p.listed.Store(&sources)
		inForce := make(chan uint64, 64)
		p.following = NewFollower(FollowerConfig{
			Box:        "box",
			Node:       func() *link.Node { return box },
			Clock:      clock,
			Seed:       1,
			StaleAfter: boxStale,
			Sources:    func() []distribution.Source { return *p.listed.Load() },
			ApplyState: func(s steering.State, _ []*wire.Command) {
				time.Sleep(p.busy)
				if p.puts != nil {
					p.puts(s.Version())
				}
				inForce <- s.Version()
			},
			Event: func(e *wire.TimelineEvent) {
				if e.Kind == "upstream" {
					p.notices = append(p.notices, e.Detail)
				}
			},
		})
		following, stop := context.WithCancel(ctx)
		p.stop = stop
		go func() { ended <- p.following.Run(following) }()
		run(t, p, inForce)
		cancel()
		for range cap(ended) {
			<-ended
		}
	})
}

// expect waits for a version and checks that it came in about the time that
// its bytes take, and that they were sent once.
func (p *replicaPair) expect(t *testing.T, inForce <-chan uint64, version uint64, length int) {
	t.Helper()
	before, began := p.sent(), time.Now()
	carried := time.Duration(float64(length) / boxBytes * float64(time.Second))
	longest := carried*11/10 + time.Second
	select {
	case got := <-inForce:
		if got != version {
			t.Errorf("version %d came, want %d", got, version)
		}
	case <-time.After(6 * carried):
		t.Errorf("version %d did not come within %v; %d bytes were sent, the update has %d; %v",
			version, 6*carried, p.sent()-before, length, p.notices)
		return
	}
	took := time.Since(began)
	if took > longest {
		t.Errorf("version %d took %v, want at most %v", version, took, longest)
	}
	time.Sleep(3 * heartbeatInterval)
	t.Logf("%d bytes took %v, %d bytes were sent", length, took, p.sent()-before)
	if sent, most := p.sent()-before, uint64(length)*21/20; sent > most {
		t.Errorf("%d bytes were sent, want at most %d; %v", sent, most, p.notices)
	}
}

// Guards against a long update over a slow link that is broken off and begun anew without end.
// An update that is longer than the follower waits for word of control.
func TestLongUpdateArrivesOnce(t *testing.T) {
	for _, length := range []int{1_500_000, 5_000_000} {
		followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
			time.Sleep(2 * heartbeatInterval)
			c := bulky(length)
			s, _ := steering.State{}.Apply(c)
			p.put(s, []*wire.Command{c})
			p.expect(t, inForce, s.Version(), proto.Size(c))
		})
	}
}

// A first update, a whole state, that takes longer than the connecting may.
func TestLongFirstUpdateArrivesOnce(t *testing.T) {
	for _, length := range []int{1_500_000, 5_000_000} {
		followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
			s, _ := steering.State{}.Apply(bulky(length))
			p.put(s, nil)
			p.expect(t, inForce, s.Version(), proto.Size(s.EncodeForBoxes()))
		})
	}
}

// A replica whose subscriber leaves in the middle of an update ends its part
// too, and does not keep the rest until the connection ends.
func TestServingEndsWithASubscriberThatLeaves(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		s, _ := steering.State{}.Apply(bulky(5_000_000))
		p.put(s, nil)
		caller := p.caller(t)
		defer caller.Close()
		m, err := caller.Subscribe(t.Context(), "b", &wire.Subscribe{Box: "other"})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if p.served[1].Load() != 1 {
			t.Fatalf("%d subscriptions before", p.served[1].Load())
		}
		_ = m.Close()
		time.Sleep(5 * time.Second)
		if p.served[1].Load() != 0 {
			t.Errorf("%d subscriptions 5 s after the only one had ended", p.served[1].Load())
		}
	})
}

// caller returns a node that only asks.
func (p *replicaPair) caller(t *testing.T) *link.Node {
	t.Helper()
	n, err := link.Listen(link.Network{Listen: p.network.Listen, Dial: p.network.Dial}, "other", link.Identity{Name: "other"},
		timeline.NewClock(time.Now), link.Handlers{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A box that is busy with a state for longer than it waits for word of control
// takes the word that came meanwhile before it looks for another upstream.
func TestBusyBoxKeepsItsUpstream(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		p.busy = 3*time.Second + heartbeatInterval/4
		state := steering.State{}
		for range 10 {
			c := bulky(100 + int(state.Version()))
			state, _ = state.Apply(c)
			p.put(state, []*wire.Command{c})
			<-inForce
			time.Sleep(2 * heartbeatInterval)
		}
		if len(p.notices) != 1 {
			t.Errorf("the upstream changed: %v", p.notices)
		}
	})
}

// The same where more states wait, each of which keeps the box busy.
func TestBusyBoxKeepsItsUpstreamWhileUpdatesWait(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
		const waiting = 20
		time.Sleep(2 * heartbeatInterval)
		p.busy = 2*time.Second + heartbeatInterval/4
		p.follow(waiting, 700*time.Millisecond)
		for version := uint64(0); version < waiting; {
			version = <-inForce
		}
		time.Sleep(4 * heartbeatInterval)
		if len(p.notices) != 1 {
			t.Errorf("the upstream changed: %v", p.notices)
		}
	})
}
