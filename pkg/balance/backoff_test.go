package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// backOffWorld is a balancer with some targets of one service.
type backOffWorld struct {
	now      time.Time
	balancer *Balancer
}

func newBackOffWorld(targets int) *backOffWorld {
	w := &backOffWorld{now: time.Time{}.Add(time.Hour), balancer: New(Config{Box: "box", Zone: "z", Region: "r"})}
	var list []Target
	for i := range targets {
		list = append(list, Target{ID: fmt.Sprint("t", i), Service: "s", Zone: "z", Region: "r", Slots: 4})
	}
	w.balancer.SetTargets(w.now, list)
	return w
}

func (w *backOffWorld) choose() (Choice, error) {
	return w.balancer.Choose(w.now, Request{Service: "s", Route: "r", Objective: time.Second, Left: time.Second})
}

func (w *backOffWorld) done(c Choice, o Outcome) {
	w.balancer.Done(w.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: 20 * time.Millisecond})
}

// Guards against a target that is used before the end of the back-off that ends last, by
// answers in any order and of any kind.
func TestTargetIsNotChosenBeforeItsBackOffEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newBackOffWorld(3)
		until := make(map[string]time.Time)
		var underWay []Choice
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"choose", "answer", "backOff", "wait", "register"}).Draw(t, "step") {
			case "choose":
				c, err := w.choose()
				if err != nil {
					continue
				}
				if w.now.Before(until[c.Target.ID]) {
					t.Fatalf("%s is chosen %s before its back-off ends", c.Target.ID, until[c.Target.ID].Sub(w.now))
				}
				underWay = append(underWay, c)
			case "answer":
				if len(underWay) == 0 {
					continue
				}
				w.done(underWay[0], rapid.SampledFrom([]Outcome{Answered, TurnedAway, Broken, Dropped, Withdrawn, Stuck}).Draw(t, "outcome"))
				underWay = underWay[1:]
			case "backOff":
				id := fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target"))
				wait := time.Duration(rapid.IntRange(1, 5000).Draw(t, "wait")) * time.Millisecond
				w.balancer.BackOff(w.now, id, targetstatus.Status{BackOff: wait})
				if ends := w.now.Add(wait); ends.After(until[id]) {
					until[id] = ends
				}
			case "wait":
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "pause")) * time.Millisecond)
			case "register":
				w.balancer.ChangeTargets(w.now, []Target{{ID: "t0", Service: "s", Zone: "z", Region: "r", Slots: 4}}, nil)
			}
			for id, ends := range until {
				if w.now.Before(ends) && w.balancer.CanSend(w.now, id) {
					t.Fatalf("a request may be sent to %s before its back-off ends", id)
				}
			}
		}
	})
}

// Guards against a new incarnation that inherits the back-off of the one before.
func TestBackOffEndsWithTheIncarnation(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Minute})
	w.balancer.ChangeTargets(w.now, []Target{{ID: "t0/2", Name: "t0", Service: "s", Zone: "z", Region: "r", Slots: 4}}, []string{"t0"})
	if c, err := w.choose(); err != nil || c.Target.ID != "t0/2" {
		t.Errorf("got %v, %v", c.Target.ID, err)
	}
	if w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Minute}) {
		t.Error("an answer of the former incarnation begins a back-off")
	}
}

// Guards against callers that are told to come back before any target takes a request, or
// all at one moment.
func TestRefusalWhileAllTargetsAreBackedOff(t *testing.T) {
	w := newBackOffWorld(3)
	for i, wait := range []time.Duration{5, 2, 9} {
		w.balancer.BackOff(w.now, fmt.Sprint("t", i), targetstatus.Status{BackOff: wait * time.Second})
	}
	told := make(map[time.Duration]bool)
	for range 100 {
		_, err := w.choose()
		var none *NoTargetError
		if !errors.As(err, &none) {
			t.Fatalf("got %v", err)
		}
		if none.Reason != ReasonBackedOff || none.Target != "t1" || none.BackedOff != 3 {
			t.Fatalf("got %+v", none)
		}
		if none.RetryAfter < 2*time.Second || none.RetryAfter > 2*time.Second+targetstatus.Jitter(2*time.Second, 1)+limitedSpread {
			t.Fatalf("told to come back after %s", none.RetryAfter)
		}
		told[none.RetryAfter] = true
	}
	if len(told) < 90 {
		t.Errorf("100 callers were told %d times", len(told))
	}
}

// Guards against all requests of a target's objects returning at the moment at which its
// back-off ends.
func TestTargetRecoversGently(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Second})
	w.now = w.now.Add(2 * time.Second)
	for _, want := range []int{1, 2, 4, 4} {
		var got []Choice
		for {
			c, err := w.choose()
			if err != nil || len(got) == 10 {
				break
			}
			got = append(got, c)
		}
		if len(got) < want || want < 4 && len(got) > want {
			t.Fatalf("%d requests at once, want %d", len(got), want)
		}
		for i, c := range got {
			o := Dropped
			if i == 0 {
				o = Answered
			}
			w.done(c, o)
		}
	}
}

// Guards against boxes that a target told at one moment and that return at one moment.
func TestBoxesReturnApart(t *testing.T) {
	ends := make(map[time.Duration]bool)
	now := time.Time{}.Add(time.Hour)
	for i := range 30 {
		b := New(Config{Box: fmt.Sprint("box", i), Zone: "z", Region: "r"})
		b.SetTargets(now, []Target{{ID: "t", Service: "s", Zone: "z", Region: "r", Slots: 4}})
		b.BackOff(now, "t", targetstatus.Status{BackOff: 3 * time.Second})
		left := b.byID["t"].backOff.Remaining(now)
		if left < 3*time.Second || left > 3300*time.Millisecond {
			t.Errorf("box %d returns after %s", i, left)
		}
		ends[left] = true
	}
	if len(ends) < 29 {
		t.Errorf("30 boxes return at %d moments", len(ends))
	}
}

// Guards against back-offs that are reported twice or never, and against requests kept from
// a target that are not counted.
func TestBackOffIsReportedOnce(t *testing.T) {
	w := newBackOffWorld(2)
	if !w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Second}) || w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: 2 * time.Second}) {
		t.Error("a back-off begins once")
	}
	skipped := 0
	for range 20 {
		c, err := w.choose()
		if err != nil {
			t.Fatal(err)
		}
		if c.Skipped == "t0" {
			skipped++
		}
		w.done(c, Answered)
	}
	if skipped == 0 || w.balancer.BackedOff(w.now) != 1 || len(w.balancer.EndedBackOffs(w.now)) != 0 {
		t.Errorf("%d skipped, %d backed off", skipped, w.balancer.BackedOff(w.now))
	}
	w.now = w.now.Add(3 * time.Second)
	ended := w.balancer.EndedBackOffs(w.now)
	if len(ended) != 1 || ended[0].Skipped != skipped || len(w.balancer.EndedBackOffs(w.now)) != 0 {
		t.Errorf("ended: %+v, skipped %d", ended, skipped)
	}
}

// Guards against a sound target that gets nothing after a back-off for as long as one
// request to it is overdue.
func TestOverdueRequestDoesNotKeepATargetFromRecovering(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Second})
	w.now = w.now.Add(2 * time.Second)
	c, err := w.choose()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.choose(); err == nil {
		t.Fatal("a second request at once")
	}
	w.balancer.Overdue(w.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second})
	w.now = w.now.Add(time.Minute)
	if _, err := w.choose(); err != nil {
		t.Errorf("gets nothing beside an overdue request: %v", err)
	}
}
