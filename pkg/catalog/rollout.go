package catalog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxRollouts bounds the list of roll-outs. Only the latest one of each service is kept.
const maxRollouts = 256

// resendMilli is how long after its start an order of the same content is taken for a resend. An
// operator repeats an order for a few seconds; clocks of replicas may differ by as much.
const resendMilli = 30_000

// RolloutPhaseName returns the name of a phase that operators and logs use.
func RolloutPhaseName(p wire.RolloutPhase) string {
	switch p {
	case wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
		return "completed"
	case wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		return "rolledBack"
	}
	return "running"
}

// RolloutRunningError reports that a service has a running roll-out to another version.
type RolloutRunningError struct {
	Service       string
	TargetVersion string
}

// Error implements error.
func (e *RolloutRunningError) Error() string {
	return fmt.Sprintf("a roll-out of %s to version %s is running", e.Service, e.TargetVersion)
}

// StaleRolloutError reports a command on a roll-out that has ended or taken another step meanwhile.
type StaleRolloutError struct {
	Service string
	Number  uint64
	Step    uint32
}

// Error implements error.
func (e *StaleRolloutError) Error() string {
	return fmt.Sprintf("roll-out %d of %s is not running at step %d", e.Number, e.Service, e.Step)
}

// Rollouts returns the latest roll-out of each service that has had one. The caller must not modify
// them.
func (s State) Rollouts() []*wire.Rollout { return s.rollouts }

// SharesRollouts reports whether the list of roll-outs is the same one as in an earlier state. Every
// change makes a new list.
func (s State) SharesRollouts(earlier State) bool { return sameBacking(s.rollouts, earlier.rollouts) }

// Rollout returns the latest roll-out of a service.
func (s State) Rollout(service string) (*wire.Rollout, bool) {
	i := s.rolloutIndex(service)
	if i < 0 {
		return nil, false
	}
	return s.rollouts[i], true
}

func (s State) rolloutIndex(service string) int {
	return slices.IndexFunc(s.rollouts, func(r *wire.Rollout) bool { return r.Service == service })
}

// ApplyRollout starts, steps or ends a roll-out. The error is a RolloutRunningError or a
// StaleRolloutError.
func (s State) ApplyRollout(c *wire.RolloutCommand) (State, bool, error) {
	order := c.GetRollout()
	if c.GetAction() == wire.RolloutCommand_ACTION_START {
		return s.startRollout(order)
	}
	i := s.rolloutIndex(order.GetService())
	if i < 0 || !isCurrentStep(s.rollouts[i], order) {
		return s, false, &StaleRolloutError{order.GetService(), order.GetNumber(), order.GetStep()}
	}
	next := proto.CloneOf(s.rollouts[i])
	next.Step++
	next.Reason = order.Reason
	switch c.Action {
	case wire.RolloutCommand_ACTION_COMPLETE:
		next.Phase = wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED
		next.PreviousVersions = s.otherVersions(next.Service, next.TargetVersion, next.PreviousVersions)
	case wire.RolloutCommand_ACTION_ROLL_BACK:
		next.Phase = wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK
	default:
		next.Share = order.Share
		next.PreviousClosed = order.PreviousClosed
	}
	s.rollouts = slices.Clone(s.rollouts)
	s.rollouts[i] = next
	return s, true, nil
}

// isCurrentStep reports whether a command refers to the step that a running roll-out is at.
func isCurrentStep(known, order *wire.Rollout) bool {
	return known.Phase == wire.RolloutPhase_ROLLOUT_PHASE_RUNNING && known.Number == order.Number && known.Step == order.Step
}

// startRollout starts a roll-out. An order that is sent again changes nothing.
func (s State) startRollout(order *wire.Rollout) (State, bool, error) {
	i := s.rolloutIndex(order.GetService())
	if i >= 0 && isResend(s.rollouts[i], order) {
		return s, false, nil
	}
	if i >= 0 && s.rollouts[i].Phase == wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		return s, false, &RolloutRunningError{order.Service, s.rollouts[i].TargetVersion}
	}
	start := &wire.Rollout{
		Service:          order.GetService(),
		TargetVersion:    order.GetTargetVersion(),
		DurationMilli:    order.GetDurationMilli(),
		StartedUnixMilli: order.GetStartedUnixMilli(),
		Number:           s.nextRolloutNumber(),
		Share:            order.GetShare(),
		PreviousVersions: s.otherVersions(order.GetService(), order.GetTargetVersion(), nil),
	}
	list := slices.Clone(s.rollouts)
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	s.rollouts = trimRollouts(append(list, start))
	return s, true, nil
}

// isResend reports whether an order repeats the one that started a roll-out: one of the same content
// while it runs or soon after its start.
func isResend(known, order *wire.Rollout) bool {
	if known.TargetVersion != order.TargetVersion || known.DurationMilli != order.DurationMilli {
		return false
	}
	if known.Phase == wire.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		return true
	}
	apart := order.StartedUnixMilli - known.StartedUnixMilli
	return -resendMilli < apart && apart < resendMilli
}

func (s State) nextRolloutNumber() uint64 {
	last := uint64(0)
	for _, r := range s.rollouts {
		last = max(last, r.Number)
	}
	return last + 1
}

// otherVersions returns the versions of a service's targets apart from one, and those known before.
func (s State) otherVersions(service, version string, known []string) []string {
	out := slices.Clone(known)
	for _, t := range s.targets {
		if t.Service == service && t.Software != version && !slices.Contains(out, t.Software) {
			out = append(out, t.Software)
		}
	}
	slices.Sort(out)
	return out
}

// trimRollouts drops the oldest roll-outs that have ended while there are too many.
func trimRollouts(list []*wire.Rollout) []*wire.Rollout {
	for len(list) > maxRollouts {
		i := slices.IndexFunc(list, func(r *wire.Rollout) bool { return r.Phase != wire.RolloutPhase_ROLLOUT_PHASE_RUNNING })
		list = slices.Delete(list, max(i, 0), max(i, 0)+1)
	}
	return list
}
