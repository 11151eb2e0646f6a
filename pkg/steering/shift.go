package steering

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// ShiftError reports why a shift command was rejected.
type ShiftError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *ShiftError) Error() string { return fmt.Sprintf("shift %s: %s", e.ID, e.Reason) }

// applyShift applies a shift command. Steps are numbered, so that a step recorded by two leaders is
// applied only once.
func (s State) applyShift(c *wire.ShiftCommand) (State, Result) {
	if c.Shift == nil || c.Shift.Id == "" {
		return s, Result{Err: &ShiftError{Reason: "the id is missing"}}
	}
	i := slices.IndexFunc(s.shifts, func(shift *wire.Shift) bool { return shift.Id == c.Shift.Id })
	if c.Action == wire.ShiftCommand_ACTION_START {
		if i >= 0 {
			return s, Result{}
		}
		return s.startShift(c.Shift)
	}
	if i < 0 {
		return s, Result{Err: &ShiftError{c.Shift.Id, "there is none of this id"}}
	}
	shift := proto.CloneOf(s.shifts[i])
	if shift.Phase != wire.ShiftPhase_SHIFT_PHASE_RUNNING {
		return s, Result{Err: &ShiftError{shift.Id, "it has ended"}}
	}
	switch c.Action {
	case wire.ShiftCommand_ACTION_STEP:
		return s.stepShift(i, shift, c.Step)
	case wire.ShiftCommand_ACTION_FINISH:
		shift.Phase = wire.ShiftPhase_SHIFT_PHASE_FINISHED
	case wire.ShiftCommand_ACTION_ABORT:
		shift.Phase = wire.ShiftPhase_SHIFT_PHASE_ABORTED
		shift.Reason = c.Reason
	}
	return s.withShift(i, shift), Result{Changed: true}
}

func (s State) startShift(shift *wire.Shift) (State, Result) {
	regions := s.tree.Regions()
	for _, region := range []string{shift.Home, shift.From, shift.To} {
		if !slices.Contains(regions, region) {
			return s, Result{Err: &ShiftError{shift.Id, fmt.Sprintf("there is no region %q", region)}}
		}
	}
	if !slices.Contains(s.tree.Services(), shift.Service) {
		return s, Result{Err: &ShiftError{shift.Id, fmt.Sprintf("there is no service %q", shift.Service)}}
	}
	if shift.From == shift.To || shift.Points == 0 || shift.Points > lookup.Points {
		return s, Result{Err: &ShiftError{shift.Id, "it must move 1 to 10000 points between two regions"}}
	}
	for _, other := range s.shifts {
		running := other.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING
		if running && other.Service == shift.Service && other.Home == shift.Home {
			return s, Result{Err: &ShiftError{shift.Id, fmt.Sprintf("shift %s of the same callers still runs", other.Id)}}
		}
	}
	start := proto.CloneOf(shift)
	start.Phase = wire.ShiftPhase_SHIFT_PHASE_RUNNING
	start.Moved = 0
	start.Steps = nil
	s.shifts = append(slices.Clone(s.shifts), start)
	s.version++
	return s, Result{Changed: true}
}

func (s State) stepShift(i int, shift *wire.Shift, step *wire.ShiftStep) (State, Result) {
	if step == nil || step.Number != uint32(len(shift.Steps))+1 {
		return s, Result{Err: &ShiftError{shift.Id, fmt.Sprintf("the next step is %d", len(shift.Steps)+1)}}
	}
	if step.Points == 0 || shift.Moved+step.Points > shift.Points {
		return s, Result{Err: &ShiftError{shift.Id, fmt.Sprintf("%d of %d points are left", shift.Points-shift.Moved, shift.Points)}}
	}
	a, moved := s.Assignment(shift.Service, shift.Home).WithMove(shift.From, shift.To, step.Points)
	shift.Moved += moved
	shift.Steps = append(shift.Steps, &wire.ShiftStep{Number: step.Number, Points: moved, TimeUnixMilli: step.TimeUnixMilli})
	if moved < step.Points {
		shift.Points = shift.Moved
	}
	return s.withAssignment(CallerGroup{shift.Service, shift.Home}, a).withShift(i, shift), Result{Changed: true}
}

func (s State) withShift(i int, shift *wire.Shift) State {
	s.shifts = slices.Clone(s.shifts)
	s.shifts[i] = shift
	ended := 0
	for _, other := range s.shifts {
		if other.Phase != wire.ShiftPhase_SHIFT_PHASE_RUNNING {
			ended++
		}
	}
	if ended > MaxEndedShifts {
		oldest := slices.IndexFunc(s.shifts, func(o *wire.Shift) bool { return o.Phase != wire.ShiftPhase_SHIFT_PHASE_RUNNING })
		s.shifts = slices.Delete(s.shifts, oldest, oldest+1)
	}
	s.version++
	return s
}
