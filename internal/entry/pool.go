package entry

import (
	"context"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// poolMessage is one input of a pool's loop.
type poolMessage interface{ pool() }

type poolEvent struct{ event admission.Event }

type poolArrival struct {
	arrive admission.Arrive
	reply  chan<- admitted
}

type poolSettings struct {
	service settings.Service
	zone    settings.Zone
	leaving map[string]bool
}

type poolLeaseAnswer struct{ answer *wire.LeaseAnswer }

type poolLook struct{ reply chan<- poolView }

// poolChecks asks which targets may be checked now, by name with their addresses.
type poolChecks struct{ reply chan<- map[string]string }

type poolRelease struct{ done chan<- struct{} }

func (poolEvent) pool()       {}
func (poolArrival) pool()     {}
func (poolSettings) pool()    {}
func (poolLeaseAnswer) pool() {}
func (poolLook) pool()        {}
func (poolChecks) pool()      {}
func (poolRelease) pool()     {}

// admitted is the answer to an arrival: a grant or a refusal.
type admitted struct {
	target  string
	address string
	refused *admission.Refusal
}

type poolView struct {
	load     admission.Load
	held     bool
	draining int
	// targets maps names to addresses.
	targets map[string]string
	values  settings.Values
}

// pool hosts the admission and the lease of one service in the box's zone. Its
// loop owns the machines.
type pool struct {
	service   string
	box       string
	admission *admission.Pool
	lease     *lease.Holder
	holderID  string
	seed      uint64
	clock     *boottime.Clock

	inbox    chan poolMessage
	waiting  map[uint64]chan<- admitted
	targets  map[string]string
	draining int
	values   settings.Values
	held     bool
	resting  bool
	// other is the box that the voters named as the holder.
	other atomic.Pointer[string]
	// limited tells that a target names a limit: while none does, answers without one say
	// nothing new.
	limited atomic.Bool
	// backOffs are what a request that has its slot looks at once more when its connection
	// is there.
	backOffs backOffs

	ask     func([]lease.Request)
	changed func(held bool)
	refused func(admission.Reason)
	// backedOff is called when a target asked for a back-off, and unread with the headers of
	// an answer that could not be read.
	backedOff func(target string, wait time.Duration)
	unread    func(target string, headers []string)
}

const poolInbox = 4096

func newPool(service, box, incarnation string, seed uint64) *pool {
	return &pool{
		service:   service,
		box:       box,
		holderID:  incarnation,
		seed:      seed,
		admission: admission.NewPool(seed),
		inbox:     make(chan poolMessage, poolInbox),
		waiting:   make(map[uint64]chan<- admitted),
	}
}

// run is the loop. It returns when the context ends.
func (p *pool) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wake time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			wake = p.handle(poolEvent{admission.Tick{}})
		case m := <-p.inbox:
			wake = p.handle(m)
		}
		timer.Reset(max(p.clock.Until(wake), 0))
	}
}

// handle takes one message and returns when the loop must wake.
func (p *pool) handle(m poolMessage) time.Time {
	now := p.clock.Now()
	switch m := m.(type) {
	case poolEvent:
		if c, ok := m.event.(admission.Cancel); ok {
			delete(p.waiting, c.ID)
		}
		out := p.admission.Handle(now, m.event)
		if _, ok := m.event.(admission.TargetUpdate); ok {
			p.limited.Store(p.admission.HasLimitedTarget())
		}
		return p.carryOut(now, out)
	case poolArrival:
		p.waiting[m.arrive.ID] = m.reply
		return p.carryOut(now, p.admission.Handle(now, m.arrive))
	case poolSettings:
		return p.carryOut(now, p.configure(now, m))
	case poolLeaseAnswer:
		p.lease.HandleAnswer(now, m.answer)
		return p.carryOut(now, p.admission.Handle(now, p.hold()))
	case poolRelease:
		p.release(m.done)
	case poolChecks:
		m.reply <- p.checks(now)
	case poolLook:
		m.reply <- poolView{load: p.admission.Load(now), held: p.held, draining: p.draining, targets: p.targets, values: p.values}
	}
	return p.carryOut(now, p.admission.Handle(now, admission.Tick{}))
}

func (p *pool) checks(now time.Time) map[string]string {
	out := make(map[string]string)
	for _, name := range p.admission.DueHealthChecks(now) {
		if address, ok := p.targets[name]; ok {
			out[name] = address
		}
	}
	return out
}

func (p *pool) hold() admission.SetLease {
	if p.lease == nil || p.resting {
		return admission.SetLease{}
	}
	return admission.SetLease{Until: p.lease.Until()}
}

