// Package boottime provides a clock that counts the time for which the machine was
// suspended and that never steps.
//
// Package time measures durations by the monotonic clock (the steady clock, in markers of
// this project's code), which stops while a machine is suspended: a lease or permit that
// expired meanwhile would still count, and the control age would not have grown. The wall
// clock counts that time, but it steps. CLOCK_BOOTTIME counts it and does not step. Now
// is the monotonic clock plus what CLOCK_BOOTTIME has gained on it since the process
// started; without a suspension it equals time.Now.
//
// Times of Now may be compared with each other only: use Since and Until with them, and
// WithDeadline to turn one into a deadline of a context. Timers and other contexts still
// use the monotonic clock, so that after a suspension they fire late by at most the time
// that was left of them; what they trigger must decide by Now.
package boottime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minSuspension is the shortest suspension that counts. A busy process may be
	// stopped between two clock readings for a tenth of this.
	minSuspension = 10 * time.Millisecond
	// compareInterval is the maximum time between two comparisons of the clocks. A
	// comparison takes three system calls. In between, a suspension is detected at once
	// from the wall clock, which time.Now reads anyway, unless that was set back by as much.
	compareInterval = 250 * time.Millisecond
	// initialReadings is the number of clock comparisons at the start.
	initialReadings = 3
)

// suspensionMeter measures how long the machine was suspended.
type suspensionMeter struct {
	// offset returns how far CLOCK_BOOTTIME is ahead of the monotonic clock; never too much.
	offset func() time.Duration
	// alwaysCompare makes each reading compare the clocks.
	alwaysCompare bool

	origin time.Time
	// total is how long the machine was suspended since the start. wallOffset is how far
	// the wall clock had gained on the monotonic clock at the last comparison, and
	// comparedAt when that was by the monotonic clock. All are nanoseconds since the start.
	total      atomic.Int64
	wallOffset atomic.Int64
	comparedAt atomic.Int64

	mu            sync.Mutex
	initialOffset time.Duration
	// deadlines are the contexts of WithDeadline that have not ended.
	deadlines deadlineSet
}

func newSuspensionMeter(offset func() time.Duration) *suspensionMeter {
	m := &suspensionMeter{offset: offset, origin: time.Now(), deadlines: deadlineSet{contexts: make(map[*deadline]bool)}}
	m.initialOffset = offset()
	for range initialReadings - 1 {
		m.initialOffset = max(m.initialOffset, offset())
	}
	return m
}

// suspended returns how long the machine was suspended until a time of time.Now.
func (m *suspensionMeter) suspended(now time.Time) time.Duration {
	monotonic := int64(now.Sub(m.origin))
	wallOffset := now.UnixNano() - m.origin.UnixNano() - monotonic
	if !m.alwaysCompare && almostEqual(wallOffset, m.wallOffset.Load()) && monotonic-m.comparedAt.Load() < int64(compareInterval) {
		return time.Duration(m.total.Load())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.wallOffset.Store(wallOffset)
	m.comparedAt.Store(monotonic)
	if total := m.offset() - m.initialOffset; total-time.Duration(m.total.Load()) >= minSuspension {
		m.total.Store(int64(total))
		m.deadlines.wake(now.Add(total))
	}
	return time.Duration(m.total.Load())
}

func almostEqual(a, b int64) bool {
	return a-b < int64(minSuspension) && b-a < int64(minSuspension)
}

var hostMeter atomic.Pointer[suspensionMeter]

func init() { hostMeter.Store(newSuspensionMeter(bootOffset)) }

// Clock is the clock of one machine. The nil clock is that of the local machine; tests
// use others for simulated hosts that are suspended independently.
type Clock struct{ meter *suspensionMeter }

// NewClock returns the clock of a simulated machine. The function returns how long that
// was suspended, which must not decrease.
func NewClock(suspended func() time.Duration) *Clock {
	m := newSuspensionMeter(suspended)
	m.alwaysCompare = true
	return &Clock{m}
}

func (c *Clock) suspensions() *suspensionMeter {
	if c == nil {
		return hostMeter.Load()
	}
	return c.meter
}

// Now returns the current time. Its wall clock time is that of time.Now plus all
// suspensions, so it must not be shown to anyone.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.suspensions().suspended(now))
}

// Since returns the time since a time of Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time until a time of Now.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns how long the machine was suspended since the process started.
func (c *Clock) Suspended() time.Duration { return c.suspensions().suspended(time.Now()) }

// WithDeadline returns a context that ends at a time of Now. If that passes during a
// suspension, the context is cancelled by the first call of Now after it, with the cause
// context.DeadlineExceeded. Its cancel function must be called.
func (c *Clock) WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithTimeout(ctx, c.Until(t))
	d := &deadline{t, cancel}
	deadlines := &c.suspensions().deadlines
	deadlines.add(d)
	return ctx, func() {
		deadlines.remove(d)
		stop()
		cancel(nil)
	}
}

// Now is Clock.Now of the local machine.
func Now() time.Time { return (*Clock)(nil).Now() }

// Since is Clock.Since of the local machine.
func Since(t time.Time) time.Duration { return (*Clock)(nil).Since(t) }

// Until is Clock.Until of the local machine.
func Until(t time.Time) time.Duration { return (*Clock)(nil).Until(t) }

// Suspended is Clock.Suspended of the local machine.
func Suspended() time.Duration { return (*Clock)(nil).Suspended() }

// WithDeadline is Clock.WithDeadline of the local machine.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	return (*Clock)(nil).WithDeadline(ctx, t)
}

// deadline is a context of WithDeadline that was not cancelled by its caller.
type deadline struct {
	at     time.Time
	cancel context.CancelCauseFunc
}

// deadlineSet holds the contexts of WithDeadline.
type deadlineSet struct {
	mu       sync.Mutex
	contexts map[*deadline]bool
}

func (s *deadlineSet) add(d *deadline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contexts[d] = true
}

func (s *deadlineSet) remove(d *deadline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.contexts, d)
}

// wake cancels the contexts whose deadline has passed.
func (s *deadlineSet) wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.contexts {
		if !now.Before(d.at) {
			d.cancel(context.DeadlineExceeded)
		}
	}
}

// Deadline returns the deadline of a context as a time of Now.
func (c *Clock) Deadline(ctx context.Context) (t time.Time, ok bool) {
	at, ok := ctx.Deadline()
	if !ok {
		return t, false
	}
	return c.Now().Add(time.Until(at)), true
}

// Deadline is Clock.Deadline of the local machine.
func Deadline(ctx context.Context) (t time.Time, ok bool) { return (*Clock)(nil).Deadline(ctx) }

// Simulate makes a function return how long the local machine was suspended, which must
// not decrease. It is for tests; the returned function restores the real clock.
func Simulate(suspended func() time.Duration) (restore func()) {
	original := hostMeter.Load()
	m := newSuspensionMeter(suspended)
	m.alwaysCompare = true
	hostMeter.Store(m)
	return func() { hostMeter.Store(original) }
}
