package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/shift"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	blocksPerRegion = 200
	reportLag       = 300 * time.Millisecond
	deadDialTime    = 250 * time.Millisecond
	callerTimeout   = 2 * time.Second
	warmUpFactor    = 4
	// minServiceTime is a lower bound of the service time, which limits the number of requests of
	// a run. It doesn't contradict the users' sizes: they specify slots and no service times.
	minServiceTime = 20 * time.Millisecond
	warmUpTime     = 5 * time.Second
)

// sim simulates one user's system in virtual time. The packages under pkg/ make the
// decisions; small fakes stand in for the rest.
type sim struct {
	layout   layout.Layout
	service  layout.Service
	baseline bool
	random   *rand.Rand
	start    time.Time
	schedule

	state          steering.State
	table          *lookup.Table
	pools          map[string]*pool // by zone
	poolOrder      []*pool
	planner        *shift.Planner
	budget         *retry.Budget
	caches         map[string]cachedChoices
	nextID         uint64
	cut            map[string]bool // zones that other zones can't reach
	reportsStopped bool            // targets' reports no longer arrive
	rate           func(region string, at time.Duration) float64
	figures        *figures
}

// cachedChoices is a caller's cached lookup result.
type cachedChoices struct {
	choices []lookup.Choice
	until   time.Time
}

// pool is the targets of one availability zone and its entry box.
type pool struct {
	zone, region string
	admission    *admission.Pool
	targets      map[string]*target
	targetOrder  []*target
	waiting      map[uint64]*attempt
	dead         bool
	nextTick     time.Time
}

// target is a simulated back end.
type target struct {
	name      string
	slots     int
	busy      int
	warmUntil time.Time
	slowdown  float64
	failing   bool
	dead      bool
	draining  bool
}

func newSim(l layout.Layout, service int, baseline bool, seed uint64) *sim {
	s := &sim{
		layout:   l,
		service:  l.Services[service],
		baseline: baseline,
		random:   rand.New(rand.NewPCG(seed, 11)),
		start:    time.Unix(1_000_000, 0),
		pools:    make(map[string]*pool),
		caches:   make(map[string]cachedChoices),
		cut:      make(map[string]bool),
		budget:   retry.NewBudget(10),
		figures:  newFigures(),
	}
	s.service.ServiceTime = max(s.service.ServiceTime, minServiceTime)
	s.now = s.start
	s.planner = shift.NewPlanner(s.now)
	edits := []*wire.Edit{}
	for _, e := range l.Edits() {
		edits = append(edits, &wire.Edit{Path: e.Path, Key: e.Key, Value: e.Value})
	}
	if baseline {
		edits = append(edits, &wire.Edit{Path: "/", Key: settings.Policy, Value: settings.RoundRobin})
	}
	s.apply(&wire.Command{Change: &wire.Change{Id: "tree", Edits: edits}})
	for _, z := range s.state.Tree().Zones() {
		s.addPool(z)
	}
	return s
}

func (s *sim) apply(c *wire.Command) {
	next, result := s.state.Apply(c)
	if result.Err != nil || (result.Verdict != nil && !result.Changed) {
		panic(fmt.Sprintf("the scenario's command was rejected: %v %v", result.Err, result.Verdict))
	}
	s.state = next
	s.table = next.Table()
}

func (s *sim) editSetting(path, key, value string) {
	s.apply(&wire.Command{Change: &wire.Change{
		Id: fmt.Sprint("edit-", s.state.Version()), BaseVersion: s.state.SettingsVersion(),
		Edits: []*wire.Edit{{Path: path, Key: key, Value: value}},
	}})
	for _, p := range s.poolOrder {
		s.configurePool(p)
	}
}

