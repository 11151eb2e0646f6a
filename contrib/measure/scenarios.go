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

// scenario is one fixed course of events.
type scenario struct {
	name string
	// load is each region's traffic as a share of its capacity.
	load func(region int, at time.Duration) float64
	// plan plans the events of the scenario.
	plan func(s *sim)
}

func steady(int, time.Duration) float64 { return steadyLoad }

func scenarios() []scenario {
	return []scenario{
		{name: "steady", load: steady, plan: func(*sim) {}},
		{name: "burst to 120%", load: func(_ int, at time.Duration) float64 {
			if at > faultAt && at < faultEnd {
				return burstLoad
			}
			return steadyLoad
		}, plan: func(*sim) {}},
		{name: "region lost", load: steady, plan: func(s *sim) {
			s.each(s.layout.Regions[0], func(p *pool) {
				s.after(faultAt, func() { s.lose(p) })
				s.after(faultEnd, func() { s.restore(p) })
			})
		}},
		{name: "zone cut", load: steady, plan: func(s *sim) {
			zone := s.order[0].zone
			s.after(faultAt, func() { s.cut[zone] = true })
			s.after(faultEnd, func() { s.cut[zone] = false })
		}},
		{name: "cold region, large shift", load: func(region int, _ time.Duration) float64 {
			return []float64{0.5, 0.15, 0.5}[region]
		}, plan: func(s *sim) {
			s.after(faultAt/2, func() { s.largeShift() })
		}},
		{name: "drain under load", load: func(int, time.Duration) float64 { return 0.45 }, plan: func(s *sim) {
			s.after(faultAt, func() { s.drainZone(s.order[0]) })
		}},
		{name: "misleading health", load: steady, plan: func(s *sim) {
			s.during(func(on bool) { s.order[0].order[0].failing = on })
		}},
		{name: "reports stopped", load: steady, plan: func(s *sim) {
			s.during(func(on bool) {
				s.mute = on
				s.order[2].order[0].dead = on
			})
		}},
		{name: "slow target", load: steady, plan: func(s *sim) {
			s.during(func(on bool) {
				s.order[0].order[0].slow = 1
				if on {
					s.order[0].order[0].slow = 10
				}
			})
		}},
	}
}

// during switches a fault on and off again.
func (s *sim) during(set func(on bool)) {
	s.after(faultAt, func() { set(true) })
	s.after(faultEnd, func() { set(false) })
}

func (s *sim) each(region string, do func(p *pool)) {
	for _, p := range s.order {
		if p.region == region {
			do(p)
		}
	}
}

// lose ends a zone's boxes and targets; what was in flight has no answer.
func (s *sim) lose(p *pool) {
	p.dead = true
	for _, t := range p.order {
		t.dead = true
	}
}

// restore brings a zone back, its targets cold.
func (s *sim) restore(p *pool) {
	p.dead = false
	for _, t := range p.order {
		t.dead = false
		t.coldTo = s.now.Add(warmUp)
	}
}

// largeShift moves 60% of the first region's callers to the second, whose
// targets have just been started. The baseline moves them at once.
func (s *sim) largeShift() {
	from, to := s.layout.Regions[0], s.layout.Regions[1]
	s.each(to, func(p *pool) {
		for _, t := range p.order {
			t.coldTo = s.now.Add(warmUp)
		}
	})
	h := &wire.Shift{Id: "large", Service: s.service.Name, Home: from, From: from, To: to, Points: 6 * lookup.Points / 10}
	s.apply(&wire.Command{Shift: &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_START, Shift: h}})
	if !s.baseline {
		return
	}
	step := &wire.ShiftStep{Number: 1, Points: h.Points, TimeUnixMilli: s.now.UnixMilli()}
	s.apply(&wire.Command{Shift: &wire.ShiftCommand{Action: wire.ShiftCommand_ACTION_STEP, Shift: h, Step: step}})
	s.logOverCap()
}

// drainZone drains a zone and notes when its last request has ended.
func (s *sim) drainZone(p *pool) {
	began := s.now
	s.edit(fmt.Sprintf("/%s/%s", p.region, p.zone), "drain", "true")
	for _, t := range p.order {
		t.draining = true
	}
	var check func()
	check = func() {
		if p.machine.Load(s.now).Busy == 0 {
			s.figures.drainTime = s.now.Sub(began)
			return
		}
		s.after(time.Millisecond, check)
	}
	check()
}
