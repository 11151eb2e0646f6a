package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// objectLayout is a system whose targets serve an object faster when they have
// seen it lately.
type objectLayout struct {
	name    string
	regions []string
	// targets in each region, boxes in each region.
	targets []int
	boxes   []int
	slots   int
	// kept is how many objects a target keeps in mind, which nobody tells.
	kept int
	// objects are those of each region's callers.
	objects     int
	work        time.Duration
	objective   time.Duration
	regionDelay time.Duration
}

const (
	// knownPart is the part of the work that is left for an object that the
	// target knows.
	knownPart = 0.3
	// workSpread is the spread of the work (log-normal).
	workSpread = 0.15
	// queueFactor is how many requests a target queues for each of its slots.
	queueFactor = 3
	// newTargetFactor is how much slower a new target is, for newTargetTime.
	newTargetFactor = 2
	newTargetTime   = 3 * time.Second
	// giveUpAfter is how long a caller of these scenarios waits.
	giveUpAfter = 3 * time.Second
	objectKind  = "lookup"
)

// objectLayouts are sized like the users' platform: few large targets with
// unequal regions, many small ones, and one where targets keep much in mind.
func objectLayouts() []objectLayout {
	regions := []string{"r1", "r2", "r3"}
	return []objectLayout{
		{
			name: "large targets", regions: regions, targets: []int{12, 2, 10}, boxes: []int{3, 3, 3}, slots: 9, kept: 66,
			objects: 126, work: 530 * time.Millisecond, objective: 430 * time.Millisecond, regionDelay: 35 * time.Millisecond,
		},
		{
			name: "small targets", regions: regions, targets: []int{8, 8, 8}, boxes: []int{3, 3, 3}, slots: 3, kept: 25,
			objects: 72, work: 710 * time.Millisecond, objective: 470 * time.Millisecond, regionDelay: 12 * time.Millisecond,
		},
		{
			name: "forgetful targets", regions: regions, targets: []int{16, 16, 16}, boxes: []int{6, 6, 6}, slots: 3, kept: 10,
			objects: 96, work: 710 * time.Millisecond, objective: 470 * time.Millisecond, regionDelay: 12 * time.Millisecond,
		},
	}
}

// objectSim runs entry boxes that choose targets with pkg/balance, and fake
// targets that remember objects.
type objectSim struct {
	schedule
	layout   objectLayout
	affinity bool
	random   *rand.Rand
	start    time.Time
	boxes    []*objectBox
	targets  []*objectTarget
	load     func(region int, at time.Duration) float64
	made     int
	figures  objectFigures
}

// objectFigures are what a run is judged by.
type objectFigures struct {
	asked, onTime, late, refused, failed int
	known, unknown                       int
}

type objectBox struct {
	sim      *objectSim
	region   int
	balancer *balance.Balancer
}

// objectTarget is a fake target: slots, a queue, and the objects it knows, the
// latest last.
type objectTarget struct {
	balance.Target
	sim     *objectSim
	running int
	waiting []func()
	known   []string
	slow    float64
	newTo   time.Time
	dead    bool
	// limit is how many requests a second it takes from all boxes together; zero if it names
	// none.
	limit     float64
	permits   float64
	permitsAt time.Time
}

func newObjectSim(l objectLayout, affinity bool, seed uint64) *objectSim {
	s := &objectSim{layout: l, affinity: affinity, random: rand.New(rand.NewPCG(seed, 23)), start: time.Unix(1_000_000, 0)}
	s.now = s.start
	var boxes []balance.Box
	for i, region := range l.regions {
		for range l.targets[i] {
			s.addTarget(region)
		}
		for n := range l.boxes[i] {
			name := fmt.Sprintf("%s-box%d", region, n)
			boxes = append(boxes, balance.Box{Name: name, Region: region})
			c := balance.Config{Box: name, Zone: region + "-a", Region: region}
			s.boxes = append(s.boxes, &objectBox{sim: s, region: i, balancer: balance.New(c)})
		}
	}
	for _, b := range s.boxes {
		b.balancer.SetBoxes(boxes)
	}
	s.tellTargets()
	return s
}

func (s *objectSim) addTarget(region string) *objectTarget {
	s.made++
	t := &objectTarget{sim: s, slow: 1, Target: balance.Target{
		ID: fmt.Sprintf("t%d", s.made), Service: "s", Zone: region + "-a", Region: region, Slots: s.layout.slots,
	}}
	s.targets = append(s.targets, t)
	return t
}

// tellTargets tells all boxes the targets that are registered.
func (s *objectSim) tellTargets() {
	var out []balance.Target
	for _, t := range s.targets {
		out = append(out, t.Target)
	}
	for _, b := range s.boxes {
		b.balancer.SetTargets(s.now, out)
	}
}

// run lets callers ask for a length of time. The load of a region is the part
// of all slots that its requests need if every object is known.
func (s *objectSim) run(length time.Duration) {
	for region := range s.layout.regions {
		s.arrivals(region)
	}
	s.runUntil(s.start.Add(length))
}

func (s *objectSim) arrivals(region int) {
	slots := 0
	for _, n := range s.layout.targets {
		slots += n * s.layout.slots
	}
	needed := s.layout.work.Seconds() * knownPart
	rate := s.load(region, s.now.Sub(s.start)) * float64(slots) / needed
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		s.arrive(region)
		s.arrivals(region)
	})
}

// objectRequest is one request of a caller.
type objectRequest struct {
	box    *objectBox
	key    string
	began  time.Time
	second bool
}

