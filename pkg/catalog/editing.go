package catalog

import (
	"slices"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// editing is a state while registration updates are applied to it. It knows by their ids
// and addresses the targets and departures that the updates may touch, and copies a
// list before its first change.
type editing struct {
	from State
	// targets and departed are the lists, in which nil stands for what was taken out.
	targets  []*wire.Registration
	departed []*wire.Departure
	// ownsTargets and ownsDeparted tell that the lists are copies.
	ownsTargets  bool
	ownsDeparted bool
	// places are those of targets in the list by id, owners those that have told an
	// address, and departures the places of departures by id.
	places     map[string]int
	owners     map[string][]int
	departures map[string]int
	// oldest is the place of the oldest departure that is kept, kept their number.
	oldest int
	kept   int
}

func newEditing(s State, updates []*wire.RegistrationCommand) *editing {
	e := &editing{
		from: s, targets: s.targets, departed: s.departed, kept: len(s.departed),
		places: make(map[string]int), owners: make(map[string][]int), departures: make(map[string]int),
	}
	var ids, addresses names
	for _, c := range updates {
		if r := c.Registration; r != nil {
			ids.add(r.Id)
			addresses.add(r.Address)
		}
	}
	for i, t := range s.targets {
		if ids.has(t.Id) || addresses.has(t.Address) {
			e.place(i, t)
		}
	}
	for id := range e.places {
		ids.add(id) // the owner of an address may depart
	}
	for i, d := range s.departed {
		if ids.has(d.Id) {
			e.departures[d.Id] = i
		}
	}
	return e
}

func (e *editing) place(i int, t *wire.Registration) {
	e.places[t.Id] = i
	e.owners[t.Address] = append(e.owners[t.Address], i)
}

func (e *editing) apply(c *wire.RegistrationCommand) (changed bool) {
	r := c.Registration
	if r == nil || !e.isNews(r, c.Leave) {
		return false
	}
	if c.Leave {
		e.depart(r.Id)
		return true
	}
	for _, other := range e.others(r) {
		e.depart(other.Id)
	}
	e.ownTargets()
	i, known := e.places[r.Id]
	if !known {
		i = len(e.targets)
		e.targets = append(e.targets, nil)
	}
	e.targets[i] = r
	e.place(i, r)
	return true
}

// others returns the targets besides its own that have the address of an update.
func (e *editing) others(r *wire.Registration) []*wire.Registration {
	var out []*wire.Registration
	for _, i := range e.owners[r.Address] {
		t := e.targets[i]
		if t != nil && t.Address == r.Address && t.Id != r.Id && !slices.Contains(out, t) {
			out = append(out, t)
		}
	}
	return out
}

func (e *editing) target(id string) *wire.Registration {
	if i, ok := e.places[id]; ok {
		return e.targets[i]
	}
	return nil
}

// isNews reports whether a target's update would change the state.
func (e *editing) isNews(r *wire.Registration, leave bool) bool {
	if e.hasLeft(r, leave) {
		return false
	}
	known := e.target(r.Id)
	if leave {
		return known == nil || r.BornUnixMilli == 0 || compareBirths(r.BornUnixMilli, known.BornUnixMilli) >= 0
	}
	if e.isOlderThanOwner(r) {
		return false
	}
	if known == nil {
		return true
	}
	if order := compareBirths(r.BornUnixMilli, known.BornUnixMilli); order != 0 {
		return order > 0
	}
	return !IsRedundant(known, r)
}

// hasLeft reports whether an update is of a life that has departed.
func (e *editing) hasLeft(r *wire.Registration, leave bool) bool {
	i, ok := e.departures[r.Id]
	if !ok {
		return false
	}
	d := e.departed[i]
	if leave {
		return e.target(r.Id) == nil
	}
	order := compareBirths(r.BornUnixMilli, d.BornUnixMilli)
	alive := order == 0 && r.BornUnixMilli > 0 && !r.Draining && r.Sequence >= d.Sequence+aliveUpdates
	return order <= 0 && !alive
}

// isOlderThanOwner reports whether the address of an update belongs to another target
// that started later.
func (e *editing) isOlderThanOwner(r *wire.Registration) bool {
	return slices.ContainsFunc(e.others(r), func(other *wire.Registration) bool {
		return r.BornUnixMilli > 0 && r.BornUnixMilli < other.BornUnixMilli
	})
}

// depart takes a target out and notes its departure, the latest of its id.
func (e *editing) depart(id string) {
	d := &wire.Departure{Id: id}
	if i, known := e.places[id]; known {
		d.BornUnixMilli = e.targets[i].BornUnixMilli
		d.Sequence = e.targets[i].Sequence
		e.ownTargets()
		e.targets[i] = nil
		delete(e.places, id)
	}
	e.ownDeparted()
	if i, known := e.departures[id]; known {
		e.departed[i] = nil
		e.kept--
	}
	e.departures[id] = len(e.departed)
	e.departed = append(e.departed, d)
	e.kept++
	if e.kept > maxDeparted {
		e.forgetOldest()
	}
}

// forgetOldest lets go of the oldest departure.
func (e *editing) forgetOldest() {
	for e.departed[e.oldest] == nil {
		e.oldest++
	}
	delete(e.departures, e.departed[e.oldest].Id)
	e.departed[e.oldest] = nil
	e.kept--
}

func (e *editing) ownTargets() {
	if !e.ownsTargets {
		e.targets = slices.Clone(e.targets)
		e.ownsTargets = true
	}
}

func (e *editing) ownDeparted() {
	if !e.ownsDeparted {
		e.departed = slices.Clone(e.departed)
		e.ownsDeparted = true
	}
}

// state returns the state that the updates have led to. A list that did not change is
// the one of the state before.
func (e *editing) state() State {
	s := e.from
	if e.ownsTargets {
		s.targets = slices.DeleteFunc(e.targets, func(r *wire.Registration) bool { return r == nil })
	}
	if e.ownsDeparted {
		s.departed = slices.DeleteFunc(e.departed, func(d *wire.Departure) bool { return d == nil })
	}
	return s
}

// fewNames is up to how many names comparing each is quicker than a map: 2 ns a name
// against 20 ns a look-up.
const fewNames = 8

// names is a set of names. The zero value is empty.
type names struct {
	few  []string
	many map[string]bool
}

func (n *names) add(name string) {
	if n.has(name) {
		return
	}
	n.few = append(n.few, name)
	if n.many == nil && len(n.few) <= fewNames {
		return
	}
	if n.many == nil {
		n.many = make(map[string]bool)
		for _, other := range n.few {
			n.many[other] = true
		}
	}
	n.many[name] = true
}

func (n *names) has(name string) bool {
	if n.many != nil {
		return n.many[name]
	}
	return slices.Contains(n.few, name)
}
