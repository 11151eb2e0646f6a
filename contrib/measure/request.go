package main

import (
	"fmt"
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/routing"
	"ledgesill.dev/ledgesill/pkg/settings"
)

// unrepeatableShare is the share of requests that may not be repeated.
const unrepeatableShare = 0.15

// request is one request of a caller.
type request struct {
	sim         *sim
	home        string
	block       string
	repeatable  bool
	start       time.Time
	deadline    time.Time
	choices     []lookup.Choice
	config      routing.Config
	failover    *routing.Failover
	poolIndex   int
	keptVerdict retry.Verdict
	runs        int
	callerDelay time.Duration // one-way delay to the first box
}

// poolRequest is a request at one pool.
type poolRequest struct {
	request    *request
	pool       *pool
	plan       *retry.Plan
	exclude    []string
	retryAfter time.Duration
}

// attempt is one attempt of a request at a target of a pool.
type attempt struct {
	visit  *poolRequest
	number int
	id     uint64
	target *target
	start  time.Time
	ended  bool
}

// startRequest starts a request of a caller in a region. The load of the caller blocks is
// skewed: a few blocks send most requests.
func (s *sim) startRequest(region string) {
	block := int(blocksPerRegion * math.Pow(s.random.Float64(), 3))
	r := &request{
		sim:        s,
		home:       region,
		block:      fmt.Sprintf("%s-%d", region, block),
		repeatable: s.random.Float64() >= unrepeatableShare,
		start:      s.now,
		deadline:   s.now.Add(callerTimeout),
	}
	s.figures.sent[r.repeatable]++
	r.choices = s.choicesFor(r)
	if len(r.choices) == 0 {
		r.finish(retry.DidNotRun)
		return
	}
	pools := len(r.choices)
	if s.baseline {
		pools = 1
	}
	r.config = routing.Config{Pools: pools, AtOrigin: true, Repeatable: r.repeatable, Deadline: r.deadline}
	r.failover = routing.NewFailover(r.config, s.budget)
	r.callerDelay = s.layout.CallerDelay + s.delay(region, r.choices[0])
	s.after(r.callerDelay, r.sendToPool)
}

// choicesFor returns the choices of the caller's cached lookup result, or of a new one. New results
// leave out zones whose boxes are dead.
func (s *sim) choicesFor(r *request) []lookup.Choice {
	if c, ok := s.caches[r.block]; ok && s.now.Before(c.until) {
		return c.choices
	}
	choices := s.table.Choose(s.service.Name, r.home, r.block, routing.MaxPools, func(b settings.Box) bool { return !s.pools[b.Zone].dead })
	ttl := s.state.Tree().Values(settings.Path{Service: s.service.Name}).AnswerTTL
	s.caches[r.block] = cachedChoices{choices, s.now.Add(ttl)}
	return choices
}

// delay returns the one-way delay between a caller's region and a pool.
func (s *sim) delay(region string, c lookup.Choice) time.Duration {
	if region == c.Region {
		return 0
	}
	return s.layout.RegionDelay
}

// sendToPool makes the current pool run the request.
func (r *request) sendToPool() {
	s := r.sim
	c := r.choices[r.poolIndex]
	p := s.pools[c.Zone]
	if r.poolIndex > 0 && (s.cut[c.Zone] || s.cut[r.choices[0].Zone]) || p.dead {
		s.after(deadDialTime, func() { r.handlePoolResult(retry.DidNotRun, 0) })
		return
	}
	attempts := s.values(p).RetryAttempts
	if s.baseline {
		attempts = 1
	}
	v := &poolRequest{request: r, pool: p, plan: retry.NewPlan(retry.Config{
		Repeatable:  r.repeatable,
		MaxAttempts: attempts,
		HedgeAfter:  s.hedgeAfter(p),
		Deadline:    r.deadline,
	}, s.budget)}
	v.execute(v.plan.Begin(s.now))
}

func (s *sim) hedgeAfter(p *pool) time.Duration {
	if s.baseline {
		return 0
	}
	return s.values(p).HedgeAfter
}

func (v *poolRequest) execute(out retry.Output) {
	s := v.request.sim
	if out.Launch > 0 {
		v.launch(out.Launch)
	}
	if out.Final != 0 {
		v.request.handlePoolResult(out.Final, v.retryAfter)
		return
	}
	if !out.NextTick.IsZero() {
		s.at(out.NextTick, func() { v.execute(v.plan.Tick(s.now)) })
	}
}

