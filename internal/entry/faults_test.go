package entry

import (
	"bytes"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var faultPairs = flag.Bool("fault-pairs", false, "also run every pair of faults")

const (
	cellSlots     = 2
	faultDuration = 3 * time.Second
	cellDuration  = 5 * time.Second
)

// requestFault is a row of the matrix: a fault that is injected when the step is reached. The
// box is the one that holds the pool of zone a, the target the one chosen for the request.
type requestFault struct {
	name   string
	inject func(s *system, at location)
	// planned faults must not fail any request.
	planned bool
}

// location is the box and the target at which a step was reached.
type location struct{ box, target string }

// undoLater calls f when the duration of a fault has passed.
func undoLater(f func()) {
	go func() {
		time.Sleep(faultDuration)
		f()
	}()
}

func requestFaults() []requestFault {
	return []requestFault{
		{name: "target dies", inject: func(s *system, at location) {
			s.network.kill(targetHost(at.target))
			undoLater(func() {
				s.stopTarget(at.target, cellSlots)
				s.startTarget(at.target, cellSlots, nil)
			})
		}},
		{name: "target freezes", inject: func(s *system, at location) {
			s.network.setStalled(targetHost(at.target), true)
			undoLater(func() { s.network.setStalled(targetHost(at.target), false) })
		}},
		{name: "target sheds", inject: func(s *system, at location) {
			t := s.target(at.target).target
			t.SetShedding(true)
			undoLater(func() { t.SetShedding(false) })
		}},
		{name: "target lies", inject: func(s *system, at location) {
			t := s.target(at.target).target
			t.SetFailing(true)
			undoLater(func() { t.SetFailing(false) })
		}},
		{name: "target drains", planned: true, inject: func(s *system, at location) {
			s.target(at.target).target.SetDraining(true)
		}},
		{name: "reports missing", inject: func(s *system, _ location) {
			for _, t := range s.allTargets() {
				t.target.SetHealthFailing(true)
			}
			undoLater(func() {
				for _, t := range s.allTargets() {
					t.target.SetHealthFailing(false)
				}
			})
		}},
		{name: "box killed", inject: func(s *system, at location) {
			s.killBox(at.box)
			undoLater(func() { s.startBox(at.box) })
		}},
		{name: "box frozen", inject: func(s *system, at location) {
			s.network.setStalled(boxHosts[at.box], true)
			undoLater(func() { s.network.setStalled(boxHosts[at.box], false) })
		}},
		{name: "box restarted", inject: func(s *system, at location) {
			s.killBox(at.box)
			go func() {
				time.Sleep(50 * time.Millisecond)
				s.startBox(at.box)
			}()
		}},
		{name: "box stops as planned", planned: true, inject: func(s *system, at location) {
			s.box(at.box).cancel()
		}},
		{name: "zone cut", inject: func(s *system, _ location) {
			s.network.setPartitioned("za", "zb", true)
			s.network.setPartitioned("za", "zc", true)
			undoLater(func() {
				s.network.setPartitioned("za", "zb", false)
				s.network.setPartitioned("za", "zc", false)
			})
		}},
		{name: "zone lost", inject: func(s *system, _ location) {
			hosts := []string{boxHosts["b1"], boxHosts["b2"], targetHost("a1"), targetHost("a2")}
			for _, h := range hosts {
				s.network.setStalled(h, true)
			}
			undoLater(func() {
				for _, h := range hosts {
					s.network.setStalled(h, false)
				}
			})
		}},
		{name: "settings changed", planned: true, inject: func(s *system, at location) {
			s.change(&wire.Edit{Path: "/east/z" + at.target[:1] + ":flags", Key: "drainTargets", Value: at.target})
		}},
		{name: "all suspended", inject: func(s *system, _ location) {
			for _, b := range s.allBoxes() {
				b.suspend(faultDuration)
			}
		}},
		{name: "holder suspended", inject: func(s *system, at location) {
			s.box(at.box).suspend(faultDuration)
		}},
		{name: "late answers", inject: func(s *system, _ location) {
			s.network.setDelay(400 * time.Millisecond)
			undoLater(func() { s.network.setDelay(time.Millisecond) })
		}},
	}
}

// requestSteps are the columns of the matrix: the progress of the observed request.
var requestSteps = []string{"lookUp", "queue", "admit", "connect", "header", "body", "wait", "firstByte", "midAnswer", "end"}

// trigger fires once, when the step it is armed for is reached.
type trigger struct {
	mu          sync.Mutex
	step        string
	onStep      func(at location)
	answerBytes int
}

func (g *trigger) reach(step string, at location) {
	g.mu.Lock()
	if g.step != step || g.onStep == nil {
		g.mu.Unlock()
		return
	}
	onStep := g.onStep
	g.onStep = nil
	g.mu.Unlock()
	onStep(at)
}

// pastMiddle counts the bytes of responses and reports whether half of an export has been
// sent. Responses are written on several connections concurrently.
func (g *trigger) pastMiddle(bytes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answerBytes += bytes
	return g.answerBytes > exportBytes/2
}

func (g *trigger) arm(step string, onStep func(at location)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step, g.onStep = step, onStep
}

func (g *trigger) fired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step != "" && g.onStep == nil
}

