// Package shift decides the steps of shifts of traffic between regions. A Planner is a
// state machine without I/O: the control leader passes it the steering state and the
// measured load of the regions, and records the commands that it returns in the replicated
// log.
package shift

import (
	"fmt"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	percent = 100
	// loadSkew is how much more traffic than the average the callers of a step are assumed
	// to have.
	loadSkew = 1.5
	// lostAfterLags is the number of measurement lags without a measurement after which a
	// destination counts as lost.
	lostAfterLags = 10
)

// Measurement is the measured load of a service in a region.
type Measurement struct {
	Service string
	Region  string
	// Capacity is the number of slots in service, InUse the number of slots in use.
	Capacity float64
	InUse    float64
	At       time.Time
}

type serviceRegion struct{ service, region string }

// Planner plans shifts from recent measurements.
type Planner struct {
	measurements map[serviceRegion][]Measurement
	startedAt    time.Time
}

// NewPlanner returns a planner without measurements. It aborts no shift for lack of
// measurements until it has had time to receive some.
func NewPlanner(now time.Time) *Planner {
	return &Planner{measurements: make(map[serviceRegion][]Measurement), startedAt: now}
}

// maxMeasurements bounds the measurements kept per service and region.
const maxMeasurements = 64

// Observe adds a measurement.
func (p *Planner) Observe(r Measurement) {
	k := serviceRegion{r.Service, r.Region}
	list := p.measurements[k]
	if len(list) > 0 && !r.At.After(list[len(list)-1].At) {
		return
	}
	list = append(list, r)
	if len(list) > maxMeasurements {
		list = slices.Delete(list, 0, len(list)-maxMeasurements)
	}
	p.measurements[k] = list
}

// worstCase returns the newest time, the lowest capacity and the highest load of the
// measurements within the window; ok is false if there are none.
func (p *Planner) worstCase(now time.Time, k serviceRegion, window time.Duration) (Measurement, bool) {
	var out Measurement
	found := false
	for _, r := range p.measurements[k] {
		if now.Sub(r.At) > window {
			continue
		}
		if !found {
			out, found = r, true
			continue
		}
		out.At = r.At
		out.Capacity = min(out.Capacity, r.Capacity)
		out.InUse = max(out.InUse, r.InUse)
	}
	return out, found
}

// Decision is the planner's decision on one running shift.
type Decision struct {
	ID string
	// Command must be recorded in the log; nil means to wait.
	Command *wire.ShiftCommand
	// Reason explains why the shift waits or ends.
	Reason string
}

// Plan returns a decision for each running shift.
func (p *Planner) Plan(now time.Time, s steering.State) []Decision {
	var out []Decision
	for _, sh := range s.Shifts() {
		if sh.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING {
			out = append(out, p.decide(now, s, sh))
		}
	}
	return out
}

func (p *Planner) decide(now time.Time, s steering.State, sh *wire.Shift) Decision {
	v := s.Tree().Values(settings.Path{Region: sh.To, Service: sh.Service})
	unsettled := UnsettledPoints(now, s, sh.Service, sh.Home)
	if sh.Moved >= sh.Points {
		if unsettled > 0 {
			return Decision{ID: sh.Id, Reason: "waits until callers have let go of old answers"}
		}
		return commandDecision(sh, wire.ShiftCommand_ACTION_FINISH, nil, "")
	}
	if reason := p.destinationLost(now, sh, v); reason != "" {
		return commandDecision(sh, wire.ShiftCommand_ACTION_ABORT, nil, reason)
	}
	limit := uint32(v.ShiftCapShare) * lookup.Points / percent
	if unsettled >= limit {
		return Decision{ID: sh.Id, Reason: fmt.Sprintf("%d points are on the move and the cap is %d", unsettled, limit)}
	}
	points := min(uint32(v.ShiftStepShare)*lookup.Points/percent, sh.Points-sh.Moved, limit-unsettled)
	if reason := p.insufficientHeadroom(now, s, sh, v, points); reason != "" {
		return Decision{ID: sh.Id, Reason: reason}
	}
	step := &wire.ShiftStep{Number: uint32(len(sh.Steps)) + 1, Points: points, TimeUnixMilli: now.UnixMilli()}
	return commandDecision(sh, wire.ShiftCommand_ACTION_STEP, step, "")
}

