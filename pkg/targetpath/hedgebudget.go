package targetpath

import "time"

const (
	// In each hedgeWindow a box starts at most hedgeShare of its own connection attempts, plus
	// hedgeBurst, as hedged ones. The burst is for boxes with little traffic, which see a lost link
	// by their first attempts: two are hedged before failures in a row lift the limit.
	hedgeShare  = 0.05
	hedgeBurst  = 5
	hedgeWindow = 10 * time.Second
	// hedgeSlots is one more than the parts that the window is divided into, so that the slots cover
	// every span of the window's length.
	hedgeSlotLength = time.Second
	hedgeSlots      = int(hedgeWindow/hedgeSlotLength) + 1
	// minUnlimitedFailures is how many failures in a row lift the limit in a zone. One failure may be
	// a target's, and is followed by an attempt through a peer anyway.
	minUnlimitedFailures = 2
)

// hedgeBudget bounds the hedged connection attempts of a box by the connection attempts that it made
// in the same window. A window refills with time, so that a box with little traffic has its burst
// again after 10 s; a bucket refilled by attempts alone would leave it without.
type hedgeBudget struct {
	slots [hedgeSlots]hedgeSlot
}

// hedgeSlot holds the counts of one second.
type hedgeSlot struct {
	number           int64
	attempts, hedges int
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(hedgeSlotLength) }

func (b *hedgeBudget) slotAt(now time.Time) *hedgeSlot {
	number := slotNumber(now)
	s := &b.slots[number%int64(hedgeSlots)]
	if s.number != number {
		*s = hedgeSlot{number: number}
	}
	return s
}

// take takes a hedged attempt from the budget if one is left.
func (b *hedgeBudget) take(now time.Time) bool {
	attempts, hedges := 0, 0
	oldest := slotNumber(now) - int64(hedgeSlots) + 1
	for _, s := range b.slots {
		if s.number >= oldest {
			attempts += s.attempts
			hedges += s.hedges
		}
	}
	if float64(hedges+1) > hedgeBurst+hedgeShare*float64(attempts) {
		return false
	}
	b.slotAt(now).hedges++
	return true
}

// RecordAttempt records that the box starts a connection attempt of its own.
func (p *Paths) RecordAttempt(now time.Time) { p.budget.slotAt(now).attempts++ }

// TakeHedge reports whether another attempt may be started beside one to a zone that has neither
// succeeded nor failed, and charges it to the budget. A zone that the box is cut off from, or may be
// as attempts in a row have failed, is neither limited nor charged. An attempt that follows a failed
// one is not hedged and needs no permission.
func (p *Paths) TakeHedge(now time.Time, zoneName string) bool {
	z := p.zone(zoneName)
	return z.cutOff || z.failures >= minUnlimitedFailures || p.budget.take(now)
}
