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
	deadDial        = 250 * time.Millisecond
	callerTimeout   = 2 * time.Second
	coldFactor      = 4
	// minServiceTime keeps the number of requests of a run small; the users
	// give slots, not service times.
	minServiceTime = 20 * time.Millisecond
	warmUp         = 5 * time.Second
)

// sim runs one user's system in virtual time: the decisions are those of the
// packages under pkg/, what surrounds them are small fakes.
type sim struct {
	layout   layout.Layout
	service  layout.Service
	baseline bool
	random   *rand.Rand
	start    time.Time
	schedule

	state   steering.State
	table   *lookup.Table
	pools   map[string]*pool // by zone
	order   []*pool
	planner *shift.Planner
	budget  *retry.Budget
	caches  map[string]cached
	nextID  uint64
	cut     map[string]bool // zones that no other zone reaches
	mute    bool            // reports have stopped
	rate    func(region string, at time.Duration) float64
	figures *figures
}

// cached is a caller's copy of a look-up's answer.
type cached struct {
	choices []lookup.Choice
	until   time.Time
}

// pool is one availability zone's pool with its entry box.
type pool struct {
	zone, region string
	machine      *admission.Pool
	targets      map[string]*target
	order        []*target
	waiting      map[uint64]*attempt
	dead         bool
	wakeAt       time.Time
}

// target is a fake back end.
type target struct {
	name     string
	slots    int
	busy     int
	coldTo   time.Time
	slow     float64
	failing  bool
	dead     bool
	draining bool
}

func newSim(l layout.Layout, service int, baseline bool, seed uint64) *sim {
	s := &sim{
		layout:   l,
		service:  l.Services[service],
		baseline: baseline,
		random:   rand.New(rand.NewPCG(seed, 11)),
		start:    time.Unix(1_000_000, 0),
		pools:    make(map[string]*pool),
		caches:   make(map[string]cached),
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
		panic(fmt.Sprintf("the scenario's command is refused: %v %v", result.Err, result.Verdict))
	}
	s.state = next
	s.table = next.Table()
}

func (s *sim) edit(path, key, value string) {
	s.apply(&wire.Command{Change: &wire.Change{
		Id: fmt.Sprint("edit-", s.state.Version()), BaseVersion: s.state.SettingsVersion(),
		Edits: []*wire.Edit{{Path: path, Key: key, Value: value}},
	}})
	for _, p := range s.order {
		s.configure(p)
	}
}

func (s *sim) addPool(z settings.Zone) {
	p := &pool{zone: z.Name, region: z.Region, machine: admission.NewPool(s.random.Uint64()), targets: make(map[string]*target), waiting: make(map[uint64]*attempt)}
	for _, g := range s.state.Tree().Service(z.Region, z.Name, s.service.Name).Targets {
		t := &target{name: g.Name, slots: s.service.Slots, slow: 1}
		p.targets[g.Name] = t
		p.order = append(p.order, t)
	}
	s.pools[z.Name] = p
	s.order = append(s.order, p)
	s.configure(p)
	s.handle(p, admission.SetLease{Until: s.now.Add(time.Hour)})
	s.after(s.jitter(s.values(p).ReportInterval), func() { s.measure(p) })
}

func (s *sim) values(p *pool) settings.Values {
	return s.state.Tree().Service(p.region, p.zone, s.service.Name).Values
}

func (s *sim) configure(p *pool) {
	service := s.state.Tree().Service(p.region, p.zone, s.service.Name)
	e := admission.Configure{Config: admission.FromSettings(service)}
	for _, g := range service.Targets {
		e.Targets = append(e.Targets, admission.Target{Name: g.Name, Draining: g.Draining})
	}
	if s.baseline {
		e.Config.ForeignShare = 100
	}
	s.handle(p, e)
}

func (s *sim) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(d))
}

// run lets the scenario go on for a length of time.
func (s *sim) run(length time.Duration) {
	for _, region := range s.layout.Regions {
		s.arrivals(region)
	}
	s.after(shiftInterval, s.planShifts)
	s.after(time.Second, s.second)
	s.runUntil(s.start.Add(length))
}

// arrivals plans the callers' requests of one region as a Poisson process.
func (s *sim) arrivals(region string) {
	rate := s.rate(region, s.now.Sub(s.start))
	if rate <= 0 {
		s.after(50*time.Millisecond, func() { s.arrivals(region) })
		return
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		s.arrive(region)
		s.arrivals(region)
	})
}

// regionCapacity is the requests a second that a region's targets can serve.
func (s *sim) regionCapacity(region string) float64 {
	slots := 0
	for _, p := range s.order {
		if p.region == region {
			for _, t := range p.order {
				slots += t.slots
			}
		}
	}
	return float64(slots) / s.service.ServiceTime.Seconds()
}

// serviceTime draws the time of one request: log-normal around the mean, with
// a long tail, longer at a cold or slow target.
func (s *sim) serviceTime(t *target) time.Duration {
	const sigma = 0.5
	factor := math.Exp(s.random.NormFloat64()*sigma - sigma*sigma/2)
	if s.now.Before(t.coldTo) {
		factor *= coldFactor
	}
	return time.Duration(float64(s.service.ServiceTime) * factor * t.slow)
}

// handle gives an event to a pool's admission and carries out what it says.
func (s *sim) handle(p *pool, e admission.Event) {
	out := p.machine.Handle(s.now, e)
	for _, g := range out.Grants {
		a := p.waiting[g.ID]
		delete(p.waiting, g.ID)
		s.granted(p, a, g)
	}
	for _, r := range out.Refusals {
		a := p.waiting[r.ID]
		delete(p.waiting, r.ID)
		a.end(retry.Refused, r.RetryAfter)
	}
	if out.NextTick.IsZero() || (!p.wakeAt.IsZero() && p.wakeAt.After(s.now) && !out.NextTick.Before(p.wakeAt)) {
		return
	}
	p.wakeAt = out.NextTick
	s.at(out.NextTick, func() { s.handle(p, admission.Tick{}) })
}

// measure reads the targets' reports; what they say arrives late.
func (s *sim) measure(p *pool) {
	interval := s.values(p).ReportInterval
	s.after(interval, func() { s.measure(p) })
	if s.mute || p.dead {
		return
	}
	for _, t := range p.order {
		m := admission.HealthReport{Target: t.name, Ready: !t.dead, Draining: t.draining, Busy: t.busy, Cold: s.now.Before(t.coldTo)}
		s.after(reportLag, func() { s.handle(p, m) })
	}
}
