package targetstatus

import "time"

const (
	// backOffJitter is the fraction by which a back-off is extended at most, and maxJitter an
	// absolute bound on the extension. Boxes that a target told to back off at the same moment
	// return at different times.
	backOffJitter = 0.1
	maxJitter     = time.Second
	// initialRecoveryLimit is how many concurrent requests a target gets after a back-off.
	// The number doubles with each request that it runs.
	initialRecoveryLimit = 1
)

// Jitter returns by how much to extend a back-off; turn is between 0 and 1.
func Jitter(wait time.Duration, turn float64) time.Duration {
	maxExtension := min(time.Duration(backOffJitter*float64(wait)), maxJitter)
	return time.Duration(turn * float64(maxExtension))
}

// BackOff is the state of the back-offs that a target asked this box for. Of several the
// one that ends last counts, in whatever order they arrive; a response without a back-off
// ends none. The zero value means that the target asked for no back-off.
type BackOff struct {
	until         time.Time
	recoveryLimit int
}

// With returns the state after the target asked for a back-off until a time.
func (b BackOff) With(until time.Time) BackOff {
	if until.After(b.until) {
		b.until = until
	}
	b.recoveryLimit = initialRecoveryLimit
	return b
}

// WithRun returns the state after the target ran a request; slots is how many it runs
// concurrently.
func (b BackOff) WithRun(now time.Time, slots int) BackOff {
	if b.recoveryLimit == 0 || b.IsActive(now) {
		return b
	}
	b.recoveryLimit *= 2
	if b.recoveryLimit > slots {
		b.recoveryLimit = 0
	}
	return b
}

// IsActive reports whether the target must get no requests.
func (b BackOff) IsActive(now time.Time) bool { return now.Before(b.until) }

// IsRecovering reports whether the target gets fewer requests than it has slots, after a
// back-off.
func (b BackOff) IsRecovering() bool { return b.recoveryLimit > 0 }

// Remaining returns how much longer the target must get no requests.
func (b BackOff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Allows reports whether the target may get one more request in addition to those in
// flight.
func (b BackOff) Allows(now time.Time, inFlight int) bool {
	return !b.IsActive(now) && (b.recoveryLimit == 0 || inFlight < b.recoveryLimit)
}

// Limit returns how many requests the target may have in flight, at most slots.
func (b BackOff) Limit(now time.Time, slots int) int {
	switch {
	case b.IsActive(now):
		return 0
	case b.recoveryLimit > 0:
		return min(slots, b.recoveryLimit)
	}
	return slots
}
