package quota

import (
	"cmp"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Usage is what an issuer knows of one workspace.
type Usage struct {
	Workspace string
	Limit     catalog.RateLimit
	// SharePerSecond is the issuer's part of the limit, and Room the permits that it
	// could issue now; both are zero without a limit.
	SharePerSecond float64
	Available      float64
	// Issued counts its permits, and Refused the asks of boxes that got none, since
	// the issuer's start.
	Issued  uint64
	Refused uint64
	// IssuedPerSecond and RefusedPerSecond are means over the last window of the bound
	// that is over, at most one and a half windows ago.
	IssuedPerSecond  float64
	RefusedPerSecond float64
}

// tally counts permits and refused asks of one workspace.
type tally struct {
	issued  windowed
	refused windowed
}

// windowed counts events in all and in the last whole window.
type windowed struct {
	all     uint64
	began   time.Time
	present uint64
	last    uint64
}

func (w *windowed) add(now time.Time, length time.Duration, n uint64) {
	w.pass(now, length)
	w.all += n
	w.present += n
}

// pass lets time pass to now.
func (w *windowed) pass(now time.Time, length time.Duration) {
	over := now.Sub(w.began)
	switch {
	case over < length:
		return
	case over < 2*length:
		w.last = w.present
		w.began = w.began.Add(length)
	default:
		w.last = 0
		w.began = now
	}
	w.present = 0
}

func (w *windowed) perSecond(now time.Time, length time.Duration) float64 {
	w.pass(now, length)
	return float64(w.last) / length.Seconds()
}

// count notes the answer to an ask of a known workspace.
func (i *Issuer) count(now time.Time, g Grant) {
	t := i.tallies[g.Subject]
	if t == nil {
		t = &tally{}
		i.tallies[g.Subject] = t
	}
	if g.Count == 0 {
		t.refused.add(now, i.bound.Window, 1)
		return
	}
	t.issued.add(now, i.bound.Window, uint64(g.Count))
}

// Usage returns what is known of each workspace of the document, by name.
func (i *Issuer) Usage(now time.Time) []Usage {
	out := make([]Usage, 0, len(i.limits))
	for name, limit := range i.limits {
		u := Usage{Workspace: name, Limit: limit}
		if b := i.buckets[name]; b != nil {
			b.fill(now)
			u.SharePerSecond, u.Available = b.rate, b.tokens
		}
		if t := i.tallies[name]; t != nil {
			u.Issued, u.Refused = t.issued.all, t.refused.all
			u.IssuedPerSecond = t.issued.perSecond(now, i.bound.Window)
			u.RefusedPerSecond = t.refused.perSecond(now, i.bound.Window)
		}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
