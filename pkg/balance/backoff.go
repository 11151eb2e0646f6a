package balance

import (
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// BackOff records a rejection whose response asked this box to send the target nothing for
// status.BackOff. It reports whether this starts a new back-off. The rejected request still counts
// as in flight.
func (b *Balancer) BackOff(now time.Time, id string, status targetstatus.Status) (began bool) {
	t := b.byID[id]
	wait := status.BackOff
	if t == nil || wait <= 0 {
		return false
	}
	t.capacity = b.capacityOf(t).withRejection(now, t.Slots, t.load(now)-1, status.ReportedLoad())
	if t.capacity.requests > 0 {
		b.service(t.Service).capacityPerSlot = t.capacity.requests / float64(max(t.Slots, 1))
	}
	began = !t.isBackedOff(now)
	_, b.jitterPhase = math.Modf(b.jitterPhase + phaseStep)
	t.backOff = t.backOff.With(now.Add(wait + targetstatus.Jitter(wait, b.jitterPhase)))
	t.backOffUnreported = true
	return began
}

// ShareBackOff records that a target asked another box, which shares connections with this one, to
// send it nothing for a while. It reports whether this starts a new back-off.
func (b *Balancer) ShareBackOff(now time.Time, id string, wait time.Duration) (began bool) {
	t := b.byID[id]
	if t == nil || wait <= 0 {
		return false
	}
	began = !t.isBackedOff(now)
	t.backOff = t.backOff.With(now.Add(wait))
	t.backOffUnreported = true
	return began
}

// BackOffRemaining returns how much longer a target must get no requests.
func (b *Balancer) BackOffRemaining(now time.Time, id string) time.Duration {
	if t := b.byID[id]; t != nil {
		return t.backOff.Remaining(now)
	}
	return 0
}

// capacityOf returns the target's capacity estimate: its own, or else one derived from the last
// rejection by another target of its service.
func (b *Balancer) capacityOf(t *targetState) capacityEstimate {
	if t.capacity.requests > 0 {
		return t.capacity
	}
	return capacityEstimate{requests: b.service(t.Service).capacityPerSlot * float64(max(t.Slots, 1)), usableShare: 1}
}

// hasCapacity reports whether one more request fits the target's estimated capacity.
func (b *Balancer) hasCapacity(now time.Time, t *targetState) bool {
	return b.capacityOf(t).allows(now, t.load(now))
}

// CanSend reports whether a request may still be sent to the target that was chosen for it. Since
// the choice the target may have asked for a back-off, started draining, left, been deregistered or
// been evacuated, or its version may have been ruled out.
func (b *Balancer) CanSend(now time.Time, id string) bool {
	t := b.byID[id]
	return t != nil && b.isInService(t) && !t.isBackedOff(now) && !t.hasLeft(now) && b.allowsVersion(t)
}

// EndedBackOff describes a back-off that has ended.
type EndedBackOff struct {
	TargetID string
	// Skipped counts the requests that would have gone to the target but were sent elsewhere or
	// refused.
	Skipped int
}

// EndedBackOffs returns the back-offs that have ended since the previous call.
func (b *Balancer) EndedBackOffs(now time.Time) (ended []EndedBackOff) {
	for id, t := range b.byID {
		if !t.backOffUnreported || t.isBackedOff(now) {
			continue
		}
		ended = append(ended, EndedBackOff{TargetID: id, Skipped: t.skipped})
		t.backOffUnreported = false
		t.skipped = 0
	}
	return ended
}

// BackedOffCount returns the number of targets that this box is backing off from.
func (b *Balancer) BackedOffCount(now time.Time) (n int) {
	for _, t := range b.byID {
		if t.isBackedOff(now) {
			n++
		}
	}
	return n
}

// inFlightOnTime returns the number of requests in flight that are not overdue.
func (t *targetState) inFlightOnTime() int { return t.inFlight - t.overdue }

func (t *targetState) isBackedOff(now time.Time) bool { return t.backOff.IsActive(now) }
