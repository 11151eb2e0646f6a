package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// minorityReplicas is the smallest number of replicas of which a leader and a follower are a
	// minority.
	minorityReplicas = 5
	// cutPhases and cutPhaseStep vary when in the leader's check of its quorum the cut begins: the
	// check is due each election timeout.
	cutPhases    = 10
	cutPhaseStep = 100 * time.Millisecond
)

// cutMinority cuts the leader and one follower off from the other replicas. It returns that
// follower and the leader that the others elect.
func (s *slowReplicas) cutMinority(t *testing.T) (follower, elected *Daemon) {
	t.Helper()
	old, follower := s.leaderAndAnother(t)
	minority := map[string]bool{old.replica.id: true, follower.replica.id: true}
	drop := func(from *Daemon, m *wire.ConsensusMessage) bool { return minority[from.replica.id] != minority[m.To] }
	s.drop.Store(&drop)
	for began := time.Now(); time.Since(began) < electionWait; time.Sleep(time.Millisecond) {
		for _, d := range s.daemons {
			if !minority[d.replica.id] && s.role(t, d) == consensus.Leader {
				return follower, d
			}
		}
	}
	t.Fatal("the majority elects no leader")
	return nil, nil
}

// forEachCutPhase runs a function with new replicas for each phase at which the cut may begin.
func forEachCutPhase(t *testing.T, run func(t *testing.T, s *slowReplicas, phase time.Duration)) {
	t.Helper()
	for i := range time.Duration(cutPhases) {
		phase := i * cutPhaseStep
		t.Run(fmt.Sprintf("phase=%s", phase), func(t *testing.T) {
			runReplicas(t, minorityReplicas, slowLinkBytes, steering.State{}, func(t *testing.T, s *slowReplicas) {
				run(t, s, phase)
			})
		})
	}
}

// Guards against a replica that calls its state current because a leader which the majority has
// replaced still reaches it, although an acknowledged evacuation is missing.
func TestFollowerOfReplacedLeaderTellsItsAge(t *testing.T) {
	forEachCutPhase(t, func(t *testing.T, s *slowReplicas, phase time.Duration) {
		defer s.serveBoxes(t)()
		s.registerTargets(t)
		time.Sleep(phase)
		follower, elected := s.cutMinority(t)
		s.submit(t, elected, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: evacuatedZone}})
		ackedAt, worst := time.Now(), time.Duration(0)
		for time.Since(ackedAt) < 2*time.Second {
			worst = max(worst, time.Since(ackedAt)-follower.controlAge())
			time.Sleep(10 * time.Millisecond)
		}
		if worst > 0 {
			t.Errorf("the control age is up to %s less than the time since an evacuation that is missing", worst)
		}
	})
}

// Guards against a target that stays in the state although its end was acknowledged: a follower of a
// leader which the majority has replaced lacks the target's latest start and acknowledges from its
// own state.
func TestFollowerOfReplacedLeaderWithdrawsATarget(t *testing.T) {
	forEachCutPhase(t, func(t *testing.T, s *slowReplicas, phase time.Duration) {
		update := func(born int64, sequence uint64, leave bool) *wire.RegistrationCommand {
			return &wire.RegistrationCommand{Leave: leave, Registration: &wire.Registration{
				Id: "target", Service: "s", Address: "a", Zone: "z1", Slots: 10, BornUnixMilli: born, Sequence: sequence,
			}}
		}
		leader, _ := s.leaderAndAnother(t)
		s.submit(t, leader, &wire.Command{Registration: update(1000, 1, false)})
		s.submit(t, leader, &wire.Command{Registration: update(1000, 2, true)})
		time.Sleep(time.Second + phase)
		follower, elected := s.cutMinority(t)
		s.submit(t, elected, &wire.Command{Registration: update(2000, 1, false)})
		ctx, cancel := context.WithTimeout(t.Context(), operatorCallTimeout)
		defer cancel()
		if err := follower.Deregister(ctx, "target"); err != nil {
			return // not acknowledged
		}
		state, err := elected.State(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range state.Catalog().Targets() {
			t.Errorf("the end of the target was acknowledged, the elected leader's state has %s", r.Id)
		}
	})
}

// Guards against a box that stays too long with a replica whose leader the majority has replaced,
// and sends requests to a zone that is evacuated.
func TestBoxLeavesFollowerOfReplacedLeader(t *testing.T) {
	forEachCutPhase(t, func(t *testing.T, s *slowReplicas, phase time.Duration) {
		defer s.serveBoxes(t)()
		s.registerTargets(t)
		old, follower := s.leaderAndAnother(t)
		order := []*Daemon{follower}
		for _, d := range s.daemons {
			if d != follower && d != old {
				order = append(order, d)
			}
		}
		b, stop := s.runBox(t, order)
		defer stop()
		time.Sleep(3*time.Second + phase)
		_, elected := s.cutMinority(t)
		s.submit(t, elected, &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: evacuatedZone}})
		ackedAt, worst, last := time.Now(), time.Duration(0), time.Duration(0)
		for time.Since(ackedAt) < evacuationLimit {
			if b.sendsTo(t) == evacuatedZone {
				last = time.Since(ackedAt)
				worst = max(worst, last-b.follower.ControlAge())
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("the last request into the evacuated zone is sent %s after the acknowledgement", last)
		if worst > 0 {
			t.Errorf("the box's control age is up to %s less than the time since an evacuation that is missing", worst)
		}
	})
}

// Guards against withdrawals that followers can't acknowledge from their own state, and against
// boxes with a small margin, because an undisturbed follower calls its state old.
func TestUndisturbedFollowerIsCurrent(t *testing.T) {
	for _, delay := range []time.Duration{0, 35 * time.Millisecond, 70 * time.Millisecond} {
		runReplicas(t, minorityReplicas, slowLinkBytes, steering.State{}, func(t *testing.T, s *slowReplicas) {
			defer s.delayMessages(delay)()
			time.Sleep(time.Second)
			sum, worst, samples := time.Duration(0), time.Duration(0), 0
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				for _, d := range s.daemons {
					age := d.controlAge()
					sum += age
					worst = max(worst, age)
					samples++
				}
			}
			t.Logf("messages take %s: the control age is %s on average, %s at most", delay, sum/time.Duration(samples), worst)
			if worst > maxLocalAckAge {
				t.Errorf("messages take %s: the control age is up to %s, want at most %s", delay, worst, maxLocalAckAge)
			}
		})
	}
}
