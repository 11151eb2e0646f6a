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
	// initialMeanTime is the assumed mean time in a slot before any request has ended.
	initialMeanTime = 10 * time.Millisecond
	meanWeight      = 0.05
)

type grantedRequest struct {
	target    *target
	foreign   bool
	brokenOff bool
}

// brokenOffRequest is a request that was broken off and may still run on its target.
type brokenOffRequest struct {
	id        uint64
	reclaimAt time.Time
}

// Pool admits the requests of one service in one availability zone. It is not safe for concurrent
// use: one event loop owns it.
type Pool struct {
	config         Config
	random         *rand.Rand
	targets        []*target
	running        map[uint64]grantedRequest
	brokenOff      []brokenOffRequest
	foreign        int
	queue          queue
	leaseUntil     time.Time
	roundRobinNext int
	meanTime       time.Duration
	out            Output
}

// NewPool returns a pool without targets and without a lease.
func NewPool(seed uint64) *Pool {
	return &Pool{
		random:   rand.New(rand.NewPCG(seed, 0)),
		running:  make(map[uint64]grantedRequest),
		meanTime: initialMeanTime,
	}
}

// Handle processes an event and returns what to carry out.
func (p *Pool) Handle(now time.Time, e Event) Output {
	p.out = Output{}
	switch e := e.(type) {
	case Configure:
		p.configure(e)
	case SetLease:
		p.leaseUntil = e.Until
	case Arrive:
		p.arrive(now, e)
	case Cancel:
		p.queue.remove(e.ID)
	case Finish:
		p.finish(now, e)
	case BreakOff:
		p.breakOff(now, e)
	case HealthReport:
		if t := p.find(e.Target); t != nil {
			t.applyHealthReport(now, e, p.config)
		}
	case TargetUpdate:
		if t := p.find(e.Target); t != nil {
			t.limiter.apply(now, e.Update)
			t.observeLeaving(e.Update)
		}
	case BackOff:
		if t := p.find(e.Target); t != nil {
			t.backOff = t.backOff.With(now.Add(e.Wait + targetstatus.Jitter(e.Wait, p.random.Float64())))
		}
	case Tick:
	}
	p.reclaimSlots(now)
	for _, w := range p.queue.expired(now) {
		p.refuse(now, w.arrive.ID, QueueTimeout)
	}
	p.refuseUnservable(now)
	p.grantQueued(now)
	p.out.NextTick = p.nextTick(now)
	return p.out
}

// nextTick returns when the next waiting request expires or the next slot is reclaimed, or
// minRetryAfter from now if that is earlier and requests wait, because a slot may become free with
// time alone.
func (p *Pool) nextTick(now time.Time) time.Time {
	next := p.queue.nextExpiry()
	if !next.IsZero() {
		next = earlier(next, now.Add(minRetryAfter))
	}
	for _, r := range p.brokenOff {
		next = earlier(next, r.reclaimAt)
	}
	return next
}

// earlier returns the earlier of two times, of which a zero a counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func (p *Pool) find(name string) *target {
	i := slices.IndexFunc(p.targets, func(t *target) bool { return t.name == name })
	if i < 0 {
		return nil
	}
	return p.targets[i]
}

// configure keeps the state of targets that remain, and keeps removed targets until their last
// request has ended.
func (p *Pool) configure(e Configure) {
	p.config = e.Config
	for _, t := range p.targets {
		t.removed = true
	}
	for _, configured := range e.Targets {
		t := p.find(configured.Name)
		if t == nil {
			t = &target{name: configured.Name, limiter: newRateLimiter(configured.Name)}
			p.targets = append(p.targets, t)
		}
		t.removed = false
		t.draining = configured.Draining
	}
	p.dropRemoved()
}

func (p *Pool) dropRemoved() {
	p.targets = slices.DeleteFunc(p.targets, func(t *target) bool { return t.removed && t.inFlight == 0 })
}

func (p *Pool) arrive(now time.Time, e Arrive) {
	if !now.Before(p.leaseUntil) {
		p.refuse(now, e.ID, NoLease)
		return
	}
	if !now.Before(e.Deadline) {
		p.refuse(now, e.ID, QueueTimeout)
		return
	}
	if p.capacity(now) == 0 && !p.hasServingTarget(now) {
		p.refuse(now, e.ID, NoTarget)
		return
	}
	if e.Foreign && p.foreign >= p.foreignLimit(now) {
		p.refuse(now, e.ID, ForeignCap)
		return
	}
	w := waiting{arrive: e, refusedFirst: p.isRefusedFirst(e.Class), waitUntil: now.Add(p.config.MaxQueueWait)}
	if e.Deadline.Before(w.waitUntil) {
		w.waitUntil = e.Deadline
	}
	if len(p.queue.items) == 0 && p.grant(now, w) {
		return
	}
	p.enqueue(now, w)
}

