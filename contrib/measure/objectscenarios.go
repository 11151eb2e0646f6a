package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
)

const (
	objectTime = 30 * time.Second
	// objectLoad is the sum of all regions' loads in quiet scenarios.
	objectLoad = 0.45
	// wavePeriod and waveSwing are the users' waves; regions peak in turn.
	wavePeriod = 36 * time.Second
	waveSwing  = 0.55
)

// objectScenario is one fixed course of events at targets that remember objects.
type objectScenario struct {
	name string
	load float64
	plan func(s *objectSim)
}

func objectScenarios() []objectScenario {
	quiet := func(*objectSim) {}
	return []objectScenario{
		{"quiet", objectLoad, quiet},
		{"high load", 0.75, quiet},
		{"overload", 1.05, quiet},
		{"a quarter crashes", objectLoad, func(s *objectSim) { s.crash(0.25) }},
		{"a third is gone at high load", 0.6, func(s *objectSim) { s.takeOut(0.34) }},
		{"targets are replaced", 0.6, func(s *objectSim) { s.replace(0.5) }},
		{"some are slow", objectLoad, func(s *objectSim) { s.slowDown(0.15, 5) }},
		{"some are rate-limited", objectLoad, func(s *objectSim) { s.need(0.09, 0.27) }},
		{"all are rate-limited", objectLoad, func(s *objectSim) { s.need(1, 0.85) }},
		{"as many leave", objectLoad, func(s *objectSim) { s.takeOut(0.09) }},
		{"a region is evacuated", objectLoad, func(s *objectSim) { s.evacuate("r1-a") }},
	}
}

// loadOf spreads a load over the regions in waves that peak in turn.
func loadOf(total float64, regions int) func(region int, at time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		phase := at.Seconds()/wavePeriod.Seconds() + float64(region)/float64(regions)
		return total / float64(regions) * (1 + waveSwing*math.Sin(2*math.Pi*phase))
	}
}

// some returns the first part of the targets, the regions mixed.
func (s *objectSim) some(part float64) []*objectTarget {
	n := int(part * float64(len(s.targets)))
	var out []*objectTarget
	for _, i := range s.random.Perm(len(s.targets))[:n] {
		out = append(out, s.targets[i])
	}
	return out
}

func (s *objectSim) crash(part float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.some(part) {
			t.dead = true
			s.after(8*time.Second, func() { t.restart() })
		}
	})
}

// restart brings a target back under the same id; it knows no object.
func (t *objectTarget) restart() {
	t.dead = false
	t.known = nil
	t.newTo = t.sim.now.Add(newTargetTime)
}

// takeOut lets targets drain and leave for good.
func (s *objectSim) takeOut(part float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.some(part) {
			t.Draining = true
		}
		s.tellTargets()
	})
}

// replace lets targets drain one after the other, each with a new one in its place.
func (s *objectSim) replace(part float64) {
	s.after(8*time.Second, func() {
		for i, t := range s.some(part) {
			s.after(time.Duration(i)*time.Second, func() {
				t.Draining = true
				s.addTarget(t.Region).newTo = s.now.Add(newTargetTime)
				s.tellTargets()
			})
		}
	})
}

func (s *objectSim) slowDown(part, factor float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.some(part) {
			t.slow = factor
			s.after(8*time.Second, func() { t.slow = 1 })
		}
	})
}

// need lets targets name a limit: a part of what each gets in the mean.
func (s *objectSim) need(part, limit float64) {
	s.after(10*time.Second, func() {
		rate := float64(s.figures.asked) / 10 / float64(len(s.targets))
		for _, t := range s.some(part) {
			t.limit = rate * limit
			t.permitsAt = s.now
			for _, b := range s.boxes {
				b.balancer.SetLimited(t.ID, true)
			}
		}
	})
}

func (s *objectSim) evacuate(zone string) {
	set := func(zones []string) {
		for _, b := range s.boxes {
			b.balancer.SetEvacuated(s.now, zones)
		}
	}
	s.after(8*time.Second, func() { set([]string{zone}) })
	s.after(16*time.Second, func() { set(nil) })
}

// objectCell is one scenario of one layout under one policy, over all seeds.
type objectCell struct {
	layout   objectLayout
	scenario objectScenario
	affinity bool
	sum      objectFigures
}

func (c *objectCell) policy() string {
	if c.affinity {
		return "present"
	}
	return "baseline"
}

func (c *objectCell) run(seed uint64) objectFigures {
	s := newObjectSim(c.layout, c.affinity, seed)
	s.load = loadOf(c.scenario.load, len(c.layout.regions))
	for _, b := range s.boxes {
		b.balancer.SetColdLimit("s", balance.ColdLimit{Time: newTargetTime, Rate: float64(c.layout.slots)})
	}
	c.scenario.plan(s)
	s.run(objectTime)
	return s.figures
}

func (f *objectFigures) add(g objectFigures) {
	f.asked += g.asked
	f.onTime += g.onTime
	f.late += g.late
	f.refused += g.refused
	f.failed += g.failed
	f.known += g.known
	f.unknown += g.unknown
}

// objectCells returns all scenarios of all layouts, baseline and present side by side.
func objectCells() []*objectCell {
	var out []*objectCell
	for _, l := range objectLayouts() {
		for _, c := range objectScenarios() {
			for _, affinity := range []bool{false, true} {
				out = append(out, &objectCell{layout: l, scenario: c, affinity: affinity})
			}
		}
	}
	return out
}

// runObjects runs all cells with all seeds.
func runObjects(cells []*objectCell, seeds []uint64) {
	runParallel(len(cells), func(i int) {
		for _, seed := range seeds {
			cells[i].sum.add(cells[i].run(seed))
		}
	})
}

func printObjects(out io.Writer, cells []*objectCell) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "targets\tscenario\tpolicy\ton time %\tlate %\trefused %\tfailed %\tobject known %\t")
	for _, c := range cells {
		f := c.sum
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", c.layout.name, c.scenario.name, c.policy(),
			share(f.onTime, f.asked), share(f.late, f.asked), share(f.refused, f.asked), share(f.failed, f.asked), share(f.known, f.known+f.unknown))
	}
	_ = w.Flush() // the terminal is gone
}