// release stops granting and, when nothing runs any more, gives the lease up.
func (p *pool) release(done chan<- struct{}) {
	p.resting = true
	now := p.clock.Now()
	p.carryOut(now, p.admission.Handle(now, admission.SetLease{}))
	if p.admission.Load(now).Busy > 0 {
		return
	}
	if p.lease != nil {
		p.ask(p.lease.Release())
	}
	close(done)
}

func (p *pool) carryOut(now time.Time, out admission.Output) time.Time {
	for _, g := range out.Grants {
		p.reply(g.ID, admitted{target: g.Target, address: p.targets[g.Target]})
	}
	for _, r := range out.Refusals {
		p.refused(r.Reason)
		p.reply(r.ID, admitted{refused: &r})
	}
	wake := now.Add(time.Second)
	if p.lease != nil && !p.resting {
		if requests := p.lease.Tick(now); len(requests) > 0 {
			p.ask(requests)
		}
		wake = p.lease.NextTick()
		name, _ := p.lease.KnownHolder(now)
		p.other.Store(&name)
	}
	if held := p.lease != nil && !p.resting && p.lease.Held(now); held != p.held {
		p.held = held
		p.changed(held)
	}
	if !out.NextTick.IsZero() && out.NextTick.Before(wake) {
		wake = out.NextTick
	}
	return wake
}

func (p *pool) reply(id uint64, a admitted) {
	reply, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	reply <- a
}

// configure puts settings in force and follows changes of the lease's voters.
func (p *pool) configure(now time.Time, m poolSettings) admission.Output {
	s := m.service
	p.values = s.Values
	p.targets = make(map[string]string, len(s.Targets))
	p.draining = 0
	e := admission.Configure{Config: admission.FromSettings(s)}
	for _, g := range s.Targets {
		p.targets[g.Name] = g.Address
		draining := g.Draining || m.leaving[g.Address]
		if draining {
			p.draining++
		}
		e.Targets = append(e.Targets, admission.Target{Name: g.Name, Draining: draining})
	}
	p.configureLease(now, s, m.zone)
	out := p.admission.Handle(now, e)
	return out
}

func (p *pool) configureLease(now time.Time, s settings.Service, z settings.Zone) {
	rank := 0
	for i, b := range lookup.Candidates(s.Name, z) {
		if b.Name == p.box {
			rank = i
		}
	}
	if p.lease != nil {
		p.lease.Reconfigure(z.Voters(), rank, s.Values.Lease)
		return
	}
	p.lease = lease.NewHolder(now, lease.Config{
		Pool:        poolName(s.Name, z.Name),
		Name:        p.box,
		Incarnation: p.holderID,
		Voters:      z.Voters(),
		Rank:        rank,
		Duration:    s.Values.Lease,
		Seed:        p.seed,
	})
}

func poolName(service, zone string) string { return service + "@" + zone }

// admit waits for a slot or a refusal.
func (p *pool) admit(ctx context.Context, a admission.Arrive) (admitted, error) {
	reply := make(chan admitted, 1)
	select {
	case p.inbox <- poolArrival{a, reply}:
	case <-ctx.Done():
		return admitted{}, ctx.Err()
	}
	select {
	case got := <-reply:
		return got, nil
	case <-ctx.Done():
	}
	p.abandon(a.ID)
	return admitted{}, ctx.Err()
}

// abandon takes an arrival back that nobody waits for, or ends the grant that it has or that
// is on its way.
func (p *pool) abandon(id uint64) {
	p.inbox <- poolEvent{admission.Cancel{ID: id}}
	p.inbox <- poolEvent{admission.Finish{ID: id, Result: admission.Canceled}}
}

func (p *pool) finish(f admission.Finish) { p.inbox <- poolEvent{f} }

// dueChecks returns the targets to be checked now.
func (p *pool) dueChecks(ctx context.Context) (map[string]string, error) {
	reply := make(chan map[string]string, 1)
	select {
	case p.inbox <- poolChecks{reply}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pool) look(ctx context.Context) (poolView, error) {
	reply := make(chan poolView, 1)
	select {
	case p.inbox <- poolLook{reply}:
	case <-ctx.Done():
		return poolView{}, ctx.Err()
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		return poolView{}, ctx.Err()
	}
}

// admissionIsBaseline reports whether the pool runs the baseline policy, which
// has no retries.
func admissionIsBaseline(v poolView) bool { return v.values.Policy == settings.RoundRobin }
