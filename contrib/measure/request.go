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

// unrepeatableShare is the part of the requests that may not be repeated.
const unrepeatableShare = 0.15

// request is one request of a caller.
type request struct {
	sim        *sim
	home       string
	block      string
	repeatable bool
	began      time.Time
	deadline   time.Time
	choices    []lookup.Choice
	config     routing.Config
	failover   *routing.Failover
	place      int
	kept       retry.Verdict
	ran        int
	path       time.Duration // one-way delay to the box that took it
}

// visit is a request at one place.
type visit struct {
	request *request
	pool    *pool
	plan    *retry.Plan
	exclude []string
	after   time.Duration
}

// attempt is one attempt of a visit.
type attempt struct {
	visit  *visit
	number int
	id     uint64
	target *target
	began  time.Time
	over   bool
}

// arrive begins a request of a caller of a region. The blocks of a region are
// uneven: a few have much of the traffic.
func (s *sim) arrive(region string) {
	block := int(blocksPerRegion * math.Pow(s.random.Float64(), 3))
	r := &request{
		sim:        s,
		home:       region,
		block:      fmt.Sprintf("%s-%d", region, block),
		repeatable: s.random.Float64() >= unrepeatableShare,
		began:      s.now,
		deadline:   s.now.Add(callerTimeout),
	}
	s.figures.asked[r.repeatable]++
	r.choices = s.lookUp(r)
	if len(r.choices) == 0 {
		r.finish(retry.DidNotRun)
		return
	}
	places := len(r.choices)
	if s.baseline {
		places = 1
	}
	r.config = routing.Config{Pools: places, AtOrigin: true, Repeatable: r.repeatable, Deadline: r.deadline}
	r.failover = routing.NewFailover(r.config, s.budget)
	r.path = s.layout.CallerDelay + s.delay(region, r.choices[0])
	s.after(r.path, r.visit)
}

// lookUp returns the caller's cached answer or a new one. Zones whose boxes are
// dead are left out of new answers.
func (s *sim) lookUp(r *request) []lookup.Choice {
	if c, ok := s.caches[r.block]; ok && s.now.Before(c.until) {
		return c.choices
	}
	choices := s.table.Choose(s.service.Name, r.home, r.block, routing.MaxPools, func(b settings.Box) bool { return !s.pools[b.Zone].dead })
	ttl := s.state.Tree().Values(settings.Path{Service: s.service.Name}).AnswerTTL
	s.caches[r.block] = cached{choices, s.now.Add(ttl)}
	return choices
}

// delay is the one-way delay between a caller's region, or zone, and a place.
func (s *sim) delay(region string, c lookup.Choice) time.Duration {
	if region == c.Region {
		return 0
	}
	return s.layout.RegionDelay
}

// visit has the present place run the request.
func (r *request) visit() {
	s := r.sim
	c := r.choices[r.place]
	p := s.pools[c.Zone]
	if r.place > 0 && (s.cut[c.Zone] || s.cut[r.choices[0].Zone]) || p.dead {
		s.after(deadDial, func() { r.placeEnded(retry.DidNotRun, 0) })
		return
	}
	attempts := s.values(p).RetryAttempts
	if s.baseline {
		attempts = 1
	}
	v := &visit{request: r, pool: p, plan: retry.NewPlan(retry.Config{
		Repeatable:  r.repeatable,
		MaxAttempts: attempts,
		HedgeAfter:  s.hedgeAfter(p),
		Deadline:    r.deadline,
	}, s.budget)}
	v.carryOut(v.plan.Begin(s.now))
}

func (s *sim) hedgeAfter(p *pool) time.Duration {
	if s.baseline {
		return 0
	}
	return s.values(p).HedgeAfter
}

func (v *visit) carryOut(out retry.Output) {
	s := v.request.sim
	if out.Launch > 0 {
		v.launch(out.Launch)
	}
	if out.Final != 0 {
		v.request.placeEnded(out.Final, v.after)
		return
	}
	if !out.NextTick.IsZero() {
		s.at(out.NextTick, func() { v.carryOut(v.plan.Tick(s.now)) })
	}
}

