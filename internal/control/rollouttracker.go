package control

import (
	"maps"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// boxRetention is how long after its last report a box is still waited for.
	boxRetention = time.Minute
	// maxUnseenTime is how long a replica may have been without the current state if a roll-out that
	// it sees for the first time has just begun.
	maxUnseenTime = time.Second
)

// rolloutTracker tracks the running roll-outs: since when each of them runs, and the responses that boxes
// report. Each replica does so, so that a new leader continues where the previous one stopped.
type rolloutTracker struct {
	started time.Time
	// currentAt is when this replica last had the current state.
	currentAt time.Time
	mu        lockorder.Mutex
	tracked   map[uint64]*trackedRollout
}

// trackedRollout is what a replica knows of a running roll-out beside the replicated state.
type trackedRollout struct {
	startedAt time.Time
	step      uint32
	stepAt    time.Time
	judge     *rollout.Judge
	// reported are the counts of each box, by route, that the judge has received, and objects those of
	// all boxes by route.
	reported map[boxRun]map[string]rollout.Counts
	objects  map[string]*rollout.ObjectSet
	finding  *rollout.Finding
}

// boxRun is one run of an entry box, within which its counts grow.
type boxRun struct{ box, incarnation string }

func newRolloutTracker(now time.Time) *rolloutTracker {
	return &rolloutTracker{started: now, tracked: make(map[uint64]*trackedRollout)}
}

// update starts to track new roll-outs and drops those that have ended. wall is the time of day,
// which counts for roll-outs that began while this replica was not running or cut off: it may have
// been stepped since the order.
func (x *rolloutTracker) update(now, wall time.Time, list []*wire.Rollout, isCurrent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	running := make(map[uint64]bool)
	for _, r := range list {
		if r.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
			continue
		}
		running[r.Number] = true
		t := x.tracked[r.Number]
		if t == nil {
			t = &trackedRollout{startedAt: now, step: r.Step, stepAt: now, judge: rollout.NewJudge(), reported: make(map[boxRun]map[string]rollout.Counts), objects: make(map[string]*rollout.ObjectSet)}
			if r.Step > 0 || now.Sub(x.currentAt) > maxUnseenTime {
				t.startedAt = now.Add(-max(wall.Sub(time.UnixMilli(r.StartedUnixMilli)), 0))
			}
			x.tracked[r.Number] = t
		}
		if t.step != r.Step {
			t.step, t.stepAt = r.Step, now
		}
	}
	maps.DeleteFunc(x.tracked, func(number uint64, _ *trackedRollout) bool { return !running[number] })
	if isCurrent {
		x.currentAt = now
	}
}

// isEmpty reports whether no roll-out is running.
func (x *rolloutTracker) isEmpty() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.tracked) == 0
}

// addReports passes what boxes have counted since their last reports to the judges.
func (x *rolloutTracker) addReports(now time.Time, reports []*wire.BoxReport) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range reports {
		for _, r := range b.Rollouts {
			if t := x.tracked[r.Number]; t != nil {
				t.addReport(now, boxRun{b.Box, b.Incarnation}, r)
			}
		}
	}
}

func (t *trackedRollout) addReport(now time.Time, run boxRun, r *wire.RolloutReport) {
	known := t.reported[run]
	if known == nil {
		known = make(map[string]rollout.Counts)
		t.reported[run] = known
	}
	for _, route := range r.Routes {
		counts := rollout.CountsOf(route)
		added := counts.Since(known[route.Route])
		if added.Answers+added.PreviousAnswers == 0 {
			continue
		}
		known[route.Route] = counts
		added.Objects = t.addObjects(route)
		t.judge.Add(now, route.Route, added)
	}
}

// addObjects adds the objects of a report and returns how many of them are new.
func (t *trackedRollout) addObjects(r *wire.RouteEvidence) uint64 {
	o := t.objects[r.Route]
	if o == nil {
		o = &rollout.ObjectSet{}
		t.objects[r.Route] = o
	}
	before := o.Count()
	o.Union(r.Objects)
	return o.Count() - before
}

// situation returns what is known of a running roll-out.
func (x *rolloutTracker) situation(now time.Time, r *wire.Rollout, s catalog.State, reports []*wire.BoxReport) (out rollout.Situation, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.tracked[r.Number]
	if t == nil {
		return out, false
	}
	targets := 0
	out = rollout.Situation{
		Rollout: r, Elapsed: now.Sub(t.startedAt), StepElapsed: now.Sub(t.stepAt), ReportsFor: now.Sub(x.started), Responses: t.judge.Sum(),
	}
	for _, registration := range s.Targets() {
		if registration.Service != r.Service || registration.Draining || slices.Contains(s.Evacuated(), registration.Zone) {
			continue
		}
		out.Capacity = addCapacity(out.Capacity, registration, r.TargetVersion)
		if registration.Software == r.TargetVersion {
			targets++
		}
	}
	if f, bad := t.judge.Finding(now, targets, rollout.ControlThreshold); bad && t.finding == nil {
		t.finding = &f
	}
	out.Finding = t.finding
	out.Boxes, out.ReportValidity = boxStates(r, reports)
	return out, true
}

func addCapacity(c rollout.Capacity, r *wire.Registration, targetVersion string) rollout.Capacity {
	switch {
	case r.Software != targetVersion:
		c.Previous += int(r.Slots)
	case r.ColdMilli == 0:
		c.WarmTarget += int(r.Slots)
		c.Target += int(r.Slots)
	default:
		c.Target += int(r.Slots)
	}
	return c
}

// boxStates returns the states of the boxes that serve callers, and how long a report counts.
func boxStates(r *wire.Rollout, reports []*wire.BoxReport) (out []rollout.BoxState, validity time.Duration) {
	validity = lookup.ReportValidity(len(reports))
	for _, b := range reports {
		silence := time.Duration(b.AgeMilli) * time.Millisecond
		if b.CallerAddress == "" || silence > boxRetention {
			continue
		}
		state := rollout.BoxState{Silence: silence}
		for _, own := range b.Rollouts {
			if own.Number == r.Number && own.Step == r.Step {
				state.Applied, state.PreviousInFlight = true, int(own.PreviousInFlight)
			}
		}
		if b.Stopping && silence > validity {
			continue // it has ended as planned
		}
		out = append(out, state)
	}
	return out, validity
}

// total returns the responses by route of a running roll-out.
func (x *rolloutTracker) total(number uint64) map[string]rollout.Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.tracked[number]; t != nil {
		return t.judge.Total()
	}
	return nil
}
