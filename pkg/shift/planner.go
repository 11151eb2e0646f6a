// Package shift decides the steps of shifts of traffic between regions. A
// Planner is a state machine without I/O: the control leader tells it the
// steering state and what the regions carry, and records the commands that it
// returns in the replicated log.
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
	// unevenness is how much more traffic than the mean the callers of a step
	// are taken to have.
	unevenness = 1.5
	// lostAfterLags is after how many measurement lags without a reading a
	// destination counts as lost.
	lostAfterLags = 10
)

// Reading is what a region carries of a service.
type Reading struct {
	Service string
	Region  string
	// Capacity is the slots in service; Carried the slots in use.
	Capacity float64
	Carried  float64
	At       time.Time
}

type place struct{ service, region string }

// Planner remembers recent readings.
type Planner struct {
	readings map[place][]Reading
	first    time.Time
}

// NewPlanner returns a planner without readings. It aborts no shift for want
// of readings until it has had time to get some.
func NewPlanner(now time.Time) *Planner {
	return &Planner{readings: make(map[place][]Reading), first: now}
}

// maxReadings bounds the readings kept of one place.
const maxReadings = 64

// Observe takes a reading.
func (p *Planner) Observe(r Reading) {
	k := place{r.Service, r.Region}
	list := p.readings[k]
	if len(list) > 0 && !r.At.After(list[len(list)-1].At) {
		return
	}
	list = append(list, r)
	if len(list) > maxReadings {
		list = slices.Delete(list, 0, len(list)-maxReadings)
	}
	p.readings[k] = list
}

// worst returns the newest time, the lowest capacity and the highest load of
// the readings within the window; ok is false if there is none.
func (p *Planner) worst(now time.Time, k place, window time.Duration) (Reading, bool) {
	var out Reading
	found := false
	for _, r := range p.readings[k] {
		if now.Sub(r.At) > window {
			continue
		}
		if !found {
			out, found = r, true
			continue
		}
		out.At = r.At
		out.Capacity = min(out.Capacity, r.Capacity)
		out.Carried = max(out.Carried, r.Carried)
	}
	return out, found
}

// Decision is what the planner makes of one running shift.
type Decision struct {
	ID string
	// Command is to be recorded; nil to wait.
	Command *wire.ShiftCommand
	// Reason says why the shift waits or ends.
	Reason string
}

// Plan returns a decision for each running shift.
func (p *Planner) Plan(now time.Time, s steering.State) []Decision {
	var out []Decision
	for _, h := range s.Shifts() {
		if h.Phase == wire.ShiftPhase_SHIFT_PHASE_RUNNING {
			out = append(out, p.decide(now, s, h))
		}
	}
	return out
}

func (p *Planner) decide(now time.Time, s steering.State, h *wire.Shift) Decision {
	v := s.Tree().Values(settings.Path{Region: h.To, Service: h.Service})
	outstanding := Outstanding(now, s, h.Service, h.Home)
	if h.Moved >= h.Points {
		if outstanding > 0 {
			return Decision{ID: h.Id, Reason: "waits until callers have let go of old answers"}
		}
		return command(h, wire.ShiftCommand_ACTION_FINISH, nil, "")
	}
	if reason := p.lost(now, h, v); reason != "" {
		return command(h, wire.ShiftCommand_ACTION_ABORT, nil, reason)
	}
	limit := uint32(v.ShiftCapShare) * lookup.Points / percent
	if outstanding >= limit {
		return Decision{ID: h.Id, Reason: fmt.Sprintf("%d points are on the move and the cap is %d", outstanding, limit)}
	}
	points := min(uint32(v.ShiftStepShare)*lookup.Points/percent, h.Points-h.Moved, limit-outstanding)
	if reason := p.lacksHeadroom(now, s, h, v, points); reason != "" {
		return Decision{ID: h.Id, Reason: reason}
	}
	step := &wire.ShiftStep{Number: uint32(len(h.Steps)) + 1, Points: points, TimeUnixMilli: now.UnixMilli()}
	return command(h, wire.ShiftCommand_ACTION_STEP, step, "")
}

func command(h *wire.Shift, a wire.ShiftCommand_Action, step *wire.ShiftStep, reason string) Decision {
	c := &wire.ShiftCommand{Action: a, Shift: &wire.Shift{Id: h.Id}, Step: step, Reason: reason}
	return Decision{ID: h.Id, Command: c, Reason: reason}
}

// lost says why a destination counts as lost.
func (p *Planner) lost(now time.Time, h *wire.Shift, v settings.Values) string {
	limit := lostAfterLags * v.MeasurementLag
	if now.Sub(p.first) < limit {
		return ""
	}
	if _, ok := p.worst(now, place{h.Service, h.To}, limit); !ok {
		return fmt.Sprintf("no measurement of %s for %s", h.To, limit)
	}
	return ""
}

// lacksHeadroom says why the destination can't take a step: its measurements
// are old, or its worst recent load with all that is still on its way and the
// step would exceed its capacity less the reserve.
func (p *Planner) lacksHeadroom(now time.Time, s steering.State, h *wire.Shift, v settings.Values, points uint32) string {
	to, ok := p.worst(now, place{h.Service, h.To}, v.MeasurementLag)
	if !ok {
		return fmt.Sprintf("no measurement of %s within %s", h.To, v.MeasurementLag)
	}
	from, ok := p.worst(now, place{h.Service, h.From}, v.MeasurementLag)
	if !ok {
		return fmt.Sprintf("no measurement of %s within %s", h.From, v.MeasurementLag)
	}
	moving := inbound(now, s, h.Service, h.To) + points
	extra := from.Carried * unevenness * float64(moving) / float64(max(pointsAt(s, h.Service, h.From), 1))
	room := to.Capacity * float64(percent-v.ReserveShare) / percent
	if to.Carried+extra > room {
		return fmt.Sprintf("%s carries %.1f of %.1f slots, %.1f more may come", h.To, to.Carried, room, extra)
	}
	return ""
}

// pointsAt returns the points of all home regions that a region has.
func pointsAt(s steering.State, service, region string) uint32 {
	n := uint32(0)
	for _, home := range s.Tree().Regions() {
		n += s.Assignment(service, home).PointsOf(region)
	}
	return n
}

// Outstanding returns the points of a home region that are on the move: those
// of steps whose old answers callers may still hold or which measurements may
// not yet show. A step from the future, recorded by a leader with a fast
// clock, counts too.
func Outstanding(now time.Time, s steering.State, service, home string) uint32 {
	return outstanding(now, s, func(h *wire.Shift) bool { return h.Service == service && h.Home == home })
}

func inbound(now time.Time, s steering.State, service, to string) uint32 {
	return outstanding(now, s, func(h *wire.Shift) bool { return h.Service == service && h.To == to })
}

func outstanding(now time.Time, s steering.State, counts func(*wire.Shift) bool) uint32 {
	n := uint32(0)
	for _, h := range s.Shifts() {
		if !counts(h) {
			continue
		}
		settled := now.Add(-settleTime(s.Tree(), h)).UnixMilli()
		for _, step := range h.Steps {
			if step.TimeUnixMilli > settled {
				n += step.Points
			}
		}
	}
	return n
}

// settleTime is how long a step is on the move: until the old answers have run
// out and the measurements show the new load.
func settleTime(t settings.Tree, h *wire.Shift) time.Duration {
	from := t.Values(settings.Path{Region: h.From, Service: h.Service})
	to := t.Values(settings.Path{Region: h.To, Service: h.Service})
	return max(from.AnswerTTL, to.AnswerTTL) + max(from.MeasurementLag, to.MeasurementLag)
}
