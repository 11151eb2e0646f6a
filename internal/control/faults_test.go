package control

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

var (
	faultSeeds = flag.Int("fault-seeds", 1, "seeds that each cell of the fault matrix is run with")
	faultPairs = flag.Bool("fault-pairs", false, "also run every pair of faults")
)

// fault is a row of the matrix: what happens to the node or box that reaches the step.
type fault struct {
	name   string
	onBox  func(sim *simulation, b *box)
	onNode func(sim *simulation, n *node)
	// prepare runs before the operators continue to send changes.
	prepare func(sim *simulation, o *operators)
}

func killFault(down time.Duration, torn bool) fault {
	return fault{
		onNode: func(sim *simulation, n *node) {
			sim.kill(n, torn, down)
			panic(crashed{n})
		},
		onBox: func(sim *simulation, b *box) { sim.killBox(b, down) },
	}
}

// withName returns a fault as a row of the matrix with the given name.
func withName(name string, f fault) fault {
	f.name = name
	return f
}

// diskFault makes the next operation of a kind fail. If the replica continues anyway, it is
// crashed 500 ms later.
func diskFault(operation string) fault {
	return fault{onNode: func(sim *simulation, n *node) {
		sim.crashAt[n] = sim.now.Add(500 * time.Millisecond)
		before := n.disk.beforeOperation
		failed := false
		n.disk.beforeOperation = func(op, name string) error {
			if op == operation && !failed {
				failed = true
				return errDisk
			}
			return before(op, name)
		}
	}}
}

// fullDiskFault makes a disk reject writes for a while. A rejected write leaves half of its bytes,
// until another operation of the disk succeeds.
func fullDiskFault(length time.Duration) fault {
	return fault{onNode: func(sim *simulation, n *node) {
		until := sim.now.Add(length)
		before, disk := n.disk.beforeOperation, n.disk
		disk.tearWrites = true
		disk.beforeOperation = func(operation, name string) error {
			if operation == "write" && sim.now.Before(until) {
				return fmt.Errorf("write %s: %w", name, syscall.ENOSPC)
			}
			disk.tearWrites = false
			return before(operation, name)
		}
	}}
}

// cutFault cuts an availability zone off from the others, in one direction or both.
func cutFault(out, in bool, length time.Duration) fault {
	return fault{
		onNode: func(sim *simulation, n *node) { sim.cutZone(n.zone, out, in, length) },
		onBox:  func(sim *simulation, b *box) { sim.cutZone(b.zone, out, in, length) },
	}
}

func faults() []fault {
	return []fault{
		withName("kill", killFault(3*time.Second, false)),
		withName("restart", killFault(0, false)),
		withName("torn write", killFault(time.Second, true)),
		withName("failed sync", diskFault("sync")),
		withName("full disk", diskFault("write")),
		withName("full disk for a while", fullDiskFault(4*time.Second)),
		withName("disk lost", fault{onNode: func(sim *simulation, n *node) {
			sim.loseDisk(n, time.Second)
			panic(crashed{n})
		}, onBox: func(sim *simulation, b *box) { sim.killBox(b, time.Second) }}),
		withName("freeze and thaw", fault{onNode: func(sim *simulation, n *node) {
			n.frozen = true
			n.downUntil = sim.now.Add(2500 * time.Millisecond)
		}}),
		withName("zone cut", cutFault(true, true, 4*time.Second)),
		withName("zone cut, out only", cutFault(true, false, 4*time.Second)),
		withName("zone cut, in only", cutFault(false, true, 4*time.Second)),
		withName("control box cut for long", cutFault(true, true, 45*time.Second)),
		withName("second loss after repair", fault{onNode: secondLoss, onBox: func(sim *simulation, b *box) { sim.killBox(b, time.Second) }}),
		withName("operators racing", fault{prepare: func(_ *simulation, o *operators) { o.pause = simulationStep }, onNode: func(sim *simulation, n *node) {
			sim.kill(n, false, time.Second)
			panic(crashed{n})
		}}),
		withName("operators resending", fault{prepare: func(_ *simulation, o *operators) { o.duplicates = true }, onNode: func(sim *simulation, n *node) {
			sim.kill(n, false, time.Second)
			panic(crashed{n})
		}}),
		withName("restart after 500 changes", fault{onNode: func(sim *simulation, n *node) {
			sim.kill(n, false, 25*time.Second)
			panic(crashed{n})
		}, prepare: func(_ *simulation, o *operators) { o.pause = 2 * simulationStep }}),
	}
}

// secondLoss wipes a node's disk and, as soon as its repair is finished, another node's.
func secondLoss(sim *simulation, n *node) {
	sim.loseDisk(n, 500*time.Millisecond)
	id := n.id()
	hook := sim.hook
	sim.hook = func(step string, at *node) {
		hook(step, at)
		if sim.finished[id] && at != n && at.alive {
			sim.hook = hook
			sim.loseDisk(at, 500*time.Millisecond)
			panic(crashed{at})
		}
	}
	panic(crashed{n})
}

// step is a column of the matrix: the moment at which the fault occurs.
type step struct {
	name  string
	onBox bool
	// provoke causes the step if ordinary traffic does not reach it.
	provoke func(sim *simulation)
}

