package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// waitPart is the part of the time in which the answer of a target that knows
	// the object would still be on time, for which a request may wait for a slot;
	// the rest is for what other boxes send at the same moment.
	waitPart = 0.75
	// patienceFactor is how many times the mean time of a target that has not
	// seen the object is waited for an answer before another target is sought.
	patienceFactor = 3
	// leastPatience bounds the patience from below: some turns of a network
	// with losses.
	leastPatience = 700 * time.Millisecond
	// firstRetryAfter is the wait told when no target can be used.
	firstRetryAfter = 300 * time.Millisecond
	// leastRetryAfter is the shortest wait told to a refused request: about what
	// the way to the caller and a new connection take, so that it bounds how
	// often a caller asks and hardly delays it.
	leastRetryAfter = 20 * time.Millisecond
	// reachPart is the part of a route's objective that the way to another
	// region and back may take; a target that knows the object needs about
	// half of the objective.
	reachPart = 0.4
)

// Choose returns the target that a request is to be sent to, and counts the
// request there until Done. The error is a NoTargetError.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, error) {
	s := b.service(r.Service)
	learned := b.timesOf(r)
	key := s.keyHash(r)
	chosen, skipped := b.home(now, s, r, key)
	hasHome := chosen != nil
	if !hasHome {
		chosen = b.lastResort(now, s, r, key)
	}
	if chosen == nil {
		return Choice{}, b.noneUsable(now, s, r)
	}
	wait := chosen.wait(now, learned.mixed)
	longest := longestWait(r, learned)
	if hasHome && wait > learned.detour(r, longest) && (r.AffinityKey == "" || !s.crowd.isCrowded()) {
		chosen, wait = b.besideHome(now, s, r, key, b.inReach(chosen, r)).pick(now, learned.mixed)
	}
	if wait > longest {
		return Choice{}, full(now, s, chosen, wait, longest)
	}
	choice := b.take(now, chosen, wait, learned)
	if skipped != nil {
		choice.Skipped = skipped.ID
	}
	return choice, nil
}

// noneUsable says that no target of a service can be used.
func (b *Balancer) noneUsable(now time.Time, s *service, r Request) *NoTargetError {
	if next, ok := b.nextAvailable(now, s, r); ok {
		return &NoTargetError{
			Service: s.name, Reason: next.reason, RetryAfter: s.spread(next.wait), Registered: len(s.targets), Target: next.target.ID,
			BackedOff: next.backedOff,
		}
	}
	return &NoTargetError{Service: s.name, Reason: ReasonNone, RetryAfter: firstRetryAfter, Registered: len(s.targets)}
}

// full says that the best target would let a request wait for too long.
func full(now time.Time, s *service, best *targetState, wait, longest time.Duration) *NoTargetError {
	return &NoTargetError{
		Service:      s.name,
		Reason:       ReasonFull,
		RetryAfter:   max(wait, leastRetryAfter),
		Registered:   len(s.targets),
		Target:       best.ID,
		Load:         best.load(now),
		Slots:        best.Slots,
		ExpectedWait: wait,
		MaxWait:      longest,
		ServiceLoad:  s.crowd.load,
	}
}

// home returns the target that ranks highest for an object, in reach if there
// is one; nil if none can be used. A target that ranks higher and is backed off is
// skipped, and returned besides.
func (b *Balancer) home(now time.Time, s *service, r Request, key uint64) (chosen, skipped *targetState) {
	var near, far, backedOff ranked
	for _, t := range s.targets {
		if t.isBackedOff(now) {
			if c := b.rank(t, r, key); b.isOpen(now, t) && r.allows(t) && (backedOff.target == nil || c.above(backedOff)) {
				backedOff = c
			}
			continue
		}
		if !b.mayTake(now, s, t, r) {
			continue
		}
		best := &far
		if b.inReach(t, r) {
			best = &near
		}
		if c := b.rank(t, r, key); best.target == nil || c.above(*best) {
			*best = c
		}
	}
	best := near
	if best.target == nil {
		best = far
	}
	if backedOff.target != nil && (best.target == nil || backedOff.above(best)) {
		skipped = backedOff.target
		skipped.skipped++
	}
	return best.target, skipped
}

