// Command measure simulates fixed scenarios of both users in virtual time and prints the
// figures of a simple baseline policy beside those of the present one. The packages under
// pkg/ make the decisions; small fakes stand in for the rest. The same seeds give the same
// figures.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
)

func main() {
	seeds := flag.String("seeds", "1,2,3", "seeds, separated by commas")
	only := flag.String("scenario", "", "run only scenarios whose names contain this")
	objects := flag.Bool("objects", false, "measure the choice among targets that cache objects")
	limits := flag.Bool("limits", false, "compare methods of enforcing workspace limits")
	rollouts := flag.Int("rollouts", 0, "roll out this many drawn versions of each kind, good and bad")
	csv := flag.String("csv", "", "also write the figures to this file")
	flag.Parse()
	list, err := parseSeeds(*seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(2)
	}
	if *objects {
		cells := objectCells()
		runObjects(cells, list)
		printObjects(os.Stdout, cells)
		return
	}
	if *limits {
		printLimits(os.Stdout, list)
		return
	}
	if *rollouts > 0 {
		printRollouts(os.Stdout, *rollouts, list)
		return
	}
	cells := plan(list, *only)
	runAll(cells)
	printTable(cells)
	if *csv == "" {
		return
	}
	if err := writeCSV(*csv, cells); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func parseSeeds(text string) ([]uint64, error) {
	var out []uint64
	for _, item := range strings.Split(text, ",") {
		n, err := strconv.ParseUint(strings.TrimSpace(item), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("flag -seeds: %q is not a number", item)
		}
		out = append(out, n)
	}
	return out, nil
}

// cell is one scenario of one user under one policy, over all seeds.
type cell struct {
	layout   layout.Layout
	scenario scenario
	baseline bool
	seeds    []uint64
	runs     []*figures
}

func plan(seeds []uint64, only string) []*cell {
	var out []*cell
	for _, l := range []layout.Layout{layout.Flagpost(), layout.Portal()} {
		for _, c := range scenarios() {
			if !strings.Contains(c.name, only) {
				continue
			}
			for _, baseline := range []bool{true, false} {
				out = append(out, &cell{layout: l, scenario: c, baseline: baseline, seeds: seeds, runs: make([]*figures, len(seeds))})
			}
		}
	}
	return out
}

func runAll(cells []*cell) {
	runParallel(len(cells), func(i int) {
		c := cells[i]
		for n, seed := range c.seeds {
			c.runs[n] = c.run(seed)
		}
	})
}

// runParallel calls do with each number from 0 to n-1, on all processors.
func runParallel(n int, do func(i int)) {
	work := make(chan int)
	var running sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for i := range work {
				do(i)
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	running.Wait()
}

func (c *cell) run(seed uint64) *figures {
	s := newSim(c.layout, 0, c.baseline, seed)
	capacity := make(map[string]float64)
	index := make(map[string]int)
	for i, region := range c.layout.Regions {
		capacity[region] = s.regionCapacity(region)
		index[region] = i
	}
	s.rate = func(region string, at time.Duration) float64 {
		return capacity[region] * c.scenario.load(index[region], at)
	}
	c.scenario.schedule(s)
	s.run(scenarioTime)
	return s.figures
}

// summary is the mean of a cell's figures over its seeds. Headroom, points over the cap and
// duplicated requests are not averaged: the worst value or the sum counts.
type summary struct {
	p50, p99, p999        float64
	goodReads, goodWrites float64
	notRun, unknown       float64
	headroom              float64
	overloads             float64
	overCap, doubled      int
	drain                 time.Duration
}

func (c *cell) summarize() summary {
	out := summary{headroom: 1}
	n := float64(len(c.runs))
	for _, f := range c.runs {
		out.p50 += quantile(f.latency, 50) / n
		out.p99 += quantile(f.latency, 99) / n
		out.p999 += quantile(f.latency, 99.9) / n
		out.goodReads += share(f.answered[true], f.sent[true]) / n
		out.goodWrites += share(f.answered[false], f.sent[false]) / n
		all := f.sent[true] + f.sent[false]
		out.notRun += share(f.notRun[true]+f.notRun[false], all) / n
		out.unknown += share(f.unknown[true]+f.unknown[false], all) / n
		out.headroom = min(out.headroom, f.headroom)
		out.overloads += float64(len(f.overloads)) / n
		out.overCap = max(out.overCap, f.overCap)
		out.doubled += f.duplicated
		out.drain += f.drainDuration / time.Duration(len(c.runs))
	}
	return out
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

func printTable(cells []*cell) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "user\tscenario\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\treads ok %\twrites ok %\tnot run %\tunknown %\theadroom %\toverload s\tover cap\tdrain ms\tdoubled\t")
	for _, c := range cells {
		r := c.summarize()
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t%.0f\t%.1f\t%d\t%d\t%d\t\n",
			c.layout.Name, c.scenario.name, c.policy(), r.p50, r.p99, r.p999, r.goodReads, r.goodWrites, r.notRun, r.unknown,
			100*r.headroom, r.overloads, r.overCap, r.drain.Milliseconds(), r.doubled)
	}
	_ = w.Flush() // nothing to do if standard output is gone
}

func (c *cell) policy() string {
	if c.baseline {
		return "baseline"
	}
	return "present"
}

func writeCSV(path string, cells []*cell) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	fmt.Fprintln(f, "user,scenario,policy,seed,p50,p99,p999,readsOk,writesOk,unknown,doubled")
	for _, c := range cells {
		for i, g := range c.runs {
			fmt.Fprintf(f, "%s,%s,%s,%d,%.2f,%.2f,%.2f,%.3f,%.3f,%d,%d\n", c.layout.Name, c.scenario.name, c.policy(), c.seeds[i],
				quantile(g.latency, 50), quantile(g.latency, 99), quantile(g.latency, 99.9),
				share(g.answered[true], g.sent[true]), share(g.answered[false], g.sent[false]),
				g.unknown[true]+g.unknown[false], g.duplicated)
		}
	}
	return f.Close()
}
