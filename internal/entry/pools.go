package entry

import (
	"context"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func (d *Daemon) handleLeaseRequest(m *wire.LeaseRequest) *wire.LeaseAnswer {
	d.votes.Lock()
	defer d.votes.Unlock()
	return d.votes.voter.Handle(d.clock.Now(), m)
}

// holder returns the box that holds the lease on a pool of this zone. It uses this box's own
// vote, or the holder named by the voters if this box does not vote.
func (d *Daemon) holder(service string) (settings.Box, bool) {
	active := d.current.Load()
	d.votes.Lock()
	name, ok := d.votes.voter.Holder(d.clock.Now(), poolName(service, d.config.Zone))
	d.votes.Unlock()
	if !ok && !slices.Contains(active.zone.Voters(), d.config.Name) {
		name, ok = d.holderFromVoters(service)
	}
	if !ok {
		return settings.Box{}, false
	}
	b, ok := active.boxes[name]
	return b, ok
}

// holderFromVoters returns the holder that the voters last named. It is only used where this
// box does not vote; otherwise its own vote is newer.
func (d *Daemon) holderFromVoters(service string) (name string, ok bool) {
	p := d.pool(service)
	if p == nil {
		return "", false
	}
	other := p.knownHolder.Load()
	if other == nil || *other == "" || !d.peers.usable(*other) {
		return "", false
	}
	return *other, true
}

// sendLeaseRequests sends the lease requests of a pool concurrently, so that an unreachable
// voter does not delay the others.
func (d *Daemon) sendLeaseRequests(p *pool, requests []lease.Request) {
	active := d.current.Load()
	for _, q := range requests {
		if q.To == d.config.Name {
			a := d.handleLeaseRequest(q.Message)
			go func() { p.inbox <- poolLeaseAnswer{a} }()
			continue
		}
		b, ok := active.boxes[q.To]
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), leaseRequestTimeout)
			defer cancel()
			a, err := d.node.Call(ctx, b.PeerAddress, &wire.CallRequest{Lease: q.Message})
			if err == nil && a.Lease != nil { // a missing answer counts as no vote
				p.inbox <- poolLeaseAnswer{a.Lease}
			}
		}()
	}
}

const leaseRequestTimeout = 500 * time.Millisecond

// configurePools starts a pool for each service of this zone, stops the pools of removed
// services and passes the active settings to all remaining ones.
func (d *Daemon) configurePools() {
	d.configuring.Lock() // requests don't wait for the pools to take their settings
	defer d.configuring.Unlock()
	active := d.current.Load()
	leaving := d.leavingAddresses()
	for service, p := range d.startAndStopPools(active) {
		s := active.tree.Service(active.zone.Region, active.zone.Name, service)
		p.inbox <- poolSettings{service: s, zone: active.zone, leaving: leaving}
	}
}

// startAndStopPools makes the pools those of the zone's services and returns them.
func (d *Daemon) startAndStopPools(active *activeState) map[string]*pool {
	d.pools.Lock()
	defer d.pools.Unlock()
	out := make(map[string]*pool)
	for service, running := range d.pools.byService {
		if !slices.Contains(active.zone.Services, service) {
			_ = d.pools.supervisor.Remove(running.token) // after an error the pool ends by itself
			delete(d.pools.byService, service)
		}
	}
	for _, service := range active.zone.Services {
		running := d.pools.byService[service]
		if running == nil {
			running = d.startPool(service)
			d.pools.byService[service] = running
		}
		out[service] = running.pool
	}
	return out
}

// targetLogLinesPerSecond limits the log lines about the responses of one pool's targets.
const targetLogLinesPerSecond = 20

func (d *Daemon) startPool(service string) *runningPool {
	p := newPool(service, d.config.Name, d.process.Incarnation, d.seed)
	p.clock = d.clock
	p.sendLeaseRequests = func(requests []lease.Request) { d.sendLeaseRequests(p, requests) }
	p.onRefusal = func(reason admissionReason) { d.refusals.WithLabelValues(service, string(reason)).Inc() }
	logLimit := process.NewLineLimiter(targetLogLinesPerSecond)
	p.onBackOff = func(target string, wait time.Duration) {
		d.backOffs.WithLabelValues(service).Inc()
		if !logLimit.Allow(d.clock.Now()) {
			return
		}
		d.process.Log.Warn().Str("kind", "backOff").Str("service", service).Str("target", target).Dur("retryAfter", wait).
			Msg("target asked for a back-off")
	}
	p.onUnparsed = func(target string, headers []string) {
		if logLimit.Allow(d.clock.Now()) {
			d.process.Log.Warn().Str("kind", "unreadHeaders").Str("service", service).Str("target", target).Strs("headers", headers).
				Msg("invalid headers in a response of a target")
		}
	}
	p.onReclaim = func(s *slot) {
		d.brokenOff.WithLabelValues(service, "reclaimed").Inc()
		if logLimit.Allow(d.clock.Now()) {
			d.process.Log.Warn().Str("kind", "brokenOff").Str("service", service).Str("target", s.target).Str("request", s.request).
				Msg("target did not stop a request that was broken off; its slot was reclaimed")
		}
	}
	p.onTargetStopped = func(s *slot, after time.Duration) {
		d.brokenOff.WithLabelValues(service, "stopped").Inc()
		if d.process.Log.Debug().Enabled() && logLimit.Allow(d.clock.Now()) {
			d.process.Log.Debug().Str("kind", "brokenOff").Str("service", service).Str("target", s.target).Str("request", s.request).Dur("after", after).
				Msg("target stopped a request that was broken off")
		}
	}
	p.onLeaseChange = func(held bool) {
		detail := "gave up or lost the lease on " + service
		if held {
			detail = "holds the lease on " + service
		}
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "lease", Box: d.config.Name, Detail: detail})
	}
	return &runningPool{p, d.pools.supervisor.Add(process.Service{Name: "pool " + service, Run: p.run})}
}

func (d *Daemon) pool(service string) *pool {
	d.pools.Lock()
	defer d.pools.Unlock()
	if running := d.pools.byService[service]; running != nil {
		return running.pool
	}
	return nil
}

func (d *Daemon) poolList() []*pool {
	d.pools.Lock()
	defer d.pools.Unlock()
	out := make([]*pool, 0, len(d.pools.byService))
	for _, running := range d.pools.byService {
		out = append(out, running.pool)
	}
	return out
}

func (d *Daemon) budgetOf(service string, share int) *retry.Budget {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	b := d.budgets.byService[service]
	if b == nil {
		b = retry.NewBudget(share)
		d.budgets.byService[service] = b
	}
	b.SetShare(share)
	return b
}