func commandDecision(sh *wire.Shift, a wire.ShiftCommand_Action, step *wire.ShiftStep, reason string) Decision {
	c := &wire.ShiftCommand{Action: a, Shift: &wire.Shift{Id: sh.Id}, Step: step, Reason: reason}
	return Decision{ID: sh.Id, Command: c, Reason: reason}
}

// destinationLost returns why the destination counts as lost, or an empty string.
func (p *Planner) destinationLost(now time.Time, sh *wire.Shift, v settings.Values) string {
	limit := lostAfterLags * v.MeasurementLag
	if now.Sub(p.startedAt) < limit {
		return ""
	}
	if _, ok := p.worstCase(now, serviceRegion{sh.Service, sh.To}, limit); !ok {
		return fmt.Sprintf("no measurement of %s for %s", sh.To, limit)
	}
	return ""
}

// insufficientHeadroom returns why the destination can't take a step, or an empty string.
// Either a measurement is too old, or the worst recent load, together with all unsettled
// points and the step, would exceed the capacity less the reserve.
func (p *Planner) insufficientHeadroom(now time.Time, s steering.State, sh *wire.Shift, v settings.Values, points uint32) string {
	to, ok := p.worstCase(now, serviceRegion{sh.Service, sh.To}, v.MeasurementLag)
	if !ok {
		return fmt.Sprintf("no measurement of %s within %s", sh.To, v.MeasurementLag)
	}
	from, ok := p.worstCase(now, serviceRegion{sh.Service, sh.From}, v.MeasurementLag)
	if !ok {
		return fmt.Sprintf("no measurement of %s within %s", sh.From, v.MeasurementLag)
	}
	moving := unsettledInbound(now, s, sh.Service, sh.To) + points
	extra := from.InUse * loadSkew * float64(moving) / float64(max(pointsAt(s, sh.Service, sh.From), 1))
	available := to.Capacity * float64(percent-v.ReserveShare) / percent
	if to.InUse+extra > available {
		return fmt.Sprintf("%s carries %.1f of %.1f slots, %.1f more may come", sh.To, to.InUse, available, extra)
	}
	return ""
}

// pointsAt returns the points of all home regions that are assigned to a region.
func pointsAt(s steering.State, service, region string) uint32 {
	n := uint32(0)
	for _, home := range s.Tree().Regions() {
		n += s.Assignment(service, home).PointsOf(region)
	}
	return n
}

// UnsettledPoints returns the points of a home region that are moving: those of steps whose
// old answers callers may still cache, or which measurements may not reflect yet. A step
// with a time in the future, recorded by a leader with a fast clock, counts too.
func UnsettledPoints(now time.Time, s steering.State, service, home string) uint32 {
	return sumUnsettled(now, s, func(sh *wire.Shift) bool { return sh.Service == service && sh.Home == home })
}

func unsettledInbound(now time.Time, s steering.State, service, to string) uint32 {
	return sumUnsettled(now, s, func(sh *wire.Shift) bool { return sh.Service == service && sh.To == to })
}

func sumUnsettled(now time.Time, s steering.State, counts func(*wire.Shift) bool) uint32 {
	n := uint32(0)
	for _, sh := range s.Shifts() {
		if !counts(sh) {
			continue
		}
		settled := now.Add(-settleTime(s.Tree(), sh)).UnixMilli()
		for _, step := range sh.Steps {
			if step.TimeUnixMilli > settled {
				n += step.Points
			}
		}
	}
	return n
}

// settleTime is how long the points of a step are unsettled: until the old answers have
// expired and the measurements reflect the new load.
func settleTime(t settings.Tree, sh *wire.Shift) time.Duration {
	from := t.Values(settings.Path{Region: sh.From, Service: sh.Service})
	to := t.Values(settings.Path{Region: sh.To, Service: sh.Service})
	return max(from.AnswerTTL, to.AnswerTTL) + max(from.MeasurementLag, to.MeasurementLag)
}
