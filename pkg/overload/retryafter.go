package overload

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the half-life of the counts of requests and refusals. It is shorter than the
	// bursts of one class, which last for 3 to 6 s, so that the spread follows them.
	rateHalfLife = 2 * time.Second
	// maxDelayShare is the share of the time that a caller has left for which it heeds a
	// Retry-After.
	maxDelayShare = 1.0 / 3
	// maxReturnShare is the share of the time until its objective after which a request that returns
	// can still be in time: a target that knows the object needs about half of the objective.
	maxReturnShare = 0.5
	// phaseStep, the golden ratio, spreads successive delays evenly over the interval.
	phaseStep = 0.6180339887498949
)

// RecordRefusal counts a request of a service that the box refused for lack of slots.
func (c *Controller) RecordRefusal(now time.Time, service string) {
	c.service(service).refusals.add(now, rateHalfLife)
}

// RetryAfter returns when a caller whose request the box refused is asked to return. expected is
// when a slot is expected to be free, remaining the time until the objective, left how long the
// caller still waits. The callers of a service are spread over an interval that begins at expected
// and grows with the share of requests that were refused lately. It ends where a returning request
// could no longer be in time; for one that can't be in time anyway, at the end of the time for which
// callers heed a Retry-After.
func (c *Controller) RetryAfter(now time.Time, service string, expected, remaining, left time.Duration) time.Duration {
	limit := maxDelay(left)
	end := time.Duration(maxReturnShare * float64(remaining))
	if end <= expected {
		end = limit
	}
	interval := time.Duration(c.refusalShare(now, service) * float64(max(min(end, limit)-expected, 0)))
	return min(expected+c.spread(interval), limit)
}

// maxDelay returns how long a caller that still waits for the time left may be delayed.
func maxDelay(left time.Duration) time.Duration {
	return time.Duration(maxDelayShare * float64(max(left, 0)))
}

// spread returns the next of a sequence of delays that are spread evenly over an interval.
func (c *Controller) spread(interval time.Duration) time.Duration {
	_, c.phase = math.Modf(c.phase + phaseStep)
	return time.Duration(c.phase * float64(interval))
}

func (c *Controller) refusalShare(now time.Time, name string) float64 {
	s := c.service(name)
	requests := s.requests.countAt(now, rateHalfLife)
	if requests <= 0 {
		return 0
	}
	return min(s.refusals.countAt(now, rateHalfLife)/requests, 1)
}
