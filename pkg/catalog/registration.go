package catalog

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Incarnation is one life of a target: from a start under its id to its end. All that is
// learned of a target holds for one life.
type Incarnation struct {
	ID string
	// StartedUnixMilli is when it started, in Unix milliseconds; 0 if the target does not tell.
	StartedUnixMilli int64
}

// IncarnationOf returns the life that a registration is of.
func IncarnationOf(r *wire.Registration) Incarnation {
	return Incarnation{ID: r.Id, StartedUnixMilli: r.BornUnixMilli}
}

// String returns a name of the life that no other life has.
func (l Incarnation) String() string {
	if l.StartedUnixMilli == 0 {
		return l.ID
	}
	return fmt.Sprintf("%s@%d", l.ID, l.StartedUnixMilli)
}

// compareBirths tells whether an update is of a former (-1), the same (0) or a later
// (1) life than the one that is known. One that tells no birth where one is known
// is of another writer or a former life.
func compareBirths(update, known int64) int {
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

// aliveUpdates is after how many updates of a target that departed it is taken in again.
// A leave names no life, so that a late one of the life before may have ended this
// one. A target that does leave says nothing more, but for updates that are late by
// seconds; this many are 12 s of updates where one comes each 1.5 s.
const aliveUpdates = 8

// ApplyRegistration enters, changes or ends a registration. An update that is
// older than what is known of the target, or comes after its leave, changes
// nothing; a target that takes the address of another one ends that one.
func (s State) ApplyRegistration(c *wire.RegistrationCommand) (State, bool) {
	next, changed := s.ApplyRegistrations([]*wire.RegistrationCommand{c})
	return next, changed[0]
}

// ApplyRegistrations applies registration updates one after the other and tells of each
// whether it changed the state. It goes through the targets and copies their list
// once, however many updates there are.
func (s State) ApplyRegistrations(updates []*wire.RegistrationCommand) (State, []bool) {
	e := newEditing(s, updates)
	changed := make([]bool, len(updates))
	for i, c := range updates {
		changed[i] = e.apply(c)
	}
	return e.state(), changed
}

// WouldChange reports whether a target's update would change the state.
func (s State) WouldChange(r *wire.Registration, leave bool) bool {
	return newEditing(s, []*wire.RegistrationCommand{{Registration: r, Leave: leave}}).isNews(r, leave)
}

// IsRedundant reports whether an update of the same life as a known one says nothing new:
// it is older, or says the same.
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

// departuresOf returns ids of targets that have left as departures.
func departuresOf(ids []string) []*wire.Departure {
	var out []*wire.Departure
	for _, id := range ids {
		out = append(out, &wire.Departure{Id: id})
	}
	return out
}
