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

// poolMessage is an input of a pool's event loop.
type poolMessage interface{ pool() }

type poolEvent struct{ event admission.Event }

type poolArrival struct {
	arrive admission.Arrive
	reply  chan<- admitResult
}

// poolBreakOff is a request that was broken off. closeConns closes the connections on which its
// target may still be at work.
type poolBreakOff struct {
	event      admission.BreakOff
	slot       *slot
	closeConns context.CancelFunc
}

type poolSettings struct {
	service settings.Service
	zone    settings.Zone
	leaving map[string]bool
}

type poolLeaseAnswer struct{ answer *wire.LeaseAnswer }

type poolViewRequest struct{ reply chan<- poolView }

// poolChecksRequest asks for the targets whose health checks are due, as names with addresses.
type poolChecksRequest struct{ reply chan<- map[string]string }

type poolRelease struct{ done chan<- struct{} }

func (poolEvent) pool()         {}
func (poolArrival) pool()       {}
func (poolBreakOff) pool()      {}
func (poolSettings) pool()      {}
func (poolLeaseAnswer) pool()   {}
func (poolViewRequest) pool()   {}
func (poolChecksRequest) pool() {}
func (poolRelease) pool()       {}

// admitResult is the reply to an arrival: a granted target or a refusal.
type admitResult struct {
	target  string
	address string
	refusal *admission.Refusal
}

type poolView struct {
	load     admission.Load
	held     bool
	draining int
	// targets maps the names of targets to their addresses.
	targets map[string]string
	values  settings.Values
}

// pool hosts the admission and the lease of one service in the box's zone. Its event loop owns
// both state machines.
type pool struct {
	service   string
	box       string
	admission *admission.Pool
	lease     *lease.Holder
	holderID  string
	seed      uint64
	clock     *boottime.Clock

	inbox   chan poolMessage
	waiting map[uint64]chan<- admitResult
	// brokenOff holds the requests that were broken off and have a slot.
	brokenOff map[uint64]poolBreakOff
	// lifetime ends with the pool.
	lifetime  context.Context
	end       context.CancelFunc
	targets   map[string]string
	draining  int
	values    settings.Values
	held      bool
	releasing bool
	// knownHolder is the box that the voters last named as the holder of the lease.
	knownHolder atomic.Pointer[string]
	// hasLimitedTarget is set if any target reports a rate limit. While none does, responses
	// without a limit need no update.
	hasLimitedTarget atomic.Bool
	// backOffs is checked again for a request that has a slot once its connection is established.
	backOffs backOffs

	sendLeaseRequests func([]lease.Request)
	onLeaseChange     func(held bool)
	onRefusal         func(admission.Reason)
	// onBackOff is called when a target asks for a back-off, onUnparsed with the response headers
	// that could not be parsed.
	onBackOff  func(target string, wait time.Duration)
	onUnparsed func(target string, headers []string)
	// onReclaim is called when a target has not stopped a request that was broken off in time.
	onReclaim func(s *slot)
	// onTargetStopped is called when a target has stopped a request that was broken off.
	onTargetStopped func(s *slot, after time.Duration)
}

const poolInboxSize = 4096

func newPool(service, box, incarnation string, seed uint64) *pool {
	lifetime, end := context.WithCancel(context.Background())
	return &pool{
		lifetime:  lifetime,
		end:       end,
		brokenOff: make(map[uint64]poolBreakOff),
		service:   service,
		box:       box,
		holderID:  incarnation,
		seed:      seed,
		admission: admission.NewPool(seed),
		inbox:     make(chan poolMessage, poolInboxSize),
		waiting:   make(map[uint64]chan<- admitResult),
	}
}

// run is the event loop. It returns when the context ends.
func (p *pool) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextTick time.Time
	for {
		select {
		case <-ctx.Done():
			p.end()
			return ctx.Err()
		case <-timer.C:
			nextTick = p.handle(poolEvent{admission.Tick{}})
		case m := <-p.inbox:
			nextTick = p.handle(m)
		}
		timer.Reset(max(p.clock.Until(nextTick), 0))
	}
}

// handle processes one message and returns when the next tick is due.
func (p *pool) handle(m poolMessage) time.Time {
	now := p.clock.Now()
	switch m := m.(type) {
	case poolEvent:
		if c, ok := m.event.(admission.Cancel); ok {
			delete(p.waiting, c.ID)
		}
		if f, ok := m.event.(admission.Finish); ok {
			delete(p.brokenOff, f.ID)
		}
		out := p.admission.Handle(now, m.event)
		if _, ok := m.event.(admission.TargetUpdate); ok {
			p.hasLimitedTarget.Store(p.admission.HasLimitedTarget())
		}
		return p.execute(now, out)
	case poolArrival:
		p.waiting[m.arrive.ID] = m.reply
		return p.execute(now, p.admission.Handle(now, m.arrive))
	case poolBreakOff:
		p.brokenOff[m.event.ID] = m
		return p.execute(now, p.admission.Handle(now, m.event))
	case poolSettings:
		return p.execute(now, p.configure(now, m))
	case poolLeaseAnswer:
		p.lease.HandleAnswer(now, m.answer)
		return p.execute(now, p.admission.Handle(now, p.leaseState()))
	case poolRelease:
		p.release(m.done)
	case poolChecksRequest:
		m.reply <- p.dueTargets(now)
	case poolViewRequest:
		m.reply <- poolView{load: p.admission.Load(now), held: p.held, draining: p.draining, targets: p.targets, values: p.values}
	}
	return p.execute(now, p.admission.Handle(now, admission.Tick{}))
}

