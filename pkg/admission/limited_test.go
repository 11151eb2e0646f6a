package admission

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

func named(target string, perSecond float64, now time.Time) TargetUpdate {
	return TargetUpdate{target, targetstatus.Update{Incarnation: target, Limit: perSecond, Sent: now, Received: now}}
}

// limitedPool is a pool that is asked for more than its targets' limits for a time.
type limitedPool struct {
	pool    *Pool
	now     time.Time
	id      uint64
	granted map[string]int
	refused []time.Duration
}

func newLimitedPool(count int) *limitedPool {
	l := &limitedPool{pool: NewPool(1), now: start, granted: make(map[string]int)}
	l.handle(Configure{config(5), targets(count)})
	l.handle(SetLease{start.Add(time.Hour)})
	return l
}

func (l *limitedPool) handle(e Event) {
	out := l.pool.Handle(l.now, e)
	for _, g := range out.Grants {
		l.granted[g.Target]++
		l.pool.Handle(l.now, Finish{ID: g.ID, Result: Succeeded, Latency: 10 * time.Millisecond})
	}
	for _, r := range out.Refusals {
		l.refused = append(l.refused, r.RetryAfter)
	}
}

// load has a request come each 10 ms, which ends at once.
func (l *limitedPool) load(length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); l.now = l.now.Add(10 * time.Millisecond) {
		l.id++
		l.handle(Arrive{ID: l.id, Class: Unrepeatable, Deadline: l.now.Add(time.Second)})
	}
}

func TestLimitedTargetGetsItsLimitAndTheOthersTheRest(t *testing.T) {
	l := newLimitedPool(3)
	l.handle(named("t0", 5, l.now))
	l.load(10 * time.Second)
	if got := l.granted["t0"]; got < 44 || got > 55 { // its bucket begins empty
		t.Errorf("the target that names 5 a second got %d requests in 10 s", got)
	}
	if len(l.refused) > 0 {
		t.Errorf("%d requests were refused, the other targets have room", len(l.refused))
	}
	l.handle(named("t0", targetstatus.NoLimit, l.now))
	clear(l.granted)
	l.load(10 * time.Second)
	if got := l.granted["t0"]; got < 200 {
		t.Errorf("after its limit was taken back it got %d of 1000 requests", got)
	}
}

// A limit that is named again begins with nothing saved up.
func TestLimitNamedAgainBeginsEmpty(t *testing.T) {
	l := newLimitedPool(1)
	l.handle(named("t0", 100, l.now))
	l.now = l.now.Add(time.Minute)
	l.handle(Tick{})
	l.pool.free(l.now)
	l.handle(named("t0", targetstatus.NoLimit, l.now))
	l.handle(named("t0", 100, l.now))
	if n := l.pool.free(l.now); n != 0 {
		t.Errorf("%d requests may be granted at once", n)
	}
}

// Where all targets name limits, what lies beyond is refused at once, with the time after
// which there is room.
func TestPoolOfLimitedTargetsRefusesAtOnce(t *testing.T) {
	l := newLimitedPool(2)
	l.handle(named("t0", 2, l.now))
	l.handle(named("t1", 2, l.now))
	l.load(10 * time.Second)
	if got := l.granted["t0"] + l.granted["t1"]; got < 34 || got > 44 {
		t.Errorf("targets that name 4 a second got %d requests in 10 s", got)
	}
	if len(l.refused) < 950 {
		t.Errorf("%d of 1000 requests were refused", len(l.refused))
	}
	for _, after := range l.refused {
		if after < 250*time.Millisecond {
			t.Fatalf("told to come back after %s, a request runs each 278 ms", after)
		}
	}
}

// A check is a request: a limited target is checked at a tenth of its limit at most.
func TestLimitedTargetIsCheckedSeldom(t *testing.T) {
	l := newLimitedPool(2)
	l.handle(named("t0", 2, l.now))
	checks := make(map[string]int)
	for range 1000 {
		l.now = l.now.Add(20 * time.Millisecond)
		for _, name := range l.pool.DueHealthChecks(l.now) {
			checks[name]++
		}
	}
	if checks["t0"] < 3 || checks["t0"] > 4 || checks["t1"] != 1000 {
		t.Errorf("checks in 20 s: %v", checks)
	}
}
