package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWaitShare is the share of a request's spare time that it may wait for a slot. The spare
	// time is what remains of its objective after the service time of a target that has cached the
	// object; the rest of it covers requests that other boxes send at the same moment.
	maxWaitShare = 0.75
	// hedgeDelayFactor is the hedge delay, beyond the expected wait for a slot, as a multiple of the
	// mean service time of targets that have not cached the object.
	hedgeDelayFactor = 3
	// minHedgeDelay is the minimum hedge delay: a few round trips on a network with packet loss.
	minHedgeDelay = 700 * time.Millisecond
	// noTargetRetryAfter is the Retry-After when no target is usable.
	noTargetRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the shortest Retry-After. It is about as long as a round trip to the caller
	// and a new connection, so that it limits how often a caller retries and hardly delays it.
	minRetryAfter = 20 * time.Millisecond
	// maxRoundTripShare is the share of a route's objective that the round trip to another region
	// may take. A target that has cached the object needs about half of the objective.
	maxRoundTripShare = 0.4
)

// Choose returns the target to send a request to, and counts the request as in flight there until
// Done, Release or ThrottleUntil. The error is a *NoTargetError.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, error) {
	s := b.service(r.Service)
	if s.splitter != nil {
		return b.chooseVersion(now, s, r)
	}
	return b.chooseAmong(now, s, r, s.keyHash(r))
}

// chooseAmong is Choose for a request with a key hash, among the versions that it may be sent to.
func (b *Balancer) chooseAmong(now time.Time, s *service, r Request, key uint64) (Choice, error) {
	times := b.timesOfRoute(r)
	b.updateDivision(now, s)
	if b.dividesObjects(s, r) {
		if choice, ok, err := b.chooseDivided(now, s, r, key, times); ok {
			return choice, err
		}
	}
	chosen, skipped := b.homeTarget(now, s, r, key)
	hasHome := chosen != nil
	home := chosen
	if !hasHome {
		chosen = b.leavingTarget(now, s, r, key)
	}
	if chosen == nil {
		return Choice{}, b.noUsableTargetError(now, s, r)
	}
	wait := chosen.expectedWait(now, times.overall)
	waitLimit := maxWait(r, times)
	if hasHome && wait > times.maxHomeWait(r, waitLimit) && (r.AffinityKey == "" || !s.load.isSaturated()) {
		chosen, wait = b.preferredTargets(now, s, r, key, b.isWithinReach(chosen, r)).pick(now, times.overall)
	}
	if wait > waitLimit {
		return Choice{}, allFullError(now, s, chosen, wait, waitLimit)
	}
	choice := b.assign(now, chosen, wait, times)
	choice.Home = hasHome && chosen == home && r.AffinityKey != "" && len(r.Tried) == 0
	if skipped != nil {
		choice.Skipped = skipped.ID
	}
	return choice, nil
}

// noUsableTargetError returns the error for a service without a usable target.
func (b *Balancer) noUsableTargetError(now time.Time, s *service, r Request) *NoTargetError {
	if next, ok := b.nextAvailable(now, s, r); ok {
		return &NoTargetError{
			Service: s.name, Reason: next.reason, RetryAfter: s.spreadRetryAfter(next.wait), Registered: len(s.targets), Target: next.target.ID,
			BackedOff: next.backedOff,
		}
	}
	return &NoTargetError{Service: s.name, Reason: ReasonNone, RetryAfter: noTargetRetryAfter, Registered: len(s.targets)}
}

// allFullError returns the error for a request that would wait too long even at the best target.
func allFullError(now time.Time, s *service, best *targetState, wait, waitLimit time.Duration) *NoTargetError {
	return &NoTargetError{
		Service:      s.name,
		Reason:       ReasonFull,
		RetryAfter:   max(wait, minRetryAfter),
		Registered:   len(s.targets),
		Target:       best.ID,
		Load:         best.load(now),
		Slots:        best.Slots,
		ExpectedWait: wait,
		MaxWait:      waitLimit,
		ServiceLoad:  s.load.perSlot,
	}
}

// homeTarget returns the highest-ranked usable target, preferring those within reach, or nil if
// none is usable. If a backed-off target ranks higher, it counts the request as skipped there and
// returns that target as well.
func (b *Balancer) homeTarget(now time.Time, s *service, r Request, key uint64) (chosen, skipped *targetState) {
	var near, far, backedOff ranked
	for _, t := range s.targets {
		if t.isBackedOff(now) {
			if c := b.rank(t, r, key); b.isAvailable(now, t) && r.allows(t) && (backedOff.target == nil || c.ranksAbove(backedOff)) {
				backedOff = c
			}
			continue
		}
		if !b.mayReceive(now, s, t, r) {
			continue
		}
		best := &far
		if b.isWithinReach(t, r) {
			best = &near
		}
		if c := b.rank(t, r, key); best.target == nil || c.ranksAbove(*best) {
			*best = c
		}
	}
	best := near
	if best.target == nil {
		best = far
	}
	if backedOff.target != nil && (best.target == nil || backedOff.ranksAbove(best)) {
		skipped = backedOff.target
		skipped.skipped++
	}
	return best.target, skipped
}