func steps() []step {
	return []step{
		{name: "propose"},
		{name: "append"},
		{name: "sync"},
		{name: "vote", provoke: func(sim *simulation) { sim.kill(sim.leader(), false, 2*time.Second) }},
		{name: "commit"},
		{name: "answer"},
		{name: "apply"},
		{name: "snapshot"},
		{name: "addReplica", provoke: func(sim *simulation) {
			for _, n := range sim.nodes {
				if n != sim.leader() {
					sim.loseDisk(n, 200*time.Millisecond)
					return
				}
			}
		}},
		{name: "distribute", onBox: true},
		{name: "inForce", onBox: true},
	}
}

// runCell runs one or two faults at a step and returns the problems found.
func runCell(t *testing.T, seed uint64, s step, first fault, second *fault) []string {
	sim := newSimulation(t, seed)
	o := newOperators(sim)
	if !o.run(10*time.Second, func() bool { return len(o.acceptedIDs) >= 20 && sim.allAt(10) }) {
		return []string{"the system does not start"}
	}
	if first.prepare != nil {
		first.prepare(sim, o)
	}
	triggered := armFaults(sim, s, first, second)
	if s.provoke != nil && sim.leader() != nil {
		s.provoke(sim)
	}
	o.run(8*time.Second, nil)
	o.run(60*time.Second, func() bool { return recovered(sim) })
	if !*triggered {
		return []string{"the step was not reached"}
	}
	o.checkRecovery()
	return sim.problems
}

// recovered reports whether all effects of the faults are over.
func recovered(sim *simulation) bool {
	for _, n := range sim.nodes {
		if !n.alive || n.frozen || n.awaitsJoin {
			return false
		}
	}
	for _, until := range sim.blocked {
		if sim.now.Before(until) {
			return false
		}
	}
	return len(sim.joining) == 0
}

// armFaults installs hooks that trigger the first fault when the step is reached next, and the
// second when it is reached again, for steps of nodes at another node. The returned flag is set
// once a fault was triggered.
func armFaults(sim *simulation, s step, first fault, second *fault) *bool {
	triggered := false
	remaining := []fault{first}
	if second != nil {
		remaining = append(remaining, *second)
	}
	var last *node
	sim.hook = func(name string, n *node) {
		if name != s.name || len(remaining) == 0 || n == last {
			return
		}
		f := remaining[0]
		remaining = remaining[1:]
		last = n
		triggered = true
		if f.onNode != nil {
			f.onNode(sim, n)
		}
	}
	sim.boxHook = func(name string, b *box) {
		if name != s.name || len(remaining) == 0 {
			return
		}
		f := remaining[0]
		remaining = remaining[1:]
		triggered = true
		if f.onBox != nil {
			f.onBox(sim, b)
			return
		}
		// A fault of a control node hits the leader while the box applies an update.
		if n := sim.leader(); n != nil && f.onNode != nil {
			recoverCrash(n, func() { f.onNode(sim, n) })
		}
	}
	return &triggered
}

// cell is a cell of the table.
type cell struct {
	row, step string
	run       func(seed uint64) []string
	problems  []string
	seed      uint64
}

func (c *cell) runSeeds() {
	for seed := range uint64(*faultSeeds) {
		c.seed = seed + 1
		if c.problems = c.run(c.seed); len(c.problems) > 0 {
			return
		}
	}
}

// cells lists the cells of the matrix row by row.
func cells(t *testing.T) []*cell {
	var out []*cell
	add := func(row string, first fault, second *fault) {
		for _, s := range steps() {
			out = append(out, &cell{row: row, step: s.name, run: func(seed uint64) []string {
				return runCell(t, seed, s, first, second)
			}})
		}
	}
	for _, f := range faults() {
		add(f.name, f, nil)
	}
	if !*faultPairs {
		return out
	}
	for _, f := range faults() {
		for _, g := range faults() {
			add(f.name+" + "+g.name, f, &g)
		}
	}
	return out
}

// runAll runs the cells in parallel. They do not depend on each other.
func runAll(list []*cell) {
	work := make(chan *cell)
	var running sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		running.Go(func() {
			for c := range work {
				c.runSeeds()
			}
		})
	}
	for _, c := range list {
		work <- c
	}
	close(work)
	running.Wait()
}

// TestFaultMatrix runs every fault at every step and compares the table with the golden file. With
// -fault-pairs it also runs every pair of faults.
func TestFaultMatrix(t *testing.T) {
	list := cells(t)
	runAll(list)
	var out strings.Builder
	passed, failed := 0, 0
	for i, c := range list {
		if i == 0 || list[i-1].row != c.row {
			fmt.Fprintf(&out, "\n%-40s", c.row)
		}
		if len(c.problems) > 0 {
			failed++
			fmt.Fprintf(&out, " %s:FAILED", c.step)
			t.Errorf("%s at %s, seed %d:\n  %s", c.row, c.step, c.seed, strings.Join(c.problems, "\n  "))
			continue
		}
		passed++
		fmt.Fprintf(&out, " %s:ok", c.step)
	}
	out.WriteString("\n")
	if *faultPairs || *faultSeeds > 1 {
		fmt.Print(out.String())
	} else {
		goldie.New(t).Assert(t, "faults", []byte(out.String()))
	}
	fmt.Printf("control fault matrix: %d passed, %d failed\n", passed, failed)
}
