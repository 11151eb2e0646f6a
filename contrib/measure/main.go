// Command measure runs fixed scenarios of both users in virtual time, with the
// decisions of the packages under pkg/ and small fakes around them, and prints
// the thin baseline policy and the present one side by side. The same seeds
// give the same figures.
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
	only := flag.String("scenario", "", "run only scenarios whose name contains this")
	objects := flag.Bool("objects", false, "measure the choice among targets that remember objects")
	limits := flag.Bool("limits", false, "measure ways of keeping the limits of workspaces")
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

// runParallel calls do with each number below n, on all processors.
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
	c.scenario.plan(s)
	s.run(scenarioTime)
	return s.figures
}

// row is the mean of a cell's figures over its seeds, the worst for headroom
// and steps over the cap.
type row struct {
	p50, p99, p999        float64
	goodReads, goodWrites float64
	notRun, unknown       float64
	headroom              float64
	overloads             float64
	overCap, doubled      int
	drain                 time.Duration
}

func (c *cell) row() row {
	out := row{headroom: 1}
	n := float64(len(c.runs))
	for _, f := range c.runs {
		out.p50 += quantile(f.latency, 50) / n
		out.p99 += quantile(f.latency, 99) / n
		out.p999 += quantile(f.latency, 99.9) / n
		out.goodReads += share(f.answered[true], f.asked[true]) / n
		out.goodWrites += share(f.answered[false], f.asked[false]) / n
		all := f.asked[true] + f.asked[false]
		out.notRun += share(f.notRun[true]+f.notRun[false], all) / n
		out.unknown += share(f.unknown[true]+f.unknown[false], all) / n
		out.headroom = min(out.headroom, f.headroom)
		out.overloads += float64(len(f.overloads)) / n
		out.overCap = max(out.overCap, f.overCap)
		out.doubled += f.doubled
		out.drain += f.drainTime / time.Duration(len(c.runs))
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
		r := c.row()
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t%.0f\t%.1f\t%d\t%d\t%d\t\n",
			c.layout.Name, c.scenario.name, c.policy(), r.p50, r.p99, r.p999, r.goodReads, r.goodWrites, r.notRun, r.unknown,
			100*r.headroom, r.overloads, r.overCap, r.drain.Milliseconds(), r.doubled)
	}
	_ = w.Flush() // the terminal is gone
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
				share(g.answered[true], g.asked[true]), share(g.answered[false], g.asked[false]),
				g.unknown[true]+g.unknown[false], g.doubled)
		}
	}
	return f.Close()
}
