package overload_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/overload"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	modelBoxes   = 8
	modelTargets = 20
	modelSlots   = 4
	modelQueue   = 12
	modelObjects = 400
	// boxTrip is the time between a box and a target, callerTrip between a caller and a box, one way.
	boxTrip    = time.Millisecond
	callerTrip = 5 * time.Millisecond
	// hitShare is the run time at a target that has served the object, relative to another target.
	hitShare = 0.3
)

// class is a route with its callers.
type class struct {
	name                       string
	objective, deadline, miss  time.Duration
	priority, workspaces       int
	perSecond                  func(at time.Duration) float64
	perSecondOfFirst           func(at time.Duration) float64
	sent, inTime, late, failed int
	// rejected counts the attempts that targets rejected.
	rejected int
	// ofOthers counts the requests of all workspaces but the first, othersInTime those in time.
	ofOthers, othersInTime int
}

// model is boxes, targets and callers in virtual time.
type model struct {
	t      *testing.T
	now    time.Duration
	events events
	// arrivals draws the requests, so that both rules get the same ones, random all else.
	arrivals, random *rand.Rand
	classes          []*class
	targets          []*modelTarget
	boxes            []*modelBox
	// admits selects the rule of this package instead of that of pkg/balance alone.
	admits bool
	// countFrom and countUntil bound the first attempts that are counted. Boxes accept no
	// connections from downFrom to downUntil.
	countFrom, countUntil, downFrom, downUntil time.Duration
}

type modelBox struct {
	balancer   *balance.Balancer
	controller *overload.Controller
}

type modelTarget struct {
	id      string
	running int
	waiting []func()
	known   map[string]bool
}

// call is one request of a caller over all its attempts.
type call struct {
	class     *class
	workspace int
	key       string
	began     time.Duration
	attempts  int
	counted   bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events struct {
	list []event
	seq  int
}

func (e events) Len() int { return len(e.list) }
func (e events) Less(i, j int) bool {
	return e.list[i].at < e.list[j].at || e.list[i].at == e.list[j].at && e.list[i].seq < e.list[j].seq
}
func (e events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)   { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func newModel(t *testing.T, admits bool, seed uint64, classes ...*class) *model {
	m := &model{t: t, admits: admits, arrivals: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)), classes: classes}
	for i := range modelTargets {
		m.targets = append(m.targets, &modelTarget{id: fmt.Sprint("t", i), known: make(map[string]bool)})
	}
	m.startBoxes()
	return m
}

func (m *model) startBoxes() {
	m.boxes = nil
	var boxes []balance.Box
	for i := range modelBoxes {
		boxes = append(boxes, balance.Box{Name: fmt.Sprint("box", i), Region: "r"})
	}
	var targets []balance.Target
	for _, t := range m.targets {
		targets = append(targets, balance.Target{ID: t.id, Service: "s", Zone: "z", Region: "r", Slots: modelSlots})
	}
	for i, b := range boxes {
		box := &modelBox{balancer: balance.New(balance.Config{Box: b.Name, Zone: "z", Region: "r"}), controller: overload.New(float64(i) / modelBoxes)}
		box.balancer.SetBoxes(boxes)
		box.balancer.SetTargets(m.time(), targets)
		m.boxes = append(m.boxes, box)
	}
}

func (m *model) time() time.Time { return time.Unix(1000, 0).Add(m.now) }

func (m *model) after(d time.Duration, run func()) {
	m.events.seq++
	heap.Push(&m.events, event{m.now + d, m.events.seq, run})
}