// hookNetwork fires the trigger for the steps that can be observed on the network.
func (s *system) hookNetwork(g *trigger) {
	boxOf, targetOf := make(map[string]string), make(map[string]string)
	for name, host := range boxHosts {
		boxOf[host] = name
	}
	for name := range s.allTargets() {
		targetOf[targetHost(name)] = name
	}
	onDial := func(from, to string) {
		if boxOf[from] != "" && targetOf[to] != "" {
			g.reach("connect", location{boxOf[from], targetOf[to]})
		}
	}
	onWrite := func(from, to string, data []byte) {
		at := location{boxOf[from], targetOf[to]}
		switch {
		case at.box != "" && at.target != "" && bytes.Contains(data, []byte(" /toggle ")):
			g.reach("admit", at)
			g.reach("header", at)
		case at.box != "" && at.target != "" && len(data) > 3000:
			g.reach("body", at)
		case targetOf[from] != "" && boxOf[to] != "":
			at = location{boxOf[to], targetOf[from]}
			if bytes.Contains(data, []byte("/toggle ")) {
				g.reach("firstByte", at)
			}
			if g.pastMiddle(len(data)) {
				g.reach("midAnswer", at)
			}
		case at.box != "" && to == callerHost && bytes.Contains(data, []byte(caller.HeaderOutcome)) && bytes.Contains(data, []byte("toggle")):
			g.reach("end", location{at.box, "a1"})
		}
	}
	s.network.setHooks(onDial, onWrite)
	for name, t := range s.allTargets() {
		t.onRun = func() { g.reach("wait", location{s.holderOf("za"), name}) }
	}
}

// holderOf returns the box that holds the lease on the pool of a zone.
func (s *system) holderOf(zone string) string {
	for _, b := range s.allBoxes() {
		if b.zone != zone {
			continue
		}
		if h, ok := b.daemon.holder("flags"); ok {
			return h.Name
		}
	}
	return "b1"
}

// runRequestCell runs traffic, injects the faults when a request reaches the step and checks
// the system's guarantees.
func runRequestCell(t *testing.T, step string, faults ...requestFault) (problems []string) {
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, cellSlots)
		g := &trigger{}
		s.hookNetwork(g)
		planned := true
		for _, f := range faults {
			planned = planned && f.planned
		}
		g.arm(step, func(at location) {
			for _, f := range faults {
				f.inject(s, at)
			}
		})
		s.cellTraffic(g, step, planned)
		if !g.fired() {
			s.addProblem("the step was not reached")
		}
		s.network.setHooks(func(string, string) {}, func(string, string, []byte) {})
		s.checkRecovery()
		s.close(cellSlots)
		problems = s.problems
	})
	return problems
}

