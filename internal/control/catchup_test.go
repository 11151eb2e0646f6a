package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// evacuationLimit is the time after the acknowledgement within which all boxes must have stopped
	// sending requests to an evacuated zone.
	evacuationLimit = 5 * time.Second
	// boxStaleAfter is the control age at which an entry box leaves a replica.
	boxStaleAfter = 1600 * time.Millisecond
	evacuatedZone = "z1"
)

// serveBoxes runs what the replicas need to serve boxes until the returned function is called.
func (s *slowReplicas) serveBoxes(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 2*len(s.daemons))
	for _, d := range s.daemons {
		go func() { ended <- d.publisher.Run(ctx) }()
		go func() { ended <- d.every(viewInterval, d.refreshView)(ctx) }()
	}
	return func() {
		cancel()
		for range cap(ended) {
			<-ended
		}
	}
}

// loseEntries loses all entries and snapshots that are sent to a replica. Heartbeats arrive.
func (s *slowReplicas) loseEntries(to *Daemon) {
	drop := func(_ *Daemon, m *wire.ConsensusMessage) bool {
		return m.To == to.replica.id && (len(m.Entries) > 0 || m.Snapshot != nil)
	}
	s.drop.Store(&drop)
}

// registerTargets registers a target in each of two zones.
func (s *slowReplicas) registerTargets(t *testing.T) {
	t.Helper()
	leader, _ := s.leaderAndAnother(t)
	for _, zone := range []string{evacuatedZone, "z2"} {
		r := &wire.Registration{Id: "target-" + zone, Service: "s", Address: zone, Zone: zone, Slots: 10, Sequence: 1}
		s.submit(t, leader, &wire.Command{Registration: &wire.RegistrationCommand{Registration: r}})
	}
	time.Sleep(time.Second)
}

func (s *slowReplicas) submit(t *testing.T, at *Daemon, c *wire.Command) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
	defer cancel()
	if err := at.Submit(ctx, c); err != nil {
		t.Fatal(err)
	}
}

func (s *slowReplicas) evacuate(t *testing.T) {
	t.Helper()
	leader, _ := s.leaderAndAnother(t)
	s.submit(t, leader, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: evacuatedZone}})
}

// Guards against a replica that lacks an acknowledged evacuation and calls its state current,
// because it hears heartbeats of the leader.
func TestControlAgeCountsFromMissingEntries(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		defer s.serveBoxes(t)()
		s.registerTargets(t)
		behind := s.follower(t)
		s.loseEntries(behind)
		s.evacuate(t)
		ackedAt := time.Now()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			if age, want := behind.controlAge(), time.Since(ackedAt); age < want {
				t.Fatalf("the control age is %s, an evacuation was acknowledged %s ago and is missing", age, want)
			}
		}
		s.drop.Store(nil)
		time.Sleep(2 * time.Second)
		if age := behind.controlAge(); age > time.Second {
			t.Errorf("the control age is %s 2 s after the entries can arrive again", age)
		}
	})
}

// followingBox is a box that follows the replicas and chooses targets by their state.
type followingBox struct {
	follower *relay.Follower
	mu       sync.Mutex
	balancer *balance.Balancer
}

// runBox runs a box that prefers the replicas in the given order until the returned function is
// called.
func (s *slowReplicas) runBox(t *testing.T, order []*Daemon) (b *followingBox, stop func()) {
	t.Helper()
	clock := timeline.NewClock(time.Now)
	node, err := link.Listen(s.network, "box", link.Identity{Name: "box", Incarnation: "1"}, clock, link.Handlers{}, nil)
	if err != nil {
		t.Fatal(err)
	}
	b = &followingBox{balancer: balance.New(balance.Config{Box: "box", Zone: evacuatedZone, Region: "r"})}
	b.follower = relay.NewFollower(relay.FollowerConfig{
		Box: "box", Incarnation: "1", PeerAddress: "box", Clock: clock,
		Node:       func() *link.Node { return node },
		StaleAfter: boxStaleAfter,
		Sources: func() (out []distribution.Source) {
			for _, d := range order {
				out = append(out, distribution.Source{Name: d.config.Name, Address: d.config.PeerAddress, Control: true})
			}
			return out
		},
		ApplyState: b.apply,
		Event:      func(e *wire.TimelineEvent) { t.Logf("box: %s %s", e.Kind, e.Detail) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.follower.Run(ctx) }()
	return b, func() {
		cancel()
		<-ended
		if err := node.Close(); err != nil {
			t.Error(err)
		}
	}
}

func (b *followingBox) apply(s steering.State, _ []*wire.Command) {
	var targets []balance.Target
	for _, r := range s.Catalog().Targets() {
		targets = append(targets, balance.Target{ID: catalog.IncarnationOf(r).String(), Service: r.Service, Address: r.Address, Zone: r.Zone, Region: "r", Slots: int(r.Slots)})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.SetTargets(time.Now(), targets)
	b.balancer.SetEvacuated(time.Now(), s.Catalog().Evacuated())
}

// sendsTo returns the zone of the target that the box chooses.
func (b *followingBox) sendsTo(t *testing.T) string {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, err := b.balancer.Choose(time.Now(), balance.Request{Service: "s", Route: "r", PreferLocal: true, Objective: time.Second, Remaining: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	b.balancer.Release(choice.Target.ID)
	return choice.Target.Zone
}

// Guards against a box that sends requests to an evacuated zone because it stays with a replica that
// lacks the evacuation and calls its state current.
func TestBoxLeavesReplicaThatLacksAnEvacuation(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		defer s.serveBoxes(t)()
		s.registerTargets(t)
		behind := s.follower(t)
		order := []*Daemon{behind}
		for _, d := range s.daemons {
			if d != behind {
				order = append(order, d)
			}
		}
		b, stop := s.runBox(t, order)
		defer stop()
		time.Sleep(3 * time.Second)
		if zone := b.sendsTo(t); zone != evacuatedZone {
			t.Fatalf("before the evacuation the box sends to %s, want its own zone", zone)
		}
		s.loseEntries(behind)
		s.evacuate(t)
		b.checkEvacuation(t)
	})
}

// Guards against a box that sends requests to an evacuated zone because an earlier command had no
// effect on its state, and that asks for the same commands again and again.
func TestBoxWithDifferentStateGetsAnEvacuation(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		defer s.serveBoxes(t)()
		s.registerTargets(t)
		b, stop := s.runBox(t, s.daemons)
		defer stop()
		time.Sleep(3 * time.Second)
		unknown := func([]*wire.Command) []*wire.Command { return []*wire.Command{{}} } // as of a later version
		s.rewrite.Store(&unknown)
		leader, _ := s.leaderAndAnother(t)
		s.submit(t, leader, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "z3"}})
		time.Sleep(time.Second)
		s.rewrite.Store(nil)
		s.evacuate(t)
		b.checkEvacuation(t)
	})
}

