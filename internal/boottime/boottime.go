// Package boottime tells the time by a clock that counts the seconds for which the
// machine was suspended and that does not step.
//
// Time of this language rests on the steady clock, which stands still while a machine is
// suspended: a lease or a permit that ran out meanwhile would still count, and word of
// control would look as fresh as before. The time of day counts those seconds, but it
// steps. CLOCK_BOOTTIME counts them and does not step; Now is the steady clock with what
// CLOCK_BOOTTIME is ahead of it since the process started. Without a suspension it is
// time.Now.
//
// Times of Now compare with each other only: Since and Until go with it, and WithDeadline
// turns one into a deadline of a context. Timers and other contexts still rest on the
// steady clock, so they end late by at most what was left of them when the machine was
// suspended; what they lead to is decided by Now.
package boottime

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// leastSuspension is the shortest suspension that counts. Between two readings of
	// clocks a busy process may stand still for a tenth of this.
	leastSuspension = 10 * time.Millisecond
	// lookInterval is how often the clocks are compared at least. A look takes three
	// system calls; in between a suspension shows itself at once by the time of day,
	// which time.Now reads anyway, unless the time of day steps back by as much.
	lookInterval = 250 * time.Millisecond
	// firstLooks is how often the clocks are compared at the start.
	firstLooks = 3
)

// meter measures for how long the machine was suspended.
type meter struct {
	// ahead returns how far CLOCK_BOOTTIME is ahead of the steady clock, never too much.
	ahead func() time.Duration
	// always has the clocks compared at each reading.
	always bool

	origin time.Time
	// lost is for how long the machine was suspended since the start. gap is what the
	// time of day was ahead of the steady clock at the last look, and at when that was by
	// the steady clock; all in nanoseconds since the start.
	lost atomic.Int64
	gap  atomic.Int64
	at   atomic.Int64

	mu    sync.Mutex
	first time.Duration
	// deadlines are the contexts of WithDeadline that have not ended.
	deadlines deadlineSet
}

func newMeter(ahead func() time.Duration) *meter {
	m := &meter{ahead: ahead, origin: time.Now(), deadlines: deadlineSet{all: make(map[*deadline]bool)}}
	m.first = ahead()
	for range firstLooks - 1 {
		m.first = max(m.first, ahead())
	}
	return m
}

// suspended returns for how long the machine was suspended, as of a reading of time.Now.
func (m *meter) suspended(now time.Time) time.Duration {
	steady := int64(now.Sub(m.origin))
	gap := now.UnixNano() - m.origin.UnixNano() - steady
	if !m.always && near(gap, m.gap.Load()) && steady-m.at.Load() < int64(lookInterval) {
		return time.Duration(m.lost.Load())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gap.Store(gap)
	m.at.Store(steady)
	if lost := m.ahead() - m.first; lost-time.Duration(m.lost.Load()) >= leastSuspension {
		m.lost.Store(int64(lost))
		m.deadlines.wake(now.Add(lost))
	}
	return time.Duration(m.lost.Load())
}

func near(a, b int64) bool {
	return a-b < int64(leastSuspension) && b-a < int64(leastSuspension)
}

var machine atomic.Pointer[meter]

func init() { machine.Store(newMeter(ahead)) }

// Clock tells the time of one machine. The nil clock is that of the machine at hand; a test
// gives others to hosts that it suspends by themselves.
type Clock struct{ meter *meter }

// NewClock returns the clock of a machine of a test, which says for how long that was
// suspended; the time must not shrink.
func NewClock(suspended func() time.Duration) *Clock {
	m := newMeter(suspended)
	m.always = true
	return &Clock{m}
}

func (c *Clock) measure() *meter {
	if c == nil {
		return machine.Load()
	}
	return c.meter
}

// Now returns the present time. Its time of day is that of time.Now plus all suspensions,
// so it is not to be shown to anyone.
func (c *Clock) Now() time.Time {
	now := time.Now()
	return now.Add(c.measure().suspended(now))
}

// Since returns the time that has passed since a time of Now.
func (c *Clock) Since(t time.Time) time.Duration { return c.Now().Sub(t) }

// Until returns the time that is left until a time of Now.
func (c *Clock) Until(t time.Time) time.Duration { return t.Sub(c.Now()) }

// Suspended returns for how long the machine was suspended since the process started.
func (c *Clock) Suspended() time.Duration { return c.measure().suspended(time.Now()) }

// WithDeadline returns a context that ends at a time of Now. If that passes while the
// machine is suspended, it ends with the first reading of Now after that, with the cause
// context.DeadlineExceeded. Its cancel function must be called.
func (c *Clock) WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	ctx, stop := context.WithTimeout(ctx, c.Until(t))
	d := &deadline{t, cancel}
	all := &c.measure().deadlines
	all.add(d)
	return ctx, func() {
		all.remove(d)
		stop()
		cancel(nil)
	}
}

// Now is that of the machine at hand, as Since, Until, Suspended and WithDeadline are.
func Now() time.Time { return (*Clock)(nil).Now() }

// Since is Clock.Since of the machine at hand.
func Since(t time.Time) time.Duration { return (*Clock)(nil).Since(t) }

// Until is Clock.Until of the machine at hand.
func Until(t time.Time) time.Duration { return (*Clock)(nil).Until(t) }

// Suspended is Clock.Suspended of the machine at hand.
func Suspended() time.Duration { return (*Clock)(nil).Suspended() }

// WithDeadline is Clock.WithDeadline of the machine at hand.
func WithDeadline(ctx context.Context, t time.Time) (context.Context, context.CancelFunc) {
	return (*Clock)(nil).WithDeadline(ctx, t)
}

// deadline is a context that has not been cancelled.
type deadline struct {
	at  time.Time
	end context.CancelCauseFunc
}

// deadlineSet are the contexts of WithDeadline.
type deadlineSet struct {
	mu  sync.Mutex
	all map[*deadline]bool
}

func (s *deadlineSet) add(d *deadline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all[d] = true
}

func (s *deadlineSet) remove(d *deadline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.all, d)
}

// wake ends the contexts whose time has passed.
func (s *deadlineSet) wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for d := range s.all {
		if !now.Before(d.at) {
			d.end(context.DeadlineExceeded)
		}
	}
}

// Deadline returns when a context ends as a time of Now.
func (c *Clock) Deadline(ctx context.Context) (t time.Time, ok bool) {
	at, ok := ctx.Deadline()
	if !ok {
		return t, false
	}
	return c.Now().Add(time.Until(at)), true
}

// Deadline is Clock.Deadline of the machine at hand.
func Deadline(ctx context.Context) (t time.Time, ok bool) { return (*Clock)(nil).Deadline(ctx) }

// Simulate has a test say for how long the machine was suspended, which must not shrink.
// It returns what ends that.
func Simulate(suspended func() time.Duration) (end func()) {
	before := machine.Load()
	m := newMeter(suspended)
	m.always = true
	machine.Store(m)
	return func() { machine.Store(before) }
}
