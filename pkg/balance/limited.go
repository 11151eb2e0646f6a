package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// limitedSpread is the time over which callers return that found all targets of a
	// service at their limits: what comes free in it serves some of them.
	limitedSpread = time.Second
	// goldenPart spreads any number of turns evenly: each falls into the widest gap.
	goldenPart = 0.6180339887
)

// SetLimited tells whether a target names a limit of what it takes from all boxes together.
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

// ThrottleUntil takes a choice back for want of a permit: the request is not sent there, and no
// other before a time. Its objects have their second home meanwhile.
func (b *Balancer) ThrottleUntil(now time.Time, id string, until time.Time) {
	t := b.byID[id]
	if t == nil {
		return
	}
	t.recordEnd(false)
	if t.isCold(now) {
		t.tokens++
	}
	t.throttledUntil = until
}

// availability is when a service that can't be used may be used again, by which target, and why not
// before.
type availability struct {
	target *targetState
	wait   time.Duration
	reason string
	// backedOff is how many targets this box backs off from.
	backedOff int
}

// nextAvailable returns when a target that is at its limit or backed off may have room for a
// request; ok is false if there is none that could be used.
func (b *Balancer) nextAvailable(now time.Time, s *service, r Request) (next availability, ok bool) {
	r.Unlimited = false
	for _, t := range s.targets {
		if !r.allows(t) || !b.isOpen(now, t) {
			continue
		}
		wait, reason := b.untilAvailable(now, s, t)
		if t.isBackedOff(now) {
			next.backedOff++
		}
		if reason != "" && (!ok || wait < next.wait) {
			next.target, next.wait, next.reason, ok = t, wait, reason, true
		}
	}
	return next, ok
}

// untilAvailable returns how long it takes until the target may have room for a request, and why
// it has none now; empty where it has room, as far as is known.
func (b *Balancer) untilAvailable(now time.Time, s *service, t *targetState) (wait time.Duration, reason string) {
	if !b.hasRoom(now, t) {
		wait, reason = s.mean/time.Duration(max(t.Slots, 1)), ReasonFull
	}
	if t.limited {
		wait, reason = max(t.throttledUntil.Sub(now), wait), ReasonLimited
	}
	if !t.backOff.Allows(now, t.trying()) {
		wait, reason = max(t.backOff.Remaining(now), wait), ReasonBackedOff
	}
	return wait, reason
}

// firstTurn is where a box begins, so that callers of several boxes don't return together.
func firstTurn(box string) float64 {
	return float64(xxhash.Sum64String(box)) / math.MaxUint64
}

// spread returns when the next of the callers may return for whom there may be room after
// a time.
func (s *service) spread(room time.Duration) time.Duration {
	_, s.returnTurn = math.Modf(s.returnTurn + goldenPart)
	return max(room, leastRetryAfter) + time.Duration(s.returnTurn*float64(limitedSpread))
}

// Release takes a choice back to which nothing was sent.
func (b *Balancer) Release(id string) {
	if t := b.byID[id]; t != nil {
		t.recordEnd(false)
	}
}
