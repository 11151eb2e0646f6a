package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/kataras/iris/v12"
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/link/linktest"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetHeartbeat is the interval at which targets send heartbeats.
const targetHeartbeat = 1500 * time.Millisecond

// heartbeat returns a heartbeat of one incarnation of a target.
func heartbeat(born int64, sequence uint64, draining bool, coldMilli int64) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: "target", Service: "s", Address: "a", Zone: "z1", Slots: 10, BornUnixMilli: born, Sequence: sequence, Draining: draining, ColdMilli: coldMilli,
	}}
}

// leave is what a DELETE of the target amounts to, which names no incarnation.
func leave() *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Leave: true, Registration: &wire.Registration{Id: "target"}}
}

func mustRegister(t *testing.T, at *Daemon, c *wire.RegistrationCommand) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
	defer cancel()
	if err := at.register(ctx, c); err != nil {
		t.Fatal(err)
	}
}

// isServing reports whether a replica's state lists the target and does not call it draining.
func isServing(t *testing.T, at *Daemon) bool {
	t.Helper()
	state, err := at.State(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range state.Catalog().Targets() {
		if !r.Draining {
			return true
		}
	}
	return false
}

// Guards against requests to a target that has left: a heartbeat that it sent before its end, and
// that arrives after it, registered the target again.
func TestLateHeartbeatDoesNotReadmitDepartedTarget(t *testing.T) {
	for _, born := range []int64{0, 1000} {
		for _, last := range []uint64{4, 9, 20, 40} {
			for _, drains := range []bool{false, true} {
				t.Run(fmt.Sprintf("born %d, %d heartbeats, drains %t", born, last, drains), func(t *testing.T) {
					runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
						leader, other := s.leaderAndAnother(t)
						replicas := []*Daemon{leader, other}
						for n := uint64(1); n < last; n++ {
							mustRegister(t, replicas[n%2], heartbeat(born, n, false, 0))
							time.Sleep(targetHeartbeat)
						}
						if drains {
							mustRegister(t, leader, heartbeat(born, last+1, true, 0))
							time.Sleep(2500 * time.Millisecond)
						}
						mustRegister(t, leader, leave())
						time.Sleep(time.Second)
						mustRegister(t, other, heartbeat(born, last, false, 0))
						time.Sleep(time.Second)
						if isServing(t, leader) {
							t.Errorf("heartbeat %d, a second late, registered the target again", last)
						}
					})
				})
			}
		}
	}
}

// departedOrders is how many orders of messages a test draws.
const departedOrders = 60

// Guards against requests to a target that has left, whatever order its messages arrive in: each is
// up to three seconds late, some are sent twice, to any of three replicas. Later than half a second
// after the first acknowledgement that it drains or is gone, no replica lists it as serving.
func TestDepartedTargetIsNotServingInAnyOrder(t *testing.T) {
	for _, born := range []int64{0, 1000} {
		for seed := range uint64(departedOrders) {
			t.Run(fmt.Sprintf("born %d, seed %d", born, seed), func(t *testing.T) {
				runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
					leader, other := s.leaderAndAnother(t)
					o := &departedOrder{replicas: []*Daemon{leader, other, s.follower(t)}, random: rand.New(rand.NewPCG(seed, 1))}
					defer o.sending.Wait()
					o.sendAll(born)
					o.check(t)
				})
			})
		}
	}
}

// departedOrder sends the messages of a target that ends, out of order.
type departedOrder struct {
	replicas []*Daemon
	random   *rand.Rand
	sending  sync.WaitGroup

	mu      sync.Mutex
	ackedAt time.Time
}

// sendAll sends heartbeats, a drain in half of the cases, and a leave.
func (o *departedOrder) sendAll(born int64) {
	n := uint64(1)
	for range 11 + o.random.IntN(4) {
		o.send(heartbeat(born, n, false, max(0, 3000-1500*int64(n))), false)
		n++
		time.Sleep(targetHeartbeat)
	}
	if o.random.IntN(2) == 0 {
		o.send(heartbeat(born, n, true, 0), true)
		time.Sleep(time.Duration(o.random.Int64N(int64(2500 * time.Millisecond))))
	}
	o.send(leave(), true)
}

