package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// rolloutInterval is how often the evidence on running roll-outs is evaluated.
	rolloutInterval = 200 * time.Millisecond
	// rolloutSubmitTimeout bounds the wait for a command. One that was not committed is due again.
	rolloutSubmitTimeout = time.Second
	// defaultRolloutShare is the share of a service's requests that a version may get while it is not
	// known to be good, if the settings name none.
	defaultRolloutShare = 0.1
	// boxRetention is how long after its last report a box is still waited for.
	boxRetention = time.Minute
)

// NoRolloutError reports that a service has had no roll-out.
type NoRolloutError struct{ Service string }

// Error implements error.
func (e *NoRolloutError) Error() string {
	return fmt.Sprintf("service %s has had no roll-out", e.Service)
}

// RolloutConflictError reports that an order conflicts with a running roll-out of the service.
type RolloutConflictError struct{ Reason string }

// Error implements error.
func (e *RolloutConflictError) Error() string { return e.Reason }

// rollouts tracks the running roll-outs: since when each of them runs, and the responses that boxes
// report. Each replica does so, so that a new leader continues where the previous one stopped.
type rollouts struct {
	clock   *boottime.Clock
	started time.Time
	mu      sync.Mutex
	tracked map[uint64]*trackedRollout
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

func newRollouts(c *boottime.Clock) *rollouts {
	return &rollouts{clock: c, started: c.Now(), tracked: make(map[uint64]*trackedRollout)}
}

// update starts to track new roll-outs and drops those that have ended. wall is the time of day,
// which counts for roll-outs that began while this replica was not running or cut off.
func (x *rollouts) update(now, wall time.Time, list []*wire.Rollout, isCurrent bool) {
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
			if r.Step > 0 || !isCurrent || now.Sub(x.started) < boxRetention {
				t.startedAt = now.Add(-max(wall.Sub(time.UnixMilli(r.StartedUnixMilli)), 0))
			}
			x.tracked[r.Number] = t
		}
		if t.step != r.Step {
			t.step, t.stepAt = r.Step, now
		}
	}
	maps.DeleteFunc(x.tracked, func(number uint64, _ *trackedRollout) bool { return !running[number] })
}

// isEmpty reports whether no roll-out is running.
func (x *rollouts) isEmpty() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.tracked) == 0
}

// addReports passes what boxes have counted since their last reports to the judges.
func (x *rollouts) addReports(now time.Time, reports []*wire.BoxReport) {
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
func (x *rollouts) situation(now time.Time, r *wire.Rollout, s catalog.State, reports []*wire.BoxReport) (out rollout.Situation, ok bool) {
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
func (x *rollouts) total(number uint64) map[string]rollout.Counts {
	x.mu.Lock()
	defer x.mu.Unlock()
	if t := x.tracked[number]; t != nil {
		return t.judge.Total()
	}
	return nil
}

// advanceRollouts evaluates the running roll-outs and, if this replica leads, submits the commands
// that are due.
func (d *Daemon) advanceRollouts(ctx context.Context) {
	catalogState := d.latest().Catalog()
	now := d.clock.Now()
	wall := time.Now() // time of day: the only clock that replicas share across restarts
	d.rollouts.update(now, wall, catalogState.Rollouts(), d.controlAge() <= maxLocalAckAge)
	if d.rollouts.isEmpty() {
		return
	}
	reports := d.publisher.Reports()
	d.rollouts.addReports(now, reports)
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return
	}
	for _, r := range catalogState.Rollouts() {
		if r.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
			continue
		}
		situation, ok := d.rollouts.situation(now, r, catalogState, reports)
		if !ok {
			continue
		}
		situation.Objective, situation.Removed = d.routes.longestObjective(catalogState.Document(), r.Service)
		if command := rollout.Next(situation); command != nil {
			d.submitRolloutCommand(ctx, command, situation)
		}
	}
}

