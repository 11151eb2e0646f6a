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

// objectLayout is a system whose targets cache objects and serve those that they have cached
// faster.
type objectLayout struct {
	name    string
	regions []string
	// targets and boxes are the numbers in each region.
	targets []int
	boxes   []int
	slots   int
	// remembered is how many objects a target caches. Boxes are not told of it.
	remembered int
	// objects is the number of objects that each region's callers use.
	objects     int
	work        time.Duration
	objective   time.Duration
	regionDelay time.Duration
}

const (
	// knownWorkShare is the share of the work that remains for an object that the target has
	// cached.
	knownWorkShare = 0.3
	// workSpread is the standard deviation of the logarithm of the work, which is log-normal.
	workSpread = 0.15
	// queueFactor is how many requests a target queues per slot.
	queueFactor = 3
	// newTargetFactor is how much slower a new target is, during newTargetTime.
	newTargetFactor = 2
	newTargetTime   = 3 * time.Second
	// objectCallerTimeout is how long a caller waits in these scenarios.
	objectCallerTimeout = 3 * time.Second
	objectKind          = "lookup"
)

// objectLayouts returns layouts sized like the users' platform: few large targets in unequal
// regions, many small ones, and targets that cache few objects.
func objectLayouts() []objectLayout {
	regions := []string{"r1", "r2", "r3"}
	return []objectLayout{
		{
			name: "large targets", regions: regions, targets: []int{12, 2, 10}, boxes: []int{3, 3, 3}, slots: 9, remembered: 66,
			objects: 126, work: 530 * time.Millisecond, objective: 430 * time.Millisecond, regionDelay: 35 * time.Millisecond,
		},
		{
			name: "small targets", regions: regions, targets: []int{8, 8, 8}, boxes: []int{3, 3, 3}, slots: 3, remembered: 25,
			objects: 72, work: 710 * time.Millisecond, objective: 470 * time.Millisecond, regionDelay: 12 * time.Millisecond,
		},
		{
			name: "forgetful targets", regions: regions, targets: []int{16, 16, 16}, boxes: []int{6, 6, 6}, slots: 3, remembered: 10,
			objects: 96, work: 710 * time.Millisecond, objective: 470 * time.Millisecond, regionDelay: 12 * time.Millisecond,
		},
	}
}

// objectSim simulates entry boxes that choose targets with pkg/balance, and targets that cache
// objects.
type objectSim struct {
	schedule
	layout     objectLayout
	affinity   bool
	random     *rand.Rand
	start      time.Time
	boxes      []*objectBox
	targets    []*objectTarget
	load       func(region int, at time.Duration) float64
	lastTarget int
	figures    objectFigures
}

// objectFigures are the results of a run.
type objectFigures struct {
	sent, onTime, late, refused, failed int
	known, unknown                      int
}

type objectBox struct {
	sim      *objectSim
	region   int
	balancer *balance.Balancer
}

// objectTarget is a simulated target: slots, a queue, and the cached objects, the most recently
// used last.
type objectTarget struct {
	balance.Target
	sim      *objectSim
	running  int
	waiting  []func()
	known    []string
	slowdown float64
	newUntil time.Time
	dead     bool
	// limit is the rate limit for all boxes together in requests a second, zero if the target
	// reports none.
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
	s.publishTargets()
	return s
}

func (s *objectSim) addTarget(region string) *objectTarget {
	s.lastTarget++
	t := &objectTarget{sim: s, slowdown: 1, Target: balance.Target{
		ID: fmt.Sprintf("t%d", s.lastTarget), Service: "s", Zone: region + "-a", Region: region, Slots: s.layout.slots,
	}}
	s.targets = append(s.targets, t)
	return t
}

// publishTargets passes the registered targets to all boxes.
func (s *objectSim) publishTargets() {
	var out []balance.Target
	for _, t := range s.targets {
		out = append(out, t.Target)
	}
	for _, b := range s.boxes {
		b.balancer.SetTargets(s.now, out)
	}
}

// run makes callers send requests for a length of virtual time. The load of a region is the
// share of all slots that its requests would use if every object were cached.
func (s *objectSim) run(length time.Duration) {
	for region := range s.layout.regions {
		s.scheduleArrivals(region)
	}
	s.runUntil(s.start.Add(length))
}

func (s *objectSim) scheduleArrivals(region int) {
	slots := 0
	for _, n := range s.layout.targets {
		slots += n * s.layout.slots
	}
	needed := s.layout.work.Seconds() * knownWorkShare
	rate := s.load(region, s.now.Sub(s.start)) * float64(slots) / needed
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		s.startRequest(region)
		s.scheduleArrivals(region)
	})
}

// objectRequest is one request of a caller.
type objectRequest struct {
	box     *objectBox
	key     string
	start   time.Time
	retried bool
}

