package catalog

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Incarnation identifies one run of a target, from a start to its end. What is learned
// about a target applies to one incarnation only.
type Incarnation struct {
	ID string
	// StartedUnixMilli is the start time, or 0 if the target does not report one.
	StartedUnixMilli int64
}

// IncarnationOf returns the incarnation that a registration describes.
func IncarnationOf(r *wire.Registration) Incarnation {
	return Incarnation{ID: r.Id, StartedUnixMilli: r.BornUnixMilli}
}

// String returns a name that is unique to the incarnation.
func (i Incarnation) String() string {
	if i.StartedUnixMilli == 0 {
		return i.ID
	}
	return fmt.Sprintf("%s@%d", i.ID, i.StartedUnixMilli)
}

// compareStarts compares the start times of an update and the known registration: -1 if
// the update is of an earlier incarnation, 0 if of the same and 1 if of a later one. An
// update without a start time, where one is known, comes from another writer or an
// earlier incarnation.
func compareStarts(update, known int64) int {
	switch {
	case update == known:
		return 0
	case update == 0:
		return -1
	case known == 0 || update > known:
		return 1
	}
	return -1
}

// readmitAfterUpdates is how many updates a departed target must send to be registered
// again. A leave message names no incarnation, so a late one of the previous
// incarnation may have removed the current one. A target that really leaves sends
// nothing more, except for updates that are late by seconds; at one update every 1.5 s,
// 8 updates take 12 s.
const readmitAfterUpdates = 8

// ApplyRegistration adds, updates or removes a registration. An update that is older
// than the known one, or arrives after the target has left, changes nothing. A target
// that takes over the address of another target removes that one.
func (s State) ApplyRegistration(c *wire.RegistrationCommand) (State, bool) {
	next, changed := s.ApplyRegistrations([]*wire.RegistrationCommand{c})
	return next, changed[0]
}

// ApplyRegistrations applies updates in order and reports for each whether it changed
// the state. It scans and copies the list of targets once, regardless of the number of
// updates.
func (s State) ApplyRegistrations(updates []*wire.RegistrationCommand) (State, []bool) {
	e := newEditor(s, updates)
	changed := make([]bool, len(updates))
	for i, c := range updates {
		changed[i] = e.apply(c)
	}
	return e.state(), changed
}

// WouldChange reports whether a registration update would change the state.
func (s State) WouldChange(r *wire.Registration, leave bool) bool {
	return newEditor(s, []*wire.RegistrationCommand{{Registration: r, Leave: leave}}).wouldChange(r, leave)
}

// IsRedundant reports whether an update of the same incarnation adds nothing to the
// known registration: it is older, has the same content, or takes back that the target is
// draining, which a target does not do.
func IsRedundant(known, r *wire.Registration) bool {
	if r.BornUnixMilli != known.BornUnixMilli {
		return false
	}
	if r.Sequence <= known.Sequence || known.Draining && !r.Draining {
		return true
	}
	coldSame := (r.ColdMilli > 0) == (known.ColdMilli > 0)
	return r.Service == known.Service && r.Address == known.Address && r.Zone == known.Zone &&
		r.Slots == known.Slots && r.Draining == known.Draining && coldSame
}

// IsOfDeparted reports whether an update belongs to the incarnation that departed, or to an earlier
// one.
func IsOfDeparted(r *wire.Registration, d *wire.Departure) bool {
	return compareStarts(r.BornUnixMilli, d.BornUnixMilli) <= 0
}

// departuresOf converts ids of departed targets to departures.
func departuresOf(ids []string) []*wire.Departure {
	var out []*wire.Departure
	for _, id := range ids {
		out = append(out, &wire.Departure{Id: id})
	}
	return out
}
