package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldShare is the share of a cold target's rate that the boxes use together. The rest allows
	// for each of the up to maxColdSharers boxes that share the rate to be one request ahead.
	coldShare      = 0.9
	maxColdSharers = 3
)

// ColdLimit limits the requests that all entry boxes together send to a cold target, one that is
// still warming up.
type ColdLimit struct {
	// Time is how long a target stays cold.
	Time time.Duration
	// Rate is the number of requests per second that a cold target can take.
	Rate float64
}

func (b *Balancer) markZoneCold(now time.Time, zone string) {
	for _, t := range b.byID {
		if t.Zone == zone {
			b.markCold(now, t, b.service(t.Service).coldLimit.Time)
		}
	}
}

func (b *Balancer) markCold(now time.Time, t *targetState, remaining time.Duration) {
	until := now.Add(remaining)
	if until.After(t.coldUntil) {
		t.coldUntil = until
		t.tokens = 0
		t.tokensAt = now
	}
}

// SetColdRemaining applies the remaining warm-up time that a target itself reported.
func (b *Balancer) SetColdRemaining(now time.Time, id string, remaining time.Duration) {
	if t := b.byID[id]; t != nil && remaining > 0 {
		b.markCold(now, t, remaining)
	}
}

// mayWarmUp reports whether this box may send a cold target a request now. A few boxes share the
// target's rate; all boxes compute the same ones.
func (b *Balancer) mayWarmUp(now time.Time, s *service, t *targetState) bool {
	sharers := b.sharers(t)
	if sharers == 0 {
		return false
	}
	rate := s.coldLimit.Rate * coldShare / float64(sharers)
	t.tokens = min(t.tokens+rate*now.Sub(t.tokensAt).Seconds(), 1)
	t.tokensAt = now
	return t.tokens >= 1
}

// sharers returns how many boxes share a cold target's rate, or zero if this box is not one of
// them. The result is cached until the boxes or the target's region change, because every choice
// looks at all cold targets.
func (b *Balancer) sharers(t *targetState) int {
	if t.sharersRevision != b.boxesRevision {
		t.sharers = b.countSharers(t)
		t.sharersRevision = b.boxesRevision
	}
	return t.sharers
}

// countSharers counts the boxes of the target's region that rank highest for it, up to
// maxColdSharers. It returns zero if this box is not one of them.
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
	if !known || above >= maxColdSharers {
		return 0
	}
	return min(count, maxColdSharers)
}
