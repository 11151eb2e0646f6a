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

var everyPair = flag.Bool("fault-pairs", false, "also run every pair of faults")

const (
	cellSlots  = 2
	faultTime  = 3 * time.Second
	cellLength = 5 * time.Second
)

// requestFault is one row: what is done when the step is reached. The box is
// the one that holds the pool of zone a, the target the one that was chosen.
type requestFault struct {
	name string
	do   func(s *system, at reached)
	// planned faults may cut no request at all.
	planned bool
}

// reached is where a step was reached.
type reached struct{ box, target string }

// undo puts things right again after the time of a fault.
func undo(f func()) {
	go func() {
		time.Sleep(faultTime)
		f()
	}()
}

func requestFaults() []requestFault {
	return []requestFault{
		{name: "target dies", do: func(s *system, at reached) {
			s.network.kill(targetHost(at.target))
			undo(func() {
				s.endTarget(at.target, cellSlots)
				s.startTarget(at.target, cellSlots, nil)
			})
		}},
		{name: "target freezes", do: func(s *system, at reached) {
			s.network.stall(targetHost(at.target), true)
			undo(func() { s.network.stall(targetHost(at.target), false) })
		}},
		{name: "target sheds", do: func(s *system, at reached) {
			t := s.target(at.target).target
			t.SetShedding(true)
			undo(func() { t.SetShedding(false) })
		}},
		{name: "target lies", do: func(s *system, at reached) {
			t := s.target(at.target).target
			t.SetFailing(true)
			undo(func() { t.SetFailing(false) })
		}},
		{name: "target drains", planned: true, do: func(s *system, at reached) {
			s.target(at.target).target.SetDraining(true)
		}},
		{name: "reports missing", do: func(s *system, _ reached) {
			for _, t := range s.allTargets() {
				t.target.SetHealthFailing(true)
			}
			undo(func() {
				for _, t := range s.allTargets() {
					t.target.SetHealthFailing(false)
				}
			})
		}},
		{name: "box killed", do: func(s *system, at reached) {
			s.killBox(at.box)
			undo(func() { s.startBox(at.box) })
		}},
		{name: "box frozen", do: func(s *system, at reached) {
			s.network.stall(boxHosts[at.box], true)
			undo(func() { s.network.stall(boxHosts[at.box], false) })
		}},
		{name: "box restarted", do: func(s *system, at reached) {
			s.killBox(at.box)
			go func() {
				time.Sleep(50 * time.Millisecond)
				s.startBox(at.box)
			}()
		}},
		{name: "box stops as planned", planned: true, do: func(s *system, at reached) {
			s.box(at.box).cancel()
		}},
		{name: "zone cut", do: func(s *system, _ reached) {
			s.network.cut("za", "zb", true)
			s.network.cut("za", "zc", true)
			undo(func() {
				s.network.cut("za", "zb", false)
				s.network.cut("za", "zc", false)
			})
		}},
		{name: "zone lost", do: func(s *system, _ reached) {
			hosts := []string{boxHosts["b1"], boxHosts["b2"], targetHost("a1"), targetHost("a2")}
			for _, h := range hosts {
				s.network.stall(h, true)
			}
			undo(func() {
				for _, h := range hosts {
					s.network.stall(h, false)
				}
			})
		}},
		{name: "settings changed", planned: true, do: func(s *system, at reached) {
			s.change(&wire.Edit{Path: "/east/z" + at.target[:1] + ":flags", Key: "drainTargets", Value: at.target})
		}},
		{name: "all suspended", do: func(s *system, _ reached) {
			for _, b := range s.allBoxes() {
				b.suspend(faultTime)
			}
		}},
		{name: "holder suspended", do: func(s *system, at reached) {
			s.box(at.box).suspend(faultTime)
		}},
		{name: "late answers", do: func(s *system, _ reached) {
			s.network.setDelay(400 * time.Millisecond)
			undo(func() { s.network.setDelay(time.Millisecond) })
		}},
	}
}

// requestSteps are the columns: how far the watched request has come.
var requestSteps = []string{"lookUp", "queue", "admit", "connect", "header", "body", "wait", "firstByte", "midAnswer", "end"}

// trigger fires once, at the step that it is armed for.
type trigger struct {
	mu   sync.Mutex
	step string
	fire func(at reached)
	mid  int
}

func (g *trigger) reach(step string, at reached) {
	g.mu.Lock()
	if g.step != step || g.fire == nil {
		g.mu.Unlock()
		return
	}
	fire := g.fire
	g.fire = nil
	g.mu.Unlock()
	fire(at)
}

// pastMiddle counts bytes of answers and reports whether half of an export has
// gone. Answers are written on several connections at once.
func (g *trigger) pastMiddle(bytes int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mid += bytes
	return g.mid > exportBytes/2
}

func (g *trigger) arm(step string, fire func(at reached)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step, g.fire = step, fire
}

func (g *trigger) fired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step != "" && g.fire == nil
}

