package balance

import (
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

const (
	// patienceFactor is how many times the mean time of a target that has not
	// seen the object is waited for an answer.
	patienceFactor = 3
	// leastPatience bounds the patience from below: some turns of a network
	// with losses.
	leastPatience = 700 * time.Millisecond
	// firstRetryAfter is the wait told when no target can be used.
	firstRetryAfter = 300 * time.Millisecond
	// leastRetryAfter is the shortest wait told to a refused request: about what
	// the way to the caller and a new connection take, so that it bounds how
	// often a caller asks and hardly delays it.
	leastRetryAfter = 20 * time.Millisecond
	// reachPart is the part of a route's objective that the way to another
	// region and back may take; a target that knows the object needs about
	// half of the objective.
	reachPart = 0.4
)

// service is what the box knows of one service.
type service struct {
	name    string
	targets []*targetState
	cold    ColdLimit
	mean    time.Duration
	crowd   crowd
	// turns spreads requests without a key.
	turns uint64
}

// Balancer chooses targets. It is not safe for concurrent use.
type Balancer struct {
	config    Config
	services  map[string]*service
	byID      map[string]*targetState
	times     map[string]*times
	evacuated map[string]bool
	boxes     []Box
	// distances are the shortest round trips to the regions; a region that is
	// not known yet is thought to be near.
	distances map[string]time.Duration
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
	}
}

// SetBoxes tells which entry boxes serve, this one included.
func (b *Balancer) SetBoxes(boxes []Box) { b.boxes = slices.Clone(boxes) }

// SetCold tells what cold targets of a service bear.
func (b *Balancer) SetCold(name string, limit ColdLimit) { b.service(name).cold = limit }

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
			t = newTargetState(given)
			if given.Cold {
				b.cool(now, t, given.ColdLeft)
			}
		}
		b.change(now, t, given)
		next[given.ID] = t
		s := b.service(given.Service)
		s.targets = append(s.targets, t)
	}
	b.byID = next
}

func (b *Balancer) change(now time.Time, t *targetState, given Target) {
	if given.Cold && !t.Cold {
		b.cool(now, t, given.ColdLeft)
	}
	if !given.Cold && t.Cold {
		t.coldUntil = time.Time{}
	}
	if t.Slots == 0 {
		t.Slots = given.Slots
	}
	slots := t.Slots
	t.Target = given
	t.Slots = slots
}

// Knows reports whether a target is registered.
func (b *Balancer) Knows(id string) bool { return b.byID[id] != nil }

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name}
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

// Choose returns the target that a request is to be sent to, and counts the
// request there until Done. The error is a NoTargetError.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, error) {
	s := b.service(r.Service)
	learned := b.timesOf(r)
	key := s.keyHash(r)
	chosen := b.home(now, s, r, key)
	if chosen == nil {
		none := &NoTargetError{Service: r.Service, Reason: ReasonNone, RetryAfter: firstRetryAfter}
		none.Registered = len(s.targets)
		return Choice{}, none
	}
	wait := chosen.wait(now, learned.mixed)
	longest := longestWait(r, learned)
	if wait > learned.detour(r, longest) && (r.Key == "" || !s.crowd.isCrowded()) {
		chosen, wait = b.besideHome(now, s, r, key, b.inReach(chosen, r)).pick(now, learned.mixed)
	}
	if wait > longest {
		return Choice{}, &NoTargetError{
			Service:     r.Service,
			Reason:      ReasonFull,
			RetryAfter:  max(wait, leastRetryAfter),
			Registered:  len(s.targets),
			Target:      chosen.ID,
			Load:        chosen.load(now),
			Slots:       chosen.Slots,
			Wait:        wait,
			Longest:     longest,
			ServiceLoad: s.crowd.load,
		}
	}
	return b.take(now, chosen, wait, learned), nil
}

// home returns the target that ranks highest for an object, in reach if there
// is one; nil if none can be used.
func (b *Balancer) home(now time.Time, s *service, r Request, key uint64) *targetState {
	var near, far ranked
	for _, t := range s.targets {
		if !b.mayTake(now, s, t, r) {
			continue
		}
		best := &far
		if b.inReach(t, r) {
			best = &near
		}
		if c := b.rank(t, r, key); best.target == nil || c.above(*best) {
			*best = c
		}
	}
	if near.target != nil {
		return near.target
	}
	return far.target
}

// besideHome returns the targets that rank highest for an object, its home among
// them: of those in reach, or of the others if none is.
func (b *Balancer) besideHome(now time.Time, s *service, r Request, key uint64, reach bool) *ranking {
	var out ranking
	for _, t := range s.targets {
		if b.inReach(t, r) == reach && b.mayTake(now, s, t, r) {
			out.consider(b.rank(t, r, key))
		}
	}
	return &out
}

func (b *Balancer) rank(t *targetState, r Request, key uint64) ranked {
	return ranked{target: t, rank: mix(key ^ t.hash), near: r.Near && t.Zone == b.config.Zone}
}

// mayTake reports whether a target may be sent the request now.
func (b *Balancer) mayTake(now time.Time, s *service, t *targetState, r Request) bool {
	if !b.isUsable(now, t) || !r.allows(t) {
		return false
	}
	return !t.isCold(now) || b.mayWarm(now, s, t)
}

// inReach reports whether a target counts for the request like one of the
// box's own region. A large answer stays in the region; other requests may go
// as far as leaves enough of their objective for the target.
func (b *Balancer) inReach(t *targetState, r Request) bool {
	if t.Region == b.config.Region {
		return true
	}
	return !r.Near && b.distances[t.Region] <= time.Duration(reachPart*float64(r.Objective))
}

// RetryAfter returns when a request that a target turned away may come back: once
// a slot is free there as far as is known, or at once where the target had one
// and turned it away for another reason.
func (b *Balancer) RetryAfter(now time.Time, targetID, route string) time.Duration {
	t, learned := b.byID[targetID], b.times[route]
	if t == nil || learned == nil {
		return leastRetryAfter
	}
	return max(t.wait(now, learned.mixed), leastRetryAfter)
}

// longestWait is how long a request may wait for a slot and still be answered
// within the time that is left, by a target that knows its object. A request
// that would wait for longer is refused at once: it would hold a slot for an
// answer that comes too late. Shorter bounds (0.4 to 0.6 of it) refused requests
// that could have been answered in time: 0.12 instead of 0.10 of all in the worst
// load of make measure's model deployments.
func longestWait(r Request, learned *times) time.Duration {
	return max(r.Left-learned.warm, 0)
}

func (b *Balancer) take(now time.Time, t *targetState, wait time.Duration, learned *times) Choice {
	load := t.load(now)
	t.inFlight++
	if t.isCold(now) {
		t.tokens--
	}
	return Choice{
		Target:   t.Target,
		Remote:   t.Region != b.config.Region,
		Wait:     wait,
		Patience: max(patienceFactor*learned.cold+wait, leastPatience),
		Load:     load,
	}
}

// isUsable reports whether a target may be sent any request at all.
func (b *Balancer) isUsable(now time.Time, t *targetState) bool {
	return !t.Draining && !b.evacuated[t.Zone] && !t.isOut(now) && t.paceNow(now) <= slowPace
}

// keyHash stands for the object, or for a different one each time where the
// object does not matter.
func (s *service) keyHash(r Request) uint64 {
	if r.Key == "" {
		s.turns++
		return mix(s.turns)
	}
	return xxhash.Sum64String(r.Key)
}
