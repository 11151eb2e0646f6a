package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/shift"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	highestLatency = int64(time.Minute)
	shiftInterval  = 250 * time.Millisecond
)

// figures are what one run is judged by. Maps of counts have the key true for
// requests that may be repeated.
type figures struct {
	asked, answered, notRun, unknown map[bool]int
	doubled                          int
	latency                          *hdrhistogram.Histogram
	// headroom is the smallest share of free slots of a region in a second.
	headroom float64
	// overloads are the seconds and regions in which a target had to shed.
	overloads map[string]bool
	// overCap is the most points that were on the move beyond the cap.
	overCap   int
	drainTime time.Duration
}

func newFigures() *figures {
	return &figures{
		asked: make(map[bool]int), answered: make(map[bool]int), notRun: make(map[bool]int), unknown: make(map[bool]int),
		overloads: make(map[string]bool), headroom: 1,
		latency: hdrhistogram.New(1, highestLatency, 3),
	}
}

func (f *figures) overload(at time.Duration, region string) {
	f.overloads[fmt.Sprint(int(at.Seconds()), region)] = true
}

// second looks at the whole system once a second.
func (s *sim) second() {
	s.after(time.Second, s.second)
	for _, region := range s.layout.Regions {
		busy, slots := 0, 0
		for _, p := range s.order {
			if p.region != region || p.dead {
				continue
			}
			for _, t := range p.order {
				if !t.dead && !t.draining {
					slots += t.slots
					busy += t.busy
				}
			}
		}
		if slots > 0 {
			s.figures.headroom = min(s.figures.headroom, 1-float64(busy)/float64(slots))
		}
	}
}

// planShifts hosts the planner as the control leader does.
func (s *sim) planShifts() {
	s.after(shiftInterval, s.planShifts)
	for _, region := range s.layout.Regions {
		r := shift.Measurement{Service: s.service.Name, Region: region, At: s.now.Add(-reportLag)}
		for _, p := range s.order {
			if p.region == region && !p.dead {
				load := p.machine.Load(s.now)
				r.Capacity += float64(load.Capacity)
				r.InUse += float64(load.Busy + load.Waiting)
			}
		}
		if !s.mute {
			s.planner.Observe(r)
		}
	}
	for _, d := range s.planner.Plan(s.now, s.state) {
		if d.Command != nil {
			s.apply(&wire.Command{Shift: d.Command})
		}
	}
	s.logOverCap()
}

func (s *sim) logOverCap() {
	for _, home := range s.layout.Regions {
		limit := s.values(s.order[0]).ShiftCapShare * lookup.Points / 100
		moving := int(shift.UnsettledPoints(s.now, s.state, s.service.Name, home))
		s.figures.overCap = max(s.figures.overCap, moving-limit)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond)
}
