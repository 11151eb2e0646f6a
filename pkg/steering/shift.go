package steering

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// ShiftError says why a shift command was refused.
type ShiftError struct {
	ID     string
	Reason string
}

// Error implements error.
func (e *ShiftError) Error() string { return fmt.Sprintf("shift %s: %s", e.ID, e.Reason) }

// applyShift carries out one record of a shift. Steps are numbered, so a step
// that two leaders both record is carried out once.
func (s State) applyShift(c *wire.ShiftCommand) (State, Result) {
	if c.Shift == nil || c.Shift.Id == "" {
		return s, Result{Err: &ShiftError{Reason: "the id is missing"}}
	}
	i := slices.IndexFunc(s.shifts, func(h *wire.Shift) bool { return h.Id == c.Shift.Id })
	if c.Action == wire.ShiftCommand_ACTION_START {
		if i >= 0 {
			return s, Result{}
		}
		return s.startShift(c.Shift)
	}
	if i < 0 {
		return s, Result{Err: &ShiftError{c.Shift.Id, "there is none of this id"}}
	}
	h := proto.CloneOf(s.shifts[i])
	if h.Phase != wire.ShiftPhase_SHIFT_PHASE_RUNNING {
		return s, Result{Err: &ShiftError{h.Id, "it has ended"}}
	}
	switch c.Action {
	case wire.ShiftCommand_ACTION_STEP:
		return s.stepShift(i, h, c.Step)
	case wire.ShiftCommand_ACTION_FINISH:
		h.Phase = wire.ShiftPhase_SHIFT_PHASE_FINISHED
	case wire.ShiftCommand_ACTION_ABORT:
		h.Phase = wire.ShiftPhase_SHIFT_PHASE_ABORTED
		h.Reason = c.Reason
	}
	return s.withShift(i, h), Result{Changed: true}
}

func (s State) startShift(h *wire.Shift) (State, Result) {
	regions := s.tree.Regions()
	for _, region := range []string{h.Home, h.From, h.To} {
		if !slices.Contains(regions, region) {
			return s, Result{Err: &ShiftError{h.Id, fmt.Sprintf("there is no region %q", region)}}
		}
	}
	if !slices.Contains(s.tree.Services(), h.Service) {
		return s, Result{Err: &ShiftError{h.Id, fmt.Sprintf("there is no service %q", h.Service)}}
	}
	if h.From == h.To || h.Points == 0 || h.Points > lookup.Points {
		return s, Result{Err: &ShiftError{h.Id, "it must move 1 to 10000 points between two regions"}}
	}
	for _, other := range s.shifts {
		running := other.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING
		if running && other.Service == h.Service && other.Home == h.Home {
			return s, Result{Err: &ShiftError{h.Id, fmt.Sprintf("shift %s of the same callers still runs", other.Id)}}
		}
	}
	start := proto.CloneOf(h)
	start.Phase = wire.ShiftPhase_SHIFT_PHASE_RUNNING
	start.Moved = 0
	start.Steps = nil
	s.shifts = append(slices.Clone(s.shifts), start)
	s.version++
	return s, Result{Changed: true}
}

func (s State) stepShift(i int, h *wire.Shift, step *wire.ShiftStep) (State, Result) {
	if step == nil || step.Number != uint32(len(h.Steps))+1 {
		return s, Result{Err: &ShiftError{h.Id, fmt.Sprintf("the next step is %d", len(h.Steps)+1)}}
	}
	if step.Points == 0 || h.Moved+step.Points > h.Points {
		return s, Result{Err: &ShiftError{h.Id, fmt.Sprintf("%d of %d points are left", h.Points-h.Moved, h.Points)}}
	}
	a, moved := s.Assignment(h.Service, h.Home).WithMove(h.From, h.To, step.Points)
	h.Moved += moved
	h.Steps = append(h.Steps, &wire.ShiftStep{Number: step.Number, Points: moved, TimeUnixMilli: step.TimeUnixMilli})
	if moved < step.Points {
		h.Points = h.Moved
	}
	return s.withAssignment(CallerGroup{h.Service, h.Home}, a).withShift(i, h), Result{Changed: true}
}

func (s State) withShift(i int, h *wire.Shift) State {
	s.shifts = slices.Clone(s.shifts)
	s.shifts[i] = h
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
