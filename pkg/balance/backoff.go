package balance

import (
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// BackOff takes a rejection in which a target asked this box to send it nothing for a time,
// and reports whether it had not before. The rejected request still counts as in flight.
func (b *Balancer) BackOff(now time.Time, id string, status targetstatus.Status) (began bool) {
	t := b.byID[id]
	wait := status.BackOff
	if t == nil || wait <= 0 {
		return false
	}
	t.room = b.roomOf(t).withRejection(now, t.Slots, t.load(now)-1, status.ReportedLoad())
	if t.room.requests > 0 {
		b.service(t.Service).roomPerSlot = t.room.requests / float64(max(t.Slots, 1))
	}
	began = !t.isBackedOff(now)
	_, b.jitterTurn = math.Modf(b.jitterTurn + goldenPart)
	t.backOff = t.backOff.With(now.Add(wait + targetstatus.Jitter(wait, b.jitterTurn)))
	t.backOffOpen = true
	return began
}

// roomOf returns what is known of a target's room: what it taught itself, or another target of
// its service.
func (b *Balancer) roomOf(t *targetState) targetRoom {
	if t.room.requests > 0 {
		return t.room
	}
	return targetRoom{requests: b.service(t.Service).roomPerSlot * float64(max(t.Slots, 1)), part: 1}
}

// hasRoom reports whether one more request fits, as far as is known.
func (b *Balancer) hasRoom(now time.Time, t *targetState) bool {
	return b.roomOf(t).allows(now, t.load(now))
}

// CanSend reports whether a request may still be sent to the target that was chosen for it:
// since then the target may have asked for a back-off, drained, left, ended or been evacuated.
func (b *Balancer) CanSend(now time.Time, id string) bool {
	t := b.byID[id]
	return t != nil && b.isServing(t) && !t.isBackedOff(now) && !t.isGone(now)
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

// BackedOffCount returns how many targets this box sends nothing at their request.
func (b *Balancer) BackedOffCount(now time.Time) (n int) {
	for _, t := range b.byID {
		if t.isBackedOff(now) {
			n++
		}
	}
	return n
}

// trying is how many requests are in flight whose answers may still come in time.
func (t *targetState) trying() int { return t.inFlight - t.overdue }

func (t *targetState) isBackedOff(now time.Time) bool { return t.backOff.IsActive(now) }
