package balance

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against using a target for longer than leavingGrace after it first reported that it is
// leaving, even if it repeats the report, and against using it during a back-off.
func TestLeavingTargetIsUsedOnlyAsFallback(t *testing.T) {
	f := newServiceFixture(2)
	f.balancer.SetLeaving(f.now, "t0")
	for range 20 {
		c, err := f.choose()
		if err != nil || c.Target.ID != "t1" {
			t.Fatalf("got %s, %v", c.Target.ID, err)
		}
		f.done(c, Answered)
	}
	f.balancer.BackOff(f.now, "t1", targetstatus.Status{BackOff: time.Minute})
	c, err := f.choose()
	if err != nil || c.Target.ID != "t0" {
		t.Fatalf("got %s, %v", c.Target.ID, err)
	}
	f.done(c, Answered)
	f.now = f.now.Add(leavingGrace / 2)
	f.balancer.SetLeaving(f.now, "t0")
	f.now = f.now.Add(leavingGrace/2 + 1)
	if c, err := f.choose(); err == nil {
		t.Errorf("%s was chosen after its grace period", c.Target.ID)
	}
	f = newServiceFixture(1)
	f.balancer.SetLeaving(f.now, "t0")
	f.balancer.BackOff(f.now, "t0", targetstatus.Status{BackOff: time.Minute})
	if c, err := f.choose(); err == nil {
		t.Errorf("%s was chosen during its back-off", c.Target.ID)
	}
}

// Guards against a crash, or an unbounded queue, when more requests arrive than the leaving targets
// can serve.
func TestLeavingFallbackRefusesBeyondItsCapacity(t *testing.T) {
	f := newServiceFixture(1)
	f.balancer.SetLeaving(f.now, "t0")
	var got []Choice
	for range 100 {
		if c, err := f.choose(); err == nil {
			got = append(got, c)
		}
	}
	if len(got) < 4 || len(got) > 20 {
		t.Errorf("%d of 100 requests were sent to a target with 4 slots", len(got))
	}
}
