package balance

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

func rejects(running, waiting int) targetstatus.Status {
	return targetstatus.Status{
		BackOff: time.Second, HasLoad: true, Load: targetstatus.Load{Running: running, Waiting: waiting, Slots: 4},
	}
}

// fill sends requests until none fits and returns how many did.
func (w *backOffWorld) fill(t *testing.T) (sent int) {
	t.Helper()
	var underWay []Choice
	for range 1000 {
		c, err := w.balancer.Choose(w.now, Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Hour})
		if err != nil {
			break
		}
		underWay = append(underWay, c)
	}
	for _, c := range underWay {
		w.done(c, Dropped)
	}
	return len(underWay)
}

// Guards against a queue that is filled to the end once more after a rejection showed how
// long it is, at that target and at the others of its service.
func TestTargetsAreNotFilledBeyondTheirRoom(t *testing.T) {
	w := newBackOffWorld(3)
	if got := w.fill(t); got != 1000 {
		t.Fatalf("%d requests fit where no room is known", got)
	}
	w.balancer.BackOff(w.now, "t0", rejects(4, 6))
	if got := w.fill(t); got != 2*10 {
		t.Errorf("%d requests fit at two targets with room for 10 each", got)
	}
	w.now = w.now.Add(time.Minute)
	w.balancer.BackOff(w.now, "t0", rejects(4, 6))
	w.now = w.now.Add(1200 * time.Millisecond)
	w.balancer.byID["t0"].backOff = targetstatus.BackOff{}
	if got := w.fill(t); got != 2*10+7 {
		t.Errorf("%d requests fit after a target rejected once more", got)
	}
	w.now = w.now.Add(time.Minute)
	if got := w.fill(t); got != 3*10 {
		t.Errorf("%d requests fit a minute later", got)
	}
}

// Guards against a target that rejects for another reason than want of room, and gets too
// little ever after.
func TestRejectionWithFreeSlotsTeachesNoRoom(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.BackOff(w.now, "t0", rejects(1, 0))
	if got := w.balancer.byID["t0"].room; got.requests > 0 {
		t.Errorf("learned %+v", got)
	}
}

// Guards against a room that is lower than what the target has.
func TestRoomFollowsTheLoadThatIsTold(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.BackOff(w.now, "t0", rejects(4, 2))
	w.now = w.now.Add(time.Minute)
	c, err := w.choose()
	if err != nil {
		t.Fatal(err)
	}
	w.balancer.Done(w.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, HasLoad: true, Load: targetstatus.Load{Running: 4, Waiting: 5, Slots: 4}})
	if got := fmt.Sprint(w.balancer.byID["t0"].room.requests); got != "9" {
		t.Errorf("room for %s requests", got)
	}
}
