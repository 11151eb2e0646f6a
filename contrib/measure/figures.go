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

// figures are the results of one run. The maps count by whether requests are repeatable.
type figures struct {
	sent, answered, notRun, unknown map[bool]int
	duplicated                      int
	latency                         *hdrhistogram.Histogram
	// headroom is the smallest share of free slots that a region had, sampled once a second.
	headroom float64
	// overloads holds the seconds and regions in which a target had to shed requests.
	overloads map[string]bool
	// overCap is the highest number of unsettled points beyond the cap.
	overCap       int
	drainDuration time.Duration
}

func newFigures() *figures {
	return &figures{
		sent: make(map[bool]int), answered: make(map[bool]int), notRun: make(map[bool]int), unknown: make(map[bool]int),
		overloads: make(map[string]bool), headroom: 1,
		latency: hdrhistogram.New(1, highestLatency, 3),
	}
}

func (f *figures) overload(at time.Duration, region string) {
	f.overloads[fmt.Sprint(int(at.Seconds()), region)] = true
}

// sampleHeadroom updates the smallest headroom of all regions once a second.
func (s *sim) sampleHeadroom() {
	s.after(time.Second, s.sampleHeadroom)
	for _, region := range s.layout.Regions {
		busy, slots := 0, 0
		for _, p := range s.poolOrder {
			if p.region != region || p.dead {
				continue
			}
			for _, t := range p.targetOrder {
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

// planShifts runs the shift planner as the control leader does.
func (s *sim) planShifts() {
	s.after(shiftInterval, s.planShifts)
	for _, region := range s.layout.Regions {
		r := shift.Measurement{Service: s.service.Name, Region: region, At: s.now.Add(-reportLag)}
		for _, p := range s.poolOrder {
			if p.region == region && !p.dead {
				load := p.admission.Load(s.now)
				r.Capacity += float64(load.Capacity)
				r.InUse += float64(load.Busy + load.Waiting)
			}
		}
		if !s.reportsStopped {
			s.planner.Observe(r)
		}
	}
	for _, d := range s.planner.Plan(s.now, s.state) {
		if d.Command != nil {
			s.apply(&wire.Command{Shift: d.Command})
		}
	}
	s.recordOverCap()
}

// recordOverCap updates the highest number of unsettled points beyond the cap.
func (s *sim) recordOverCap() {
	for _, home := range s.layout.Regions {
		limit := s.values(s.poolOrder[0]).ShiftCapShare * lookup.Points / 100
		moving := int(shift.UnsettledPoints(s.now, s.state, s.service.Name, home))
		s.figures.overCap = max(s.figures.overCap, moving-limit)
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond)
}
