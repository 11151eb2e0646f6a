package control

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/consensus"
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