// run sends requests until the end and waits for their responses.
func (m *model) run(end time.Duration) {
	for _, c := range m.classes {
		m.sendNext(c, 1, c.perSecond, end)
		if c.perSecondOfFirst != nil {
			m.sendNext(c, 0, c.perSecondOfFirst, end)
		}
	}
	if m.downUntil > 0 {
		m.after(m.downUntil, m.startBoxes)
	}
	for len(m.events.list) > 0 {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
}

// sendNext sends the requests of the workspaces from the given one on, or of the first one alone.
func (m *model) sendNext(c *class, firstWorkspace int, perSecond func(time.Duration) float64, end time.Duration) {
	m.after(time.Duration(m.arrivals.ExpFloat64()/perSecond(m.now)*float64(time.Second)), func() {
		if m.now >= end {
			return
		}
		workspace := 0
		if firstWorkspace > 0 {
			workspace = firstWorkspace + m.arrivals.IntN(max(c.workspaces-1, 1))
		}
		one := &call{class: c, workspace: workspace, key: fmt.Sprint(c.name, m.arrivals.IntN(modelObjects)), began: m.now}
		one.counted = m.now >= m.countFrom && m.now < m.countUntil
		if one.counted {
			c.sent++
			if workspace > 0 {
				c.ofOthers++
			}
		}
		m.connect(one)
		m.sendNext(c, firstWorkspace, perSecond, end)
	})
}

// connect sends an attempt to a box. While no box accepts connections, the caller tries again.
func (m *model) connect(c *call) {
	left := c.began + c.class.deadline - m.now
	if left <= 0 {
		m.end(c, false)
		return
	}
	if m.now >= m.downFrom && m.now < m.downUntil {
		m.after(time.Duration(200+m.random.IntN(100))*time.Millisecond, func() { m.connect(c) })
		return
	}
	c.attempts++
	box := m.boxes[m.random.IntN(len(m.boxes))]
	m.after(callerTrip, func() { m.arrive(box, c, left) })
}

// arrive chooses a target at a box.
func (m *model) arrive(box *modelBox, c *call, stated time.Duration) {
	r := balance.Request{Service: "s", Route: c.class.name, AffinityKey: c.key, Objective: c.class.objective, Remaining: c.class.objective}
	var verdict overload.Verdict
	if m.admits {
		verdict = box.controller.Decide(m.time(), overload.Request{
			Route: c.class.name, Service: "s", Priority: c.class.priority, Workspace: fmt.Sprint(c.workspace), Stated: stated,
			Objective: c.class.objective, Load: box.balancer.ServiceLoad("s"),
		})
		r.Remaining, r.WaitShare = verdict.Remaining, verdict.WaitShare
	}
	choice, err := box.balancer.Choose(m.time(), r)
	if err != nil {
		var none *balance.NoTargetError
		if !errors.As(err, &none) {
			m.t.Fatal(err)
		}
		delay := none.RetryAfter
		if verdict.Saturated {
			box.controller.RecordRefusal(m.time(), "s")
			delay = box.controller.RetryAfter(m.time(), "s", none.RetryAfter, verdict.Remaining, stated)
		}
		m.refuse(c, delay)
		return
	}
	m.after(boxTrip, func() { m.reach(box, c, m.targets[m.indexOf(choice.Target.ID)]) })
}

func (m *model) indexOf(id string) (n int) {
	if _, err := fmt.Sscanf(id, "t%d", &n); err != nil {
		m.t.Fatal(err)
	}
	return n
}

// reach runs, queues or rejects a request at a target.
func (m *model) reach(box *modelBox, c *call, t *modelTarget) {
	arrived := m.now
	run := func() {
		t.running++
		took := c.class.miss
		if t.known[c.key] {
			took = time.Duration(hitShare * float64(took))
		}
		t.known[c.key] = true
		m.after(took, func() {
			load := targetstatus.Load{Running: t.running, Waiting: len(t.waiting), Slots: modelSlots}
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			m.after(boxTrip, func() {
				box.balancer.Done(m.time(), balance.Report{
					TargetID: t.id, Route: c.class.name, Outcome: balance.Answered, Took: m.now - arrived + boxTrip, Load: load, HasLoad: true,
				})
				m.after(callerTrip, func() { m.end(c, true) })
			})
		})
	}
	switch {
	case t.running < modelSlots:
		run()
	case len(t.waiting) < modelQueue:
		t.waiting = append(t.waiting, run)
	default:
		c.class.rejected++
		load := targetstatus.Load{Running: t.running, Waiting: len(t.waiting), Slots: modelSlots}
		m.after(boxTrip, func() {
			box.balancer.Done(m.time(), balance.Report{TargetID: t.id, Route: c.class.name, Outcome: balance.TurnedAway, Load: load, HasLoad: true})
			m.refuse(c, box.balancer.RetryAfter(m.time(), t.id, c.class.name))
		})
	}
}

// refuse tells a caller when to return. It returns once, after at most a third of the time that it
// has left.
func (m *model) refuse(c *call, delay time.Duration) {
	m.after(callerTrip, func() {
		if c.attempts >= 2 {
			m.end(c, false)
			return
		}
		left := c.began + c.class.deadline - m.now
		m.after(min(delay, left/3), func() { m.connect(c) })
	})
}

func (m *model) end(c *call, responded bool) {
	if !c.counted {
		return
	}
	took := m.now - c.began
	switch {
	case responded && took <= c.class.objective:
		c.class.inTime++
		if c.workspace > 0 {
			c.class.othersInTime++
		}
	case responded && took <= c.class.deadline:
		c.class.late++
	default:
		c.class.failed++
	}
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

func (c *class) String() string {
	return fmt.Sprintf("%s: %d sent, in time %.3f, late %.3f, failed %.3f, %d rejected; other workspaces in time %.3f", c.name, c.sent, share(c.inTime, c.sent), share(c.late, c.sent), share(c.failed, c.sent), c.rejected, share(c.othersInTime, c.ofOthers))
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func step(usual, raised float64, from, until time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return raised
		}
		return usual
	}
}

func alerts(perSecond func(time.Duration) float64) *class {
	return &class{name: "alerts", objective: 400 * time.Millisecond, deadline: 3 * time.Second, miss: 560 * time.Millisecond, workspaces: 20, perSecond: perSecond}
}

func marketing(perSecond func(time.Duration) float64) *class {
	return &class{name: "marketing", objective: 500 * time.Millisecond, deadline: 3 * time.Second, miss: 640 * time.Millisecond, priority: 1, workspaces: 20, perSecond: perSecond}
}

// compare runs the same load by the rule of pkg/balance alone and with this package, with several
// seeds, and returns the sums of the classes' counts.
func compare(t *testing.T, run func(admits bool, seed uint64) []*class) (before, after []*class) {
	t.Helper()
	for seed := range uint64(4) {
		before = sum(before, run(false, seed))
		after = sum(after, run(true, seed))
	}
	for i := range before {
		t.Logf("before %s", before[i])
		t.Logf("after  %s", after[i])
	}
	return before, after
}

func sum(total, more []*class) []*class {
	if total == nil {
		return more
	}
	for i, c := range more {
		total[i].sent += c.sent
		total[i].inTime += c.inTime
		total[i].late += c.late
		total[i].rejected += c.rejected
		total[i].failed += c.failed
		total[i].ofOthers += c.ofOthers
		total[i].othersInTime += c.othersInTime
	}
	return total
}

// The load of these tests: a burst of one class of 2.5 times its usual rate for 5 s. Guards against
// requests of the highest priority that are late because others wait for the same slots, and against
// less work in time overall.
func TestBurstOfOneClass(t *testing.T) {
	before, after := compare(t, func(admits bool, seed uint64) []*class {
		classes := []*class{alerts(constant(200)), marketing(step(150, 375, 10*time.Second, 15*time.Second))}
		m := newModel(t, admits, seed, classes...)
		m.countFrom, m.countUntil = 10*time.Second, 17*time.Second
		m.run(25 * time.Second)
		return classes
	})
	if got, was := share(after[0].inTime, after[0].sent), share(before[0].inTime, before[0].sent); got < was+0.05 {
		t.Errorf("%.3f of the alerts were in time, %.3f before", got, was)
	}
}

// Guards against a herd of callers, after all boxes were down for 2 s, whose old requests run before
// new ones that can be in time. The gain is small, as boxes that have just started do not know the
// load until the first responses arrive.
func TestHerdAfterRestartOfAllBoxes(t *testing.T) {
	before, after := compare(t, func(admits bool, seed uint64) []*class {
		classes := []*class{alerts(constant(170)), marketing(constant(170))}
		m := newModel(t, admits, seed, classes...)
		m.downFrom, m.downUntil = 10*time.Second, 12*time.Second
		m.countFrom, m.countUntil = 12*time.Second, 18*time.Second
		m.run(25 * time.Second)
		return classes
	})
	sent, inTime, was := 0, 0, 0
	for i := range after {
		sent += after[i].sent
		inTime += after[i].inTime
		was += before[i].inTime
	}
	if share(inTime, sent) < share(was, sent)+0.02 {
		t.Errorf("%.3f of the requests after the restart were in time, %.3f before", share(inTime, sent), share(was, sent))
	}
}

// Guards against one workspace at seven times its usual rate that takes the slots of the others.
func TestWorkspaceAtSevenTimesItsRate(t *testing.T) {
	before, after := compare(t, func(admits bool, seed uint64) []*class {
		one := alerts(constant(340))
		one.perSecondOfFirst = step(34, 238, 10*time.Second, 18*time.Second)
		m := newModel(t, admits, seed, one)
		m.countFrom, m.countUntil = 10*time.Second, 18*time.Second
		m.run(25 * time.Second)
		return []*class{one}
	})
	if got, was := share(after[0].othersInTime, after[0].ofOthers), share(before[0].othersInTime, before[0].ofOthers); got < was+0.05 {
		t.Errorf("%.3f of the other workspaces' requests were in time, %.3f before", got, was)
	}
}
