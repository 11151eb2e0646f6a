package balance

import (
	"fmt"
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

// ColdLimit bounds the requests to a cold target of a service, all entry boxes
// together.
type ColdLimit struct {
	// Time is how long a target stays cold.
	Time time.Duration
	// Rate is the requests a second that it bears.
	Rate float64
}

// Box is an entry box that serves.
type Box struct {
	Name   string
	Region string
}

// Request is what a target is sought for.
type Request struct {
	Service string
	// Route names the route, whose service times are learned.
	Route string
	// Key is the object that the request is about; empty if it does not matter
	// which target has seen it.
	Key string
	// Regions are the only ones that may serve it; all if it is empty.
	Regions []string
	// Near prefers targets of the box's zone, for answers that are large.
	Near bool
	// Urgent requests may wait longer for a slot than others.
	Urgent bool
	// Objective is the latency at which the answer is still on time, and Left
	// what remains of it.
	Objective time.Duration
	Left      time.Duration
	// Tried are the targets that it was sent to before.
	Tried []string
}

// Choice is the target that a request is to be sent to. Done must follow.
type Choice struct {
	Target Target
	// Remote tells that the target is in another region.
	Remote bool
	// Wait is how long the request is thought to wait for a slot there.
	Wait time.Duration
	// Patience is how long to wait for the answer before the target is
	// thought to be stuck.
	Patience time.Duration
	// Load is what the target was thought to have.
	Load float64
}

// NoTargetError says why no target can run a request in time.
type NoTargetError struct {
	Service string
	Reason  string
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of %s: %s; try again in %s", e.Service, e.Reason, e.RetryAfter)
}

// Reasons of a NoTargetError.
const (
	ReasonNone = "none can be used"
	ReasonFull = "all are full"
)

const (
	// urgentWait and otherWait are the parts of the time that is left, less
	// the time of service, for which a request may wait for a slot; the rest
	// is for what other boxes send at the same moment.
	urgentWait = 0.6
	otherWait  = 0.4
	// patienceFactor is how many times the mean time of a target that has not
	// seen the object is waited for an answer.
	patienceFactor = 3
	// leastPatience bounds the patience from below: some turns of a network
	// with losses.
	leastPatience = 700 * time.Millisecond
	// firstRetryAfter is the wait told when no target can be used.
	firstRetryAfter = 300 * time.Millisecond
	// leastRetryAfter is the shortest wait told to a refused request.
	leastRetryAfter = 50 * time.Millisecond
	// keptObjects is how many objects a target is thought to keep in mind at
	// least. Targets do not tell it; the users' keep 25 or more.
	keptObjects = 24
	// reachPart is the part of a route's objective that the way to another
	// region and back may take; a target that knows the object needs about
	// half of the objective.
	reachPart = 0.4
	// coldShare is the part of a cold target's rate that the boxes use
	// together, and coldBoxes how many boxes share it: each may be one
	// request ahead of its share.
	coldShare = 0.9
	coldBoxes = 3
)

// service is what the box knows of one service.
type service struct {
	name    string
	targets []*targetState
	cold    ColdLimit
	mean    time.Duration
	objects objects
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

func (b *Balancer) coolZone(now time.Time, zone string) {
	for _, t := range b.byID {
		if t.Zone == zone {
			b.cool(now, t, b.service(t.Service).cold.Time)
		}
	}
}

func (b *Balancer) cool(now time.Time, t *targetState, left time.Duration) {
	until := now.Add(left)
	if until.After(t.coldUntil) {
		t.coldUntil = until
		t.tokens = 0
		t.tokensAt = now
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

// NoteCold takes a target's own word on how much longer it is cold.
func (b *Balancer) NoteCold(now time.Time, id string, left time.Duration) {
	if t := b.byID[id]; t != nil && left > 0 {
		b.cool(now, t, left)
	}
}

// Knows reports whether a target is registered.
func (b *Balancer) Knows(id string) bool { return b.byID[id] != nil }

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{name: name, objects: newObjects()}
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

// ranked is a target with its rank for an object.
type ranked struct {
	target *targetState
	rank   uint64
	near   bool
}

func (r ranked) above(other ranked) bool {
	if r.near != other.near {
		return r.near
	}
	return r.rank > other.rank
}

// maxPreferred bounds the targets that are considered for one object.
const maxPreferred = 4

// side is the part of a service's targets that is in the box's region, or the
// part that is not.
type side struct {
	// usable is how many targets may be used; top are those that rank highest.
	usable int
	top    [maxPreferred]ranked
	count  int
}

func (d *side) consider(r ranked) {
	d.usable++
	at := d.count
	if at == maxPreferred {
		if !r.above(d.top[at-1]) {
			return
		}
		at--
	} else {
		d.count++
	}
	for at > 0 && r.above(d.top[at-1]) {
		d.top[at] = d.top[at-1]
		at--
	}
	d.top[at] = r
}

// pick returns the highest of the preferred targets that has a free slot, or
// else the one with the shortest wait.
func (d *side) pick(now time.Time, preferred int, mean time.Duration) (*targetState, time.Duration) {
	var best *targetState
	shortest := time.Duration(0)
	for _, r := range d.top[:min(d.count, preferred)] {
		wait := r.target.wait(now, mean)
		if wait == 0 {
			return r.target, 0
		}
		if best == nil || wait < shortest {
			best = r.target
			shortest = wait
		}
	}
	return best, shortest
}

// Choose returns the target that a request is to be sent to, and counts the
// request there until Done. The error is a NoTargetError.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, error) {
	s := b.service(r.Service)
	learned := b.timesOf(r)
	key := b.keyHash(now, s, r)
	var near, far side
	for _, t := range s.targets {
		if !b.isUsable(now, t) || !r.allows(t) {
			continue
		}
		if t.isCold(now) && !b.mayWarm(now, s, t) {
			continue
		}
		d := &far
		if b.inReach(t, r) {
			d = &near
		}
		d.consider(ranked{target: t, rank: mix(key ^ t.hash), near: r.Near && t.Zone == b.config.Zone})
	}
	due := &near
	if near.count == 0 {
		due = &far
	}
	chosen, wait := due.pick(now, b.preferred(now, s, r, due.usable), learned.mixed)
	if chosen == nil {
		return Choice{}, &NoTargetError{Service: r.Service, Reason: ReasonNone, RetryAfter: firstRetryAfter}
	}
	if wait > b.longestWait(r, learned) {
		return Choice{}, &NoTargetError{Service: r.Service, Reason: ReasonFull, RetryAfter: max(wait, leastRetryAfter)}
	}
	return b.take(now, chosen, wait, learned), nil
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

func (b *Balancer) longestWait(r Request, learned *times) time.Duration {
	part := otherWait
	if r.Urgent {
		part = urgentWait
	}
	return time.Duration(part * float64(max(r.Left-learned.warm, 0)))
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

// allows reports whether a target is one that the request may be sent to.
func (r Request) allows(t *targetState) bool {
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, t.Region) {
		return false
	}
	return !slices.Contains(r.Tried, t.ID)
}

// keyHash stands for the object, or for a different one each time where the
// object does not matter.
func (b *Balancer) keyHash(now time.Time, s *service, r Request) uint64 {
	if r.Key == "" {
		s.turns++
		return mix(s.turns)
	}
	hash := xxhash.Sum64String(r.Key)
	s.objects.note(now, mix(hash)^xxhash.Sum64String(r.Route))
	return hash
}

// preferred returns how many targets of a side an object may be sent to: as
// many as can keep all objects in mind, so that the overflow of one target
// does not make another forget what it keeps.
func (b *Balancer) preferred(now time.Time, s *service, r Request, usable int) int {
	if r.Key == "" {
		return maxPreferred
	}
	all := float64(s.objects.count(now)) * b.regionsInUse()
	return max(int(keptObjects*float64(usable)/max(all, 1)), 1)
}

// regionsInUse is by how much more objects there are than the callers of this
// box's region ask for, if those of other regions ask for others of their own.
func (b *Balancer) regionsInUse() float64 {
	own := 0
	for _, box := range b.boxes {
		if box.Region == b.config.Region {
			own++
		}
	}
	return float64(max(len(b.boxes), 1)) / float64(max(own, 1))
}

// mayWarm reports whether this box may send a cold target a request now. A few
// boxes, the same by every box's reckoning, share what it bears.
func (b *Balancer) mayWarm(now time.Time, s *service, t *targetState) bool {
	sharers := b.sharers(t)
	if sharers == 0 {
		return false
	}
	rate := s.cold.Rate * coldShare / float64(sharers)
	t.tokens = min(t.tokens+rate*now.Sub(t.tokensAt).Seconds(), 1)
	t.tokensAt = now
	return t.tokens >= 1
}

// sharers returns how many boxes share what a cold target bears, or zero if
// this box is none of them: those of the target's region that rank highest.
func (b *Balancer) sharers(t *targetState) int {
	count, above := 0, 0
	own := mix(xxhash.Sum64String(b.config.Box) ^ t.hash)
	known := false
	for _, box := range b.boxes {
		if box.Region != t.Region {
			continue
		}
		count++
		if box.Name == b.config.Box {
			known = true
			continue
		}
		if mix(xxhash.Sum64String(box.Name)^t.hash) > own {
			above++
		}
	}
	if !known || above >= coldBoxes {
		return 0
	}
	return min(count, coldBoxes)
}

// Outcome is what became of a request at a target.
type Outcome int

// The outcomes of a request at a target.
const (
	// Answered: the target gave its answer.
	Answered Outcome = iota
	// TurnedAway: the target was full and did not run it.
	TurnedAway
	// Unreachable: no connection was had.
	Unreachable
	// Stuck: no answer came in time.
	Stuck
	// Broken: the connection or the answer broke.
	Broken
	// Dropped: the caller left.
	Dropped
)

// String returns the name as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "turnedAway", "unreachable", "stuck", "broken", "dropped"}[o]
}

// Report tells what became of a request at a target.
type Report struct {
	TargetID string
	Route    string
	Outcome  Outcome
	// Took is the time to the answer.
	Took time.Duration
	// Load is what the answer told, if HasLoad.
	Load    Load
	HasLoad bool
	// Connect is how long a new connection took to come up; zero if none was made.
	Connect time.Duration
}

// Change is what a report changed about a target.
type Change int

// The changes of a target.
const (
	Unchanged Change = iota
	// LeftOut: the target could not be reached and gets nothing for a while.
	LeftOut
	// Returned: a target that was left out has answered.
	Returned
)

// Done takes what became of a request that was counted at a target.
func (b *Balancer) Done(now time.Time, r Report) Change {
	t := b.byID[r.TargetID]
	if t == nil {
		return Unchanged
	}
	if r.HasLoad {
		t.noteLoad(now, r.Load)
	}
	b.noteDistance(t.Region, r.Connect)
	t.inFlight = max(t.inFlight-1, 0)
	wasOut := t.failures > 0
	switch r.Outcome {
	case Answered:
		b.noteTime(now, t, r)
	case TurnedAway:
		b.noteFull(now, t, r)
	case Unreachable, Stuck:
		t.noteUnreachable(now)
		return LeftOut
	case Broken:
		if t.broken++; t.broken >= maxBroken {
			t.noteUnreachable(now)
			return LeftOut
		}
		return Unchanged
	case Dropped:
		return Unchanged
	}
	t.failures = 0
	t.broken = 0
	if wasOut {
		return Returned
	}
	return Unchanged
}

func (b *Balancer) noteDistance(region string, connect time.Duration) {
	if connect <= 0 {
		return
	}
	if known, ok := b.distances[region]; !ok || connect < known {
		b.distances[region] = connect
	}
}

func (b *Balancer) noteTime(now time.Time, t *targetState, r Report) {
	if learned := b.times[r.Route]; learned != nil {
		learned.note(r.Took)
	}
	s := b.service(t.Service)
	if s.mean == 0 {
		s.mean = r.Took
	}
	t.notePace(now, float64(r.Took)/float64(max(s.mean, time.Millisecond)))
	s.mean = average(s.mean, r.Took)
}

// noteFull makes a target that turned a request away count as full for a
// while, also where it does not tell its load.
func (b *Balancer) noteFull(now time.Time, t *targetState, r Report) {
	if r.HasLoad {
		return
	}
	t.foreign = max(float64(t.Slots-t.inFlight), t.foreign)
	t.foreignAt = now
}
