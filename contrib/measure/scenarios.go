package main

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	scenarioTime = 12 * time.Second
	faultAt      = 4 * time.Second
	faultEnd     = 8 * time.Second
	steadyLoad   = 0.6
	burstLoad    = 1.2
)

// scenario is one fixed sequence of events.
type scenario struct {
	name string
	// load is each region's traffic as a share of its capacity.
	load func(region int, at time.Duration) float64
	// schedule schedules the events of the scenario.
	schedule func(s *sim)
}

func steady(int, time.Duration) float64 { return steadyLoad }

func scenarios() []scenario {
	return []scenario{
		{name: "steady", load: steady, schedule: func(*sim) {}},
		{name: "burst to 120%", load: func(_ int, at time.Duration) float64 {
			if at > faultAt && at < faultEnd {
				return burstLoad
			}
			return steadyLoad
		}, schedule: func(*sim) {}},
		{name: "region lost", load: steady, schedule: func(s *sim) {
			s.eachPool(s.layout.Regions[0], func(p *pool) {
				s.after(faultAt, func() { s.failPool(p) })
				s.after(faultEnd, func() { s.restorePool(p) })
			})
		}},
		{name: "zone cut", load: steady, schedule: func(s *sim) {
			zone := s.poolOrder[0].zone
			s.after(faultAt, func() { s.cut[zone] = true })
			s.after(faultEnd, func() { s.cut[zone] = false })
		}},
		{name: "cold region, large shift", load: func(region int, _ time.Duration) float64 {
			return []float64{0.5, 0.15, 0.5}[region]
		}, schedule: func(s *sim) {
			s.after(faultAt/2, func() { s.largeShift() })
		}},
		{name: "drain under load", load: func(int, time.Duration) float64 { return 0.45 }, schedule: func(s *sim) {
			s.after(faultAt, func() { s.drainZone(s.poolOrder[0]) })
		}},
		{name: "misleading health", load: steady, schedule: func(s *sim) {
			s.during(func(on bool) { s.poolOrder[0].targetOrder[0].failing = on })
		}},
		{name: "reports stopped", load: steady, schedule: func(s *sim) {
			s.during(func(on bool) {
				s.reportsStopped = on
				s.poolOrder[2].targetOrder[0].dead = on
			})
		}},
		{name: "slow target", load: steady, schedule: func(s *sim) {
			s.during(func(on bool) {
				s.poolOrder[0].targetOrder[0].slowdown = 1
				if on {
					s.poolOrder[0].targetOrder[0].slowdown = 10
				}
			})
		}},
	}
}

// during injects a fault from faultAt to faultEnd.
func (s *sim) during(set func(on bool)) {
	s.after(faultAt, func() { set(true) })
	s.after(faultEnd, func() { set(false) })
}

func (s *sim) eachPool(region string, do func(p *pool)) {
	for _, p := range s.poolOrder {
		if p.region == region {
			do(p)
		}
	}
}

// failPool fails a zone's box and targets. Requests in flight get no response.
func (s *sim) failPool(p *pool) {
	p.dead = true
	for _, t := range p.targetOrder {
		t.dead = true
	}
}

// restorePool brings a zone back with cold targets.
func (s *sim) restorePool(p *pool) {
	p.dead = false
	for _, t := range p.targetOrder {
		t.dead = false
		t.warmUntil = s.now.Add(warmUpTime)
	}
}

// largeShift moves 60% of the first region's callers to the second, whose targets have just
// started. The baseline moves them in one step.
func (s *sim) largeShift() {
	from, to := s.layout.Regions[0], s.layout.Regions[1]
	s.eachPool(to, func(p *pool) {
		for _, t := range p.targetOrder {
			t.warmUntil = s.now.Add(warmUpTime)
		}
	})
	h := &wire.Shift{Id: "large", Service: s.service.Name, Home: from, From: from, To: to, Points: 6 * lookup.Points / 10}
	s.apply(&wire.Command{Shift: &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_START, Shift: h}})
	if !s.baseline {
		return
	}
	step := &wire.ShiftStep{Number: 1, Points: h.Points, TimeUnixMilli: s.now.UnixMilli()}
	s.apply(&wire.Command{Shift: &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_STEP, Shift: h, Step: step}})
	s.recordOverCap()
}

// drainZone drains a zone and measures how long its last request takes to end.
func (s *sim) drainZone(p *pool) {
	began := s.now
	s.editSetting(fmt.Sprintf("/%s/%s", p.region, p.zone), "drain", "true")
	for _, t := range p.targetOrder {
		t.draining = true
	}
	var check func()
	check = func() {
		if p.admission.Load(s.now).Busy == 0 {
			s.figures.drainDuration = s.now.Sub(began)
			return
		}
		s.after(time.Millisecond, check)
	}
	check()
}