func (s *objectSim) arrive(region int) {
	first := 0
	for i := range region {
		first += s.layout.boxes[i]
	}
	box := s.boxes[first+s.random.IntN(s.layout.boxes[region])]
	key := fmt.Sprintf("%d-%d", region, s.random.IntN(s.layout.objects))
	s.figures.asked++
	box.ask(&objectRequest{box: box, key: key, began: s.now})
}

func (b *objectBox) ask(r *objectRequest) {
	s := b.sim
	q := balance.Request{Service: "s", Route: objectKind, Objective: s.layout.objective, Remaining: s.layout.objective}
	if s.affinity {
		q.AffinityKey = r.key
	}
	choice, err := b.choose(q)
	var none *balance.NoTargetError
	if errors.As(err, &none) {
		b.refused(r, none.RetryAfter)
		return
	}
	way := time.Duration(0)
	if choice.Remote {
		way = s.layout.regionDelay
	}
	sent := s.now
	t := s.target(choice.Target.ID)
	done := func(outcome balance.Outcome) {
		report := balance.Report{TargetID: choice.Target.ID, Route: objectKind, Outcome: outcome, Took: s.now.Sub(sent), Connect: 2 * way}
		if outcome == balance.Answered || outcome == balance.TurnedAway {
			report.HasLoad = true
			report.Load = targetstatus.Load{Running: t.running, Waiting: len(t.waiting), Slots: t.Slots}
		}
		b.balancer.Done(s.now, report)
		b.ended(r, outcome)
	}
	s.after(way, func() { t.take(r.key, func(o balance.Outcome) { s.after(way, func() { done(o) }) }) })
}

// choose chooses a target and passes over rate-limited ones that have no permit now.
func (b *objectBox) choose(q balance.Request) (balance.Choice, error) {
	for passed := 0; ; passed++ {
		q.ExcludeLimited = passed >= maxSkippedLimitedObject
		choice, err := b.balancer.Choose(b.sim.now, q)
		if err != nil || !choice.Limited {
			return choice, err
		}
		t := b.sim.target(choice.Target.ID)
		room := t.permit(b.sim.now)
		if room == 0 {
			return choice, nil
		}
		b.balancer.ThrottleUntil(b.sim.now, t.ID, b.sim.now.Add(room))
	}
}

// maxSkippedLimitedObject is that of the gateway.
const maxSkippedLimitedObject = 1

// permit takes a permit of a rate-limited target; if there is none it returns when there is.
func (t *objectTarget) permit(now time.Time) (room time.Duration) {
	t.permits = min(t.permits+t.limit*now.Sub(t.permitsAt).Seconds(), permitsAtOnce)
	t.permitsAt = now
	if t.permits < 1 {
		return time.Duration((1 - t.permits) / t.limit * float64(time.Second))
	}
	t.permits--
	return 0
}

// permitsAtOnce is how many permits gather that nobody asks for.
const permitsAtOnce = 5

func (s *objectSim) target(id string) *objectTarget {
	for _, t := range s.targets {
		if t.ID == id {
			return t
		}
	}
	return &objectTarget{sim: s, dead: true}
}

// refused tells the caller to come back, which it does once.
func (b *objectBox) refused(r *objectRequest, after time.Duration) {
	s := b.sim
	if r.second || after > giveUpAfter/3 {
		s.figures.refused++
		return
	}
	r.second = true
	s.after(after, func() { b.ask(r) })
}

func (b *objectBox) ended(r *objectRequest, outcome balance.Outcome) {
	s := b.sim
	took := s.now.Sub(r.began)
	switch {
	case outcome == balance.TurnedAway:
		b.refused(r, 100*time.Millisecond)
	case outcome != balance.Answered || took > giveUpAfter:
		s.figures.failed++
	case took > s.layout.objective:
		s.figures.late++
	default:
		s.figures.onTime++
	}
}

// take runs a request or queues it; done is called when it has ended.
func (t *objectTarget) take(key string, done func(balance.Outcome)) {
	switch {
	case t.dead:
		done(balance.Unreachable)
	case t.running < t.Slots:
		t.start(key, done)
	case len(t.waiting) < queueFactor*t.Slots:
		t.waiting = append(t.waiting, func() { t.start(key, done) })
	default:
		done(balance.TurnedAway)
	}
}

func (t *objectTarget) start(key string, done func(balance.Outcome)) {
	s := t.sim
	t.running++
	s.after(t.workFor(key), func() {
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
		if t.dead {
			done(balance.Broken)
			return
		}
		done(balance.Answered)
	})
}

// workFor draws the time of a request and notes its object as the latest.
func (t *objectTarget) workFor(key string) time.Duration {
	s := t.sim
	factor := math.Exp(s.random.NormFloat64()*workSpread) * t.slow
	if t.remembers(key) {
		s.figures.known++
		factor *= knownPart
	} else {
		s.figures.unknown++
	}
	if s.now.Before(t.newTo) {
		factor *= newTargetFactor
	}
	return time.Duration(float64(s.layout.work) * factor)
}

// remembers notes the object as the latest and reports whether it was known.
func (t *objectTarget) remembers(key string) bool {
	known := false
	kept := t.known[:0]
	for _, k := range t.known {
		if k == key {
			known = true
			continue
		}
		kept = append(kept, k)
	}
	t.known = append(kept, key)
	if extra := len(t.known) - t.sim.layout.kept; extra > 0 {
		t.known = t.known[extra:]
	}
	return known
}