// send sends a message once or twice, to any replica; withdraws tells that it says the target drains
// or is gone.
func (o *departedOrder) send(c *wire.RegistrationCommand, withdraws bool) {
	for range 1 + o.random.IntN(5)/4 {
		delay := time.Duration(0)
		if o.random.IntN(3) == 0 || !withdraws && c.Registration.Sequence > 10 {
			delay = time.Duration(o.random.Int64N(int64(3 * time.Second)))
		}
		at := o.replicas[o.random.IntN(len(o.replicas))]
		o.sending.Go(func() {
			time.Sleep(delay)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if at.register(ctx, c) == nil && withdraws {
				o.recordAck()
			}
		})
	}
}

func (o *departedOrder) recordAck() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ackedAt.IsZero() {
		o.ackedAt = time.Now()
	}
}

// isDue reports whether the target must not be listed as serving any more.
func (o *departedOrder) isDue() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.ackedAt.IsZero() && time.Since(o.ackedAt) > 500*time.Millisecond
}

// check watches all replicas for eight seconds.
func (o *departedOrder) check(t *testing.T) {
	t.Helper()
	for range 80 {
		time.Sleep(100 * time.Millisecond)
		if !o.isDue() {
			continue
		}
		for i, r := range o.replicas {
			if isServing(t, r) {
				t.Fatalf("replica %d lists the target as serving %s after the acknowledgement", i, time.Since(o.ackedAt))
			}
		}
	}
}

// formerBorn and currentBorn are the starts of two incarnations of a target.
const (
	formerBorn  = 1000
	currentBorn = 2000
)

// Guards against a target that stays without requests because a late leave of its former incarnation
// removed it. The bounds are the times that it took when departed targets were registered again by
// the distance of sequence numbers.
func TestTargetReturnsAfterLateLeaveOfFormerIncarnation(t *testing.T) {
	for _, c := range []struct {
		heartbeats int // of the current incarnation, before the leave arrives
		within     time.Duration
	}{
		{1, 8 * targetHeartbeat},
		{2, 7 * targetHeartbeat},
		{4, 5 * targetHeartbeat},
		{8, targetHeartbeat},
		{20, targetHeartbeat},
		{40, targetHeartbeat},
	} {
		for _, crashed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d heartbeats, former crashed %t", c.heartbeats, crashed), func(t *testing.T) {
				runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
					leader, other := s.leaderAndAnother(t)
					replicas := []*Daemon{leader, other}
					mustRegister(t, leader, heartbeat(formerBorn, 1, false, 0))
					time.Sleep(targetHeartbeat)
					if !crashed {
						mustRegister(t, leader, leave())
						time.Sleep(targetHeartbeat)
					}
					n := uint64(0)
					beat := func() {
						n++
						mustRegister(t, replicas[n%2], heartbeat(currentBorn, n, false, 0))
						time.Sleep(targetHeartbeat)
					}
					for range c.heartbeats {
						beat()
					}
					mustRegister(t, other, leave())
					removedAt := time.Now()
					for !isServing(t, leader) {
						if time.Since(removedAt) > c.within {
							t.Fatalf("the target does not serve again %s after the late leave", time.Since(removedAt))
						}
						beat()
					}
					t.Logf("serves again after %s", time.Since(removedAt))
				})
			})
		}
	}
}

// Guards against replicas that hold different targets or departures while they are renewed one by
// one, with a leader of either version, and against a fault that outlives the renewal of the leader.
func TestDepartedTargetWhileReplicasAreRenewed(t *testing.T) {
	for _, leaderFirst := range []bool{false, true} {
		for renewed := range 4 {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("leader first %t, %d renewed, seed %d", leaderFirst, renewed, seed), func(t *testing.T) {
					runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
						leader, other := s.leaderAndAnother(t)
						replicas := []*Daemon{other, s.follower(t), leader}
						if leaderFirst {
							slices.Reverse(replicas)
						}
						for _, d := range replicas[renewed:] {
							d.actAsFormerVersion()
						}
						o := &departedOrder{replicas: replicas, random: rand.New(rand.NewPCG(seed, 1))}
						o.sendAll(formerBorn)
						o.sending.Wait()
						time.Sleep(time.Second)
						if isRenewed := renewed == 3 || leaderFirst && renewed > 0; isRenewed && isServing(t, leader) {
							t.Error("a departed target is listed as serving although the leader is renewed")
						}
						s.wantSameCatalogs(t)
					})
				})
			}
		}
	}
}