func (s *objectSim) startRequest(region int) {
	first := 0
	for i := range region {
		first += s.layout.boxes[i]
	}
	box := s.boxes[first+s.random.IntN(s.layout.boxes[region])]
	key := fmt.Sprintf("%d-%d", region, s.random.IntN(s.layout.objects))
	s.figures.sent++
	box.send(&objectRequest{box: box, key: key, start: s.now})
}

func (b *objectBox) send(r *objectRequest) {
	s := b.sim
	q := balance.Request{Service: "s", Route: objectKind, Objective: s.layout.objective, Remaining: s.layout.objective}
	if s.affinity {
		q.AffinityKey = r.key
	}
	choice, err := b.choose(q)
	var none *balance.NoTargetError
	if errors.As(err, &none) {
		b.handleRefusal(r, none.RetryAfter)
		return
	}
	delay := time.Duration(0)
	if choice.Remote {
		delay = s.layout.regionDelay
	}
	sent := s.now
	t := s.target(choice.Target.ID)
	done := func(outcome balance.Outcome) {
		report := balance.Report{TargetID: choice.Target.ID, Route: objectKind, Outcome: outcome, Took: s.now.Sub(sent), Connect: 2 * delay}
		if outcome == balance.Answered || outcome == balance.TurnedAway {
			report.HasLoad = true
			report.Load = targetstatus.Load{Running: t.running, Waiting: len(t.waiting), Slots: t.Slots}
		}
		b.balancer.Done(s.now, report)
		b.handleOutcome(r, outcome)
	}
	s.after(delay, func() { t.enqueue(r.key, func(o balance.Outcome) { s.after(delay, func() { done(o) }) }) })
}

// choose chooses a target. It skips up to maxSkippedLimitedObject rate-limited targets that have
// no permit now.
func (b *objectBox) choose(q balance.Request) (balance.Choice, error) {
	for skipped := 0; ; skipped++ {
		q.ExcludeLimited = skipped >= maxSkippedLimitedObject
		choice, err := b.balancer.Choose(b.sim.now, q)
		if err != nil || !choice.Limited {
			return choice, err
		}
		t := b.sim.target(choice.Target.ID)
		wait := t.takePermit(b.sim.now)
		if wait == 0 {
			return choice, nil
		}
		b.balancer.ThrottleUntil(b.sim.now, t.ID, b.sim.now.Add(wait))
	}
}

// maxSkippedLimitedObject has the same value as in the gateway.
const maxSkippedLimitedObject = 1

// takePermit takes a permit of a rate-limited target. If there is none it returns how long to
// wait for one.
func (t *objectTarget) takePermit(now time.Time) (wait time.Duration) {
	t.permits = min(t.permits+t.limit*now.Sub(t.permitsAt).Seconds(), maxPermits)
	t.permitsAt = now
	if t.permits < 1 {
		return time.Duration((1 - t.permits) / t.limit * float64(time.Second))
	}
	t.permits--
	return 0
}

// maxPermits is how many unused permits accumulate.
const maxPermits = 5

func (s *objectSim) target(id string) *objectTarget {
	for _, t := range s.targets {
		if t.ID == id {
			return t
		}
	}
	return &objectTarget{sim: s, dead: true}
}

// handleRefusal makes the caller send the request again after a delay. A second refusal, or a
// delay that is too long, counts as refused.
func (b *objectBox) handleRefusal(r *objectRequest, after time.Duration) {
	s := b.sim
	if r.retried || after > objectCallerTimeout/3 {
		s.figures.refused++
		return
	}
	r.retried = true
	s.after(after, func() { b.send(r) })
}

func (b *objectBox) handleOutcome(r *objectRequest, outcome balance.Outcome) {
	s := b.sim
	took := s.now.Sub(r.start)
	switch {
	case outcome == balance.TurnedAway:
		b.handleRefusal(r, 100*time.Millisecond)
	case outcome != balance.Answered || took > objectCallerTimeout:
		s.figures.failed++
	case took > s.layout.objective:
		s.figures.late++
	default:
		s.figures.onTime++
	}
}

// enqueue runs a request or queues it. It calls done with the outcome.
func (t *objectTarget) enqueue(key string, done func(balance.Outcome)) {
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
	s.after(t.workTime(key), func() {
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

// workTime returns a random service time for a request and updates the cache.
func (t *objectTarget) workTime(key string) time.Duration {
	s := t.sim
	factor := math.Exp(s.random.NormFloat64()*workSpread) * t.slowdown
	if t.remember(key) {
		s.figures.known++
		factor *= knownWorkShare
	} else {
		s.figures.unknown++
	}
	if s.now.Before(t.newUntil) {
		factor *= newTargetFactor
	}
	return time.Duration(float64(s.layout.work) * factor)
}

// remember makes an object the most recently used one and reports whether it was cached.
func (t *objectTarget) remember(key string) bool {
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
	if extra := len(t.known) - t.sim.layout.remembered; extra > 0 {
		t.known = t.known[extra:]
	}
	return known
}
