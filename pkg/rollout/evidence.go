package rollout

import (
	"maps"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// slowFactor is the multiple of the previous version's mean time on the same route above which a
	// response counts as slow, for either version.
	slowFactor = 2.5
	// meanWeight is the weight of one response in a mean time.
	meanWeight = 0.05
	// maxBadTargets bounds the targets in a report about one route.
	maxBadTargets = 64
)

// Response is a response of a target, or the lack of one within the time that others take.
type Response struct {
	Route   string
	Version string
	// Target is the name of the target, and AffinityKey the object that the request is about; empty
	// if the route has no affinity.
	Target      string
	AffinityKey string
	Took        time.Duration
	// UsualTime is how long requests of the route usually take.
	UsualTime time.Duration
	// Failed is set for a failure of the target itself, and Overdue if there was no response in time.
	Failed  bool
	Overdue bool
	// Cold is set if the target was warming up. Its response is no evidence of being slow.
	Cold bool
}

// evidence counts responses by route.
type evidence struct {
	routes map[string]*routeEvidence
	judge  *Judge
}

// routeEvidence is the evidence on one route: the counts, the objects of the target version's
// responses and the mean time of the previous version.
type routeEvidence struct {
	counts  Counts
	objects ObjectSet
	mean    time.Duration
}

func newEvidence() *evidence {
	return &evidence{routes: make(map[string]*routeEvidence), judge: NewJudge()}
}

// record counts a response of the target version or of a previous one.
func (e *evidence) record(now time.Time, r Response, isTarget bool) {
	route := e.routes[r.Route]
	if route == nil {
		route = &routeEvidence{mean: r.UsualTime}
		e.routes[r.Route] = route
	}
	isSlow := r.Overdue || r.Took > time.Duration(slowFactor*float64(route.mean))
	added := countsOfResponse(r, isTarget, r.Failed || isSlow && !r.Cold)
	if isTarget && r.AffinityKey != "" {
		before := route.objects.Count()
		route.objects.Add(r.AffinityKey)
		added.Objects = route.objects.Count() - before
	}
	route.counts = route.counts.With(added)
	e.judge.Add(now, r.Route, added)
	if !isTarget && !r.Failed && !r.Overdue {
		route.mean += time.Duration(meanWeight * float64(r.Took-route.mean))
	}
}

// countsOfResponse returns the counts of one response.
func countsOfResponse(r Response, isTarget, bad bool) Counts {
	one := func(condition bool) uint64 {
		if condition {
			return 1
		}
		return 0
	}
	if !isTarget {
		return Counts{PreviousAnswers: 1, PreviousBad: one(bad), PreviousFailed: one(r.Failed)}
	}
	c := Counts{Answers: 1, Bad: one(bad), Failed: one(r.Failed)}
	if bad {
		c.BadTargets = map[string]uint64{r.Target: 1}
	}
	return c
}

// messages returns the counts of all routes, ordered by route.
func (e *evidence) messages() []*wire.RouteEvidence {
	var out []*wire.RouteEvidence
	for _, name := range slices.Sorted(maps.Keys(e.routes)) {
		m := e.routes[name].counts.message(name)
		m.Objects = e.routes[name].objects.Bytes()
		out = append(out, m)
	}
	return out
}
