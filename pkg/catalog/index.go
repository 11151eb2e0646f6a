package catalog

import (
	"slices"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// updateCheck decides whether a registration update would change a state. Its functions look up the
// targets and departures that matter for one update.
type updateCheck struct {
	// target returns the target with an id, conflicts the other targets with the address of an update
	// and departure the departure of an id; nil if there is none.
	target    func(id string) *wire.Registration
	conflicts func(r *wire.Registration) []*wire.Registration
	departure func(id string) *wire.Departure
}

// wouldChange reports whether an update of a target would change the state.
func (u updateCheck) wouldChange(r *wire.Registration, leave bool) bool {
	if u.isFromDeparted(r, leave) {
		return false
	}
	known := u.target(r.Id)
	if leave {
		return known == nil || r.BornUnixMilli == 0 || compareStarts(r.BornUnixMilli, known.BornUnixMilli) >= 0
	}
	if u.startedBeforeOwner(r) {
		return false
	}
	if known == nil {
		return true
	}
	if order := compareStarts(r.BornUnixMilli, known.BornUnixMilli); order != 0 {
		return order > 0
	}
	return !IsRedundant(known, r)
}

// isFromDeparted reports whether an update belongs to an incarnation that has departed.
func (u updateCheck) isFromDeparted(r *wire.Registration, leave bool) bool {
	d := u.departure(r.Id)
	if d == nil {
		return false
	}
	if leave {
		return u.target(r.Id) == nil
	}
	order := compareStarts(r.BornUnixMilli, d.BornUnixMilli)
	alive := order == 0 && r.BornUnixMilli > 0 && !r.Draining && r.Sequence >= d.Sequence+readmitAfterUpdates
	return order <= 0 && !alive
}

// startedBeforeOwner reports whether the address of r belongs to another target that
// started later.
func (u updateCheck) startedBeforeOwner(r *wire.Registration) bool {
	return slices.ContainsFunc(u.conflicts(r), func(other *wire.Registration) bool {
		return r.BornUnixMilli > 0 && r.BornUnixMilli < other.BornUnixMilli
	})
}

// Index finds the targets and departures of a state by id and address. It is advanced from state to
// state, at a cost that depends on what has changed, and answers at a cost that does not depend on
// the number of targets. The zero value is that of an empty state. It is not safe for concurrent use.
type Index struct {
	state State
	byID  map[string]*wire.Registration
	// first holds the targets whose first registration the index has followed: no other incarnation
	// can have left.
	first      map[string]bool
	byAddress  map[string][]*wire.Registration
	departures map[string]*wire.Departure
	// evicted are the departures that the state has evicted, the oldest first in evictedIDs.
	evicted    map[string]*wire.Departure
	evictedIDs []string
}

// maxEvicted bounds the evicted departures that an index keeps, at about 130 bytes each. A state
// holds 1,024, which is less than the number of targets that leave within seconds in a large
// deployment, and their heartbeats may arrive seconds late.
const maxEvicted = 16 * maxDepartures

// Advance makes the index that of another state, which is usually a later one that follows from it by
// commands.
func (x *Index) Advance(s State) { x.advance(s, true) }

// Load makes the index that of a state that the index has not followed: targets that it does not know
// may have had other incarnations.
func (x *Index) Load(s State) { x.advance(s, false) }

func (x *Index) advance(s State, followed bool) {
	if x.byID == nil {
		x.byID = make(map[string]*wire.Registration)
		x.first = make(map[string]bool)
		x.byAddress = make(map[string][]*wire.Registration)
	}
	if !sameBacking(s.departed, x.state.departed) {
		x.advanceDepartures(s.departed)
	}
	changed, ended := s.TargetsSince(x.state)
	previous := make(map[string]*wire.Registration, len(changed))
	for _, r := range changed {
		previous[r.Id] = x.byID[r.Id]
	}
	for _, incarnation := range ended {
		x.remove(incarnation.ID)
	}
	for _, r := range changed {
		x.remove(r.Id)
		x.byID[r.Id] = r
		x.byAddress[r.Address] = append(x.byAddress[r.Address], r)
		x.recordFirst(r, previous[r.Id], followed)
	}
	x.forget(ended)
	x.state = s
}

// recordFirst records whether a registration is of a target that never had another incarnation.
func (x *Index) recordFirst(r, previous *wire.Registration, followed bool) {
	switch {
	case previous == nil:
		x.first[r.Id] = followed && x.Departure(r.Id) == nil
	case previous.BornUnixMilli != r.BornUnixMilli:
		x.first[r.Id] = false
	}
}

func (x *Index) advanceDepartures(departed []*wire.Departure) {
	previous := x.state.departed
	x.departures = make(map[string]*wire.Departure, len(departed))
	for _, d := range departed {
		x.departures[d.Id] = d
	}
	for _, d := range previous {
		if x.departures[d.Id] == nil {
			x.keepEvicted(d)
		}
	}
}

func (x *Index) keepEvicted(d *wire.Departure) {
	if x.evicted == nil {
		x.evicted = make(map[string]*wire.Departure)
	}
	if x.evicted[d.Id] == nil {
		x.evictedIDs = append(x.evictedIDs, d.Id)
	}
	x.evicted[d.Id] = d
	if len(x.evictedIDs) > maxEvicted {
		delete(x.evicted, x.evictedIDs[0])
		x.evictedIDs = x.evictedIDs[1:]
	}
}

func (x *Index) remove(id string) {
	r := x.byID[id]
	if r == nil {
		return
	}
	delete(x.byID, id)
	rest := slices.DeleteFunc(x.byAddress[r.Address], func(other *wire.Registration) bool { return other == r })
	if len(rest) == 0 {
		delete(x.byAddress, r.Address)
		return
	}
	x.byAddress[r.Address] = rest
}

// forget drops what was recorded of the targets that have ended.
func (x *Index) forget(ended []Incarnation) {
	for _, incarnation := range ended {
		if x.byID[incarnation.ID] == nil {
			delete(x.first, incarnation.ID)
		}
	}
}

// IsRedundant reports whether the state already holds the contents of an update.
func (x *Index) IsRedundant(r *wire.Registration) bool {
	known := x.byID[r.Id]
	return known != nil && IsRedundant(known, r)
}

// Departure returns the last departure of a target's id, or nil if none is known.
func (x *Index) Departure(id string) *wire.Departure {
	if d := x.departures[id]; d != nil {
		return d
	}
	return x.evicted[id]
}

// WouldChange reports whether a registration update should be applied to the state. It differs from
// State.WouldChange for updates of departed targets whose departure the state has evicted.
func (x *Index) WouldChange(r *wire.Registration, leave bool) bool {
	check := updateCheck{
		target:    func(id string) *wire.Registration { return x.byID[id] },
		conflicts: x.addressConflicts,
		departure: x.Departure,
	}
	return check.wouldChange(r, leave)
}

// addressConflicts returns the other targets that have the address of r.
func (x *Index) addressConflicts(r *wire.Registration) (out []*wire.Registration) {
	for _, other := range x.byAddress[r.Address] {
		if other.Id != r.Id {
			out = append(out, other)
		}
	}
	return out
}