func (p *pool) dueTargets(now time.Time) map[string]string {
	out := make(map[string]string)
	for _, name := range p.admission.DueHealthChecks(now) {
		if address, ok := p.targets[name]; ok {
			out[name] = address
		}
	}
	return out
}

func (p *pool) leaseState() admission.SetLease {
	if p.lease == nil || p.releasing {
		return admission.SetLease{}
	}
	return admission.SetLease{Until: p.lease.Until()}
}

// release stops granting slots and, once no request is running, releases the lease.
func (p *pool) release(done chan<- struct{}) {
	p.releasing = true
	now := p.clock.Now()
	p.execute(now, p.admission.Handle(now, admission.SetLease{}))
	if p.admission.Load(now).Busy > 0 {
		return
	}
	if p.lease != nil {
		p.sendLeaseRequests(p.lease.Release())
	}
	close(done)
}

// execute carries out the output of the admission state machine and returns when the next tick
// is due.
func (p *pool) execute(now time.Time, out admission.Output) time.Time {
	for _, g := range out.Grants {
		p.reply(g.ID, admitResult{target: g.Target, address: p.targets[g.Target]})
	}
	for _, r := range out.Refusals {
		p.onRefusal(r.Reason)
		p.reply(r.ID, admitResult{refusal: &r})
	}
	for _, id := range out.Reclaimed {
		p.brokenOff[id].closeConns()
		p.onReclaim(p.brokenOff[id].slot)
		delete(p.brokenOff, id)
	}
	nextTick := now.Add(time.Second)
	if p.lease != nil && !p.releasing {
		if requests := p.lease.Tick(now); len(requests) > 0 {
			p.sendLeaseRequests(requests)
		}
		nextTick = p.lease.NextTick()
		name, _ := p.lease.KnownHolder(now)
		p.knownHolder.Store(&name)
	}
	if held := p.lease != nil && !p.releasing && p.lease.Held(now); held != p.held {
		p.held = held
		p.onLeaseChange(held)
	}
	if !out.NextTick.IsZero() && out.NextTick.Before(nextTick) {
		nextTick = out.NextTick
	}
	return nextTick
}

func (p *pool) reply(id uint64, a admitResult) {
	reply, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	reply <- a
}

// configure applies new settings, including changes of the lease's voters.
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
func (p *pool) admit(ctx context.Context, a admission.Arrive) (admitResult, error) {
	reply := make(chan admitResult, 1)
	select {
	case p.inbox <- poolArrival{a, reply}:
	case <-ctx.Done():
		return admitResult{}, ctx.Err()
	}
	select {
	case got := <-reply:
		return got, nil
	case <-ctx.Done():
	}
	p.abandon(a.ID)
	return admitResult{}, ctx.Err()
}

// abandon cancels an arrival that nobody waits for, or finishes its grant if it has one or one
// is already queued.
func (p *pool) abandon(id uint64) {
	p.inbox <- poolEvent{admission.Cancel{ID: id}}
	p.inbox <- poolEvent{admission.Finish{ID: id, Result: admission.Canceled}}
}

func (p *pool) finish(f admission.Finish) { p.inbox <- poolEvent{f} }

// breakOff reports a request that was broken off. Its slot is freed when the target has closed the
// connections.
func (p *pool) breakOff(s *slot, r admission.Result, conns []*targetConn) {
	ctx, cancel := context.WithCancel(p.lifetime)
	p.inbox <- poolBreakOff{admission.BreakOff{ID: s.id, Result: r}, s, cancel}
	go p.finishBrokenOff(ctx, cancel, s, conns)
}

// finishBrokenOff waits until the target has closed the connections of a request that was broken
// off, and frees its slot. The event loop gets the end.
func (p *pool) finishBrokenOff(ctx context.Context, cancel context.CancelFunc, s *slot, conns []*targetConn) {
	defer cancel()
	start := p.clock.Now()
	for _, c := range conns {
		c.waitForEnd(ctx)
	}
	if ctx.Err() != nil {
		return // the slot was reclaimed, or the pool has ended
	}
	p.onTargetStopped(s, p.clock.Since(start))
	select {
	case p.inbox <- poolEvent{admission.Finish{ID: s.id}}:
	case <-p.lifetime.Done():
	}
}

// dueChecks returns the targets whose health checks are due.
func (p *pool) dueChecks(ctx context.Context) (map[string]string, error) {
	reply := make(chan map[string]string, 1)
	select {
	case p.inbox <- poolChecksRequest{reply}:
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

func (p *pool) view(ctx context.Context) (poolView, error) {
	reply := make(chan poolView, 1)
	select {
	case p.inbox <- poolViewRequest{reply}:
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

// isBaseline reports whether the pool uses the baseline policy, which has no retries.
func isBaseline(v poolView) bool { return v.values.Policy == settings.RoundRobin }
