// Package overload decides how long a request may wait for a slot of a saturated service, and when
// a caller whose request was refused is asked to return. It is a state machine without I/O: a
// Controller takes the current time, requests and refusals, and returns verdicts.
//
// While a service is not saturated, requests are treated as if there were no Controller.
package overload

import (
	"maps"
	"time"
)

const (
	// saturatedLoad is the mean load, in requests per slot, above which a service is saturated: its
	// targets have queues on average.
	saturatedLoad = 1.0
	// fullWaitShare is the share of its spare time that a request of the highest priority of its
	// service may wait for a slot; it equals the default of balance.Request. Others may wait for
	// half of that, so that they are refused first.
	fullWaitShare  = 0.75
	lowerWaitShare = fullWaitShare / 2
	// NoWait is the WaitShare of a request that may only use a slot that is free.
	NoWait = -1
	// stateLifetime is how long the state of a route or service is kept after its last request.
	stateLifetime = time.Minute
)

// The reasons why a request of a saturated service may wait less than others.
const (
	// ReasonLate: its objective has passed.
	ReasonLate = "late"
	// ReasonWorkspace: its workspace sends more than its fair share of the service's requests.
	ReasonWorkspace = "workspace"
	// ReasonPriority: its route has a lower priority than others of the service.
	ReasonPriority = "priority"
)

// Request is a request that has arrived.
type Request struct {
	Route   string
	Service string
	// Priority is that of the route, HighestPriority that of the service's route that ranks
	// highest; 0 is the highest.
	Priority        int
	HighestPriority int
	// Workspace is the name of the workspace; empty for none.
	Workspace string
	// Stated is how long the caller still waits, as it states; zero if it does not state it.
	Stated time.Duration
	// Objective is the latency objective.
	Objective time.Duration
	// Load is the mean load of the service's targets, in requests per slot; zero if it is not known,
	// because the box has just started.
	Load float64
}

// Verdict is how a request is treated.
type Verdict struct {
	// Saturated tells that the service is saturated.
	Saturated bool
	// Age is the time since the caller's first attempt; zero if it is not known.
	Age time.Duration
	// Remaining is the time until the objective, negative if it has passed. While the service is
	// not saturated it counts from the arrival of the request, else from the first attempt.
	Remaining time.Duration
	// WaitShare is the share of its spare time that the request may wait for a slot: zero for the
	// usual one, NoWait if it must not wait.
	WaitShare float64
	// Reason is why the request may wait less than others; empty if it may not.
	Reason string
}

// Controller decides about the requests that arrive at one box. It is not safe for concurrent use.
type Controller struct {
	deadlines map[string]*deadlines
	services  map[string]*service
	// phase spreads the delays until callers return.
	phase float64
}

// service is what a controller remembers of a service.
type service struct {
	requests, refusals rate
	workspaces         fairness
}

// New returns a controller without state. The seed, in [0, 1), differs between boxes, so that the
// callers of different boxes don't return together.
func New(seed float64) *Controller {
	return &Controller{deadlines: make(map[string]*deadlines), services: make(map[string]*service), phase: seed}
}

// Decide returns how a request is treated that has arrived.
func (c *Controller) Decide(now time.Time, r Request) Verdict {
	s := c.service(r.Service)
	s.requests.add(now, rateHalfLife)
	exceeds := r.Workspace != "" && s.workspaces.exceeds(now, r.Workspace)
	v := Verdict{Saturated: r.Load > saturatedLoad, Age: c.age(now, r), Remaining: r.Objective}
	if !v.Saturated {
		return v
	}
	v.Remaining -= v.Age
	v.WaitShare = fullWaitShare
	switch {
	case v.Remaining <= 0:
		v.WaitShare, v.Reason = NoWait, ReasonLate
	case exceeds:
		v.WaitShare, v.Reason = NoWait, ReasonWorkspace
	case r.Priority > r.HighestPriority:
		v.WaitShare, v.Reason = lowerWaitShare, ReasonPriority
	}
	return v
}

// Prune drops the state of routes and services without recent requests.
func (c *Controller) Prune(now time.Time) {
	maps.DeleteFunc(c.deadlines, func(_ string, d *deadlines) bool { return now.Sub(d.since) > stateLifetime })
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return now.Sub(s.requests.at) > stateLifetime })
	for _, s := range c.services {
		s.workspaces.prune(now)
	}
}

func (c *Controller) age(now time.Time, r Request) time.Duration {
	if r.Stated <= 0 {
		return 0
	}
	d := c.deadlines[r.Route]
	if d == nil {
		d = &deadlines{since: now}
		c.deadlines[r.Route] = d
	}
	return d.observe(now, r.Stated)
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{}
		c.services[name] = s
	}
	return s
}
