package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retrySpread is the interval over which the retries of callers that found no usable target are
	// spread. Capacity that becomes free within it serves some of them.
	retrySpread = time.Second
	// phaseStep is the fractional part of the golden ratio. Phases advanced by it are spread evenly
	// for any number of steps, since each falls into the widest gap.
	phaseStep = 0.6180339887
)

// SetLimited sets whether a target reports a rate limit that all boxes share.
func (b *Balancer) SetLimited(id string, limited bool) {
	t := b.byID[id]
	if t == nil {
		return
	}
	t.limited = limited
	if !limited {
		t.throttledUntil = time.Time{}
	}
}

// ThrottleUntil takes back a choice for which no permit was granted: the request is not sent, and
// this box sends the target no other until the given time. In the meantime requests whose home
// target it is go to the target that ranks next.
func (b *Balancer) ThrottleUntil(now time.Time, id string, until time.Time) {
	t := b.byID[id]
	if t == nil {
		return
	}
	t.recordEnd(false)
	b.recordVersionNotSent(t)
	if t.isCold(now) {
		t.tokens++
	}
	t.throttledUntil = until
}

// availability is when a service without a usable target may have one again, which target that is,
// and why it is not usable now.
type availability struct {
	target *targetState
	wait   time.Duration
	reason string
	// backedOff is the number of targets that this box is backing off from.
	backedOff int
}

// nextAvailable returns the target that may first be usable again among those that are full,
// rate-limited or backed off. ok is false if there is none that the request may use.
func (b *Balancer) nextAvailable(now time.Time, s *service, r Request) (next availability, ok bool) {
	r.ExcludeLimited = false
	for _, t := range s.targets {
		if !r.allows(t) || !b.isAvailable(now, t) {
			continue
		}
		wait, reason := b.timeUntilAvailable(now, s, t)
		if t.isBackedOff(now) {
			next.backedOff++
		}
		if reason != "" && (!ok || wait < next.wait) {
			next.target, next.wait, next.reason, ok = t, wait, reason, true
		}
	}
	return next, ok
}

// timeUntilAvailable returns how long it takes until the target may accept a request, and why it
// does not now. The reason is empty if nothing is known to prevent it.
func (b *Balancer) timeUntilAvailable(now time.Time, s *service, t *targetState) (wait time.Duration, reason string) {
	if !b.hasCapacity(now, t) {
		wait, reason = s.meanTime/time.Duration(max(t.Slots, 1)), ReasonFull
	}
	if t.limited {
		wait, reason = max(t.throttledUntil.Sub(now), wait), ReasonLimited
	}
	if !t.backOff.Allows(now, t.inFlightOnTime()) {
		wait, reason = max(t.backOff.Remaining(now), wait), ReasonBackedOff
	}
	return wait, reason
}

// initialPhase returns a starting phase that differs between boxes, so that their callers do not
// retry together.
func initialPhase(box string) float64 {
	return float64(xxhash.Sum64String(box)) / math.MaxUint64
}

// spreadRetryAfter returns the Retry-After for the next caller, given how long it takes until a
// target may be usable.
func (s *service) spreadRetryAfter(wait time.Duration) time.Duration {
	_, s.retryPhase = math.Modf(s.retryPhase + phaseStep)
	return max(wait, minRetryAfter) + time.Duration(s.retryPhase*float64(retrySpread))
}

// Release takes back a choice without sending the request.
func (b *Balancer) Release(id string) {
	if t := b.byID[id]; t != nil {
		t.recordEnd(false)
		b.recordVersionNotSent(t)
	}
}
