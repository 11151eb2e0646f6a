package admission

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

func rateLimitUpdate(target string, perSecond float64, now time.Time) TargetUpdate {
	return TargetUpdate{target, targetstatus.Update{Incarnation: target, Limit: perSecond, Sent: now, Received: now}}
}

// loadFixture is a pool with a clock that counts the grants of each target and records the
// refusals.
type loadFixture struct {
	pool    *Pool
	now     time.Time
	id      uint64
	granted map[string]int
	refused []time.Duration
}

func newLoadFixture(count int) *loadFixture {
	f := &loadFixture{pool: NewPool(1), now: start, granted: make(map[string]int)}
	f.handle(Configure{config(5), targets(count)})
	f.handle(SetLease{start.Add(time.Hour)})
	return f
}

func (f *loadFixture) handle(e Event) {
	out := f.pool.Handle(f.now, e)
	for _, g := range out.Grants {
		f.granted[g.Target]++
		f.pool.Handle(f.now, Finish{ID: g.ID, Result: Succeeded, Latency: 10 * time.Millisecond})
	}
	for _, r := range out.Refusals {
		f.refused = append(f.refused, r.RetryAfter)
	}
}

// sendRequests sends a request every 10 ms, each of which ends at once.
func (f *loadFixture) sendRequests(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		f.id++
		f.handle(Arrive{ID: f.id, Class: Unrepeatable, Deadline: f.now.Add(time.Second)})
	}
}

// A rate-limited target gets nearly all of its limit, other targets get the rest, and once the limit
// is withdrawn the target gets its share again.
func TestRequestsBeyondALimitGoToOtherTargets(t *testing.T) {
	f := newLoadFixture(3)
	f.handle(rateLimitUpdate("t0", 5, f.now))
	f.sendRequests(10 * time.Second)
	if got := f.granted["t0"]; got < 44 || got > 55 { // the bucket starts empty
		t.Errorf("a target with a limit of 5 per second got %d requests in 10 s", got)
	}
	if len(f.refused) > 0 {
		t.Errorf("%d requests were refused although the other targets have free slots", len(f.refused))
	}
	f.handle(rateLimitUpdate("t0", targetstatus.NoLimit, f.now))
	clear(f.granted)
	f.sendRequests(10 * time.Second)
	if got := f.granted["t0"]; got < 200 {
		t.Errorf("t0 got %d of 1000 requests after its limit was withdrawn, want at least 200", got)
	}
}

// Guards against tokens saved from an earlier limit: a limit that is reported again starts with an
// empty bucket.
func TestLimitReportedAgainStartsWithEmptyBucket(t *testing.T) {
	f := newLoadFixture(1)
	f.handle(rateLimitUpdate("t0", 100, f.now))
	f.now = f.now.Add(time.Minute)
	f.handle(Tick{})
	f.pool.freeSlots(f.now)
	f.handle(rateLimitUpdate("t0", targetstatus.NoLimit, f.now))
	f.handle(rateLimitUpdate("t0", 100, f.now))
	if n := f.pool.freeSlots(f.now); n != 0 {
		t.Errorf("%d requests may be granted at once, want 0", n)
	}
}

// If all targets have rate limits, requests beyond them are refused at once, with a Retry-After by
// which there is capacity.
func TestPoolOfLimitedTargetsRefusesAtOnce(t *testing.T) {
	f := newLoadFixture(2)
	f.handle(rateLimitUpdate("t0", 2, f.now))
	f.handle(rateLimitUpdate("t1", 2, f.now))
	f.sendRequests(10 * time.Second)
	if got := f.granted["t0"] + f.granted["t1"]; got < 34 || got > 44 {
		t.Errorf("targets with limits of 4 per second in total got %d requests in 10 s", got)
	}
	if len(f.refused) < 950 {
		t.Errorf("%d of 1000 requests were refused, want at least 950", len(f.refused))
	}
	for _, after := range f.refused {
		if after < 250*time.Millisecond {
			t.Fatalf("RetryAfter is %s, but one request is granted every 278 ms", after)
		}
	}
}

// Health checks count as requests: a rate-limited target is checked at no more than a tenth of its
// limit.
func TestHealthChecksOfLimitedTargetAreLimited(t *testing.T) {
	f := newLoadFixture(2)
	f.handle(rateLimitUpdate("t0", 2, f.now))
	checks := make(map[string]int)
	for range 1000 {
		f.now = f.now.Add(20 * time.Millisecond)
		for _, name := range f.pool.DueHealthChecks(f.now) {
			checks[name]++
		}
	}
	if checks["t0"] < 3 || checks["t0"] > 4 || checks["t1"] != 1000 {
		t.Errorf("got %v health checks in 20 s, want 3 or 4 of t0 and 1000 of t1", checks)
	}
}