// checkEvacuation checks when the box sends its last request to the evacuated zone.
func (b *followingBox) checkEvacuation(t *testing.T) {
	t.Helper()
	ackedAt, last := time.Now(), time.Duration(0)
	for time.Since(ackedAt) < 2*evacuationLimit {
		if b.sendsTo(t) == evacuatedZone {
			last = time.Since(ackedAt)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("the last request to the evacuated zone was sent %s after the acknowledgement", last)
	if last > evacuationLimit {
		t.Errorf("a request was sent to the evacuated zone %s after the acknowledgement, want at most %s", last, evacuationLimit)
	}
}

// Guards against a read that returns an old document, or none, at a replica that lacks the
// acknowledged one.
func TestReadAtReplicaThatLacksADocument(t *testing.T) {
	for number := range uint64(2) { // the replica has no document, or an old one
		runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
			behind := s.follower(t)
			leader, _ := s.leaderAndAnother(t)
			put := func(number uint64) []byte {
				text := sampleRoutesText(int(100 * number))
				ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
				defer cancel()
				if err := leader.PutRoutes(ctx, catalog.Document{Number: number, Base: number - 1}, text); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				return text
			}
			for n := range number {
				put(n + 1)
			}
			s.loseEntries(behind)
			want := put(number + 1)
			ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
			defer cancel()
			if got, err := behind.Routes(ctx); err != nil || string(got) != string(want) {
				t.Errorf("a read at a replica with document %d returned %d bytes, want the %d of document %d: %v", number, len(got), len(want), number+1, err)
			}
			state, err := behind.State(t.Context())
			if err != nil || state.Catalog().Document().GetNumber() != number {
				t.Errorf("the replica has document %d, want %d for this test: %v", state.Catalog().Document().GetNumber(), number, err)
			}
		})
	}
}

// Guards against a replica that acknowledges that a target is gone by a state that lacks the
// target's latest start, while boxes go on sending to it.
func TestReplicaThatLacksATargetWithdrawsIt(t *testing.T) {
	for _, leave := range []bool{true, false} {
		runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
			behind := s.follower(t)
			leader, _ := s.leaderAndAnother(t)
			update := func(born int64, sequence uint64, leave, draining bool) *wire.RegistrationCommand {
				return &wire.RegistrationCommand{Leave: leave, Registration: &wire.Registration{
					Id: "target", Service: "s", Address: "a", Zone: "z1", Slots: 10, BornUnixMilli: born, Sequence: sequence, Draining: draining,
				}}
			}
			s.submit(t, leader, &wire.Command{Registration: update(1000, 1, false, false)})
			s.submit(t, leader, &wire.Command{Registration: update(1000, 2, true, false)})
			time.Sleep(time.Second)
			s.loseEntries(behind)
			s.submit(t, leader, &wire.Command{Registration: update(2000, 1, false, false)})
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
			defer cancel()
			withdrawal := update(2000, 2, leave, !leave)
			if leave {
				withdrawal.Registration.BornUnixMilli = 0 // an operator names the id only
			}
			if err := behind.register(ctx, withdrawal); err != nil {
				t.Fatal(err)
			}
			state, err := leader.State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			for _, r := range state.Catalog().Targets() {
				if !r.Draining {
					t.Errorf("the withdrawal (leaves: %t) was acknowledged, the leader's state has target %s", leave, r.Id)
				}
			}
		})
	}
}