// hasServingTarget reports whether a target is serving, even if it is ejected or backed off for
// now.
func (p *Pool) hasServingTarget(now time.Time) bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool {
		return t.isServing(now)
	})
}

func (p *Pool) isRefusedFirst(c Class) bool {
	return p.config.RefuseFirst != nil && *p.config.RefuseFirst == c
}

func (p *Pool) enqueue(now time.Time, w waiting) {
	if p.config.RoundRobin || p.config.QueueLimit == 0 || w.arrive.NoWait {
		p.refuse(now, w.arrive.ID, Overloaded)
		return
	}
	if p.expectedWait(now, w) > w.waitUntil.Sub(now) {
		p.refuse(now, w.arrive.ID, Overloaded)
		return
	}
	if len(p.queue.items) >= p.config.QueueLimit {
		displaced, ok := p.queue.displace()
		if w.refusedFirst || !ok {
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

// expectedWait estimates how long a request would wait behind those ahead of it in the queue.
func (p *Pool) expectedWait(now time.Time, w waiting) time.Duration {
	ahead := 1
	for _, other := range p.queue.items {
		if compareOrder(other, w) < 0 {
			ahead++
		}
	}
	wait := p.meanTime * time.Duration(ahead) / time.Duration(max(p.capacity(now)-p.brokenOffSlots(now), 1))
	return max(wait, p.rateLimitWait(now, ahead), p.backOffWait(now))
}

// grantQueued grants waiting requests in order. A request that cannot be granted now blocks only
// those of its own class behind it.
func (p *Pool) grantQueued(now time.Time) {
	if !now.Before(p.leaseUntil) {
		for _, w := range p.queue.items {
			p.refuse(now, w.arrive.ID, NoLease)
		}
		p.queue.items = nil
		return
	}
	blocked := make(map[bool]bool, 2)
	p.queue.items = slices.DeleteFunc(p.queue.items, func(w waiting) bool {
		if blocked[w.refusedFirst] {
			return false
		}
		if w.arrive.Foreign && p.foreign >= p.foreignLimit(now) {
			return false
		}
		if p.grant(now, w) {
			return true
		}
		blocked[w.refusedFirst] = true
		return false
	})
}

// grant assigns a slot to a request if one is free for its class.
func (p *Pool) grant(now time.Time, w waiting) bool {
	free := p.freeSlots(now)
	if w.refusedFirst || w.arrive.Foreign {
		free -= p.reservedSlots(now)
	}
	if free <= 0 {
		return false
	}
	t := p.choose(now, w.arrive.Exclude)
	if t == nil {
		return false
	}
	t.recordGrant()
	p.running[w.arrive.ID] = grantedRequest{target: t, foreign: w.arrive.Foreign}
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
	if !r.brokenOff {
		p.recordResult(now, r.target, e.Result, e.Latency)
	}
	p.freeSlot(e.ID, r)
}

// breakOff records the result of a request whose target may still run it.
func (p *Pool) breakOff(now time.Time, e BreakOff) {
	r, ok := p.running[e.ID]
	if !ok || r.brokenOff {
		return
	}
	r.brokenOff = true
	p.running[e.ID] = r
	p.brokenOff = append(p.brokenOff, brokenOffRequest{e.ID, now.Add(p.config.MaxRequestTime)})
	p.recordResult(now, r.target, e.Result, 0)
}

// reclaimSlots frees the slots of requests that were broken off so long ago that they count as
// ended, so that a target that is stuck does not lose its slots forever.
func (p *Pool) reclaimSlots(now time.Time) {
	for _, b := range slices.Clone(p.brokenOff) {
		if now.Before(b.reclaimAt) {
			continue
		}
		p.freeSlot(b.id, p.running[b.id])
		p.out.Reclaimed = append(p.out.Reclaimed, b.id)
	}
}

func (p *Pool) freeSlot(id uint64, r grantedRequest) {
	delete(p.running, id)
	if r.brokenOff {
		p.brokenOff = slices.DeleteFunc(p.brokenOff, func(b brokenOffRequest) bool { return b.id == id })
	}
	if r.foreign {
		p.foreign--
	}
	r.target.inFlight--
	p.dropRemoved()
}

// recordResult updates what is known of a target by the result of a request.
func (p *Pool) recordResult(now time.Time, t *target, result Result, latency time.Duration) {
	t.recordResult(now, result, latency, p.config)
	if result == Succeeded {
		p.meanTime += time.Duration(meanWeight * float64(latency-p.meanTime))
	}
	if !p.config.RoundRobin && t.failures >= p.config.EjectAfterFailures {
		p.eject(now, t)
	}
}

// eject ejects a failing target unless too many others are ejected already. The target itself does
// not count, so that it can be ejected again when it fails on trial.
func (p *Pool) eject(now time.Time, failing *target) {
	ejected := 0
	for _, t := range p.targets {
		if t != failing && now.Before(t.ejectedUntil) {
			ejected++
		}
	}
	if (ejected+1)*percent > p.config.EjectShare*len(p.targets) {
		return
	}
	failing.eject(now, p.config)
}

// refuse refuses a request with a Retry-After: the time in which the pool would serve its present
// requests, or longer if rate limits or back-offs require it, plus a random delay of up to the same
// length, so that callers do not retry together.
func (p *Pool) refuse(now time.Time, id uint64, reason Reason) {
	busy := len(p.running) + len(p.queue.items) + 1
	wait := p.meanTime * time.Duration(busy) / time.Duration(max(p.capacity(now), 1))
	wait = max(wait, p.rateLimitWait(now, len(p.queue.items)+1))
	wait = max(min(max(wait, minRetryAfter), maxRetryAfter), p.backOffWait(now))
	wait += time.Duration(p.random.Int64N(int64(wait)))
	p.out.Refusals = append(p.out.Refusals, Refusal{ID: id, Reason: reason, RetryAfter: wait})
}

// choose returns the target for a request: the next one under the round-robin policy, otherwise the
// one with the best score among those with a free slot. Excluded targets are used only if there is
// no other.
func (p *Pool) choose(now time.Time, exclude []string) *target {
	if p.config.RoundRobin {
		return p.nextRoundRobin(now)
	}
	var best *target
	var bestScore float64
	bestExcluded := true
	for _, t := range p.targets {
		if t.freeSlots(now, p.config) == 0 {
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

// nextRoundRobin returns the next target in service, or nil if that one is full.
func (p *Pool) nextRoundRobin(now time.Time) *target {
	for range p.targets {
		t := p.targets[p.roundRobinNext%len(p.targets)]
		p.roundRobinNext++
		if !t.inService(now) {
			continue
		}
		if t.freeSlots(now, p.config) == 0 {
			return nil
		}
		return t
	}
	return nil
}

func (p *Pool) freeSlots(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += t.freeSlots(now, p.config)
	}
	return n
}

func (p *Pool) capacity(now time.Time) int {
	n := 0
	for _, t := range p.targets {
		n += t.maxInFlight(now, p.config)
	}
	return n
}

// brokenOffSlots returns how many slots in service are taken by requests that were broken off.
func (p *Pool) brokenOffSlots(now time.Time) int {
	n := 0
	for _, b := range p.brokenOff {
		if p.running[b.id].target.inService(now) {
			n++
		}
	}
	return n
}

// reservedSlots returns the number of slots reserved for the class that is refused last. At least
// one slot stays available to the others.
func (p *Pool) reservedSlots(now time.Time) int {
	capacity := p.capacity(now)
	n := (capacity*p.config.ReserveShare + percent - 1) / percent
	return max(min(n, capacity-1), 0)
}

// foreignLimit returns how many requests of callers assigned to another region may run at once.
func (p *Pool) foreignLimit(now time.Time) int {
	return p.capacity(now) * p.config.ForeignShare / percent
}

// Load is the current load of a pool.
type Load struct {
	// Capacity is the number of slots in service.
	Capacity int
	// Busy is the number of running requests, Waiting that of queued ones.
	Busy, Waiting int
	// BrokenOff is how many of the running requests were broken off.
	BrokenOff int
	// Foreign is the number of running requests of callers assigned to another region.
	Foreign int
	// Targets is the number of targets, InService the number of those that receive work.
	Targets, InService int
}

// Load returns the load of the pool at now.
func (p *Pool) Load(now time.Time) Load {
	l := Load{
		Capacity:  p.capacity(now),
		Busy:      len(p.running),
		Waiting:   len(p.queue.items),
		BrokenOff: len(p.brokenOff),
		Foreign:   p.foreign,
		Targets:   len(p.targets),
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
