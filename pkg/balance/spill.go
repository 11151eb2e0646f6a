package balance

import (
	"math"
	"time"
)

// ShiftWindow is the time over which a region's share of requests elsewhere
// may change by MaxShift (the users' rule).
const ShiftWindow = 2 * time.Second

const (
	// shiftMargin is the part of MaxShift that a box uses: the rest is for the
	// spread of samples of a few hundred requests.
	shiftMargin = 0.6
	// spillAbove and returnBelow are the shares of a region's slots in use
	// above which requests leave the region and below which they come back.
	spillAbove  = 0.85
	returnBelow = 0.6
	// assumedUse is the share of all slots that is thought to be in use before
	// anything was measured.
	assumedUse = 0.5
)

// spill is the share of a service's requests that run in another region.
type spill struct {
	share float64
	debt  float64
	at    time.Time
	begun bool
}

// update moves the share towards what the region's slots in use ask for: by
// no more than maxShift allows, or at once where the region has no slot.
func (s *spill) update(now time.Time, used, slots float64, maxShift, first float64) {
	if !s.begun {
		s.begun = true
		s.share = first
		s.at = now
	}
	step := maxShift * shiftMargin * float64(now.Sub(s.at)) / float64(ShiftWindow)
	s.at = now
	switch {
	case slots <= 0:
		s.share = 1
	case used > spillAbove*slots:
		s.share = min(s.share+step, 1)
	case used < returnBelow*slots:
		s.share = max(s.share-step, 0)
	}
}

// leaves reports whether a request leaves the region. The requests about one
// object stay together, so that targets of either region see it often; those
// without an object are spread evenly.
func (s *spill) leaves(keyed bool, key uint64) bool {
	if keyed {
		return float64(mix(key^spillSalt)) < s.share*math.MaxUint64
	}
	s.debt += s.share
	if s.debt < 1 {
		return false
	}
	s.debt--
	return true
}

// spillSalt makes the objects that leave independent of the ranks of targets.
const spillSalt = 0x9e3779b97f4a7c15
