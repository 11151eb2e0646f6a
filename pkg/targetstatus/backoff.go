package targetstatus

import "time"

const (
	// backOffJitter is the part of a back-off by which it is prolonged at most, and
	// longestJitter bounds that. Boxes that a target told at one moment return apart.
	backOffJitter = 0.1
	longestJitter = time.Second
	// firstRecovering is how many requests at once a target gets after a back-off, doubled
	// with each one that it runs.
	firstRecovering = 1
)

// Jitter returns by how much a back-off is prolonged; turn is between 0 and 1.
func Jitter(wait time.Duration, turn float64) time.Duration {
	most := min(time.Duration(backOffJitter*float64(wait)), longestJitter)
	return time.Duration(turn * float64(most))
}

// BackOff is what became of a target's requests that this box send it nothing for a time.
// Of several the one that ends last counts, in whatever order they come; an answer of
// another kind ends none. The zero value is that of a target that asked for none.
type BackOff struct {
	until      time.Time
	recovering int
}

// With returns what holds once the target asked for a back-off until a time.
func (b BackOff) With(until time.Time) BackOff {
	if until.After(b.until) {
		b.until = until
	}
	b.recovering = firstRecovering
	return b
}

// WithRun returns what holds once the target ran a request, of as many at once as it has
// slots.
func (b BackOff) WithRun(now time.Time, slots int) BackOff {
	if b.recovering == 0 || b.IsActive(now) {
		return b
	}
	b.recovering *= 2
	if b.recovering > slots {
		b.recovering = 0
	}
	return b
}

// IsActive reports whether the target is to get nothing.
func (b BackOff) IsActive(now time.Time) bool { return now.Before(b.until) }

// IsRecovering reports whether the target gets less than it has slots for, after a back-off.
func (b BackOff) IsRecovering() bool { return b.recovering > 0 }

// Remaining returns how much longer the target is to get nothing.
func (b BackOff) Remaining(now time.Time) time.Duration { return max(b.until.Sub(now), 0) }

// Allows reports whether the target may get one more request beside a number in flight.
func (b BackOff) Allows(now time.Time, inFlight int) bool {
	return !b.IsActive(now) && (b.recovering == 0 || inFlight < b.recovering)
}

// Limit returns how many of a number of requests the target may have in flight.
func (b BackOff) Limit(now time.Time, slots int) int {
	switch {
	case b.IsActive(now):
		return 0
	case b.recovering > 0:
		return min(slots, b.recovering)
	}
	return slots
}
