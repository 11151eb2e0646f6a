package balance

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/placement"
	"ledgesill.dev/ledgesill/pkg/rollout"
)

// Config identifies the box that a Balancer runs on.
type Config struct {
	Box    string
	Zone   string
	Region string
	// DividesObjects reports whether the objects of a service are divided between the regions; nil if
	// those of no service are.
	DividesObjects func(service string) bool
}

// Box is an entry box in service.
type Box struct {
	Name   string
	Region string
}

// service is the state that the box keeps for one service.
type service struct {
	name      string
	targets   []*targetState
	coldLimit ColdLimit
	meanTime  time.Duration
	load      serviceLoad
	// capacityPerSlot is the capacity learned from the last rejection, in requests per slot, or
	// zero if there was none. It applies to targets that have no estimate of their own.
	capacityPerSlot float64
	// keylessRequests varies the ranking of requests without an affinity key, and retryPhase
	// spreads the Retry-After given to callers.
	keylessRequests uint64
	retryPhase      float64
	// splitter divides the requests between versions; nil if the service has had no roll-out.
	splitter *rollout.Splitter
	// divides is set if the objects are divided between the regions, by division, as of divisionAt.
	// localTargets is the number
	// of targets of the box's own region that can serve them.
	divides      bool
	division     placement.Division
	divisionAt   time.Time
	localTargets int
	// spareRegions are the other regions that can serve callers of the box's region.
	spareRegions []string
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	config     Config
	services   map[string]*service
	byID       map[string]*targetState
	routeTimes map[string]*serviceTimes
	evacuated  map[string]bool
	// version is the version of the state that the targets and evacuations come from.
	version uint64
	boxes   []rankedBox
	// boxesRevision counts the calls of SetBoxes.
	boxesRevision uint64
	// regionBoxes and regionCount are the boxes of this box's region and the regions with boxes, as
	// of countedRevision.
	regionBoxes, regionCount int
	countedRevision          uint64
	// roundTrips holds the shortest round trip measured to each region. A region without a
	// measurement counts as near.
	roundTrips map[string]time.Duration
	// jitterPhase spreads the ends of back-offs.
	jitterPhase float64
}

// New returns a balancer without targets.
func New(c Config) *Balancer {
	return &Balancer{
		config:     c,
		services:   make(map[string]*service),
		byID:       make(map[string]*targetState),
		routeTimes: make(map[string]*serviceTimes),
		evacuated:  make(map[string]bool),
		roundTrips: make(map[string]time.Duration),

		jitterPhase: initialPhase(c.Box),
	}
}

// rankedBox is a box with the hash that ranks it for cold targets.
type rankedBox struct {
	Box
	hash uint64
}

// SetBoxes sets the entry boxes in service, including this one.
func (b *Balancer) SetBoxes(boxes []Box) {
	b.boxesRevision++
	b.boxes = make([]rankedBox, 0, len(boxes))
	for _, box := range boxes {
		b.boxes = append(b.boxes, rankedBox{Box: box, hash: xxhash.Sum64String(box.Name)})
	}
}

// SetColdLimit sets the request limit for cold targets of a service.
func (b *Balancer) SetColdLimit(name string, limit ColdLimit) { b.service(name).coldLimit = limit }

// SetVersion sets the version of the state that the targets and evacuations come from.
func (b *Balancer) SetVersion(version uint64) { b.version = version }

// SetEvacuated sets the zones whose targets receive no requests. When the evacuation of a zone
// ends, its targets count as cold.
func (b *Balancer) SetEvacuated(now time.Time, zones []string) {
	for zone := range b.evacuated {
		if slices.Contains(zones, zone) {
			continue
		}
		delete(b.evacuated, zone)
		b.markZoneCold(now, zone)
	}
	for _, zone := range zones {
		b.evacuated[zone] = true
	}
}

// SetTargets replaces the registered targets. The state of targets that remain registered is kept.
func (b *Balancer) SetTargets(now time.Time, targets []Target) {
	next := make(map[string]*targetState, len(targets))
	for _, s := range b.services {
		s.targets = nil
	}
	for _, registered := range targets {
		t := b.byID[registered.ID]
		if t == nil {
			t = b.newTarget(now, registered)
		}
		b.update(now, t, registered)
		next[registered.ID] = t
		b.addToService(registered.Service, t)
	}
	b.byID = next
}

