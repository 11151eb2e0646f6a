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
	// phaseStep, the golden ratio, spreads successive delays evenly over the interval.
	phaseStep = 0.6180339887498949
)

// rate is a count with exponential decay.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) add(now time.Time) { r.count, r.at = r.countAt(now)+1, now }

func (r *rate) countAt(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.count * math.Exp2(-max(now.Sub(r.at), 0).Seconds()/rateHalfLife.Seconds())
}

// RecordRefusal counts a request of a service that the box refused for lack of slots.
func (c *Controller) RecordRefusal(now time.Time, service string) {
	c.service(service).refusals.add(now)
}

// RetryAfter returns when a caller whose request the box refused is asked to return. expected is
// when a slot is expected to be free, left how long the caller still waits. The callers of a
// service are spread over an interval that begins at expected and grows with the share of requests
// that were refused lately, up to the time for which they heed a Retry-After.
func (c *Controller) RetryAfter(now time.Time, service string, expected, left time.Duration) time.Duration {
	limit := time.Duration(maxDelayShare * float64(max(left, 0)))
	_, c.phase = math.Modf(c.phase + phaseStep)
	spread := c.phase * c.refusalShare(now, service) * float64(max(limit-expected, 0))
	return min(expected+time.Duration(spread), limit)
}

func (c *Controller) refusalShare(now time.Time, name string) float64 {
	s := c.service(name)
	requests := s.requests.countAt(now)
	if requests <= 0 {
		return 0
	}
	return min(s.refusals.countAt(now)/requests, 1)
}
