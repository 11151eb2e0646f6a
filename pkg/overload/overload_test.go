package overload

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// request returns a request of a saturated service by a caller that states how long it waits.
func request(stated time.Duration) Request {
	return Request{Route: "r", Service: "s", Stated: stated, Objective: 600 * time.Millisecond, Load: 1.5}
}

// Guards against an objective that begins anew when a caller returns, and against an age of requests
// whose deadlines differ by rounding.
func TestObjectiveCountsFromTheFirstAttempt(t *testing.T) {
	c := New(0)
	c.Decide(start, request(4*time.Second))
	for _, one := range []struct{ stated, age time.Duration }{
		{4 * time.Second, 0},
		{3900 * time.Millisecond, 0},
		{3600 * time.Millisecond, 400 * time.Millisecond},
		{3 * time.Second, time.Second},
		{0, 0},
	} {
		v := c.Decide(start.Add(time.Second), request(one.stated))
		if v.Age != one.age || v.Remaining != 600*time.Millisecond-one.age {
			t.Errorf("a caller that waits for %s has the age %s and %s left, want the age %s", one.stated, v.Age, v.Remaining, one.age)
		}
		if late := v.Remaining <= 0; late != (v.WaitShare == NoWait) || late != (v.Reason == ReasonLate) {
			t.Errorf("got %+v", v)
		}
	}
}

// Guards against ages by a deadline that no caller states any more, and against callers of shorter
// deadlines that count as old because of one caller with a longer one.
func TestWholeDeadlineFollowsTheCallers(t *testing.T) {
	c := New(0)
	c.Decide(start, request(8*time.Second))
	if v := c.Decide(start, request(4*time.Second)); v.Age != 4*time.Second {
		t.Fatalf("the age is %s", v.Age)
	}
	if v := c.Decide(start.Add(11*time.Second), request(4*time.Second)); v.Age != 0 {
		t.Errorf("the age is %s when the longer deadline is forgotten", v.Age)
	}
	for range 200 {
		c.Decide(start.Add(12*time.Second), request(4*time.Second))
	}
	c.Decide(start.Add(12*time.Second), request(60*time.Second))
	if v := c.Decide(start.Add(12*time.Second), request(4*time.Second)); v.Age != 0 {
		t.Errorf("one caller with a deadline of 60 s gives others the age %s", v.Age)
	}
}

// A box that failed and started again knows no deadlines. Guards against ages that it guesses, and
// against a box that finds none after the first callers have arrived.
func TestRestartedBoxLearnsTheWholeDeadline(t *testing.T) {
	c := New(0)
	if v := c.Decide(start, request(2*time.Second)); v.Age != 0 || v.WaitShare != fullWaitShare {
		t.Errorf("the first request is treated as %+v", v)
	}
	c.Decide(start, request(4*time.Second))
	if v := c.Decide(start, request(2*time.Second)); v.Age != 2*time.Second || v.WaitShare != NoWait {
		t.Errorf("a late request is treated as %+v", v)
	}
}

// Guards against any effect on a service that is not saturated.
func TestUnsaturatedServicesAreNotAffected(t *testing.T) {
	c := New(0)
	for i := range 1000 {
		r := request(time.Duration(1+i%4) * time.Second)
		r.Load, r.Priority, r.Workspace = saturatedLoad, 1, fmt.Sprint(i%20*i%3)
		if v := c.Decide(start, r); v.Saturated || v.WaitShare != 0 || v.Remaining != r.Objective || v.Reason != "" {
			t.Fatalf("got %+v", v)
		}
	}
}

// Guards against routes of a lower priority that wait as long as others, and against halving the
// wait of all routes of a service whose highest priority is not 0.
func TestLowerPrioritiesWaitHalfAsLong(t *testing.T) {
	c := New(0)
	r := request(4 * time.Second)
	r.Priority, r.HighestPriority = 2, 2
	if v := c.Decide(start, r); v.WaitShare != fullWaitShare {
		t.Errorf("the highest priority gets %+v", v)
	}
	r.HighestPriority = 1
	if v := c.Decide(start, r); v.WaitShare != fullWaitShare/2 || v.Reason != ReasonPriority {
		t.Errorf("a lower priority gets %+v", v)
	}
}

// Guards against callers that are asked to return later than they heed, or all at the same time.
func TestRefusedCallersReturnInSteps(t *testing.T) {
	c := New(0.3)
	for i := range 200 {
		c.Decide(start, request(3*time.Second))
		if i%2 == 0 {
			c.RecordRefusal(start, "s")
		}
	}
	var steps [10]int
	const begin, width = 200 * time.Millisecond, 40 * time.Millisecond // half of the time from 0.2 to 1 s, as half was refused
	for range 100 {
		after := c.RetryAfter(start, "s", begin, -time.Second, 3*time.Second)
		if after < begin || after >= begin+10*width {
			t.Fatalf("a caller returns after %s", after)
		}
		steps[(after-begin)/width]++
	}
	for i, n := range steps {
		if n < 5 || n > 15 {
			t.Errorf("%d of 100 callers return in step %d: %v", n, i, steps)
		}
	}
	if after := c.RetryAfter(start, "s", begin, 600*time.Millisecond, 3*time.Second); after >= 300*time.Millisecond {
		t.Errorf("a caller that can be in time returns after %s", after)
	}
	if after := c.RetryAfter(start, "s", time.Second, time.Second, 600*time.Millisecond); after != 200*time.Millisecond {
		t.Errorf("a caller that waits for 600 ms returns after %s", after)
	}
}

// Guards against workspaces that are refused although they send as much as others, and against a
// workspace of which nothing is served because it sends too much.
func TestExcessOfAWorkspaceGivesWay(t *testing.T) {
	c := New(0)
	excess := make(map[string]int)
	for i := range 2700 {
		r := request(4 * time.Second)
		r.Workspace = fmt.Sprint("w", max(i%27-6, 0)) // w0 sends seven times as much as each of 20 others
		if v := c.Decide(start.Add(time.Duration(i)*10*time.Millisecond), r); v.Reason == ReasonWorkspace {
			excess[r.Workspace]++
		}
	}
	if n := excess["w0"]; len(excess) != 1 || n < 350 || n > 500 { // its fair share is 2/7 * 27/21 of 700
		t.Errorf("the excess is %v", excess)
	}
}

// Guards against memory that grows with the routes, services and workspaces that once were.
func TestStateOfUnusedNamesIsDropped(t *testing.T) {
	c := New(0)
	for i := range 10000 {
		r := request(time.Second)
		r.Workspace = fmt.Sprint(i)
		c.Decide(start, r)
	}
	if n := len(c.services["s"].workspaces.workspaces); n > maxWorkspaces {
		t.Errorf("%d workspaces are kept", n)
	}
	c.Prune(start.Add(30 * time.Second))
	if n := len(c.services["s"].workspaces.workspaces); n > 0 {
		t.Errorf("%d workspaces are kept after 30 s", n)
	}
	c.Prune(start.Add(2 * stateLifetime))
	if len(c.services)+len(c.deadlines) > 0 {
		t.Errorf("%d services and %d routes are kept", len(c.services), len(c.deadlines))
	}
}
