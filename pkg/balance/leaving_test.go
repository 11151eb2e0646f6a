package balance

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against a target that is used longer than leavingGrace after it said that it
// leaves, also where it says so again, and against one that is used while it is backed off.
func TestTargetThatLeavesIsALastResort(t *testing.T) {
	w := newBackOffWorld(2)
	w.balancer.SetLeaving(w.now, "t0")
	for range 20 {
		c, err := w.choose()
		if err != nil || c.Target.ID != "t1" {
			t.Fatalf("got %s, %v", c.Target.ID, err)
		}
		w.done(c, Answered)
	}
	w.balancer.BackOff(w.now, "t1", targetstatus.Status{BackOff: time.Minute})
	c, err := w.choose()
	if err != nil || c.Target.ID != "t0" {
		t.Fatalf("got %s, %v", c.Target.ID, err)
	}
	w.done(c, Answered)
	w.now = w.now.Add(leavingGrace / 2)
	w.balancer.SetLeaving(w.now, "t0")
	w.now = w.now.Add(leavingGrace/2 + 1)
	if c, err := w.choose(); err == nil {
		t.Errorf("%s is chosen after its time", c.Target.ID)
	}
	w = newBackOffWorld(1)
	w.balancer.SetLeaving(w.now, "t0")
	w.balancer.BackOff(w.now, "t0", targetstatus.Status{BackOff: time.Minute})
	if c, err := w.choose(); err == nil {
		t.Errorf("%s is chosen while it is backed off", c.Target.ID)
	}
}

// Guards against a crash, or a queue, where more requests come than the last targets serve.
func TestLastResortThatIsFull(t *testing.T) {
	w := newBackOffWorld(1)
	w.balancer.SetLeaving(w.now, "t0")
	var got []Choice
	for range 100 {
		if c, err := w.choose(); err == nil {
			got = append(got, c)
		}
	}
	if len(got) < 4 || len(got) > 20 {
		t.Errorf("%d of 100 requests were sent to 4 slots", len(got))
	}
}