// cellTraffic sends reads, toggles and exports concurrently. For the step "body", toggles have
// bodies that take several writes to send; for "queue", eight callers send toggles, so that
// some wait for a slot.
func (s *system) cellTraffic(g *trigger, step string, planned bool) {
	end := time.Now().Add(cellDuration)
	var running sync.WaitGroup
	check := func(kind string, a caller.Answer) {
		if planned && a.Outcome != caller.Ran {
			s.addProblem("with planned faults only, the outcome of a %s is %s: %s", kind, a.Outcome, a.Header.Get(caller.HeaderReason))
		}
	}
	toggles := 2
	if step == "queue" {
		toggles = 8
	}
	for w := range toggles {
		running.Go(func() {
			c := s.client("flags")
			for n := 0; time.Now().Before(end); n++ {
				if step == "lookUp" && n == 3 {
					_, _ = c.Lookup(s.t.Context())
					g.reach("lookUp", location{s.holderOf("za"), "a1"})
				}
				if step == "queue" && n == 3 && w == toggles-1 {
					s.waitQueued()
					g.reach("queue", location{s.holderOf("za"), "a1"})
				}
				name := fmt.Sprintf("toggle-%d-%d-", w, n)
				if step == "body" {
					name += strings.Repeat("x", 20_000)
				}
				check("toggle", s.toggle(c, name, 2500*time.Millisecond))
				time.Sleep(7 * time.Millisecond)
			}
		})
	}
	running.Go(func() {
		c := s.client("flags")
		for time.Now().Before(end) {
			check("read", s.read(c, 2500*time.Millisecond))
			time.Sleep(5 * time.Millisecond)
		}
	})
	running.Go(func() {
		c := s.client("flags")
		for time.Now().Before(end) {
			check("export", s.export(c, 2500*time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
	})
	running.Wait()
}

// waitQueued waits until a request is queued for a slot in zone a.
func (s *system) waitQueued() {
	for range 2000 {
		for _, b := range s.allBoxes() {
			p := b.daemon.pool("flags")
			if p == nil {
				continue
			}
			if v, err := p.view(s.t.Context()); err == nil && v.load.Waiting > 0 {
				return
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// checkRecovery checks that all kinds of requests are served again.
func (s *system) checkRecovery() {
	time.Sleep(2*faultDuration + time.Second)
	c := s.client("flags")
	if a := s.toggle(c, "after", 3*time.Second); a.Outcome != caller.Ran {
		s.addProblem("outcome of a toggle after the fault is %s: %s", a.Outcome, a.Header.Get(caller.HeaderReason))
	}
	if a := s.read(c, 3*time.Second); a.Outcome != caller.Ran {
		s.addProblem("outcome of a read after the fault is %s", a.Outcome)
	}
	if a := s.export(c, 3*time.Second); a.Outcome != caller.Ran {
		s.addProblem("outcome of an export after the fault is %s", a.Outcome)
	}
}

// TestFaultMatrix injects every fault at every step of a request.
func TestFaultMatrix(t *testing.T) {
	var out strings.Builder
	passed, failed := 0, 0
	runRow := func(name string, faults ...requestFault) {
		fmt.Fprintf(&out, "%-36s", name)
		for _, step := range requestSteps {
			if problems := runRequestCell(t, step, faults...); len(problems) > 0 {
				failed++
				fmt.Fprintf(&out, " %s:FAILED", step)
				t.Errorf("%s at %s:\n  %s", name, step, strings.Join(problems, "\n  "))
				continue
			}
			passed++
			fmt.Fprintf(&out, " %s:ok", step)
		}
		fmt.Fprintln(&out)
	}
	for _, f := range requestFaults() {
		if *faultRow == "" || *faultRow == f.name {
			runRow(f.name, f)
		}
	}
	if *faultRow != "" {
		fmt.Print(out.String())
		return
	}
	if *faultPairs {
		for i, f := range requestFaults() {
			for _, g := range requestFaults()[i+1:] {
				runRow(f.name+" + "+g.name, f, g)
			}
		}
		fmt.Print(out.String())
	} else {
		goldie.New(t).Assert(t, "faults", []byte(out.String()))
	}
	fmt.Printf("request fault matrix: %d passed, %d failed\n", passed, failed)
}

var faultRow = flag.String("fault-row", "", "run only this row of the fault matrix, without the golden file")
