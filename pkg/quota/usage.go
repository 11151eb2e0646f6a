package quota

import (
	"cmp"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Usage is an issuer's view of one workspace.
type Usage struct {
	Workspace string
	Limit     catalog.RateLimit
	// SharePerSecond is the issuer's share of the limit, and Available the number of
	// permits that it could issue now. Both are zero for a workspace without a limit.
	SharePerSecond float64
	Available      float64
	// Issued counts permits, and Refused requests of boxes that got none, since the
	// issuer started.
	Issued  uint64
	Refused uint64
	// IssuedPerSecond and RefusedPerSecond are averages over the last completed window of
	// the bound's length, which ended at most one and a half windows ago.
	IssuedPerSecond  float64
	RefusedPerSecond float64
}

// workspaceCounters counts permits and refused requests for permits of one workspace.
type workspaceCounters struct {
	issued  windowCounter
	refused windowCounter
}

// windowCounter counts events in total and in the last completed window.
type windowCounter struct {
	total    uint64
	start    time.Time
	current  uint64
	previous uint64
}

func (w *windowCounter) add(now time.Time, length time.Duration, n uint64) {
	w.advance(now, length)
	w.total += n
	w.current += n
}

// advance closes the current window if it has ended by now.
func (w *windowCounter) advance(now time.Time, length time.Duration) {
	over := now.Sub(w.start)
	switch {
	case over < length:
		return
	case over < 2*length:
		w.previous = w.current
		w.start = w.start.Add(length)
	default:
		w.previous = 0
		w.start = now
	}
	w.current = 0
}

func (w *windowCounter) perSecond(now time.Time, length time.Duration) float64 {
	w.advance(now, length)
	return float64(w.previous) / length.Seconds()
}

// recordGrant counts the answer to a request for permits of a known workspace.
func (i *Issuer) recordGrant(now time.Time, g Grant) {
	t := i.counters[g.Subject]
	if t == nil {
		t = &workspaceCounters{}
		i.counters[g.Subject] = t
	}
	if g.Count == 0 {
		t.refused.add(now, i.bound.Window, 1)
		return
	}
	t.issued.add(now, i.bound.Window, uint64(g.Count))
}

// Usage returns the usage of each workspace of the document, sorted by name.
func (i *Issuer) Usage(now time.Time) []Usage {
	out := make([]Usage, 0, len(i.limits))
	for name, limit := range i.limits {
		u := Usage{Workspace: name, Limit: limit}
		if b := i.buckets[name]; b != nil {
			b.refill(now)
			u.SharePerSecond, u.Available = b.rate, b.tokens
		}
		if t := i.counters[name]; t != nil {
			u.Issued, u.Refused = t.issued.total, t.refused.total
			u.IssuedPerSecond = t.issued.perSecond(now, i.bound.Window)
			u.RefusedPerSecond = t.refused.perSecond(now, i.bound.Window)
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
