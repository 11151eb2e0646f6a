package gateway

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// leavingHeader is the header in which targets report that they are shutting down.
const leavingHeader = "Test-Leaving"

// Guards against requests to a target long after a response to this box reported that the target is
// shutting down, with and without control.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	for _, boxes := range []int{1, 9, 30, 150} {
		for _, targets := range []int{1, 2, 4} {
			for _, control := range []bool{true, false} {
				t.Run(fmt.Sprint(boxes, " boxes, ", targets, " targets, control ", control), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						s := newTestCluster(t, boxes, 4)
						s.control.setDown(!control, s.control.addresses()...)
						s.sendLoad(80, 2*time.Second)
						for _, target := range s.targets[:targets] {
							target.setLeaving(true)
						}
						s.sendLoad(80, 6*time.Second)
						s.waitForResponses()
						for i, target := range s.targets {
							if got := target.countAfterLeaving(); got > 0 {
								t.Errorf("target %d got %d requests later than %s after it had reported that it is shutting down", i, got, leavingGrace)
							}
						}
					})
				})
			}
		}
	}
}

// Guards against boxes that each have to send a request of their own to learn that a target is
// shutting down.
func TestLeavingTargetIsReportedToAllBoxes(t *testing.T) {
	for _, boxes := range []int{9, 150} {
		t.Run(fmt.Sprint(boxes, " boxes"), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newTestCluster(t, boxes, 4)
				s.sendLoad(80, 2*time.Second)
				s.targets[0].setLeaving(true)
				s.sendLoad(80, 5*time.Second)
				s.waitForResponses()
				first := time.Now()
				for _, at := range s.targets[0].leavingAnnouncedAt {
					if at.Before(first) {
						first = at
					}
				}
				if got := s.targets[0].countBetween(first.Add(300*time.Millisecond), time.Now()); got > 0 {
					t.Errorf("%d requests arrived later than 0.3 s after the first box got the report", got)
				}
				if s.refused > 0 {
					t.Errorf("%d requests were refused, although the other targets have free slots", s.refused)
				}
			})
		})
	}
}

// Guards against using a target that is shutting down again because of a late heartbeat, an earlier
// state or an earlier response; only a new incarnation may be used.
func TestLeavingTargetIsNotUsedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		d := s.boxes[0]
		registration := func(sequence uint64, born int64) *wire.Command {
			return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
				Id: "t0", Service: "s", Address: "0", Zone: "z", Slots: 4, Sequence: sequence, BornUnixMilli: born,
			}}}
		}
		d.applyChange(targetstatus.Change{Incarnation: "t0", Leaving: true}, "")
		d.targetLimits.recordResponse(targetstatus.Update{Incarnation: "t0", Leaving: true}.WithoutLimit())
		time.Sleep(2 * time.Second)
		chosen := func() map[string]int {
			out := make(map[string]int)
			for range 20 {
				c, err := d.choose(balance.Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Second})
				if err != nil {
					t.Fatal(err)
				}
				out[c.Target.ID]++
				d.recordOutcome(balance.Report{TargetID: c.Target.ID, Route: "r", Outcome: balance.Answered, Took: time.Millisecond})
			}
			return out
		}
		state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
		state, _ = state.Apply(registration(2, 0))
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: "t1", Service: "s", Address: "1", Zone: "z", Slots: 4, Sequence: 2}}})
		d.applyState(state, nil)
		if got := chosen(); got["t0"] > 0 {
			t.Errorf("used again after a late heartbeat: %v", got)
		}
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t0"}})
		if got := chosen(); got["t0"] > 0 {
			t.Errorf("used again after another box's update: %v", got)
		}
		state, _ = state.Apply(registration(1, 1_785_000_000_000))
		d.applyState(state, nil)
		if got := chosen(); len(got) != 2 {
			t.Errorf("its next incarnation gets no requests: %v", got)
		}
	})
}

// Guards against refusing requests while targets that have just reported that they are shutting
// down still serve, and against requests to them after that.
func TestLeavingTargetsServeIfNoOther(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 3)
		s.sendLoad(40, time.Second)
		for _, target := range s.targets {
			target.setLeaving(true)
		}
		announced := time.Now()
		s.sendLoad(40, 800*time.Millisecond)
		synctest.Wait()
		if s.refused > 0 {
			t.Errorf("%d requests were refused within the first second", s.refused)
		}
		s.sendLoad(40, 5*time.Second)
		s.waitForResponses()
		for i, target := range s.targets {
			if got := target.countBetween(announced.Add(1500*time.Millisecond), time.Now()); got > 0 {
				t.Errorf("target %d got %d requests later than 1.5 s after it reported that it is shutting down", i, got)
			}
		}
	})
}

