// Package hedging decides when a repeatable request that takes unusually long is sent to a second
// target as well, and whether that is allowed. It is a state machine without I/O: a Planner takes
// times since the start of the process and the run times of earlier requests.
package hedging

import (
	"maps"
	"time"
)

// Quantile is the share of comparable runs that are shorter than the delay of a hedged attempt.
const Quantile = 0.95

const (
	// meanWeight is the weight of one observation in a mean, as in pkg/balance.
	meanWeight = 0.05
	// maxMissShare is the largest share of runs at home targets that did not know the object with
	// which a run there is expected to know it. A hedged attempt for a run that merely does not know
	// its object is useless: the second target does not know it either.
	maxMissShare = 0.15
	// missShareWeight is the weight of one observation in that share. With 0.05, a share of 0.06 was
	// taken for more than 0.1 so often that disturbed runs counted as misses and doubled their quantile.
	missShareWeight = 0.02
	// maxServiceLoad is the mean load in requests per slot above which a service has no slots to
	// spare for a second run.
	maxServiceLoad = 0.8
	// minRetriesLeft is the part of the earned retries that is kept for retries: a request that failed
	// needs one more than a slow one.
	minRetriesLeft = 0.5
)

// Expectation is what is expected of the target that a run is sent to.
type Expectation int

const (
	// Alike: the route's objects are not cached, so all targets are alike.
	Alike Expectation = iota
	// Known: the target is the home of the object and has probably served it recently.
	Known
	// Unknown: the target has probably not served the object recently.
	Unknown
)

// Suppression is why a hedged attempt that is due is not started.
type Suppression string

const (
	// NotSuppressed: the attempt may start.
	NotSuppressed Suppression = ""
	// ByLimit: the share of extra work or the retry budget is used up.
	ByLimit Suppression = "limit"
	// ByLoad: the service has no free slots, or the second target would respond too late.
	ByLoad Suppression = "load"
)

// Run is a run at a target that has ended.
type Run struct {
	Route     string
	Objective time.Duration
	Expected  Expectation
	// Took is the time until the response, or until the run was canceled.
	Took time.Duration
	// Unfinished tells that the run was canceled. Such a run counts if it had taken longer than the
	// delay of a hedged attempt: without it the quantile would fall with each hedged attempt. How long
	// a shorter one would have taken is unknown.
	Unfinished bool
}

// Second describes a hedged attempt that is due.
type Second struct {
	Service string
	// Share is the largest share of extra runs, 0 to 1.
	Share float64
	// ServiceLoad is the mean reported load of the service in requests per slot.
	ServiceLoad float64
	// RetriesLeft is the part of the earned retries that is left, 0 to 1.
	RetriesLeft float64
}

// route holds what is learned of a route's run times.
type route struct {
	// hit and miss are the mean times of runs whose target knew the object or did not, as in
	// pkg/balance: a run counts for the mean that it is closer to.
	hit, miss, all time.Duration
	// missShare is the share of the runs at home targets that were misses. It starts at 1: a box that
	// starts does not know whether home targets know their objects.
	missShare float64
	known     *histogram
	unknown   *histogram
	alike     *histogram
}

// Planner decides on the hedged attempts of one box. It is not safe for concurrent use.
type Planner struct {
	window time.Duration
	routes map[string]*route
	limits map[string]*limit
}

// NewPlanner returns a planner that limits the hedged attempts in each window of a length.
func NewPlanner(window time.Duration) *Planner {
	return &Planner{window: window, routes: make(map[string]*route), limits: make(map[string]*limit)}
}

// RecordRequest records the first attempt of a request, which earns a share of a hedged attempt.
func (p *Planner) RecordRequest(at time.Duration, service string, share float64) {
	p.limit(service).recordRequest(at, share)
}

func (p *Planner) limit(service string) *limit {
	l := p.limits[service]
	if l == nil {
		l = &limit{length: p.window}
		p.limits[service] = l
	}
	return l
}

