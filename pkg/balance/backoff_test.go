package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// serviceFixture is a balancer with the targets t0, t1, ... of one service.
type serviceFixture struct {
	now      time.Time
	balancer *Balancer
}

func newServiceFixture(targets int) *serviceFixture {
	f := &serviceFixture{now: time.Time{}.Add(time.Hour), balancer: New(Config{Box: "box", Zone: "z", Region: "r"})}
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprint("t", i), Service: "s", Zone: "z", Region: "r", Slots: 4})
	}
	f.balancer.SetTargets(f.now, list)
	return f
}

func (f *serviceFixture) choose() (Choice, error) {
	return f.balancer.Choose(f.now, Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Second})
}

func (f *serviceFixture) done(c Choice, o Outcome) {
	f.balancer.Done(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: 20 * time.Millisecond})
}

// Guards against sending to a target before the latest end of its back-offs, whatever outcomes are
// reported in between and in whatever order.
func TestTargetIsNotChosenBeforeItsBackOffEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newServiceFixture(3)
		until := make(map[string]time.Time)
		var inFlight []Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"choose", "answer", "backOff", "wait", "register"}).Draw(t, "step") {
			case "choose":
				c, err := f.choose()
				if err != nil {
					continue
				}
				if f.now.Before(until[c.Target.ID]) {
					t.Fatalf("%s was chosen %s before its back-off ended", c.Target.ID, until[c.Target.ID].Sub(f.now))
				}
				inFlight = append(inFlight, c)
			case "answer":
				if len(inFlight) == 0 {
					continue
				}
				f.done(inFlight[0], rapid.SampledFrom([]Outcome{Answered, TurnedAway, Broken, Dropped, Withdrawn, Stuck}).Draw(t, "outcome"))
				inFlight = inFlight[1:]
			case "backOff":
				id := fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target"))
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
				f.balancer.BackOff(f.now, id, targetstatus.Status{BackOff: wait})
				if ends := f.now.Add(wait); ends.After(until[id]) {
					until[id] = ends
				}
			case "wait":
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
			case "register":
				f.balancer.ChangeTargets(f.now, []Target{{ID: "t0", Service: "s", Zone: "z", Region: "r", Slots: 4}}, nil)
			}
			for id, ends := range until {
				if f.now.Before(ends) && f.balancer.CanSend(f.now, id) {
					t.Fatalf("CanSend allows %s before its back-off has ended", id)
				}
			}
		}
	})
}

// Guards against a new incarnation that inherits the back-off of the previous one.
func TestBackOffEndsWithTheIncarnation(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Minute})
	f.balancer.ChangeTargets(f.now, []Target{{ID: "t0/2", Name: "t0", Service: "s", Zone: "z", Region: "r", Slots: 4}}, []string{"t0"})
	if c, err := f.choose(); err != nil || c.Target.ID != "t0/2" {
		t.Errorf("got %v, %v", c.Target.ID, err)
	}
	if f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Minute}) {
		t.Error("a response of the previous incarnation started a back-off")
	}
}

// Guards against a Retry-After that ends before any target accepts requests, and against giving all
// callers the same one.
func TestRefusalWhileAllTargetsAreBackedOff(t *testing.T) {
	f := newServiceFixture(3)
	for i, wait := range []time.Duration{5, 2, 9} {
		f.balancer.BackOff(f.now, fmt.Sprint("t", i), targetstatus.Status{BackOff: wait * time.Second})
	}
	retryAfters := make(map[time.Duration]bool)
	for range 100 {
		_, err := f.choose()
		var none *NoTargetError
		if !errors.As(err, &none) {
			t.Fatalf("got %v", err)
		}
		if none.Reason != ReasonBackedOff || none.Target != "t1" || none.BackedOff != 3 {
			t.Fatalf("got %+v", none)
		}
		if none.RetryAfter < 2*time.Second || none.RetryAfter > 2*time.Second+targetstatus.Jitter(2*time.Second, 1)+retrySpread {
			t.Fatalf("RetryAfter is %s", none.RetryAfter)
		}
		retryAfters[none.RetryAfter] = true
	}
	if len(retryAfters) < 90 {
		t.Errorf("100 callers got %d different values of RetryAfter", len(retryAfters))
	}
}

// Guards against a burst when a back-off ends: all requests with the target's affinity keys would
// return at once.
func TestTargetRecoversGradually(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Second})
	f.now = f.now.Add(2 * time.Second)
	for _, want := range []int{1, 2, 4, 4} {
		var got []Choice
		for {
			c, err := f.choose()
			if err != nil || len(got) == 10 {
				break
			}
			got = append(got, c)
		}
		if len(got) < want || want < 4 && len(got) > want {
			t.Fatalf("%d requests in flight at once, want %d", len(got), want)
		}
		for i, c := range got {
			o := Dropped
			if i == 0 {
				o = Answered
			}
			f.done(c, o)
		}
	}
}

// Guards against boxes that were given the same back-off at the same moment and resume together.
func TestBoxesEndBackOffsAtDifferentTimes(t *testing.T) {
	ends := make(map[time.Duration]bool)
	now := time.Time{}.Add(time.Hour)
	for i := range 30 {
		b := New(Config{Box: fmt.Sprint("box", i), Zone: "z", Region: "r"})
		b.SetTargets(now, []Target{{ID: "t", Service: "s", Zone: "z", Region: "r", Slots: 4}})
		b.BackOff(now, "t", targetstatus.Status{BackOff: 3 * time.Second})
		left := b.byID["t"].backOff.Remaining(now)
		if left < 3*time.Second || left > 3300*time.Millisecond {
			t.Errorf("box %d backs off for %s", i, left)
		}
		ends[left] = true
	}
	if len(ends) < 29 {
		t.Errorf("30 boxes have %d different back-offs", len(ends))
	}
}

// Guards against back-offs that are reported twice or never, and against skipped requests that are
// not counted.
func TestBackOffIsReportedOnce(t *testing.T) {
	f := newServiceFixture(2)
	if !f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Second}) || f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: 2 * time.Second}) {
		t.Error("BackOff must report the start of a back-off exactly once")
	}
	skipped := 0
	for range 20 {
		c, err := f.choose()
		if err != nil {
			t.Fatal(err)
		}
		if c.Skipped == "t0" {
			skipped++
		}
		f.done(c, Answered)
	}
	if skipped == 0 || f.balancer.BackedOffCount(f.now) != 1 || len(f.balancer.EndedBackOffs(f.now)) != 0 {
		t.Errorf("%d skipped, %d backed off", skipped, f.balancer.BackedOffCount(f.now))
	}
	f.now = f.now.Add(3 * time.Second)
	ended := f.balancer.EndedBackOffs(f.now)
	if len(ended) != 1 || ended[0].Skipped != skipped || len(f.balancer.EndedBackOffs(f.now)) != 0 {
		t.Errorf("ended: %+v, skipped %d", ended, skipped)
	}
}

// Guards against a healthy target that receives nothing after a back-off for as long as one request
// to it is overdue.
func TestOverdueRequestDoesNotKeepATargetFromRecovering(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Second})
	f.now = f.now.Add(2 * time.Second)
	c, err := f.choose()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.choose(); err == nil {
		t.Fatal("a second request was sent while the target was recovering")
	}
	f.balancer.MarkOverdue(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second})
	f.now = f.now.Add(time.Minute)
	if _, err := f.choose(); err != nil {
		t.Errorf("no request is sent while another is overdue: %v", err)
	}
}
