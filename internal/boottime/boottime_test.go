package boottime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// After five seconds of suspension the steady clock, by which the system went, said that
// no time had passed: what had run out still counted.
func TestSuspensionCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asleep time.Duration
		defer Simulate(func() time.Duration { return asleep })()
		before, steady := Now(), time.Now()
		deadline := before.Add(3 * time.Second)
		time.Sleep(time.Second)
		asleep += 5 * time.Second
		if got := Since(before); got != 6*time.Second {
			t.Errorf("%s have passed, want 6s", got)
		}
		if got := Until(deadline); got != -3*time.Second {
			t.Errorf("%s are left, want -3s", got)
		}
		if got := time.Since(steady); got != time.Second {
			t.Fatalf("the steady clock counted %s", got)
		}
		ctx, cancel := WithDeadline(context.Background(), deadline)
		defer cancel()
		if ctx.Err() == nil {
			t.Error("a context whose deadline has passed goes on")
		}
		ctx, cancel = context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if at, ok := Deadline(ctx); !ok || Until(at) != time.Second {
			t.Errorf("a context of one second ends in %s", Until(at))
		}
	})
}

// A context ends when its deadline passes in a suspension, at the next reading, and not
// when what was left by the steady clock is over.
func TestDeadlineEndsOnWaking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asleep time.Duration
		defer Simulate(func() time.Duration { return asleep })()
		ctx, cancel := WithDeadline(context.Background(), Now().Add(3*time.Second))
		defer cancel()
		later, cancelLater := WithDeadline(context.Background(), Now().Add(time.Minute))
		defer cancelLater()
		asleep = 5 * time.Second
		Now()
		if ctx.Err() == nil || context.Cause(ctx) != context.DeadlineExceeded {
			t.Errorf("after the suspension: %v", context.Cause(ctx))
		}
		if later.Err() != nil {
			t.Errorf("one whose deadline lies ahead: %v", context.Cause(later))
		}
		cancel()
		cancelLater()
		if n := len(machine.Load().deadlines.all); n != 0 {
			t.Errorf("%d deadlines are kept", n)
		}
	})
}

// A step of the time of day is no suspension, and what a busy process loses between two
// readings is none.
func TestOnlySuspensionsCount(t *testing.T) {
	reading := time.Duration(0)
	m := newMeter(func() time.Duration { return reading })
	now := time.Now()
	for _, c := range []struct {
		name    string
		now     time.Time
		reading time.Duration
		want    time.Duration
	}{
		{"at first", now, 0, 0},
		{"between looks", now.Add(time.Millisecond), 0, 0},
		{"a reading that was held up", now.Add(time.Second), -30 * time.Millisecond, 0},
		{"a suspension", now.Add(2 * time.Second), 5 * time.Second, 5 * time.Second},
		{"a reading that was held up after it", now.Add(3 * time.Second), 5*time.Second - 30*time.Millisecond, 5 * time.Second},
		{"a second one", now.Add(4 * time.Second), 7 * time.Second, 7 * time.Second},
	} {
		reading = c.reading
		if got := m.suspended(c.now); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}

// The clocks are compared as soon as the time of day is not where it was, which a
// suspension brings about, and not at each reading.
func TestSuspensionIsSeenAtOnce(t *testing.T) {
	looks := 0
	m := newMeter(func() time.Duration { looks++; return 0 })
	now := time.Now()
	m.suspended(now)
	at := looks
	m.suspended(now.Add(lookInterval / 2))
	if looks != at {
		t.Error("the clocks are compared although nothing speaks for a suspension")
	}
	m.gap.Add(-int64(5 * time.Second)) // as if the time of day had gone ahead
	m.suspended(now.Add(lookInterval / 2))
	if looks == at {
		t.Error("the time of day went ahead and the clocks were not compared")
	}
}

func TestClockIsTimeNowWithoutSuspension(t *testing.T) {
	if d := time.Until(Now()); d > time.Millisecond {
		t.Errorf("ahead by %s", d)
	}
}

// What a reading costs: time.Now, and Now as it is read between looks.
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