// watch tells the trigger of steps that can be seen on the network.
func (s *system) watch(g *trigger) {
	boxOf, targetOf := make(map[string]string), make(map[string]string)
	for name, host := range boxHosts {
		boxOf[host] = name
	}
	for name := range s.allTargets() {
		targetOf[targetHost(name)] = name
	}
	onDial := func(from, to string) {
		if boxOf[from] != "" && targetOf[to] != "" {
			g.reach("connect", reached{boxOf[from], targetOf[to]})
		}
	}
	onWrite := func(from, to string, data []byte) {
		at := reached{boxOf[from], targetOf[to]}
		switch {
		case at.box != "" && at.target != "" && bytes.Contains(data, []byte(" /toggle ")):
			g.reach("admit", at)
			g.reach("header", at)
		case at.box != "" && at.target != "" && len(data) > 3000:
			g.reach("body", at)
		case targetOf[from] != "" && boxOf[to] != "":
			at = reached{boxOf[to], targetOf[from]}
			if bytes.Contains(data, []byte("/toggle ")) {
				g.reach("firstByte", at)
			}
			if g.pastMiddle(len(data)) {
				g.reach("midAnswer", at)
			}
		case at.box != "" && to == callerHost && bytes.Contains(data, []byte(caller.HeaderOutcome)) && bytes.Contains(data, []byte("toggle")):
			g.reach("end", reached{at.box, "a1"})
		}
	}
	s.network.hooks(onDial, onWrite)
	for name, t := range s.allTargets() {
		t.onRun = func() { g.reach("wait", reached{s.holderOf("za"), name}) }
	}
}

// holderOf returns the box that holds the pool of a zone.
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

// runRequestCell runs traffic, strikes when a request reaches the step and
// checks the promises.
func runRequestCell(t *testing.T, step string, faults ...requestFault) (problems []string) {
	bubble(t, func(t *testing.T) {
		s := newSystem(t, cellSlots)
		g := &trigger{}
		s.watch(g)
		planned := true
		for _, f := range faults {
			planned = planned && f.planned
		}
		g.arm(step, func(at reached) {
			for _, f := range faults {
				f.do(s, at)
			}
		})
		s.cellTraffic(g, step, planned)
		if !g.fired() {
			s.problem("the step was not reached")
		}
		s.network.hooks(func(string, string) {}, func(string, string, []byte) {})
		s.recovers()
		s.close(cellSlots)
		problems = s.problems
	})
	return problems
}

// cellTraffic sends reads, toggles and exports side by side; the toggles have
// bodies large enough to go out in several writes.
func (s *system) cellTraffic(g *trigger, step string, planned bool) {
	end := time.Now().Add(cellLength)
	var running sync.WaitGroup
	note := func(kind string, a caller.Answer) {
		if planned && a.Outcome != caller.Ran {
			s.problem("a planned step left a %s %s: %s", kind, a.Outcome, a.Header.Get(caller.HeaderReason))
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
					g.reach("lookUp", reached{s.holderOf("za"), "a1"})
				}
				if step == "queue" && n == 3 && w == toggles-1 {
					s.waitQueued()
					g.reach("queue", reached{s.holderOf("za"), "a1"})
				}
				name := fmt.Sprintf("toggle-%d-%d-", w, n)
				if step == "body" {
					name += strings.Repeat("x", 20_000)
				}
				note("toggle", s.toggle(c, name, 2500*time.Millisecond))
				time.Sleep(7 * time.Millisecond)
			}
		})
	}
	running.Go(func() {
		c := s.client("flags")
		for time.Now().Before(end) {
			note("read", s.read(c, 2500*time.Millisecond))
			time.Sleep(5 * time.Millisecond)
		}
	})
	running.Go(func() {
		c := s.client("flags")
		for time.Now().Before(end) {
			note("export", s.export(c, 2500*time.Millisecond))
			time.Sleep(50 * time.Millisecond)
		}
	})
	running.Wait()
}

// waitQueued waits until a request is waiting for a slot in zone a.
func (s *system) waitQueued() {
	for range 2000 {
		for _, b := range s.allBoxes() {
			p := b.daemon.pool("flags")
			if p == nil {
				continue
			}
			if v, err := p.look(s.t.Context()); err == nil && v.load.Waiting > 0 {
				return
			}
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// recovers checks that all kinds of requests are served again.
func (s *system) recovers() {
	time.Sleep(2*faultTime + time.Second)
	c := s.client("flags")
	if a := s.toggle(c, "after", 3*time.Second); a.Outcome != caller.Ran {
		s.problem("after the fault a toggle is %s: %s", a.Outcome, a.Header.Get(caller.HeaderReason))
	}
	if a := s.read(c, 3*time.Second); a.Outcome != caller.Ran {
		s.problem("after the fault a read is %s", a.Outcome)
	}
	if a := s.export(c, 3*time.Second); a.Outcome != caller.Ran {
		s.problem("after the fault an export is %s", a.Outcome)
	}
}

// TestFaultMatrix runs every fault at every step of a request.
func TestFaultMatrix(t *testing.T) {
	var out strings.Builder
	passed, failed := 0, 0
	row := func(name string, faults ...requestFault) {
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
		if *onlyRow == "" || *onlyRow == f.name {
			row(f.name, f)
		}
	}
	if *onlyRow != "" {
		fmt.Print(out.String())
		return
	}
	if *everyPair {
		for i, f := range requestFaults() {
			for _, g := range requestFaults()[i+1:] {
				row(f.name+" + "+g.name, f, g)
			}
		}
		fmt.Print(out.String())
	} else {
		goldie.New(t).Assert(t, "faults", []byte(out.String()))
	}
	fmt.Printf("request fault matrix: %d passed, %d failed\n", passed, failed)
}

var onlyRow = flag.String("fault-row", "", "run only this row of the fault matrix, without the golden file")
