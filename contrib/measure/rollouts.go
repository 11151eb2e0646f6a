package main

import (
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"
)

// Roll-outs of drawn versions, good and bad, in virtual time: boxes divide the requests by
// rollout.Splitter and report to a leader, which decides by rollout.Judge and rollout.Next.

const (
	rolloutLength      = 30 * time.Second
	rolloutTick        = 200 * time.Millisecond
	rolloutReportLag   = 500 * time.Millisecond
	rolloutApplyLag    = 600 * time.Millisecond
	rolloutShare       = 0.1
	rolloutSlack       = 50
	rolloutRoutes      = 3
	rolloutObjects     = 600
	rolloutRequestRate = 20 // requests per second and box
	rolloutWarmup      = 3 * time.Second
	rolloutBaseTime    = 300 * time.Millisecond
	cachedPart         = 0.3 // service time at a target that has cached the object
)

// versionKind is a kind of version that is rolled out, or of trouble beside it.
type versionKind struct {
	name string
	bad  bool
	// draw returns the behavior of one version of this kind.
	draw func(r *rand.Rand) versionFault
}

// versionFault says how responses of the new version differ, and what else is wrong.
type versionFault struct {
	failing float64 // share of responses that fail
	slowing float64 // share of responses that are slow
	factor  float64 // how many times slower these are
	from    time.Duration
	route   int // -1 for all
	// onlyLoad is set if the fault shows only during the burst.
	onlyLoad bool
	burst    bool
	// greyTarget and greyPrevious are set if one target of the version or of the previous one fails
	// half of its requests.
	greyTarget, greyPrevious bool
	lost                     float64
}

func versionKinds() []versionKind {
	share := func(r *rand.Rand) float64 { return 0.15 + 0.85*r.Float64() }
	factor := func(r *rand.Rand) float64 { return 3 + 5*r.Float64() }
	later := func(r *rand.Rand) time.Duration { return time.Duration(r.Float64() * float64(15*time.Second)) }
	return []versionKind{
		{"good", false, func(*rand.Rand) versionFault { return versionFault{route: -1} }},
		{"good, one target grey", false, func(*rand.Rand) versionFault { return versionFault{route: -1, greyTarget: true} }},
		{"good, a previous target grey", false, func(*rand.Rand) versionFault { return versionFault{route: -1, greyPrevious: true} }},
		{"good, a burst", false, func(*rand.Rand) versionFault { return versionFault{route: -1, burst: true} }},
		{"good, lost responses", false, func(*rand.Rand) versionFault { return versionFault{route: -1, lost: 0.03} }},
		{"fails", true, func(r *rand.Rand) versionFault { return versionFault{route: -1, failing: share(r)} }},
		{"fails later", true, func(r *rand.Rand) versionFault {
			return versionFault{route: -1, failing: share(r), from: later(r)}
		}},
		{"fails on one route", true, func(r *rand.Rand) versionFault {
			return versionFault{route: r.IntN(rolloutRoutes), failing: share(r)}
		}},
		{"fails under load", true, func(r *rand.Rand) versionFault {
			return versionFault{route: -1, failing: share(r), onlyLoad: true, burst: true}
		}},
		{"slow", true, func(r *rand.Rand) versionFault {
			return versionFault{route: -1, slowing: share(r), factor: factor(r)}
		}},
		{"slow later", true, func(r *rand.Rand) versionFault {
			return versionFault{route: -1, slowing: share(r), factor: factor(r), from: later(r)}
		}},
		{"slow on one route", true, func(r *rand.Rand) versionFault {
			return versionFault{route: r.IntN(rolloutRoutes), slowing: share(r), factor: factor(r)}
		}},
	}
}

// rolloutRow sums the roll-outs of one kind.
type rolloutRow struct {
	kind                        versionKind
	runs                        int
	completed, rolledBack, over int
	badAnswers                  []int
	latest                      time.Duration
	lateMoreThanBound           int
}

// runRollouts runs a number of roll-outs of each kind.
func runRollouts(boxes, runs int, seed uint64) []rolloutRow {
	kinds := versionKinds()
	results := make([]rolloutResult, len(kinds)*runs)
	runParallel(len(results), func(i int) {
		drawn := seed*1_000_003 + uint64(i)
		fault := kinds[i/runs].draw(rand.New(rand.NewPCG(drawn, 5)))
		results[i] = newRolloutSim(boxes, fault, drawn).run()
	})
	var out []rolloutRow
	for k, kind := range kinds {
		row := rolloutRow{kind: kind, runs: runs}
		for _, r := range results[k*runs : (k+1)*runs] {
			row.add(r)
		}
		slices.SortFunc(row.badAnswers, cmp.Compare)
		out = append(out, row)
	}
	return out
}

// rollbackBound is how long after its 50th bad response a version may get requests.
const rollbackBound = 5 * time.Second

func (w *rolloutRow) add(r rolloutResult) {
	if r.completed {
		w.completed++
	}
	if r.overShare {
		w.over++
	}
	if r.rolledBack {
		w.rolledBack++
		w.badAnswers = append(w.badAnswers, r.badAnswers)
	}
	if !w.kind.bad {
		return
	}
	w.latest = max(w.latest, r.lateAfter50th)
	if r.lateAfter50th > rollbackBound {
		w.lateMoreThanBound++
	}
}

// printRollouts prints a table of drawn versions for several numbers of boxes.
func printRollouts(out io.Writer, runs int, seeds []uint64) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "boxes\tversion\truns\tcompleted\trolled back\tbad responses, median\tworst\tover its share\tlast request after the 50th, s\tover 5 s\t")
	for _, boxes := range []int{6, 60, 300} {
		for _, seed := range seeds {
			for _, row := range runRollouts(boxes, runs, seed) {
				median, worst := 0, 0
				if n := len(row.badAnswers); n > 0 && row.kind.bad {
					median, worst = row.badAnswers[n/2], row.badAnswers[n-1]
				}
				fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t\n", boxes, row.kind.name, row.runs, row.completed, row.rolledBack,
					median, worst, row.over, row.latest.Seconds(), row.lateMoreThanBound)
			}
		}
	}
	_ = w.Flush() // nothing to do if the output is closed
}