// ChangeTargets removes the targets with the ended IDs, then adds or updates the changed ones; all
// others stay as they are. The result equals that of SetTargets with the full list, at a cost
// proportional to the change.
func (b *Balancer) ChangeTargets(now time.Time, changed []Target, ended []string) {
	b.removeTargets(ended)
	for _, registered := range changed {
		t := b.byID[registered.ID]
		if t != nil && t.Service != registered.Service {
			s := b.service(t.Service)
			s.targets = slices.DeleteFunc(s.targets, func(other *targetState) bool { return other == t })
			b.addToService(registered.Service, t)
		}
		if t == nil {
			t = b.newTarget(now, registered)
			b.byID[registered.ID] = t
			b.addToService(registered.Service, t)
		}
		b.update(now, t, registered)
	}
}

func (b *Balancer) removeTargets(ended []string) {
	removed := make(map[*targetState]bool, len(ended))
	services := make(map[string]bool)
	for _, id := range ended {
		if t := b.byID[id]; t != nil {
			removed[t] = true
			services[t.Service] = true
			delete(b.byID, id)
		}
	}
	for name := range services {
		s := b.service(name)
		s.targets = slices.DeleteFunc(s.targets, func(t *targetState) bool { return removed[t] })
	}
}

func (b *Balancer) addToService(name string, t *targetState) {
	s := b.service(name)
	s.targets = append(s.targets, t)
}

func (b *Balancer) newTarget(now time.Time, registered Target) *targetState {
	t := newTargetState(registered)
	if registered.Cold {
		b.markCold(now, t, registered.ColdRemaining)
	}
	return t
}

func (b *Balancer) update(now time.Time, t *targetState, registered Target) {
	if registered.Cold && !t.Cold {
		b.markCold(now, t, registered.ColdRemaining)
	}
	if !registered.Cold && t.Cold {
		t.coldUntil = time.Time{}
	}
	if t.Slots == 0 {
		t.Slots = registered.Slots
	}
	if t.Region != registered.Region {
		t.sharersRevision = 0
	}
	slots := t.Slots
	t.Target = registered
	t.Slots = slots
}

// RouteCount returns the number of routes that service times are kept for.
func (b *Balancer) RouteCount() int { return len(b.routeTimes) }

// KeepRoutes drops the service times of all routes but the named ones.
func (b *Balancer) KeepRoutes(names map[string]bool) {
	maps.DeleteFunc(b.routeTimes, func(name string, _ *serviceTimes) bool { return !names[name] })
}

// Target returns a registered target.
func (b *Balancer) Target(id string) (t Target, ok bool) {
	if found := b.byID[id]; found != nil {
		return found.Target, true
	}
	return Target{}, false
}

// ProbeTarget returns any target of a zone that is in service.
func (b *Balancer) ProbeTarget(zone string) (t Target, ok bool) {
	for _, candidate := range b.byID {
		if candidate.Zone == zone && b.isInService(candidate) && !candidate.isLeaving() {
			return candidate.Target, true
		}
	}
	return Target{}, false
}

// TargetZones returns the availability zones of a region that have targets.
func (b *Balancer) TargetZones(region string) (zones []string) {
	for _, t := range b.byID {
		if t.Region == region && !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	return zones
}

// ReadmitZone ends the ejections of the targets of a zone and forgets the failures that led to
// them.
func (b *Balancer) ReadmitZone(zone string) {
	for _, t := range b.byID {
		if t.Zone == zone {
			t.failures = 0
			t.brokenAnswers = 0
			t.ejectedUntil = time.Time{}
		}
	}
}

// HasTarget reports whether a target is registered.
func (b *Balancer) HasTarget(id string) bool { return b.byID[id] != nil }

// IsLeaving reports whether a target is in a planned stop: it is draining, has reported that it is
// leaving, or is no longer registered.
func (b *Balancer) IsLeaving(id string) bool {
	t := b.byID[id]
	return t == nil || t.Draining || t.isLeaving()
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name, retryPhase: initialPhase(b.config.Box)}
		b.services[name] = s
	}
	return s
}

func (b *Balancer) timesOfRoute(r Request) *serviceTimes {
	t := b.routeTimes[r.Route]
	if t == nil {
		t = newServiceTimes(r.Objective)
		b.routeTimes[r.Route] = t
	}
	return t
}
