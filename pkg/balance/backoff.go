package balance

import (
	"math"
	"time"
)

const (
	// backOffJitter is the part of a back-off by which it is prolonged at most, and
	// longestJitter bounds that. Boxes that a target told at one moment return apart.
	backOffJitter = 0.1
	longestJitter = time.Second
	// firstRecovering is how many requests at once a target gets after a back-off, doubled
	// with each one that it runs.
	firstRecovering = 1
)

// BackOff takes that a target asked this box to send it nothing for a time, and reports
// whether it had not before. Of several such requests the one that ends last counts, in
// whatever order they come; a later answer of another kind does not end it.
func (b *Balancer) BackOff(now time.Time, id string, wait time.Duration) (began bool) {
	t := b.byID[id]
	if t == nil || wait <= 0 {
		return false
	}
	began = !t.isBackedOff(now)
	until := now.Add(wait + b.jitter(wait))
	if until.After(t.backedOffUntil) {
		t.backedOffUntil = until
	}
	t.recovering = firstRecovering
	t.backOffOpen = true
	return began
}

func (b *Balancer) jitter(wait time.Duration) time.Duration {
	_, b.jitterTurn = math.Modf(b.jitterTurn + goldenPart)
	most := min(time.Duration(backOffJitter*float64(wait)), longestJitter)
	return time.Duration(b.jitterTurn * float64(most))
}

// CanSend reports whether a request that was to go to a target may still be sent: the
// target may have asked for a back-off since it was chosen, or said that it leaves.
func (b *Balancer) CanSend(now time.Time, id string) bool {
	t := b.byID[id]
	return t == nil || !t.isBackedOff(now) && !t.isGone(now)
}

// EndedBackOff is a back-off that is over.
type EndedBackOff struct {
	TargetID string
	// Skipped is how many requests went elsewhere, or were refused, that would have gone
	// to the target.
	Skipped int
}

// EndedBackOffs returns the back-offs that have ended since it was called last.
func (b *Balancer) EndedBackOffs(now time.Time) (ended []EndedBackOff) {
	for id, t := range b.byID {
		if !t.backOffOpen || t.isBackedOff(now) {
			continue
		}
		ended = append(ended, EndedBackOff{TargetID: id, Skipped: t.skipped})
		t.backOffOpen = false
		t.skipped = 0
	}
	return ended
}

// BackedOff returns how many targets this box sends nothing at their request.
func (b *Balancer) BackedOff(now time.Time) (n int) {
	for _, t := range b.byID {
		if t.isBackedOff(now) {
			n++
		}
	}
	return n
}

func (t *targetState) isBackedOff(now time.Time) bool { return now.Before(t.backedOffUntil) }

// isRecoveringFull reports whether the target has as many requests as it may get at once
// after a back-off.
func (t *targetState) isRecoveringFull() bool { return t.recovering > 0 && t.inFlight >= t.recovering }

// noteRecovery takes that the target ran a request.
func (t *targetState) noteRecovery(now time.Time) {
	if t.recovering == 0 || t.isBackedOff(now) {
		return
	}
	t.recovering *= 2
	if t.recovering > t.Slots {
		t.recovering = 0
	}
}
