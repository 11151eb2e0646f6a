package rollout

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// shareMargin is the part of the allowed share that is used while a roll-out is undecided. The
	// rest allows for requests that were counted as reaching a target and are not counted there.
	shareMargin = 0.9
	// rampShare is the share of the last step before all requests go to the target version, and
	// rampTime how long it lasts at least. It limits how many objects move at once to targets that
	// have not cached them.
	rampShare = 0.5
	rampTime  = time.Second
	// requiredSlots is how many slots the warm targets of the version must have, as a share of those
	// that they replace.
	requiredSlots = 0.8
	// minAnswers is how many responses of the target version are required before it gets more
	// requests, unless the service has fewer than requestsPerAnswer requests for each of them.
	minAnswers        = 20
	requestsPerAnswer = 40
	// A roll-out moves on from the first share moveTime before its end: completionTime for the
	// commands and their way to all boxes, and drainObjectives of the longest latency objective for
	// the requests in flight; at least minMoveShare and at most maxMoveShare of its duration.
	completionTime  = 1500 * time.Millisecond
	drainObjectives = 2
	minMoveShare    = 0.3
	maxMoveShare    = 0.6
	// silentBoxTime is how long after the last step boxes without contact are waited for. From then on
	// they notice by themselves that the previous targets are gone.
	silentBoxTime = 3 * time.Second
	// MinDuration and MaxDuration bound the duration of a roll-out.
	MinDuration = time.Second
	MaxDuration = 24 * time.Hour
)

// InvalidError reports an order for a roll-out that can't be carried out.
type InvalidError struct{ Reason string }

// Error implements error.
func (e *InvalidError) Error() string { return "the roll-out is not valid: " + e.Reason }

// NewOrder returns the command that starts a roll-out, or an InvalidError. maxShare is the share of
// the service's requests that a version may get while it is not known to be good.
func NewOrder(service, targetVersion string, duration time.Duration, maxShare float64, wall time.Time) (*wire.RolloutCommand, error) {
	switch {
	case service == "":
		return nil, &InvalidError{"the service is missing"}
	case targetVersion == "":
		return nil, &InvalidError{"the version is missing"}
	case duration < MinDuration || duration > MaxDuration:
		return nil, &InvalidError{fmt.Sprintf("its duration %s is not between %s and %s", duration, MinDuration, MaxDuration)}
	}
	return &wire.RolloutCommand{Action: wire.RolloutCommand_ACTION_START, Rollout: &wire.Rollout{
		Service: service, TargetVersion: targetVersion, DurationMilli: duration.Milliseconds(), StartedUnixMilli: wall.UnixMilli(),
		Share: shareMargin * maxShare,
	}}, nil
}

// BoxState is what the leader knows of one entry box.
type BoxState struct {
	// Silence is the time since its last report.
	Silence time.Duration
	// Applied is set if the box applies the current step, PreviousInFlight is the number of its
	// requests at targets of previous versions then.
	Applied          bool
	PreviousInFlight int
}

// Capacity is the number of slots of the targets in service.
type Capacity struct {
	// Target is that of the target version, without and with targets that are warming up, and
	// Previous that of the other versions.
	WarmTarget int
	Target     int
	Previous   int
}

// Situation is what the leader knows of a running roll-out.
type Situation struct {
	Rollout *wire.Rollout
	// Elapsed is the time since the start, StepElapsed the time since the last step.
	Elapsed     time.Duration
	StepElapsed time.Duration
	// Boxes are the entry boxes with a report, and ReportValidity is how long a report counts.
	Boxes          []BoxState
	ReportValidity time.Duration
	// ReportsFor is how long this replica has received reports: before it has done so for
	// ReportValidity, some boxes may be missing.
	ReportsFor time.Duration
	Capacity   Capacity
	// Responses are all responses since the start. Finding is the evidence against the version, nil
	// if it does not suffice.
	Responses Counts
	Finding   *Finding
	// Objective is the longest latency objective of the routes to the service.
	Objective time.Duration
	// Removed is set if the routes document no longer has the service.
	Removed bool
}

// Next returns the next command for a running roll-out, or nil if there is nothing to do yet.
func Next(s Situation) *wire.RolloutCommand {
	switch {
	case s.Removed:
		return s.rollBack("the service was removed from the routes document")
	case s.Finding != nil:
		return s.rollBack(s.Finding.String())
	case s.Rollout.PreviousClosed:
		return s.nextAfterClosing()
	case len(s.Rollout.PreviousVersions) == 0 && s.Capacity.Previous == 0 && s.Capacity.Target > 0:
		return s.command(wire.RolloutCommand_ACTION_COMPLETE, "the service has no other version")
	case s.Elapsed >= s.duration():
		return s.rollBack(s.missing())
	case s.Elapsed < s.duration()-s.moveTime() || s.missing() != "":
		return nil
	case s.Rollout.Share < rampShare:
		return s.step(rampShare, false)
	case s.StepElapsed < rampTime:
		return nil
	}
	return s.step(1, true)
}

// nextAfterClosing returns the next command once no request is sent to previous versions. Their
// targets stop without a drain upon completion, so it waits for the requests in flight there.
func (s Situation) nextAfterClosing() *wire.RolloutCommand {
	if s.Capacity.Target == 0 {
		return s.rollBack("no target of the version is left")
	}
	for _, b := range s.Boxes {
		isSilent := b.Silence > s.ReportValidity
		if isSilent && s.StepElapsed >= silentBoxTime {
			continue
		}
		if isSilent || !b.Applied || b.PreviousInFlight > 0 {
			return nil
		}
	}
	if s.ReportsFor < s.ReportValidity || len(s.Boxes) == 0 && s.StepElapsed < silentBoxTime {
		return nil
	}
	return s.command(wire.RolloutCommand_ACTION_COMPLETE, "")
}

// missing returns what the version lacks for all requests, or an empty string.
func (s Situation) missing() string {
	if required := requiredSlots * float64(s.Capacity.Previous); float64(s.Capacity.WarmTarget) < required || s.Capacity.WarmTarget == 0 {
		return fmt.Sprintf("the warm targets of the version have %d slots, those of the other versions %d", s.Capacity.WarmTarget, s.Capacity.Previous)
	}
	if s.Responses.Answers < minAnswers && s.Responses.PreviousAnswers >= minAnswers*requestsPerAnswer {
		return fmt.Sprintf("targets of the version have responded to %d requests only", s.Responses.Answers)
	}
	return ""
}

func (s Situation) duration() time.Duration {
	return time.Duration(s.Rollout.DurationMilli) * time.Millisecond
}

// moveTime returns how long before the end of the roll-out requests start to move.
func (s Situation) moveTime() time.Duration {
	needed := completionTime + rampTime + drainObjectives*s.Objective
	least := time.Duration(minMoveShare * float64(s.duration()))
	most := time.Duration(maxMoveShare * float64(s.duration()))
	return min(max(needed, least), most)
}

func (s Situation) rollBack(reason string) *wire.RolloutCommand {
	return s.command(wire.RolloutCommand_ACTION_ROLL_BACK, reason)
}

func (s Situation) step(share float64, closed bool) *wire.RolloutCommand {
	c := s.command(wire.RolloutCommand_ACTION_STEP, "")
	c.Rollout.Share, c.Rollout.PreviousClosed = share, closed
	return c
}

func (s Situation) command(a wire.RolloutCommand_Action, reason string) *wire.RolloutCommand {
	return &wire.RolloutCommand{Action: a, Rollout: &wire.Rollout{
		Service: s.Rollout.Service, Number: s.Rollout.Number, Step: s.Rollout.Step, Reason: reason,
	}}
}
