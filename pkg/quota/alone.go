package quota

import (
	"slices"
	"time"
)

const (
	// aloneBoxes is how many boxes may send to a rate-limited target when no replica answers
	// them, and aloneShare the part of its limit for each. It comes on top of what others
	// may get permits for, who reach a replica that these don't.
	aloneBoxes = 1
	aloneShare = 0.2
)

// Fallback is what a box sends to targets that name limits while no control replica issues
// permits: the same box for a target, by the list that all know. It is not safe for
// concurrent use.
type Fallback struct {
	box     string
	boxes   []string
	buckets map[string]*bucket
}

// NewFallback returns the allowance of a box.
func NewFallback(box string) *Fallback { return &Fallback{box: box, buckets: make(map[string]*bucket)} }

// SetBoxes takes the names of the boxes that serve.
func (a *Fallback) SetBoxes(names []string) { a.boxes = names }

// Take reports whether the box may send a request to a target with a limit, in requests a
// second, and counts it.
func (a *Fallback) Take(now time.Time, target string, limit float64) (until time.Time, ok bool) {
	if !slices.Contains(topRanked(target, a.boxes, aloneBoxes), a.box) {
		return until, false
	}
	p := part{rate: max(limit, leastTargetRate) * aloneShare, depth: 1, life: targetLife}
	b := a.buckets[target]
	if b == nil {
		b = &bucket{part: p, at: now}
		a.buckets[target] = b
	}
	b.resize(now, p)
	if b.tokens < 1 {
		return until, false
	}
	b.tokens--
	return now.Add(p.life), true
}

// Prune forgets targets without limits.
func (a *Fallback) Prune(named func(life string) bool) {
	for life := range a.buckets {
		if !named(life) {
			delete(a.buckets, life)
		}
	}
}