func (v *poolRequest) launch(number int) {
	r := v.request
	s := r.sim
	s.nextID++
	a := &attempt{visit: v, number: number, id: s.nextID}
	v.pool.waiting[a.id] = a
	class := admission.Unrepeatable
	if r.repeatable {
		class = admission.Repeatable
	}
	foreign := s.table.AssignedRegion(s.service.Name, r.home, r.block) != v.pool.region
	s.handleEvent(v.pool, admission.Arrive{ID: a.id, Class: class, Deadline: r.deadline, Foreign: foreign, Exclude: v.exclude, NoWait: r.noWait()})
}

// noWait decides as an entry box does, which doesn't count a pool that it can't reach.
func (r *request) noWait() bool {
	if r.sim.baseline || len(r.choices) < 2 || r.choices[1].Region != r.choices[0].Region {
		return false
	}
	first, second := r.choices[0].Zone, r.choices[1].Zone
	near := !r.sim.pools[second].dead && !r.sim.cut[first] && !r.sim.cut[second]
	return r.config.NoWait(r.poolIndex, near)
}

// runAttempt runs an attempt at its target.
func (s *sim) runAttempt(p *pool, a *attempt, g admission.Grant) {
	t := p.targets[g.Target]
	a.target = t
	a.start = s.now
	a.visit.exclude = append(a.visit.exclude, t.name)
	switch {
	case t.dead:
		s.after(time.Millisecond, func() { s.finishAttempt(p, a, admission.Failed, retry.NotRun) })
		return
	case t.busy >= t.slots:
		s.figures.overload(s.now.Sub(s.start), p.region)
		s.after(time.Millisecond, func() { s.finishAttempt(p, a, admission.Shed, retry.NotRun) })
		return
	case t.failing:
		a.visit.request.runs++
		s.after(2*time.Millisecond, func() { s.finishAttempt(p, a, admission.Failed, retry.Failed) })
		return
	}
	t.busy++
	a.visit.request.runs++
	s.after(s.serviceTime(t), func() {
		t.busy--
		if t.dead {
			s.finishAttempt(p, a, admission.Failed, retry.Failed)
			return
		}
		s.finishAttempt(p, a, admission.Succeeded, retry.Answered)
	})
}

func (s *sim) finishAttempt(p *pool, a *attempt, result admission.Result, end retry.AttemptResult) {
	s.handleEvent(p, admission.Finish{ID: a.id, Result: result, Latency: s.now.Sub(a.start)})
	a.end(end, 0)
}

func (a *attempt) end(end retry.AttemptResult, retryAfter time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	a.visit.retryAfter = retryAfter
	a.visit.execute(a.visit.plan.HandleResult(a.visit.request.sim.now, a.number, end))
}

// handlePoolResult handles the result of a pool and continues as the failover decides.
func (r *request) handlePoolResult(v retry.Verdict, retryAfter time.Duration) {
	s := r.sim
	d := r.failover.HandleResult(s.now, routing.Result{Verdict: v, RetryAfter: retryAfter})
	if d.KeepResult {
		r.keptVerdict = v
	}
	if d.TryNext {
		r.poolIndex++
		hop := s.layout.ZoneDelay
		if r.choices[r.poolIndex].Region != r.choices[0].Region {
			hop = s.layout.RegionDelay
		}
		s.after(hop, r.sendToPool)
		return
	}
	back := r.callerDelay
	if r.poolIndex > 0 {
		back += s.layout.ZoneDelay
		if r.choices[r.poolIndex].Region != r.choices[0].Region {
			back += s.layout.RegionDelay - s.layout.ZoneDelay
		}
	}
	s.after(back, func() { r.finish(r.keptVerdict) })
}

func (r *request) finish(v retry.Verdict) {
	f := r.sim.figures
	switch v {
	case retry.Ran:
		f.answered[r.repeatable]++
		if r.repeatable {
			_ = f.latency.RecordValue(int64(r.sim.now.Sub(r.start))) // no request takes longer than the highest value
		}
	case retry.DidNotRun:
		f.notRun[r.repeatable]++
	default:
		f.unknown[r.repeatable]++
	}
	if !r.repeatable && r.runs > 1 {
		f.duplicated++
	}
}
