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

// leavingHeader is how the targets of these tests say that they leave.
const leavingHeader = "Test-Leaving"

// Guards against requests to a target long after an answer to this box has said that the
// target leaves, with control and without.
func TestTargetThatLeavesGetsNothingMore(t *testing.T) {
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
								t.Errorf("target %d got %d requests later than %s after it had said that it leaves", i, got, leavingGrace)
							}
						}
					})
				})
			}
		}
	}
}

// Guards against boxes that each find out by a request of their own that a target leaves.
func TestAllBoxesAreToldThatATargetLeaves(t *testing.T) {
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
					t.Errorf("%d requests came later than 0.3 s after the first box was told", got)
				}
				if s.refused > 0 {
					t.Errorf("%d requests were refused, the other targets have room", s.refused)
				}
			})
		})
	}
}

// Guards against a target that leaves and is used again because of a late heartbeat, an
// earlier state or an answer of before; only a new incarnation is.
func TestTargetThatLeavesIsNotRevived(t *testing.T) {
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
				c, err := d.choose(balance.Request{Service: "s", Route: "r", Objective: time.Second, Left: time.Second})
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
			t.Errorf("a late heartbeat revives it: %v", got)
		}
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t0"}})
		if got := chosen(); got["t0"] > 0 {
			t.Errorf("another box's update revives it: %v", got)
		}
		state, _ = state.Apply(registration(1, 1_785_000_000_000))
		d.applyState(state, nil)
		if got := chosen(); len(got) != 2 {
			t.Errorf("its next incarnation gets nothing: %v", got)
		}
	})
}

// Guards against requests that are refused while targets that have just said that they
// leave still serve, and against requests to them once that is over.
func TestTargetsThatLeaveServeWhereThereIsNoOther(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 3)
		s.sendLoad(40, time.Second)
		for _, target := range s.targets {
			target.setLeaving(true)
		}
		left := time.Now()
		s.sendLoad(40, 800*time.Millisecond)
		synctest.Wait()
		if s.refused > 0 {
			t.Errorf("%d requests were refused within the first second", s.refused)
		}
		s.sendLoad(40, 5*time.Second)
		s.waitForResponses()
		for i, target := range s.targets {
			if got := target.countBetween(left.Add(1500*time.Millisecond), time.Now()); got > 0 {
				t.Errorf("target %d got %d requests later than 1.5 s after", i, got)
			}
		}
	})
}

// Guards against a rejection that tells that the target leaves and is read as if it took a
// limit back, or not read as it is no service.
func TestRejectionTellsThatATargetLeaves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 1})
		s.scripts = scripts(respondsWithHeader(503, "Test-Not-Executed: 1\r\nTest-Leaving: 1\r\n"))
		time.Sleep(time.Second)
		s.send(t.Context(), "/single/", "")
		if !s.daemon.targetLimits.isLeaving("t0") || s.limitOf("t0") != 5 || !s.daemon.isLeaving("t0") {
			t.Errorf("leaving %v, limit %v", s.daemon.targetLimits.isLeaving("t0"), s.limitOf("t0"))
		}
	})
}

// Guards against a target that another box was told of before it is registered here, and
// that counts as serving.
func TestTargetThatLeavesBeforeItIsRegisteredHere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newTestCluster(t, 1, 1)
		d := s.boxes[0]
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t9", Leaving: true}})
		state, _ := steering.State{}.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: "t9", Service: "s", Address: "0", Zone: "z", Slots: 4, Sequence: 1,
		}}})
		d.applyState(state, nil)
		if !d.isLeaving("t9") {
			t.Error("counts as serving")
		}
	})
}

// Guards against a box that keeps to itself what it knows better than another one.
func TestBoxTellsThatATargetLeaves(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		d := s.daemon
		d.targetLimits.recordResponse(targetstatus.Update{Incarnation: "t0", Leaving: true}.WithoutLimit())
		time.Sleep(2 * updateRepeatTime)
		if told := d.targetLimits.pendingReports(); len(told) > 0 {
			t.Fatalf("still tells %v", told)
		}
		d.mergeUpdates([]*wire.TargetLimit{{Life: "t0", Limited: true, PerSecond: 5}})
		if told := d.targetLimits.pendingReports(); len(told) == 0 || !told[0].Leaving {
			t.Errorf("tells %v", told)
		}
	})
}

// Guards against a request that was chosen for a target which leaves, and is sent when that
// target may have ended.
func TestRequestThatWaitsIsNotSentToATargetThatIsGone(t *testing.T) {
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
			t.Errorf("%d requests were sent", got)
		}
	})
}
