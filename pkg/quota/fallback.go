package quota

import (
	"slices"
	"time"
)

const (
	// fallbackBoxes is how many boxes may send to a rate-limited target when they reach no
	// control replica, and fallbackShare the fraction of its limit that each of them gets.
	// This adds to the requests of boxes that still reach a replica and get permits.
	fallbackBoxes = 1
	fallbackShare = 0.2
)

// Fallback limits what a box sends to rate-limited targets while it reaches no control
// replica. Rendezvous hashing over the list of boxes selects the same box for a target
// everywhere. It is not safe for concurrent use.
type Fallback struct {
	box     string
	boxes   []string
	buckets map[string]*bucket
}

// NewFallback returns the fallback limiter of a box.
func NewFallback(box string) *Fallback { return &Fallback{box: box, buckets: make(map[string]*bucket)} }

// SetBoxes sets the names of the boxes in service.
func (f *Fallback) SetBoxes(names []string) { f.boxes = names }

// Take reports whether the box may send a request to a target with a limit in requests
// per second, and if so consumes a token. The request must be sent before until.
func (f *Fallback) Take(now time.Time, target string, limit float64) (until time.Time, ok bool) {
	if !slices.Contains(topRanked(target, f.boxes, fallbackBoxes), f.box) {
		return until, false
	}
	c := bucketConfig{rate: max(limit, minTargetRate) * fallbackShare, burst: 1, ttl: targetPermitTTL}
	b := f.buckets[target]
	if b == nil {
		b = &bucket{bucketConfig: c, refilledAt: now}
		f.buckets[target] = b
	}
	b.resize(now, c)
	if b.tokens < 1 {
		return until, false
	}
	b.tokens--
	return now.Add(c.ttl), true
}

// Prune removes targets that report no limit.
func (f *Fallback) Prune(hasLimit func(incarnation string) bool) {
	for incarnation := range f.buckets {
		if !hasLimit(incarnation) {
			delete(f.buckets, incarnation)
		}
	}
}