// actAsFormerVersion makes a replica submit and propose updates as the version did that did not know of
// final departures.
func (d *Daemon) actAsFormerVersion() {
	d.prelude = func(catalog.State, *wire.RegistrationCommand) []*wire.RegistrationCommand { return nil }
	d.commandFor = func(_ catalog.State, c *wire.RegistrationCommand) *wire.RegistrationCommand { return c }
}

// wantSameCatalogs checks that all replicas hold the same targets and departures.
func (s *slowReplicas) wantSameCatalogs(t *testing.T) {
	t.Helper()
	var first *wire.Catalog
	for i, d := range s.daemons {
		state, err := d.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		held := state.Catalog().Encode()
		if i == 0 {
			first = held
		}
		if !proto.Equal(held, first) {
			t.Errorf("replica %d holds %v, replica 0 %v", i, held, first)
		}
	}
}

// maxRedirects is how many redirects in a row a target follows.
const maxRedirects = 2

// deleteTarget sends a DELETE of the target to a replica and returns the status of the last response.
// A target that has ended follows no redirect.
func deleteTarget(t *testing.T, at *Daemon, hasEnded bool) (status int) {
	t.Helper()
	app := iris.New()
	at.addCatalogHandlers(app)
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	path := "/v1/targets/target"
	for range 1 + maxRedirects {
		r := httptest.NewRequest(http.MethodDelete, path, nil)
		w := httptest.NewRecorder()
		app.ServeHTTP(w, r)
		status = w.Code
		if status != http.StatusTemporaryRedirect || hasEnded {
			return status
		}
		path = w.Header().Get("Location")
	}
	return status
}

// restartTarget has the target start twice under its id; the second incarnation has sent some
// heartbeats.
func (s *slowReplicas) restartTarget(t *testing.T, formerLeft bool, heartbeats uint64) (leader, other *Daemon) {
	t.Helper()
	leader, other = s.leaderAndAnother(t)
	mustRegister(t, leader, heartbeat(formerBorn, 1, false, 0))
	time.Sleep(targetHeartbeat)
	if formerLeft {
		mustRegister(t, leader, leave())
		time.Sleep(targetHeartbeat)
	}
	for n := range heartbeats {
		mustRegister(t, []*Daemon{leader, other}[n%2], heartbeat(currentBorn, n+1, false, 0))
		time.Sleep(targetHeartbeat)
	}
	return leader, other
}

// Guards against requests to a target that has left and had started before under its id: one of its
// heartbeats that arrived late registered it again.
func TestLateHeartbeatDoesNotReadmitRestartedTarget(t *testing.T) {
	for _, heartbeats := range []uint64{4, 9, 20, 40} {
		for _, formerLeft := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d heartbeats, former left %t", heartbeats, formerLeft), func(t *testing.T) {
				runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
					leader, other := s.restartTarget(t, formerLeft, heartbeats)
					if status := deleteTarget(t, other, false); status != http.StatusOK {
						t.Fatalf("status %d", status)
					}
					if isServing(t, leader) {
						t.Fatal("the target is still listed")
					}
					time.Sleep(time.Second)
					mustRegister(t, other, heartbeat(currentBorn, heartbeats+1, false, 0))
					time.Sleep(time.Second)
					if isServing(t, leader) {
						t.Error("a heartbeat that was a second late registered the target again")
					}
				})
			})
		}
	}
}

// Guards against a DELETE that names a start which can't be read and is taken for one that names none.
func TestDeleteWithInvalidStartIsRefused(t *testing.T) {
	app := iris.New()
	(&Daemon{}).addCatalogHandlers(app)
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"x", "0", "-1", "1.5"} {
		w := httptest.NewRecorder()
		app.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/targets/target?bornMillis="+bad, nil))
		if w.Code != http.StatusBadRequest {
			t.Errorf("start %s: status %d", bad, w.Code)
		}
	}
}