func (d *Daemon) submitRolloutCommand(ctx context.Context, c *wire.RolloutCommand, s rollout.Situation) {
	ctx, cancel := context.WithTimeout(ctx, rolloutSubmitTimeout)
	defer cancel()
	err := submitError(d.replica.submit(ctx, &wire.Command{Rollout: c}))
	entry := d.process.Log.Info()
	if err != nil {
		entry = d.process.Log.Warn().Err(err)
	}
	entry.Str("kind", "rollout").Str("service", c.Rollout.Service).Uint64("number", c.Rollout.Number).Uint32("step", c.Rollout.Step).
		Str("action", c.Action.String()).Str("reason", c.Rollout.Reason).Float64("share", c.Rollout.Share).Bool("previousClosed", c.Rollout.PreviousClosed).
		Dur("elapsed", s.Elapsed).Int("boxes", len(s.Boxes)).Int("warmTargetSlots", s.Capacity.WarmTarget).Int("previousSlots", s.Capacity.Previous).
		Uint64("answers", s.Responses.Answers).Uint64("bad", s.Responses.Bad).
		Uint64("previousAnswers", s.Responses.PreviousAnswers).Uint64("previousBad", s.Responses.PreviousBad).Msg("roll-out command submitted")
}

// StartRollout starts a roll-out of a service to another version. An order that is sent again
// succeeds. The error is a rollout.InvalidError, an UnknownServiceError, a RolloutConflictError or an
// UnavailableError.
func (d *Daemon) StartRollout(ctx context.Context, service, targetVersion string, duration time.Duration) error {
	wall := time.Now() // time of day: replicas that start later go by it
	command, err := rollout.NewOrder(service, targetVersion, duration, d.rolloutShare(), wall)
	if err != nil {
		return err
	}
	document := d.latest().Catalog().Document()
	if document == nil {
		return &UnavailableError{Cause: &NoDocumentError{}}
	}
	if err := d.routes.checkService(document, service); err != nil {
		return err
	}
	if err := d.checkRolloutSupport(ctx); err != nil {
		return &UnavailableError{Cause: err}
	}
	began := d.clock.Now()
	err = d.Submit(ctx, &wire.Command{Rollout: command})
	entry := d.process.Log.Info()
	if err != nil {
		entry = d.process.Log.Warn().Err(err)
	}
	entry.Str("kind", "rollout").Str("service", service).Str("targetVersion", targetVersion).Dur("duration", duration).
		Dur("took", d.clock.Since(began)).Msg("roll-out order submitted")
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &RolloutConflictError{refused.Reason}
	}
	return err
}

// RolloutsUnsupportedError names the control replicas of an earlier version, whose state would differ
// from that of the others after a roll-out command.
type RolloutsUnsupportedError struct{ Replicas []string }

// Error implements error.
func (e *RolloutsUnsupportedError) Error() string {
	return "control replicas of an earlier version do not support roll-outs: " + strings.Join(e.Replicas, ", ")
}

func (d *Daemon) checkRolloutSupport(ctx context.Context) error {
	unsupported, err := d.replicasWithout(ctx, (*wire.HelloAnswer).GetTakesRollouts)
	if err != nil {
		return err
	}
	if len(unsupported) > 0 {
		return &RolloutsUnsupportedError{unsupported}
	}
	return nil
}

func (d *Daemon) rolloutShare() float64 {
	if d.config.RolloutShare > 0 {
		return d.config.RolloutShare
	}
	return defaultRolloutShare
}

// Rollout reads the latest roll-out of a service through a quorum. The error is a NoRolloutError or
// an UnavailableError.
func (d *Daemon) Rollout(ctx context.Context, service string) (*wire.Rollout, error) {
	var found *wire.Rollout
	err := d.withLeader(ctx, func(ctx context.Context, leader string) error {
		if leader == "" {
			state, err := d.replica.read(ctx)
			found = rolloutOf(state, service)
			return err
		}
		request := &wire.CallRequest{Read: &wire.ReadRequest{RolloutOf: service}, LeftMilli: d.remainingMilli(ctx)}
		answer, err := d.node.Call(ctx, leader, request)
		found = answer.GetRead().GetRollout()
		return err
	})
	if err == nil && found == nil {
		err = &NoRolloutError{service}
	}
	return found, err
}

// rolloutOf returns the latest roll-out of a service, or nil.
func rolloutOf(s steering.State, service string) *wire.Rollout {
	r, _ := s.Catalog().Rollout(service)
	return r
}

// AbortRollout rolls back the running roll-out of a service.
func (d *Daemon) AbortRollout(ctx context.Context, service string) error {
	r, err := d.Rollout(ctx, service)
	if err != nil {
		return err
	}
	err = d.Submit(ctx, &wire.Command{Rollout: &wire.RolloutCommand{Action: wire.RolloutCommand_ACTION_ROLL_BACK, Rollout: &wire.Rollout{
		Service: service, Number: r.Number, Step: r.Step, Reason: "an operator aborted it",
	}}})
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &RolloutConflictError{refused.Reason}
	}
	return err
}