// Guards against a rejection which reports that the target is shutting down and is taken to
// withdraw the target's rate limit, or is ignored because it is a rejection.
func TestRejectionReportsLeavingTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 1})
		s.scripts = scripts(respondsWithHeader(503, "Test-Not-Executed: 1\r\nTest-Leaving: 1\r\n"))
		time.Sleep(time.Second)
		s.send(t.Context(), "/single/", "")
		if !s.daemon.targetLimits.isLeaving("t0") || s.knownLimit("t0") != 5 || !s.daemon.isLeaving("t0") {
			t.Errorf("leaving %v, limit %v", s.daemon.targetLimits.isLeaving("t0"), s.knownLimit("t0"))
		}
	})
}

// Guards against counting a target as serving if another box learned that it is shutting down
// before it was registered here.
func TestTargetLeavesBeforeRegistration(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 1)
		d := s.boxes[0]
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t9", Leaving: true}})
		state, _ := steering.State{}.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: "t9", Service: "s", Address: "0", Zone: "z", Slots: 4, Sequence: 1,
		}}})
		d.applyState(state, nil)
		if !d.isLeaving("t9") {
			t.Error("the target counts as serving")
		}
	})
}

// Guards against a box that does not report a leaving target again when another box's update shows
// that it does not know of it.
func TestLeavingTargetIsReportedAfterOlderUpdate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		d := s.daemon
		d.targetLimits.recordResponse(targetstatus.Update{Incarnation: "t0", Leaving: true}.WithoutLimit())
		time.Sleep(2 * updateRepeatTime)
		if reports := d.targetLimits.pendingReports(); len(reports) > 0 {
			t.Fatalf("still reports %v", reports)
		}
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t0", Limited: true, PerSecond: 5}})
		if reports := d.targetLimits.pendingReports(); len(reports) == 0 || !reports[0].Leaving {
			t.Errorf("reports %v", reports)
		}
	})
}

// Guards against sending a request to a target that was shutting down when it was chosen and may
// have ended since.
func TestRequestIsNotSentToTargetThatMayHaveEnded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 2)
		d := s.boxes[0]
		dial := d.connections.dial
		d.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			s.suspended[0].Add(int64(1200 * time.Millisecond)) // suspended while it connects
			return dial(ctx, network, address)
		}
		d.balancing.balancer.SetLeaving(d.clock.Now(), "t0")
		d.balancing.balancer.SetLeaving(d.clock.Now(), "t1")
		s.send(d, 1)
		if got := s.targets[0].countBetween(time.Time{}, time.Now()) + s.targets[1].countBetween(time.Time{}, time.Now()); got > 0 {
			t.Errorf("%d requests were sent to targets that may have ended", got)
		}
	})
}

// Guards against requests to a target that a late heartbeat registers again after it had reported that
// it is shutting down and was removed.
func TestLeavingTargetThatIsRegisteredAgainGetsNoRequests(t *testing.T) {
	for _, absence := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 15 * time.Second, 40 * time.Second} {
		t.Run(absence.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newTestCluster(t, 1, 1)
				d := s.boxes[0]
				s.send(d, 1)
				s.waitForResponses()
				s.targets[0].setLeaving(true)
				s.send(d, 1)
				s.waitForResponses()
				reported := time.Now()
				time.Sleep(1500 * time.Millisecond)
				registered := *d.lastState
				removed, _ := registered.ApplyRegistration(&wire.RegistrationCommand{Leave: true, Registration: &wire.Registration{Id: "t0"}})
				d.applyTargets(removed, 2)
				time.Sleep(absence)
				d.applyTargets(registered, 3)
				for range 10 {
					s.send(d, 1)
					time.Sleep(200 * time.Millisecond)
				}
				s.waitForResponses()
				if got := s.targets[0].countBetween(reported.Add(leavingGrace), time.Now()); got > 0 {
					t.Errorf("%d requests arrived later than %s after the target had reported that it is shutting down", got, leavingGrace)
				}
			})
		})
	}
}
