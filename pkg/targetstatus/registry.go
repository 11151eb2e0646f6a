package targetstatus

import "time"

// Registry is what a process knows of targets from their answers, to itself and to others.
// It is not safe for concurrent use.
type Registry struct {
	known map[string]entry
	// changes counts the changes.
	changes uint64
}

// entry is what is known of one target.
type entry struct {
	SharedState
	// active is the limit that is used: the one that holds, or one that is lower by less
	// than leastRaise.
	active float64
	// change is the number of the change that led to it, and at when the last update had
	// come.
	change uint64
	at     time.Time
}

// leastRaise is the part by which a limit must rise to count as changed. A target that
// computes its limit anew for each answer would have each told to all boxes.
const leastRaise = 0.1

// NewRegistry returns a registry of no target.
func NewRegistry() *Registry { return &Registry{known: make(map[string]entry)} }

// Change is a limit that was named, changed or taken back, or a target that leaves.
type Change struct {
	Incarnation string
	Before      float64
	After       float64
	// Leaving tells that it became known that the target leaves.
	Leaving bool
}

// LimitChanged reports whether the limit changed.
func (c Change) LimitChanged() bool { return c.Before != c.After }

// Apply takes an update and reports whether it changed what is known.
func (r *Registry) Apply(u Update) (c Change, changed bool) {
	before, known := r.known[u.Incarnation]
	if !known {
		if !u.HasLimit() && !u.Leaving {
			return c, false
		}
		before = entry{SharedState: SharedState{Incarnation: u.Incarnation}, active: NoLimit}
	}
	next := before
	next.SharedState = before.With(u)
	next.active = activeLimit(before.active, next.Limit())
	if u.Received.After(next.at) {
		next.at = u.Received
	}
	c = Change{u.Incarnation, before.active, next.active, next.Leaving && !before.Leaving}
	changed = c.LimitChanged() || c.Leaving
	if changed {
		r.changes++
		next.change = r.changes
	}
	r.known[u.Incarnation] = next
	return c, changed
}

// updates returns updates that lead another process to what is known.
func (e entry) updates() []Update {
	out := e.Updates()
	for i := range out {
		if !out[i].HasLimit() {
			out[i].Received = e.at
		}
	}
	return out
}

func activeLimit(active, holds float64) float64 {
	if holds > active && holds <= active*(1+leastRaise) {
		return active
	}
	return holds
}

// Limit returns the limit of a target, NoLimit for none.
func (r *Registry) Limit(incarnation string) float64 {
	if e, ok := r.known[incarnation]; ok {
		return e.active
	}
	return NoLimit
}

// HasLimit reports whether a target names a limit.
func (r *Registry) HasLimit(incarnation string) bool { return r.Limit(incarnation) < NoLimit }

// IsLeaving reports whether a target reported that it leaves.
func (r *Registry) IsLeaving(incarnation string) bool { return r.known[incarnation].Leaving }

// ReceivedAt returns when the last update on a target had come; zero for none.
func (r *Registry) ReceivedAt(incarnation string) time.Time { return r.known[incarnation].at }

// Updates returns updates that lead another process to what is known of a target; one
// without a limit for a target that has reported nothing.
func (r *Registry) Updates(incarnation string) []Update {
	if e, ok := r.known[incarnation]; ok {
		return e.updates()
	}
	return []Update{{Incarnation: incarnation, Limit: NoLimit}}
}

// LimitedCount returns how many targets name limits.
func (r *Registry) LimitedCount() (n int) {
	for _, e := range r.known {
		if e.active < NoLimit {
			n++
		}
	}
	return n
}

// LeavingCount returns how many targets reported that they leave.
func (r *Registry) LeavingCount() (n int) {
	for _, e := range r.known {
		if e.Leaving {
			n++
		}
	}
	return n
}

// ChangedSince returns updates on the targets of which something changed after a change, and the
// number of the last one.
func (r *Registry) ChangedSince(change uint64) (updates []Update, last uint64) {
	if change >= r.changes {
		return nil, r.changes
	}
	for _, e := range r.known {
		if e.change > change {
			updates = append(updates, e.updates()...)
		}
	}
	return updates, r.changes
}

const (
	// registrationTime is within how long a target that another box has met is registered
	// here too.
	registrationTime = 10 * time.Second
	// takenBackMemory is longer than any request is in flight.
	takenBackMemory = 10 * time.Minute
)

// Prune forgets targets that are not registered any more, and limits that were taken back so
// long ago that no answer of before is in flight.
func (r *Registry) Prune(now time.Time, isRegistered func(incarnation string) bool) {
	for incarnation, e := range r.known {
		ago := now.Sub(e.at)
		gone := !isRegistered(incarnation) && ago > registrationTime
		takenBack := e.active == NoLimit && !e.Leaving && ago > takenBackMemory
		if gone || takenBack {
			delete(r.known, incarnation)
		}
	}
}
