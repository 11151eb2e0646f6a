package balance

import (
	"testing"
	"time"
)

// Guards against a share of the wait that is ignored, and against another default than before.
func TestWaitShare(t *testing.T) {
	times := &serviceTimes{hit: 100 * time.Millisecond}
	for _, one := range []struct {
		share float64
		want  time.Duration
	}{{0, 375 * time.Millisecond}, {0.375, 187500 * time.Microsecond}, {-1, 0}} {
		if got := maxWait(Request{Remaining: 600 * time.Millisecond, WaitShare: one.share}, times); got != one.want {
			t.Errorf("with a share of %v a request may wait for %s, want %s", one.share, got, one.want)
		}
	}
	if got := maxWait(Request{Remaining: -time.Second}, times); got != 0 {
		t.Errorf("a late request may wait for %s", got)
	}
}

// Guards against a mean load that is too low until a box has had many responses: a box that has
// just started would take a saturated service for an unsaturated one.
func TestServiceLoadOfTheFirstResponses(t *testing.T) {
	f := newServiceFixture(1)
	if got := f.balancer.ServiceLoad("s"); got != 0 {
		t.Errorf("the load is %v before any response", got)
	}
	f.balancer.service("s").load.observe(2)
	f.balancer.service("s").load.observe(2)
	if got := f.balancer.ServiceLoad("s"); got < 1.999 || got > 2.001 {
		t.Errorf("the load is %v after two responses that report 2", got)
	}
}