// besideHome returns the targets that rank highest for an object, its home among
// them: of those in reach, or of the others if none is.
func (b *Balancer) besideHome(now time.Time, s *service, r Request, key uint64, reach bool) *ranking {
	var out ranking
	for _, t := range s.targets {
		if b.inReach(t, r) == reach && b.mayTake(now, s, t, r) {
			out.consider(b.rank(t, r, key))
		}
	}
	return &out
}

func (b *Balancer) rank(t *targetState, r Request, key uint64) ranked {
	return ranked{target: t, rank: mix(key ^ t.hash), near: r.PreferLocal && t.Zone == b.config.Zone}
}

// mayTake reports whether a target may be sent the request now.
func (b *Balancer) mayTake(now time.Time, s *service, t *targetState, r Request) bool {
	if !b.isUsable(now, t) || !r.allows(t) {
		return false
	}
	return !t.isCold(now) || b.mayWarm(now, s, t)
}

// inReach reports whether a target counts for the request like one of the
// box's own region. A large answer stays in the region; other requests may go
// as far as leaves enough of their objective for the target.
func (b *Balancer) inReach(t *targetState, r Request) bool {
	if t.Region == b.config.Region {
		return true
	}
	return !r.PreferLocal && b.distances[t.Region] <= time.Duration(reachPart*float64(r.Objective))
}

// RetryAfter returns when a request that a target turned away may come back: once
// a slot is free there as far as is known, or at once where the target had one
// and turned it away for another reason.
func (b *Balancer) RetryAfter(now time.Time, targetID, route string) time.Duration {
	t, learned := b.byID[targetID], b.times[route]
	if t == nil || learned == nil {
		return leastRetryAfter
	}
	if t.isBackedOff(now) {
		return b.untilOtherTarget(now, b.service(t.Service))
	}
	return max(t.wait(now, learned.mixed), leastRetryAfter)
}

// untilOtherTarget is when a request may come back whose target asked for a back-off.
func (b *Balancer) untilOtherTarget(now time.Time, s *service) time.Duration {
	for _, t := range s.targets {
		if b.isUsable(now, t) {
			return leastRetryAfter
		}
	}
	if next, ok := b.nextAvailable(now, s, Request{}); ok {
		return s.spread(next.wait)
	}
	return firstRetryAfter
}

// longestWait is how long a request may wait for a slot. One that would wait for
// longer is refused at once: it would hold a slot for an answer that comes too late.
func longestWait(r Request, learned *times) time.Duration {
	return time.Duration(waitPart * float64(max(r.Remaining-learned.warm, 0)))
}

func (b *Balancer) take(now time.Time, t *targetState, wait time.Duration, learned *times) Choice {
	load := t.load(now)
	t.inFlight++
	if t.isCold(now) {
		t.tokens--
	}
	return Choice{
		Target:       t.Target,
		Limited:      t.limited,
		Remote:       t.Region != b.config.Region,
		ExpectedWait: wait,
		HedgeDelay:   max(patienceFactor*learned.cold+wait, leastPatience),
		Load:         load,
		Version:      b.version,
	}
}

// isUsable reports whether a target may be sent any request at all.
func (b *Balancer) isUsable(now time.Time, t *targetState) bool {
	return b.isOpen(now, t) && !now.Before(t.throttledUntil) && t.backOff.Allows(now, t.trying()) && b.hasRoom(now, t)
}

// isOpen is isUsable but for permits, back-offs and room.
func (b *Balancer) isOpen(now time.Time, t *targetState) bool {
	return !t.isLeaving() && b.isReachable(now, t)
}

// isReachable reports whether a target is registered as serving, and neither ejected nor
// slow.
func (b *Balancer) isReachable(now time.Time, t *targetState) bool {
	return b.isServing(t) && !t.isOut(now) && t.paceNow(now) <= slowPace
}

// isServing reports whether a target neither drains nor is evacuated.
func (b *Balancer) isServing(t *targetState) bool {
	return !t.Draining && !b.evacuated[t.Zone]
}

// keyHash stands for the object, or for a different one each time where the
// object does not matter.
func (s *service) keyHash(r Request) uint64 {
	if r.AffinityKey == "" {
		s.turns++
		return mix(s.turns)
	}
	return xxhash.Sum64String(r.AffinityKey)
}