func (s *sim) addPool(z settings.Zone) {
	p := &pool{zone: z.Name, region: z.Region, admission: admission.NewPool(s.random.Uint64()), targets: make(map[string]*target), waiting: make(map[uint64]*attempt)}
	for _, g := range s.state.Tree().Service(z.Region, z.Name, s.service.Name).Targets {
		t := &target{name: g.Name, slots: s.service.Slots, slowdown: 1}
		p.targets[g.Name] = t
		p.targetOrder = append(p.targetOrder, t)
	}
	s.pools[z.Name] = p
	s.poolOrder = append(s.poolOrder, p)
	s.configurePool(p)
	s.handleEvent(p, admission.SetLease{Until: s.now.Add(time.Hour)})
	s.after(s.jitter(s.values(p).ReportInterval), func() { s.sendReports(p) })
}

func (s *sim) values(p *pool) settings.Values {
	return s.state.Tree().Service(p.region, p.zone, s.service.Name).Values
}

func (s *sim) configurePool(p *pool) {
	service := s.state.Tree().Service(p.region, p.zone, s.service.Name)
	e := admission.Configure{Config: admission.FromSettings(service)}
	for _, g := range service.Targets {
		e.Targets = append(e.Targets, admission.Target{Name: g.Name, Draining: g.Draining})
	}
	if s.baseline {
		e.Config.ForeignShare = 100
	}
	s.handleEvent(p, e)
}

func (s *sim) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(d))
}

// run runs the scenario for a length of virtual time.
func (s *sim) run(length time.Duration) {
	for _, region := range s.layout.Regions {
		s.scheduleArrivals(region)
	}
	s.after(shiftInterval, s.planShifts)
	s.after(time.Second, s.sampleHeadroom)
	s.runUntil(s.start.Add(length))
}

// scheduleArrivals schedules the requests of a region's callers as a Poisson process.
func (s *sim) scheduleArrivals(region string) {
	rate := s.rate(region, s.now.Sub(s.start))
	if rate <= 0 {
		s.after(50*time.Millisecond, func() { s.scheduleArrivals(region) })
		return
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		s.startRequest(region)
		s.scheduleArrivals(region)
	})
}

// regionCapacity returns how many requests a second a region's targets can serve.
func (s *sim) regionCapacity(region string) float64 {
	slots := 0
	for _, p := range s.poolOrder {
		if p.region == region {
			for _, t := range p.targetOrder {
				slots += t.slots
			}
		}
	}
	return float64(slots) / s.service.ServiceTime.Seconds()
}

// serviceTime returns a random service time: log-normal around the mean with a long tail,
// longer at a cold or slow target.
func (s *sim) serviceTime(t *target) time.Duration {
	const sigma = 0.5
	factor := math.Exp(s.random.NormFloat64()*sigma - sigma*sigma/2)
	if s.now.Before(t.warmUntil) {
		factor *= warmUpFactor
	}
	return time.Duration(float64(s.service.ServiceTime) * factor * t.slowdown)
}

// handleEvent passes an event to a pool's admission control and applies its output.
func (s *sim) handleEvent(p *pool, e admission.Event) {
	out := p.admission.Handle(s.now, e)
	for _, g := range out.Grants {
		a := p.waiting[g.ID]
		delete(p.waiting, g.ID)
		s.runAttempt(p, a, g)
	}
	for _, r := range out.Refusals {
		a := p.waiting[r.ID]
		delete(p.waiting, r.ID)
		a.end(retry.Refused, r.RetryAfter)
	}
	if out.NextTick.IsZero() || (!p.nextTick.IsZero() && p.nextTick.After(s.now) && !out.NextTick.Before(p.nextTick)) {
		return
	}
	p.nextTick = out.NextTick
	s.at(out.NextTick, func() { s.handleEvent(p, admission.Tick{}) })
}

// sendReports sends the targets' health reports to the pool. They arrive after reportLag.
func (s *sim) sendReports(p *pool) {
	interval := s.values(p).ReportInterval
	s.after(interval, func() { s.sendReports(p) })
	if s.reportsStopped || p.dead {
		return
	}
	for _, t := range p.targetOrder {
		m := admission.HealthReport{Target: t.name, Ready: !t.dead, Draining: t.draining, Busy: t.busy, Cold: s.now.Before(t.warmUntil)}
		s.after(reportLag, func() { s.handleEvent(p, m) })
	}
}
