package targetstatus

import (
	"maps"
	"slices"
	"time"
)

// Registry stores what targets reported about themselves, in responses to this process
// and to others. It is not safe for concurrent use.
type Registry struct {
	known map[string]entry
	// changes counts the changes.
	changes uint64
}

// entry is the state of one target.
type entry struct {
	SharedState
	// active is the limit in use: the current one, or a lower one from which the current one
	// differs by less than minRaise.
	active float64
	// lastChange is the number of the last change of this entry, and receivedAt the time at
	// which the last update was received.
	lastChange uint64
	receivedAt time.Time
	// leavingSince is when the first update was received that says the target is leaving.
	leavingSince time.Time
}

// minRaise is the fraction by which a limit must rise to count as changed. Otherwise a
// target that recalculates its limit for each response would have each value sent to all
// boxes.
const minRaise = 0.1

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{known: make(map[string]entry)} }

// Change is a new, changed or withdrawn limit, or a target that is leaving.
type Change struct {
	Incarnation string
	Before      float64
	After       float64
	// Leaving is true if it became known that the target is leaving.
	Leaving bool
}

// LimitChanged reports whether the limit changed.
func (c Change) LimitChanged() bool { return c.Before != c.After }

// Apply applies an update and reports whether it changed anything.
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
	if u.Received.After(next.receivedAt) {
		next.receivedAt = u.Received
	}
	if next.Leaving && !before.Leaving {
		next.leavingSince = u.Received
	}
	c = Change{u.Incarnation, before.active, next.active, next.Leaving && !before.Leaving}
	changed = c.LimitChanged() || c.Leaving
	if changed {
		r.changes++
		next.lastChange = r.changes
	}
	r.known[u.Incarnation] = next
	return c, changed
}

// updates returns updates that bring another process to the same state.
func (e entry) updates() []Update {
	out := e.Updates()
	for i := range out {
		if !out[i].HasLimit() {
			out[i].Received = e.receivedAt
		}
	}
	return out
}

func activeLimit(active, current float64) float64 {
	if current > active && current <= active*(1+minRaise) {
		return active
	}
	return current
}

// Limit returns the limit of a target, or NoLimit.
func (r *Registry) Limit(incarnation string) float64 {
	if e, ok := r.known[incarnation]; ok {
		return e.active
	}
	return NoLimit
}

// HasLimit reports whether a target has a limit.
func (r *Registry) HasLimit(incarnation string) bool { return r.Limit(incarnation) < NoLimit }

// IsLeaving reports whether a target reported that it is leaving.
func (r *Registry) IsLeaving(incarnation string) bool { return r.known[incarnation].Leaving }

// LeavingSince returns when it became known that a target is leaving, and false if it is not.
func (r *Registry) LeavingSince(incarnation string) (since time.Time, leaving bool) {
	e := r.known[incarnation]
	return e.leavingSince, e.Leaving
}

// ReceivedAt returns when the last update about a target was received; zero for none.
func (r *Registry) ReceivedAt(incarnation string) time.Time { return r.known[incarnation].receivedAt }

// Updates returns updates that bring another process to the same state of a target. For a
// target that reported nothing it is one update without a limit.
func (r *Registry) Updates(incarnation string) []Update {
	if e, ok := r.known[incarnation]; ok {
		return e.updates()
	}
	return []Update{{Incarnation: incarnation, Limit: NoLimit}}
}

// Incarnations returns the targets that the registry knows something of, in no order.
func (r *Registry) Incarnations() []string { return slices.Collect(maps.Keys(r.known)) }

// LimitedCount returns the number of targets with limits.
func (r *Registry) LimitedCount() (n int) {
	for _, e := range r.known {
		if e.active < NoLimit {
			n++
		}
	}
	return n
}

// LeavingCount returns the number of targets that reported that they are leaving.
func (r *Registry) LeavingCount() (n int) {
	for _, e := range r.known {
		if e.Leaving {
			n++
		}
	}
	return n
}

// ChangedSince returns updates about the targets that changed after the change with the
// given number, and the number of the last change.
func (r *Registry) ChangedSince(change uint64) (updates []Update, last uint64) {
	if change >= r.changes {
		return nil, r.changes
	}
	for _, e := range r.known {
		if e.lastChange > change {
			updates = append(updates, e.updates()...)
		}
	}
	return updates, r.changes
}

const (
	// registrationDelay is the time within which a target that another box has used is
	// registered here as well.
	registrationDelay = 10 * time.Second
	// withdrawnRetention is how long a withdrawn limit is remembered. It is longer than any
	// request is in flight.
	withdrawnRetention = 10 * time.Minute
	// leavingRetention is how long a target that is leaving is remembered once it is not registered
	// any more: a heartbeat that it sent before its end may register it again.
	leavingRetention = time.Minute
)

// Prune removes targets that are no longer registered, and limits that were withdrawn so
// long ago that no earlier response can still arrive.
func (r *Registry) Prune(now time.Time, isRegistered func(incarnation string) bool) {
	for incarnation, e := range r.known {
		age := now.Sub(e.receivedAt)
		retention := registrationDelay
		if e.Leaving {
			retention = leavingRetention
		}
		gone := !isRegistered(incarnation) && age > retention
		withdrawn := e.active == NoLimit && !e.Leaving && age > withdrawnRetention
		if gone || withdrawn {
			delete(r.known, incarnation)
		}
	}
}
