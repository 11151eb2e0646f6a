package catalog

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Life is one life of a target: from a start under its id to its end. All that is
// learned of a target holds for one life.
type Life struct {
	ID string
	// Born is when it started, in Unix milliseconds; 0 if the target does not tell.
	Born int64
}

// LifeOf returns the life that a registration is of.
func LifeOf(r *wire.Registration) Life { return Life{ID: r.Id, Born: r.BornUnixMilli} }

// String returns a name of the life that no other life has.
func (l Life) String() string {
	if l.Born == 0 {
		return l.ID
	}
	return fmt.Sprintf("%s@%d", l.ID, l.Born)
}

// compareBirths tells whether a word is of a former (-1), the same (0) or a later
// (1) life than the one that is known. One that tells no birth where one is known
// is of another writer or a former life.
func compareBirths(word, known int64) int {
	switch {
	case word == known:
		return 0
	case word == 0:
		return -1
	case known == 0 || word > known:
		return 1
	}
	return -1
}

// aliveWords is after how many words of a target that departed it is taken in again.
// A leave names no life, so that a late one of the life before may have ended this
// one. A target that does leave says nothing more, but for words that are late by
// seconds; this many are 12 s of words where one comes each 1.5 s.
const aliveWords = 8

// ApplyRegistration enters, changes or ends a registration. A word that is
// older than what is known of the target, or comes after its leave, changes
// nothing; a target that takes the address of another one ends that one.
func (s State) ApplyRegistration(c *wire.RegistrationCommand) (State, bool) {
	next, changed := s.ApplyRegistrations([]*wire.RegistrationCommand{c})
	return next, changed[0]
}

// ApplyRegistrations applies words of targets one after the other and tells of each
// whether it changed the state. It goes through the targets and copies their list
// once, however many words there are.
func (s State) ApplyRegistrations(words []*wire.RegistrationCommand) (State, []bool) {
	e := newEditing(s, words)
	changed := make([]bool, len(words))
	for i, c := range words {
		changed[i] = e.apply(c)
	}
	return e.state(), changed
}

// News reports whether a target's word would change the state.
func (s State) News(r *wire.Registration, leave bool) bool {
	return newEditing(s, []*wire.RegistrationCommand{{Registration: r, Leave: leave}}).isNews(r, leave)
}

// Repeats reports whether a word of the same life as a known one says nothing new:
// it is older, or says the same.
func Repeats(known, r *wire.Registration) bool {
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
