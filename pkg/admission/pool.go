package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	percent       = 100
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// firstMeanGuess stands for the mean time in a slot before any request
	// has ended.
	firstMeanGuess = 10 * time.Millisecond
	meanWeight     = 0.05
)

type running struct {
	target  *target
	foreign bool
}

// Pool is the admission of one service in one availability zone. It is not
// safe for concurrent use: one loop owns it.
type Pool struct {
	config  Config
	random  *rand.Rand
	targets []*target
	running map[uint64]running
	foreign int
	queue   queue
	until   time.Time
	turn    int
	mean    time.Duration
	out     Output
}

// NewPool returns a pool without targets and without a lease.
func NewPool(seed uint64) *Pool {
	return &Pool{
		random:  rand.New(rand.NewPCG(seed, 0)),
		running: make(map[uint64]running),
		mean:    firstMeanGuess,
	}
}

// Handle takes one event at now and returns what to carry out.
func (p *Pool) Handle(now time.Time, e Event) Output {
	p.out = Output{}
	switch e := e.(type) {
	case Configure:
		p.configure(e)
	case SetLease:
		p.until = e.Until
	case Arrive:
		p.arrive(now, e)
	case Cancel:
		p.queue.remove(e.ID)
	case Finish:
		p.finish(now, e)
	case HealthReport:
		if t := p.find(e.Target); t != nil {
			t.measure(now, e, p.config)
		}
	case TargetUpdate:
		if t := p.find(e.Target); t != nil {
			t.rate.take(now, e.Update)
			t.receiveLeaving(e.Update)
		}
	case BackOff:
		if t := p.find(e.Target); t != nil {
			t.backOff = t.backOff.With(now.Add(e.Wait + targetstatus.Jitter(e.Wait, p.random.Float64())))
		}
	case Tick:
	}
	for _, w := range p.queue.expired(now) {
		p.refuse(now, w.arrive.ID, QueueTimeout)
	}
	p.refuseHopeless(now)
	p.serveQueue(now)
	p.out.NextTick = p.wake(now)
	return p.out
}

// wake returns the next end of a wait, or a moment later while requests wait
// for a slot that time alone may open.
func (p *Pool) wake(now time.Time) time.Time {
	next := p.queue.nextExpiry()
	if next.IsZero() {
		return next
	}
	if soon := now.Add(minRetryAfter); soon.Before(next) {
		return soon
	}
	return next
}

func (p *Pool) find(name string) *target {
	i := slices.IndexFunc(p.targets, func(t *target) bool { return t.name == name })
	if i < 0 {
		return nil
	}
	return p.targets[i]
}

// configure keeps what is known of targets that stay, and keeps those that
// leave until their last request has ended.
func (p *Pool) configure(e Configure) {
	p.config = e.Config
	for _, t := range p.targets {
		t.removed = true
	}
	for _, g := range e.Targets {
		t := p.find(g.Name)
		if t == nil {
			t = &target{name: g.Name, rate: newRate(g.Name)}
			p.targets = append(p.targets, t)
		}
		t.removed = false
		t.draining = g.Draining
	}
	p.dropRemoved()
}

func (p *Pool) dropRemoved() {
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool { return t.removed && t.inFlight == 0 })
}

func (p *Pool) arrive(now time.Time, e Arrive) {
	if !now.Before(p.until) {
		p.refuse(now, e.ID, NoLease)
		return
	}
	if !now.Before(e.Deadline) {
		p.refuse(now, e.ID, QueueTimeout)
		return
	}
	if p.capacity(now) == 0 && !p.mayRecover(now) {
		p.refuse(now, e.ID, NoTarget)
		return
	}
	if e.Foreign && p.foreign >= p.foreignLimit(now) {
		p.refuse(now, e.ID, ForeignCap)
		return
	}
	w := waiting{arrive: e, first: p.refusedFirst(e.Class), giveUp: now.Add(p.config.MaxQueueWait)}
	if e.Deadline.Before(w.giveUp) {
		w.giveUp = e.Deadline
	}
	if len(p.queue.items) == 0 && p.grant(now, w) {
		return
	}
	p.enqueue(now, w)
}

// mayRecover reports whether a target is only left out for a while.
func (p *Pool) mayRecover(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return t.isServing(now)
	})
}

func (p *Pool) refusedFirst(c Class) bool {
	return p.config.RefuseFirst != nil && *p.config.RefuseFirst == c
}

func (p *Pool) enqueue(now time.Time, w waiting) {
	if p.config.RoundRobin || p.config.QueueLimit == 0 || w.arrive.NoWait {
		p.refuse(now, w.arrive.ID, Overloaded)
		return
	}
	if p.expectedWait(now, w) > w.giveUp.Sub(now) {
		p.refuse(now, w.arrive.ID, Overloaded)
		return
	}
	if len(p.queue.items) >= p.config.QueueLimit {
		displaced, ok := p.queue.displace()
		if w.first || !ok {
			if ok {
				p.queue.add(displaced)
			}
			p.refuse(now, w.arrive.ID, QueueFull)
			return
		}
		p.refuse(now, displaced.arrive.ID, Displaced)
	}
	p.queue.add(w)
}

// expectedWait estimates how long a request would wait behind those that are
// served before it.
func (p *Pool) expectedWait(now time.Time, w waiting) time.Duration {
	ahead := 1
	for _, other := range p.queue.items {
		if less(other, w) < 0 {
			ahead++
		}
	}
	wait := p.mean * time.Duration(ahead) / time.Duration(max(p.capacity(now), 1))
	return max(wait, p.limitedWait(now, ahead), p.backOffWait(now))
}

