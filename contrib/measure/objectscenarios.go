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
	// objectLoad is the sum of all regions' loads in scenarios without high load.
	objectLoad = 0.45
	// wavePeriod and waveSwing describe the users' load waves, which peak in one region after
	// the other.
	wavePeriod = 36 * time.Second
	waveSwing  = 0.55
)

// objectScenario is one fixed sequence of events at targets that cache objects.
type objectScenario struct {
	name     string
	load     float64
	schedule func(s *objectSim)
}

func objectScenarios() []objectScenario {
	quiet := func(*objectSim) {}
	return []objectScenario{
		{"quiet", objectLoad, quiet},
		{"high load", 0.75, quiet},
		{"overload", 1.05, quiet},
		{"a quarter crashes", objectLoad, func(s *objectSim) { s.crash(0.25) }},
		{"a third is gone at high load", 0.6, func(s *objectSim) { s.drain(0.34) }},
		{"targets are replaced", 0.6, func(s *objectSim) { s.replace(0.5) }},
		{"some are slow", objectLoad, func(s *objectSim) { s.slowDown(0.15, 5) }},
		{"some are rate-limited", objectLoad, func(s *objectSim) { s.rateLimit(0.09, 0.27) }},
		{"all are rate-limited", objectLoad, func(s *objectSim) { s.rateLimit(1, 0.85) }},
		{"as many leave", objectLoad, func(s *objectSim) { s.drain(0.09) }},
		{"a region is evacuated", objectLoad, func(s *objectSim) { s.evacuate("r1-a") }},
	}
}

// waveLoad splits a load among the regions in waves that peak in one region after the other.
func waveLoad(total float64, regions int) func(region int, at time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		phase := at.Seconds()/wavePeriod.Seconds() + float64(region)/float64(regions)
		return total / float64(regions) * (1 + waveSwing*math.Sin(2*math.Pi*phase))
	}
}

// randomTargets returns a random share of the targets of all regions.
func (s *objectSim) randomTargets(part float64) []*objectTarget {
	n := int(part * float64(len(s.targets)))
	var out []*objectTarget
	for _, i := range s.random.Perm(len(s.targets))[:n] {
		out = append(out, s.targets[i])
	}
	return out
}

func (s *objectSim) crash(part float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.randomTargets(part) {
			t.dead = true
			s.after(8*time.Second, func() { t.restart() })
		}
	})
}

// restart brings a target back under the same ID with an empty cache.
func (t *objectTarget) restart() {
	t.dead = false
	t.known = nil
	t.newUntil = t.sim.now.Add(newTargetTime)
}

// drain drains a share of the targets for good.
func (s *objectSim) drain(part float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.randomTargets(part) {
			t.Draining = true
		}
		s.publishTargets()
	})
}

// replace drains a share of the targets one after the other and adds a new target for each.
func (s *objectSim) replace(part float64) {
	s.after(8*time.Second, func() {
		for i, t := range s.randomTargets(part) {
			s.after(time.Duration(i)*time.Second, func() {
				t.Draining = true
				s.addTarget(t.Region).newUntil = s.now.Add(newTargetTime)
				s.publishTargets()
			})
		}
	})
}

func (s *objectSim) slowDown(part, factor float64) {
	s.after(10*time.Second, func() {
		for _, t := range s.randomTargets(part) {
			t.slowdown = factor
			s.after(8*time.Second, func() { t.slowdown = 1 })
		}
	})
}

// rateLimit makes a share of the targets report a limit, as a part of the mean rate of
// requests per target.
func (s *objectSim) rateLimit(part, limit float64) {
	s.after(10*time.Second, func() {
		rate := float64(s.figures.sent) / 10 / float64(len(s.targets))
		for _, t := range s.randomTargets(part) {
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

// objectCell is one scenario of one layout under one policy, summed over all seeds.
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
	s.load = waveLoad(c.scenario.load, len(c.layout.regions))
	for _, b := range s.boxes {
		b.balancer.SetColdLimit("s", balance.ColdLimit{Time: newTargetTime, Rate: float64(c.layout.slots)})
	}
	c.scenario.schedule(s)
	s.run(objectTime)
	return s.figures
}

func (f *objectFigures) add(g objectFigures) {
	f.sent += g.sent
	f.onTime += g.onTime
	f.late += g.late
	f.refused += g.refused
	f.failed += g.failed
	f.known += g.known
	f.unknown += g.unknown
}

// objectCells returns all scenarios of all layouts, the baseline before the present policy.
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
			share(f.onTime, f.sent), share(f.late, f.sent), share(f.refused, f.sent), share(f.failed, f.sent), share(f.known, f.known+f.unknown))
	}
	_ = w.Flush() // nothing to do if standard output is gone
}