// ObserveRun records the time of a run.
func (p *Planner) ObserveRun(at time.Duration, r Run) {
	if r.Unfinished {
		if delay, known := p.Delay(r.Route, r.Expected); !known || r.Took < delay {
			return
		}
	}
	known := p.routes[r.Route]
	if known == nil {
		known = &route{hit: r.Objective / 2, miss: r.Objective * 5 / 4, all: r.Objective / 2, missShare: 1}
		p.routes[r.Route] = known
	}
	known.observe(at, r)
}

// KeepRoutes drops what is known of all routes but the named ones.
func (p *Planner) KeepRoutes(names map[string]bool) {
	maps.DeleteFunc(p.routes, func(name string, _ *route) bool { return !names[name] })
}

func (r *route) observe(at time.Duration, run Run) {
	r.all = movingAverage(r.all, run.Took)
	if run.Expected == Alike {
		observe(&r.alike, at, run.Took)
		return
	}
	isMiss := run.Took > (r.hit+r.miss)/2
	if run.Expected == Known {
		r.missShare += missShareWeight * (indicator(isMiss) - r.missShare)
	}
	if !isMiss {
		r.hit = movingAverage(r.hit, run.Took)
		observe(&r.known, at, run.Took)
		return
	}
	r.miss = movingAverage(r.miss, run.Took)
	// A long run at a home target that knows nearly all of its objects is more likely a disturbed run
	// than a miss, and would raise the quantile of misses.
	if r.expectedMode(run.Expected) == Unknown {
		observe(&r.unknown, at, run.Took)
	}
}

func observe(h **histogram, at, took time.Duration) {
	if *h == nil {
		*h = &histogram{at: at}
	}
	(*h).observe(at, took)
}

func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// expectedMode returns the mode whose quantile applies. A home target that often does not know its
// objects, as after a start, is treated as one that does not know them.
func (r *route) expectedMode(e Expectation) Expectation {
	if e == Known && r.missShare > maxMissShare {
		return Unknown
	}
	return e
}

// Delay returns after which time without a response, beyond the expected wait for a slot, a hedged
// attempt is due. It is unknown while too few comparable runs have been seen.
func (p *Planner) Delay(name string, e Expectation) (delay time.Duration, known bool) {
	r := p.routes[name]
	if r == nil {
		return 0, false
	}
	h := r.histogramOf(r.expectedMode(e))
	if h == nil {
		return 0, false
	}
	return h.quantile(Quantile)
}

func (r *route) histogramOf(e Expectation) *histogram {
	switch e {
	case Known:
		return r.known
	case Unknown:
		return r.unknown
	}
	return r.alike
}

// Decide reports whether a hedged attempt that is due may be started, before a target is chosen.
func (p *Planner) Decide(at time.Duration, s Second) Suppression {
	switch {
	case s.ServiceLoad > maxServiceLoad:
		return ByLoad
	case s.Share <= 0 || s.RetriesLeft < minRetriesLeft || !p.limit(s.Service).allows(at):
		return ByLimit
	}
	return NotSuppressed
}

// WaitsTooLong reports whether a second run would end later than the first: if the wait for a slot
// exceeds the usual time of a run like the first, or if the response would come after the deadline,
// in remaining.
func (p *Planner) WaitsTooLong(name string, first Expectation, wait, remaining time.Duration) bool {
	usual := p.usualTime(name, first)
	return wait > usual || wait+usual > remaining
}

func (p *Planner) usualTime(name string, e Expectation) time.Duration {
	r := p.routes[name]
	if r == nil {
		return 0
	}
	switch r.expectedMode(e) {
	case Known:
		return r.hit
	case Unknown:
		return r.miss
	}
	return r.all
}

// Take takes a hedged attempt from the limit, and reports whether one was left.
func (p *Planner) Take(at time.Duration, service string) bool {
	l := p.limit(service)
	if !l.allows(at) {
		return false
	}
	l.take(at)
	return true
}

func movingAverage(mean, observed time.Duration) time.Duration {
	return mean + time.Duration(meanWeight*float64(observed-mean))
}
