package hedging

import "time"

const (
	// slotsPerWindow is the number of slots that the window of a limit is divided into.
	slotsPerWindow = 20
	// slotCount is one more, so that the slots cover every span of the window's length.
	slotCount = slotsPerWindow + 1
	// shareMargin is the part of the share that is handed out. The windows of two boxes end at
	// different times, so callers that move between boxes while the targets slow down are counted by
	// both.
	shareMargin = 0.8
	// burstShare is the part of a window's attempts that may start within burstSlots. Without this
	// bound a box would take all of a window's attempts at the start of a slowdown, when callers may
	// be about to move to another box, which has as many of its own.
	burstShare = 0.3
	burstSlots = 2
	// minBurst lets a box with few requests start what is due by chance at the same time: with 1, boxes
	// with 15 requests per second used half of a limit of 5 percent although enough was due.
	minBurst = 2
)

// limit bounds the hedged attempts of one box for a service to a share of the box's own requests in
// a sliding window. The sum over all boxes follows, whichever boxes the callers use.
type limit struct {
	length time.Duration
	slots  [slotCount]limitSlot
}

type limitSlot struct {
	number int64
	// earned is the sum of the shares of the requests of the slot, taken the number of attempts.
	earned float64
	taken  float64
}

func (l *limit) slotAt(at time.Duration) *limitSlot {
	number := int64(at / (l.length / slotsPerWindow))
	s := &l.slots[number%slotCount]
	if s.number != number {
		*s = limitSlot{number: number}
	}
	return s
}

func (l *limit) recordRequest(at time.Duration, share float64) {
	l.slotAt(at).earned += shareMargin * share
}

// allows reports whether one more attempt stays within the share of the requests of the window that
// ends now.
func (l *limit) allows(at time.Duration) bool {
	now := l.slotAt(at).number
	var earned, taken, burst float64
	for _, s := range l.slots {
		age := now - s.number
		if age < slotsPerWindow {
			earned += s.earned
		}
		if age < slotCount {
			taken += s.taken
		}
		if age < burstSlots {
			burst += s.taken
		}
	}
	return taken+1 <= earned && burst+1 <= max(burstShare*earned, minBurst)
}

func (l *limit) take(at time.Duration) { l.slotAt(at).taken++ }