// Guards against a target that gets no requests for a while because a DELETE of its former
// incarnation arrives late.
func TestLateDeleteOfFormerIncarnationChangesNothing(t *testing.T) {
	for _, heartbeats := range []uint64{1, 4, 20} {
		for _, formerLeft := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d heartbeats, former left %t", heartbeats, formerLeft), func(t *testing.T) {
				runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
					leader, other := s.restartTarget(t, formerLeft, heartbeats)
					if status := deleteTarget(t, other, true); status == http.StatusOK {
						t.Error("a DELETE that names no incarnation was acknowledged")
					}
					for range 20 {
						if !isServing(t, leader) || !isServing(t, other) {
							t.Fatal("the target is not listed as serving")
						}
						time.Sleep(100 * time.Millisecond)
					}
				})
			})
		}
	}
}

// Guards against a target that a late DELETE of its former incarnation removes for good after replicas
// have restored a snapshot or a log of a version that did not record former incarnations, and against
// one that a late heartbeat registers again there.
func TestDepartureOfRestoredTarget(t *testing.T) {
	restored, _ := steering.State{}.Apply(&wire.Command{Registration: heartbeat(currentBorn, 1, false, 0)})
	runSlowReplicas(t, restored, func(t *testing.T, s *slowReplicas) {
		leader, other := s.leaderAndAnother(t)
		for _, d := range s.daemons {
			d.targetIndex.follow(restored.Catalog(), false) // as when a replica starts or gets a snapshot
		}
		if status := deleteTarget(t, other, true); status != http.StatusTemporaryRedirect || !isServing(t, leader) {
			t.Errorf("a DELETE that may be late: status %d, serving %t", status, isServing(t, leader))
		}
		mustRegister(t, other, leave())
		time.Sleep(time.Second)
		mustRegister(t, other, heartbeat(currentBorn, 9, false, 0))
		if !isServing(t, leader) {
			t.Error("a target that a late leave removed does not return")
		}
		time.Sleep(time.Second)
		if status := deleteTarget(t, other, false); status != http.StatusOK || isServing(t, leader) {
			t.Errorf("status %d, serving %t", status, isServing(t, leader))
		}
		time.Sleep(time.Second)
		mustRegister(t, other, heartbeat(currentBorn, 40, false, 0))
		if isServing(t, leader) {
			t.Error("a late heartbeat registered the target again")
		}
	})
}

// Guards against requests to a target that drains and that a late leave had removed before: the state
// ignored that it drains, which was acknowledged.
func TestTargetThatReturnedCanDrain(t *testing.T) {
	for _, coldMilli := range []int64{0, 1000} {
		t.Run(fmt.Sprintf("warm-up %d ms", coldMilli), func(t *testing.T) {
			runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
				leader, other := s.restartTarget(t, false, 10)
				mustRegister(t, other, leave())
				time.Sleep(targetHeartbeat)
				mustRegister(t, other, heartbeat(currentBorn, 11, false, coldMilli))
				time.Sleep(targetHeartbeat)
				if !isServing(t, leader) {
					t.Fatal("the target did not return")
				}
				mustRegister(t, other, heartbeat(currentBorn, 12, true, coldMilli))
				time.Sleep(time.Second)
				if isServing(t, leader) {
					t.Error("the target drains, which was acknowledged, and is listed as serving")
				}
				mustRegister(t, other, heartbeat(currentBorn, 40, false, coldMilli))
				time.Sleep(time.Second)
				if isServing(t, leader) {
					t.Error("a late heartbeat registered the target again")
				}
				s.wantSameCatalogs(t)
			})
		})
	}
}

