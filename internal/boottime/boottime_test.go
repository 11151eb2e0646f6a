package boottime

import (
	"context"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

// Guards against what expired during a suspension and still counts: after five seconds of
// suspension the monotonic clock says that no time has passed.
func TestClockIncludesSuspension(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var suspended time.Duration
		defer Simulate(func() time.Duration { return suspended })()
		before, monotonic := Now(), time.Now()
		deadline := before.Add(3 * time.Second)
		time.Sleep(time.Second)
		suspended += 5 * time.Second
		if got := Since(before); got != 6*time.Second {
			t.Errorf("%s have passed, want 6s", got)
		}
		if got := Until(deadline); got != -3*time.Second {
			t.Errorf("%s are left, want -3s", got)
		}
		if got := time.Since(monotonic); got != time.Second {
			t.Fatalf("the monotonic clock counted %s, want 1s", got)
		}
		ctx, cancel := WithDeadline(context.Background(), deadline)
		defer cancel()
		if ctx.Err() == nil {
			t.Error("a context whose deadline has passed was not cancelled")
		}
		ctx, cancel = context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if at, ok := Deadline(ctx); !ok || Until(at) != time.Second {
			t.Errorf("a context with a timeout of 1s ends in %s", Until(at))
		}
	})
}

// A context whose deadline passes during a suspension must end at the next reading, not
// when the time that was left by the monotonic clock is over.
func TestDeadlinePassesDuringSuspension(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var suspended time.Duration
		defer Simulate(func() time.Duration { return suspended })()
		ctx, cancel := WithDeadline(context.Background(), Now().Add(3*time.Second))
		defer cancel()
		later, cancelLater := WithDeadline(context.Background(), Now().Add(time.Minute))
		defer cancelLater()
		suspended = 5 * time.Second
		Now()
		if ctx.Err() == nil || context.Cause(ctx) != context.DeadlineExceeded {
			t.Errorf("cause after the suspension: %v", context.Cause(ctx))
		}
		if later.Err() != nil {
			t.Errorf("cause of a context with a later deadline: %v", context.Cause(later))
		}
		cancel()
		cancelLater()
		if n := len(hostMeter.Load().deadlines.contexts); n != 0 {
			t.Errorf("%d deadlines are kept, want none", n)
		}
	})
}

// Suspensions add up. A process that is stopped for a moment between the readings of the two
// clocks, as a busy one may be, must not count that as a suspension.
func TestDelayedReadingIsNoSuspension(t *testing.T) {
	reading := time.Duration(0)
	m := newSuspensionMeter(func() time.Duration { return reading })
	now := time.Now()
	for _, c := range []struct {
		name    string
		now     time.Time
		reading time.Duration
		want    time.Duration
	}{
		{"at first", now, 0, 0},
		{"between comparisons", now.Add(time.Millisecond), 0, 0},
		{"a delayed reading", now.Add(time.Second), -30 * time.Millisecond, 0},
		{"a suspension", now.Add(2 * time.Second), 5 * time.Second, 5 * time.Second},
		{"a delayed reading after it", now.Add(3 * time.Second), 5*time.Second - 30*time.Millisecond, 5 * time.Second},
		{"a second one", now.Add(4 * time.Second), 7 * time.Second, 7 * time.Second},
	} {
		reading = c.reading
		if got := m.suspended(c.now); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// The clocks are compared as soon as the wall clock differs from what is expected, as it
// does after a suspension, and not at each reading.
func TestWallClockJumpTriggersComparison(t *testing.T) {
	comparisons := 0
	m := newSuspensionMeter(func() time.Duration { comparisons++; return 0 })
	now := time.Now()
	m.suspended(now)
	at := comparisons
	m.suspended(now.Add(compareInterval / 2))
	if comparisons != at {
		t.Error("the clocks were compared without a sign of a suspension")
	}
	m.wallOffset.Add(-int64(5 * time.Second)) // as if the wall clock had gone ahead
	m.suspended(now.Add(compareInterval / 2))
	if comparisons == at {
		t.Error("the wall clock went ahead and the clocks were not compared")
	}
}

func TestNowEqualsTimeNowWithoutSuspension(t *testing.T) {
	if d := time.Until(Now()); d > time.Millisecond {
		t.Errorf("ahead by %s", d)
	}
}

// BenchmarkNow compares the cost of time.Now with that of Now between comparisons.
func BenchmarkNow(b *testing.B) {
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			_ = time.Now()
		}
	})
	b.Run("boottime", func(b *testing.B) {
		for b.Loop() {
			_ = Now()
		}
	})
}
