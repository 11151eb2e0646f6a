package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is what a Balancer is told at its start.
type Config struct {
	Box    string
	Zone   string
	Region string
}

// Box is an entry box that serves.
type Box struct {
	Name   string
	Region string
}

// service is what the box knows of one service.
type service struct {
	name    string
	targets []*targetState
	cold    ColdLimit
	mean    time.Duration
	crowd   crowd
	// roomPerSlot is what the target bears, in requests a slot, that was last learned of;
	// zero for none. It stands for the targets that nothing was learned of.
	roomPerSlot float64
	// turns spreads requests without a key, and returnTurn callers that come back.
	turns      uint64
	returnTurn float64
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	services  map[string]*service
	byID      map[string]*targetState
	times     map[string]*times
	evacuated map[string]bool
	// version is that of the state which targets and evacuations are from.
	version uint64
	boxes   []rankedBox
	// boxesChange counts the changes of the boxes.
	boxesChange uint64
	// distances are the shortest round trips to the regions; a region that is
	// not known yet is thought to be near.
	distances map[string]time.Duration
	// jitterTurn spreads the ends of back-offs.
	jitterTurn float64
}

// New returns a balancer without targets.
func New(c Config) *Balancer {
	return &Balancer{
		config:    c,
		services:  make(map[string]*service),
		byID:      make(map[string]*targetState),
		times:     make(map[string]*times),
		evacuated: make(map[string]bool),
		distances: make(map[string]time.Duration),

		jitterTurn: firstTurn(c.Box),
	}
}

// rankedBox is a box with the hash by which it ranks for cold targets.
type rankedBox struct {
	Box
	hash uint64
}

// SetBoxes tells which entry boxes serve, this one included.
func (b *Balancer) SetBoxes(boxes []Box) {
	b.boxesChange++
	b.boxes = make([]rankedBox, 0, len(boxes))
	for _, box := range boxes {
		b.boxes = append(b.boxes, rankedBox{Box: box, hash: xxhash.Sum64String(box.Name)})
	}
}

// SetColdLimit tells what cold targets of a service bear.
func (b *Balancer) SetColdLimit(name string, limit ColdLimit) { b.service(name).cold = limit }

// SetVersion sets the version of the state which the targets and evacuations are from.
func (b *Balancer) SetVersion(version uint64) { b.version = version }

// SetEvacuated tells the zones whose targets get nothing. The targets of a
// zone whose evacuation has ended count as cold.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	for zone := range b.evacuated {
		if slices.Contains(zones, zone) {
			continue
		}
		delete(b.evacuated, zone)
		b.coolZone(now, zone)
	}
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
}

// SetTargets replaces the registered targets. What is known of those that stay
// is kept.
func (b *Balancer) SetTargets(now time.Time, targets []Target) {
	next := make(map[string]*targetState, len(targets))
	for _, s := range b.services {
		s.targets = nil
	}
	for _, given := range targets {
		t := b.byID[given.ID]
		if t == nil {
			t = b.newTarget(now, given)
		}
		b.change(now, t, given)
		next[given.ID] = t
		b.addTo(given.Service, t)
	}
	b.byID = next
}

// ChangeTargets takes registrations that are new or have changed and the ids of those
// that have ended, the latter first; the others stay as they are. It leads to the
// same as SetTargets with all of them and costs what changes.
func (b *Balancer) ChangeTargets(now time.Time, changed []Target, ended []string) {
	b.remove(ended)
	for _, given := range changed {
		t := b.byID[given.ID]
		if t != nil && t.Service != given.Service {
			s := b.service(t.Service)
			s.targets = slices.DeleteFunc(s.targets, func(other *targetState) bool { return other == t })
			b.addTo(given.Service, t)
		}
		if t == nil {
			t = b.newTarget(now, given)
			b.byID[given.ID] = t
			b.addTo(given.Service, t)
		}
		b.change(now, t, given)
	}
}

func (b *Balancer) remove(ended []string) {
	gone := make(map[*targetState]bool, len(ended))
	services := make(map[string]bool)
	for _, id := range ended {
		if t := b.byID[id]; t != nil {
			gone[t] = true
			services[t.Service] = true
			delete(b.byID, id)
		}
	}
	for name := range services {
		s := b.service(name)
		s.targets = slices.DeleteFunc(s.targets, func(t *targetState) bool { return gone[t] })
	}
}

func (b *Balancer) addTo(name string, t *targetState) {
	s := b.service(name)
	s.targets = append(s.targets, t)
}

func (b *Balancer) newTarget(now time.Time, given Target) *targetState {
	t := newTargetState(given)
	if given.Cold {
		b.cool(now, t, given.ColdRemaining)
	}
	return t
}

func (b *Balancer) change(now time.Time, t *targetState, given Target) {
	if given.Cold && !t.Cold {
		b.cool(now, t, given.ColdRemaining)
	}
	if !given.Cold && t.Cold {
		t.coldUntil = time.Time{}
	}
	if t.Slots == 0 {
		t.Slots = given.Slots
	}
	if t.Region != given.Region {
		t.sharersKnown = 0
	}
	slots := t.Slots
	t.Target = given
	t.Slots = slots
}

// RouteCount is how many routes the balancer remembers times of.
func (b *Balancer) RouteCount() int { return len(b.times) }

// KeepRoutes forgets the times of all other routes.
func (b *Balancer) KeepRoutes(names map[string]bool) {
	maps.DeleteFunc(b.times, func(name string, _ *times) bool { return !names[name] })
}

// HasTarget reports whether a target is registered.
func (b *Balancer) HasTarget(id string) bool { return b.byID[id] != nil }

// IsLeaving reports whether a target ends as planned: it drains, reported that it leaves, or
// has left.
func (b *Balancer) IsLeaving(id string) bool {
	t := b.byID[id]
	return t == nil || t.Draining || t.isLeaving()
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name, returnTurn: firstTurn(b.config.Box)}
		b.services[name] = s
	}
	return s
}

func (b *Balancer) timesOf(r Request) *times {
	t := b.times[r.Route]
	if t == nil {
		t = newTimes(r.Objective)
		b.times[r.Route] = t
	}
	return t
}