func (v *visit) launch(number int) {
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
	s.handle(v.pool, admission.Arrive{ID: a.id, Class: class, Deadline: r.deadline, Foreign: foreign, Exclude: v.exclude, NoWait: r.noWait()})
}

// noWait is decided as at an entry box, which finds no place beyond a cut.
func (r *request) noWait() bool {
	if r.sim.baseline || len(r.choices) < 2 || r.choices[1].Region != r.choices[0].Region {
		return false
	}
	first, second := r.choices[0].Zone, r.choices[1].Zone
	near := !r.sim.pools[second].dead && !r.sim.cut[first] && !r.sim.cut[second]
	return r.config.NoWait(r.place, near)
}

// granted runs an attempt at its target.
func (s *sim) granted(p *pool, a *attempt, g admission.Grant) {
	t := p.targets[g.Target]
	a.target = t
	a.began = s.now
	a.visit.exclude = append(a.visit.exclude, t.name)
	switch {
	case t.dead:
		s.after(time.Millisecond, func() { s.finished(p, a, admission.Failed, retry.NotRun) })
		return
	case t.busy >= t.slots:
		s.figures.overload(s.now.Sub(s.start), p.region)
		s.after(time.Millisecond, func() { s.finished(p, a, admission.Shed, retry.NotRun) })
		return
	case t.failing:
		a.visit.request.ran++
		s.after(2*time.Millisecond, func() { s.finished(p, a, admission.Failed, retry.Failed) })
		return
	}
	t.busy++
	a.visit.request.ran++
	s.after(s.serviceTime(t), func() {
		t.busy--
		if t.dead {
			s.finished(p, a, admission.Failed, retry.Failed)
			return
		}
		s.finished(p, a, admission.Succeeded, retry.Answered)
	})
}

func (s *sim) finished(p *pool, a *attempt, result admission.Result, end retry.AttemptResult) {
	s.handle(p, admission.Finish{ID: a.id, Result: result, Latency: s.now.Sub(a.began)})
	a.end(end, 0)
}

func (a *attempt) end(end retry.AttemptResult, retryAfter time.Duration) {
	if a.over {
		return
	}
	a.over = true
	a.visit.after = retryAfter
	a.visit.carryOut(a.visit.plan.HandleResult(a.visit.request.sim.now, a.number, end))
}

// placeEnded takes the answer of a place and goes on as the failover decides.
func (r *request) placeEnded(v retry.Verdict, retryAfter time.Duration) {
	s := r.sim
	d := r.failover.HandleResult(s.now, routing.Result{Verdict: v, RetryAfter: retryAfter})
	if d.KeepResult {
		r.kept = v
	}
	if d.TryNext {
		r.place++
		hop := s.layout.ZoneDelay
		if r.choices[r.place].Region != r.choices[0].Region {
			hop = s.layout.RegionDelay
		}
		s.after(hop, r.visit)
		return
	}
	back := r.path
	if r.place > 0 {
		back += s.layout.ZoneDelay
		if r.choices[r.place].Region != r.choices[0].Region {
			back += s.layout.RegionDelay - s.layout.ZoneDelay
		}
	}
	s.after(back, func() { r.finish(r.kept) })
}

func (r *request) finish(v retry.Verdict) {
	f := r.sim.figures
	switch v {
	case retry.Ran:
		f.answered[r.repeatable]++
		if r.repeatable {
			_ = f.latency.RecordValue(int64(r.sim.now.Sub(r.began))) // no wait is longer than the highest value
		}
	case retry.DidNotRun:
		f.notRun[r.repeatable]++
	default:
		f.unknown[r.repeatable]++
	}
	if !r.repeatable && r.ran > 1 {
		f.doubled++
	}
}