// serveQueue grants waiting requests in order. One that can't be granted now
// holds up those behind it of its own class only.
func (p *Pool) serveQueue(now time.Time) {
	if !now.Before(p.until) {
		for _, w := range p.queue.items {
			p.refuse(now, w.arrive.ID, NoLease)
		}
		p.queue.items = nil
		return
	}
	blocked := make(map[bool]bool, 2)
	p.queue.items = slices.DeleteFunc(p.queue.items, func(w waiting) bool {
		if blocked[w.first] {
			return false
		}
		if w.arrive.Foreign && p.foreign >= p.foreignLimit(now) {
			return false
		}
		if p.grant(now, w) {
			return true
		}
		blocked[w.first] = true
		return false
	})
}

// grant gives a request a slot if one is free for its class.
func (p *Pool) grant(now time.Time, w waiting) bool {
	free := p.free(now)
	if w.first || w.arrive.Foreign {
		free -= p.reserve(now)
	}
	if free <= 0 {
		return false
	}
	t := p.choose(now, w.arrive.Exclude)
	if t == nil {
		return false
	}
	t.granted()
	p.running[w.arrive.ID] = running{t, w.arrive.Foreign}
	if w.arrive.Foreign {
		p.foreign++
	}
	p.out.Grants = append(p.out.Grants, Grant{ID: w.arrive.ID, Target: t.name})
	return true
}

func (p *Pool) finish(now time.Time, e Finish) {
	r, ok := p.running[e.ID]
	if !ok {
		return
	}
	delete(p.running, e.ID)
	if r.foreign {
		p.foreign--
	}
	r.target.finished(now, e, p.config)
	if e.Result == Succeeded {
		p.mean += time.Duration(meanWeight * float64(e.Latency-p.mean))
	}
	if !p.config.RoundRobin && r.target.failures >= p.config.EjectAfterFailures {
		p.eject(now, r.target)
	}
	p.dropRemoved()
}

// eject leaves a failing target out unless too many are left out already. One
// that is tried again and fails is left out again in any case.
func (p *Pool) eject(now time.Time, failing *target) {
	out := 0
	for _, t := range p.targets {
		if t != failing && now.Before(t.ejectedUntil) {
			out++
		}
	}
	if (out+1)*percent > p.config.EjectShare*len(p.targets) {
		return
	}
	failing.eject(now, p.config)
}

// refuse ends a request at once and says when to come back: after the time in
// which the pool would serve what it has, spread over as long again so that
// callers do not return together.
func (p *Pool) refuse(now time.Time, id uint64, reason Reason) {
	busy := len(p.running) + len(p.queue.items) + 1
	wait := p.mean * time.Duration(busy) / time.Duration(max(p.capacity(now), 1))
	wait = max(wait, p.limitedWait(now, len(p.queue.items)+1))
	wait = max(min(max(wait, minRetryAfter), maxRetryAfter), p.backOffWait(now))
	wait += time.Duration(p.random.Int64N(int64(wait)))
	p.out.Refusals = append(p.out.Refusals, Refusal{ID: id, Reason: reason, RetryAfter: wait})
}

// choose returns the target for a request: the next in turn under the
// baseline policy, else the one with the best score among those with a free
// slot. Excluded targets are taken only if there is no other.
func (p *Pool) choose(now time.Time, exclude []string) *target {
	if p.config.RoundRobin {
		return p.nextInTurn(now)
	}
	var best *target
	var bestScore float64
	bestExcluded := true
	for _, t := range p.targets {
		if t.free(now, p.config) == 0 {
			continue
		}
		excluded := slices.Contains(exclude, t.name)
		score := t.score(now, p.config)
		better := best == nil || (bestExcluded && !excluded) || (bestExcluded == excluded && score < bestScore)
		if better {
			best, bestScore, bestExcluded = t, score, excluded
		}
	}
	return best
}

// nextInTurn is the baseline: the next target in service, and no request if
// that one is full.
func (p *Pool) nextInTurn(now time.Time) *target {
	for range p.targets {
		t := p.targets[p.turn%len(p.targets)]
		p.turn++
		if !t.inService(now) {
			continue
		}
		if t.free(now, p.config) == 0 {
			return nil
		}
		return t
	}
	return nil
}

func (p *Pool) free(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += t.free(now, p.config)
	}
	return n
}

func (p *Pool) capacity(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += t.limit(now, p.config)
	}
	return n
}

// reserve returns the slots kept for the class that is refused last; at least
// one slot stays for the others.
func (p *Pool) reserve(now time.Time) int {
	capacity := p.capacity(now)
	n := (capacity*p.config.ReserveShare + percent - 1) / percent
	return max(min(n, capacity-1), 0)
}

// foreignLimit returns how many requests of callers assigned to another region
// may run at once.
func (p *Pool) foreignLimit(now time.Time) int {
	return p.capacity(now) * p.config.ForeignShare / percent
}

// Load is what a pool carries.
type Load struct {
	// Capacity is the number of slots in service.
	Capacity int
	// Busy is the number of requests that run, Waiting of those that wait.
	Busy, Waiting int
	// Foreign is the part of Busy that belongs to callers of other regions.
	Foreign int
	// Targets is the number of targets, InService of those that get work.
	Targets, InService int
}

// Load returns what the pool carries at now.
func (p *Pool) Load(now time.Time) Load {
	l := Load{
		Capacity: p.capacity(now),
		Busy:     len(p.running),
		Waiting:  len(p.queue.items),
		Foreign:  p.foreign,
		Targets:  len(p.targets),
	}
	for _, t := range p.targets {
		if t.inService(now) {
			l.InService++
		}
	}
	return l
}

// InFlight returns how many requests run on a target.
func (p *Pool) InFlight(name string) int {
	if t := p.find(name); t != nil {
		return t.inFlight
	}
	return 0
}