// preferredTargets returns the highest-ranked usable targets, including the home target: those
// within reach if reach is true, otherwise the others.
func (b *Balancer) preferredTargets(now time.Time, s *service, r Request, key uint64, withinReach bool) *ranking {
	var out ranking
	for _, t := range s.targets {
		if b.isWithinReach(t, r) == withinReach && b.mayReceive(now, s, t, r) {
			out.add(b.rank(t, r, key))
		}
	}
	return &out
}

func (b *Balancer) rank(t *targetState, r Request, key uint64) ranked {
	return ranked{target: t, rank: mix(key ^ t.hash), local: r.PreferLocal && t.Zone == b.config.Zone}
}

// mayReceive reports whether a target may be sent the request now.
func (b *Balancer) mayReceive(now time.Time, s *service, t *targetState, r Request) bool {
	if !b.isUsable(now, t) || !r.allows(t) {
		return false
	}
	return !t.isCold(now) || b.mayWarmUp(now, s, t)
}

// isWithinReach reports whether a target is treated for the request like one of the box's own
// region. Requests with large responses stay in the region. Others may go to a region whose round
// trip leaves the target enough of the objective.
func (b *Balancer) isWithinReach(t *targetState, r Request) bool {
	if t.Region == b.config.Region {
		return true
	}
	return !r.PreferLocal && b.roundTrips[t.Region] <= time.Duration(maxRoundTripShare*float64(r.Objective))
}

// RetryAfter returns when a request that a target rejected may be retried: when a slot there is
// expected to be free, or after the minimum delay if the target had a free slot and rejected it for
// another reason.
func (b *Balancer) RetryAfter(now time.Time, targetID, route string) time.Duration {
	t, times := b.byID[targetID], b.routeTimes[route]
	if t == nil || times == nil {
		return minRetryAfter
	}
	if t.isBackedOff(now) {
		return b.retryAfterBackOff(now, b.service(t.Service))
	}
	return max(t.expectedWait(now, times.overall), minRetryAfter)
}

// retryAfterBackOff returns when a request may be retried whose target asked for a back-off.
func (b *Balancer) retryAfterBackOff(now time.Time, s *service) time.Duration {
	for _, t := range s.targets {
		if b.isUsable(now, t) {
			return minRetryAfter
		}
	}
	if next, ok := b.nextAvailable(now, s, Request{}); ok {
		return s.spreadRetryAfter(next.wait)
	}
	return noTargetRetryAfter
}

// maxWait returns how long a request may wait for a slot. One that would wait longer is refused at
// once, because it would occupy a slot for a response that comes too late.
func maxWait(r Request, times *serviceTimes) time.Duration {
	share := r.WaitShare
	if share == 0 {
		share = maxWaitShare
	}
	return time.Duration(max(share, 0) * float64(max(r.Remaining-times.hit, 0)))
}

func (b *Balancer) assign(now time.Time, t *targetState, wait time.Duration, times *serviceTimes) Choice {
	load := t.load(now)
	t.inFlight++
	b.recordVersionSent(t)
	if t.isCold(now) {
		t.tokens--
	}
	return Choice{
		Target:       t.Target,
		Limited:      t.limited,
		Remote:       t.Region != b.config.Region,
		ExpectedWait: wait,
		HedgeDelay:   max(hedgeDelayFactor*times.miss+wait, minHedgeDelay),
		Load:         load,
		Version:      b.version,
	}
}

// isUsable reports whether a target may be sent any request now.
func (b *Balancer) isUsable(now time.Time, t *targetState) bool {
	return b.isAvailable(now, t) && !now.Before(t.throttledUntil) && t.backOff.Allows(now, t.inFlightOnTime()) && b.hasCapacity(now, t)
}

// isAvailable is isUsable without the checks for permits, back-offs and capacity.
func (b *Balancer) isAvailable(now time.Time, t *targetState) bool {
	return !t.isLeaving() && b.isHealthy(now, t)
}

// isHealthy reports whether a target is in service, not ejected and not slow.
func (b *Balancer) isHealthy(now time.Time, t *targetState) bool {
	return b.isInService(t) && !t.isEjected(now) && t.relativeLatencyAt(now) <= maxRelativeLatency
}

// isInService reports whether a target is neither draining nor evacuated.
func (b *Balancer) isInService(t *targetState) bool {
	return !t.Draining && !b.evacuated[t.Zone]
}

// keyHash returns the hash of the affinity key. A request without a key gets a different hash each
// time.
func (s *service) keyHash(r Request) uint64 {
	if r.AffinityKey == "" {
		s.keylessRequests++
		return mix(s.keylessRequests)
	}
	return xxhash.Sum64String(r.AffinityKey)
}