// Guards against requests to a target whose end was acknowledged right after it had started again: a
// replica that did not know of the start yet acknowledged the end without effect.
func TestEndRightAfterStartIsNotLost(t *testing.T) {
	for _, born := range []int64{formerBorn, currentBorn} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
			t.Run(fmt.Sprintf("started again %t, after %s", born == currentBorn, pause), func(t *testing.T) {
				runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
					defer s.delayMessages(100 * time.Millisecond)()
					leader, other := s.leaderAndAnother(t)
					if born == currentBorn {
						mustRegister(t, leader, heartbeat(formerBorn, 1, false, 0))
						mustRegister(t, leader, leave())
						time.Sleep(time.Second)
					}
					mustRegister(t, leader, heartbeat(born, 1, false, 0))
					time.Sleep(pause)
					if deleteTarget(t, other, false) != http.StatusOK {
						return // not acknowledged
					}
					time.Sleep(time.Second)
					if isServing(t, leader) {
						t.Error("the end was acknowledged and the target is still listed")
					}
				})
			})
		}
	}
}

// Guards against a replica that takes a target for one that never had another incarnation although it
// has not followed its registration: it knows it from its own disk, from a snapshot, or from one of many
// commands that it applied while it caught up.
func TestUnfollowedTargetMayHaveRestarted(t *testing.T) {
	restored, _ := steering.State{}.Apply(&wire.Command{Registration: heartbeat(currentBorn, 1, false, 0)})
	later, command := restored, &wire.Command{Registration: heartbeat(currentBorn, 2, false, 0)}
	command.Registration.Registration.Slots++
	later, _ = later.Apply(command)
	for _, c := range []struct {
		name    string
		learn   func(s *slowReplicas, d *Daemon)
		unknown bool
	}{
		{"followed", func(_ *slowReplicas, d *Daemon) { d.replica.publish(restored, []*wire.Command{command}) }, false},
		{"from a snapshot", func(_ *slowReplicas, d *Daemon) { d.replica.publish(restored, nil) }, true},
		{"from a snapshot, then changed", func(_ *slowReplicas, d *Daemon) {
			d.replica.publish(restored, nil)
			d.replica.publish(later, []*wire.Command{command})
		}, true},
		{"while it caught up", func(s *slowReplicas, d *Daemon) {
			s.suspend(d, time.Minute)
			d.replica.publish(restored, []*wire.Command{command})
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
				leader, _ := s.leaderAndAnother(t)
				c.learn(s, leader)
				if _, ambiguous := leader.targetIndex.ambiguousLeave(catalog.State{}, "target"); ambiguous != c.unknown {
					t.Errorf("ambiguous %t, want %t", ambiguous, c.unknown)
				}
			})
		})
	}
}

// Guards against a replica that has started again and takes the targets on its disk for ones that never
// had another incarnation.
func TestRestartedReplicaHasNotFollowedItsTargets(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		folder := t.TempDir()
		restored, _ := steering.State{}.Apply(&wire.Command{Registration: heartbeat(currentBorn, 1, false, 0)})
		data, err := restored.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		d := openAlone(t, folder)
		only := &wire.Membership{Voters: []*wire.Replica{{Id: d.replica.id, Address: d.config.PeerAddress}}}
		snapshot := &wire.Snapshot{Index: 1, Term: 1, Membership: only, Data: data}
		if err := d.replica.handleOutput(consensus.Output{HardState: &wire.HardState{Term: 1}, Snapshot: snapshot}); err != nil {
			t.Fatal(err)
		}
		closeAlone(t, d)
		d = openAlone(t, folder)
		defer closeAlone(t, d)
		if _, ambiguous := d.targetIndex.ambiguousLeave(d.latest().Catalog(), "target"); !ambiguous {
			t.Error("a leave of a target that is known from the disk is not ambiguous")
		}
	})
}

// openAlone opens a replica with a data directory and does not run it.
func openAlone(t *testing.T, folder string) *Daemon {
	t.Helper()
	n := &linktest.Network{DownBytesPerSecond: slowLinkBytes, UpBytesPerSecond: slowLinkBytes, SocketBuffer: 1 << 16}
	c := config.Control{DataDir: folder, ElectionTimeout: time.Second, SnapshotEvery: 1000, PeersAreSeeds: true}
	c.Name, c.PeerAddress, c.OperatorAddress = "c0", "c0", "127.0.0.1:0"
	d, err := openOn(link.Network{Listen: n.Listen, Dial: n.Dial}, c, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func closeAlone(t *testing.T, d *Daemon) {
	t.Helper()
	if err := errors.Join(d.operatorListener.Close(), d.close()); err != nil {
		t.Error(err)
	}
}
