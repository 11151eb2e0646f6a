package balance

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

func rejection(running, waiting int) targetstatus.Status {
	return targetstatus.Status{
		BackOff: time.Second, HasLoad: true, Load: targetstatus.Load{Running: running, Waiting: waiting, Slots: 4},
	}
}

// sendUntilRefused sends requests until one is refused and returns how many were accepted.
func (f *serviceFixture) sendUntilRefused(t *testing.T) (sent int) {
	t.Helper()
	var inFlight []Choice
	for range 1000 {
		c, err := f.balancer.Choose(f.now, Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Hour})
		if err != nil {
			break
		}
		inFlight = append(inFlight, c)
	}
	for _, c := range inFlight {
		f.done(c, Dropped)
	}
	return len(inFlight)
}

// Guards against filling a target's queue again after a rejection has shown its length, at that
// target and at the others of its service.
func TestTargetsAreNotFilledBeyondTheirCapacity(t *testing.T) {
	f := newServiceFixture(3)
	if got := f.sendUntilRefused(t); got != 1000 {
		t.Fatalf("%d requests fit while no capacity is known", got)
	}
	f.balancer.BackOff(f.now, "t0", rejection(4, 6))
	if got := f.sendUntilRefused(t); got != 2*10 {
		t.Errorf("%d requests fit at two targets with a capacity of 10 each", got)
	}
	f.now = f.now.Add(time.Minute)
	f.balancer.BackOff(f.now, "t0", rejection(4, 6))
	f.now = f.now.Add(1200 * time.Millisecond)
	f.balancer.byID["t0"].backOff = targetstatus.BackOff{}
	if got := f.sendUntilRefused(t); got != 2*10+7 {
		t.Errorf("%d requests fit after a second rejection", got)
	}
	f.now = f.now.Add(time.Minute)
	if got := f.sendUntilRefused(t); got != 3*10 {
		t.Errorf("%d requests fit a minute later", got)
	}
}

// Guards against limiting a target forever that rejected a request for another reason than lack of
// capacity.
func TestRejectionWithFreeSlotsSetsNoCapacity(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.BackOff(f.now, "t0", rejection(1, 0))
	if got := f.balancer.byID["t0"].capacity; got.requests > 0 {
		t.Errorf("got a capacity of %+v, want none", got)
	}
}

// Guards against a capacity estimate below the load that the target reports.
func TestCapacityFollowsTheReportedLoad(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.BackOff(f.now, "t0", rejection(4, 2))
	f.now = f.now.Add(time.Minute)
	c, err := f.choose()
	if err != nil {
		t.Fatal(err)
	}
	f.balancer.Done(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, HasLoad: true, Load: targetstatus.Load{Running: 4, Waiting: 5, Slots: 4}})
	if got := fmt.Sprint(f.balancer.byID["t0"].capacity.requests); got != "9" {
		t.Errorf("got a capacity of %s requests, want 9", got)
	}
}
