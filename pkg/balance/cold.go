package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldShare is the part of a cold target's rate that the boxes use
	// together, and coldBoxes how many boxes share it: each may be one
	// request ahead of its share.
	coldShare = 0.9
	coldBoxes = 3
)

// ColdLimit bounds the requests to a cold target of a service, all entry boxes
// together.
type ColdLimit struct {
	// Time is how long a target stays cold.
	Time time.Duration
	// Rate is the requests a second that it bears.
	Rate float64
}

func (b *Balancer) coolZone(now time.Time, zone string) {
	for _, t := range b.byID {
		if t.Zone == zone {
			b.cool(now, t, b.service(t.Service).cold.Time)
		}
	}
}

func (b *Balancer) cool(now time.Time, t *targetState, left time.Duration) {
	until := now.Add(left)
	if until.After(t.coldUntil) {
		t.coldUntil = until
		t.tokens = 0
		t.tokensAt = now
	}
}

// SetColdRemaining takes a target's own word on how much longer it is cold.
func (b *Balancer) SetColdRemaining(now time.Time, id string, left time.Duration) {
	if t := b.byID[id]; t != nil && left > 0 {
		b.cool(now, t, left)
	}
}

// mayWarm reports whether this box may send a cold target a request now. A few
// boxes, the same by every box's reckoning, share what it bears.
func (b *Balancer) mayWarm(now time.Time, s *service, t *targetState) bool {
	sharers := b.sharers(t)
	if sharers == 0 {
		return false
	}
	rate := s.cold.Rate * coldShare / float64(sharers)
	t.tokens = min(t.tokens+rate*now.Sub(t.tokensAt).Seconds(), 1)
	t.tokensAt = now
	return t.tokens >= 1
}

// sharers returns how many boxes share what a cold target bears, or zero if this
// box is none of them. It is worked out once for each change of the boxes, as a choice looks
// at all cold targets.
func (b *Balancer) sharers(t *targetState) int {
	if t.sharersKnown != b.boxesChange {
		t.sharers = b.countSharers(t)
		t.sharersKnown = b.boxesChange
	}
	return t.sharers
}

// countSharers counts the boxes of the target's region that rank highest for it.
func (b *Balancer) countSharers(t *targetState) int {
	count, above := 0, 0
	own := mix(xxhash.Sum64String(b.config.Box) ^ t.hash)
	known := false
	for _, box := range b.boxes {
		if box.Region != t.Region {
			continue
		}
		count++
		if box.Name == b.config.Box {
			known = true
			continue
		}
		if mix(box.hash^t.hash) > own {
			above++
		}
	}
	if !known || above >= coldBoxes {
		return 0
	}
	return min(count, coldBoxes)
}
