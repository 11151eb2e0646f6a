package catalog

import (
	"fmt"
	"slices"

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
	r := c.Registration
	if r == nil || !s.News(r, c.Leave) {
		return s, false
	}
	if c.Leave {
		return s.depart(r.Id), true
	}
	for _, other := range s.targets {
		if other.Address == r.Address && other.Id != r.Id {
			s = s.depart(other.Id)
		}
	}
	i := s.indexOf(r.Id)
	s.targets = slices.Clone(s.targets)
	if i < 0 {
		s.targets = append(s.targets, r)
		return s, true
	}
	s.targets[i] = r
	return s, true
}

// News reports whether a target's word would change the state.
func (s State) News(r *wire.Registration, leave bool) bool {
	if s.hasLeft(r, leave) {
		return false
	}
	known, ok := s.Target(r.Id)
	if leave {
		return !ok || r.BornUnixMilli == 0 || compareBirths(r.BornUnixMilli, known.BornUnixMilli) >= 0
	}
	if s.isOlderThanOwner(r) {
		return false
	}
	if !ok {
		return true
	}
	if order := compareBirths(r.BornUnixMilli, known.BornUnixMilli); order != 0 {
		return order > 0
	}
	return !Repeats(known, r)
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

// hasLeft reports whether a word is of a life that has departed.
func (s State) hasLeft(r *wire.Registration, leave bool) bool {
	i := slices.IndexFunc(s.departed, func(d *wire.Departure) bool { return d.Id == r.Id })
	if i < 0 {
		return false
	}
	d := s.departed[i]
	if leave {
		_, back := s.Target(r.Id)
		return !back
	}
	order := compareBirths(r.BornUnixMilli, d.BornUnixMilli)
	alive := order == 0 && r.BornUnixMilli > 0 && !r.Draining && r.Sequence >= d.Sequence+aliveWords
	return order <= 0 && !alive
}

// isOlderThanOwner reports whether the address of a word belongs to another target
// that started later.
func (s State) isOlderThanOwner(r *wire.Registration) bool {
	return slices.ContainsFunc(s.targets, func(other *wire.Registration) bool {
		return other.Address == r.Address && other.Id != r.Id && r.BornUnixMilli > 0 && r.BornUnixMilli < other.BornUnixMilli
	})
}

func (s State) depart(id string) State {
	d := &wire.Departure{Id: id}
	if known, ok := s.Target(id); ok {
		d.BornUnixMilli = known.BornUnixMilli
		d.Sequence = known.Sequence
	}
	s.targets = slices.DeleteFunc(slices.Clone(s.targets), func(r *wire.Registration) bool { return r.Id == id })
	others := slices.DeleteFunc(slices.Clone(s.departed), func(other *wire.Departure) bool { return other.Id == id })
	s.departed = appendBounded(others, d, maxDeparted)
	return s
}

// departuresOf returns ids of targets that have left as departures.
func departuresOf(ids []string) []*wire.Departure {
	var out []*wire.Departure
	for _, id := range ids {
		out = append(out, &wire.Departure{Id: id})
	}
	return out
}
