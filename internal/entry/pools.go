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

func (d *Daemon) vote(m *wire.LeaseRequest) *wire.LeaseAnswer {
	d.votes.Lock()
	defer d.votes.Unlock()
	return d.votes.voter.Handle(d.clock.Now(), m)
}

// holder returns the box that holds a pool of this zone, as far as this box's
// own vote tells, or the votes of others if it has none.
func (d *Daemon) holder(service string) (settings.Box, bool) {
	f := d.current.Load()
	d.votes.Lock()
	name, ok := d.votes.voter.Holder(d.clock.Now(), poolName(service, d.config.Zone))
	d.votes.Unlock()
	if !ok && !slices.Contains(f.zone.Voters(), d.config.Name) {
		name, ok = d.toldHolder(service)
	}
	if !ok {
		return settings.Box{}, false
	}
	b, ok := f.boxes[name]
	return b, ok
}

// toldHolder returns the holder that the voters last named to a box that has no
// vote itself. It is not asked for where a box votes: its own vote is newer.
func (d *Daemon) toldHolder(service string) (name string, ok bool) {
	p := d.pool(service)
	if p == nil {
		return "", false
	}
	other := p.other.Load()
	if other == nil || *other == "" || !d.peers.usable(*other) {
		return "", false
	}
	return *other, true
}

// askVoters sends the lease requests of a pool, each on its own so that a dead
// voter delays none of the others.
func (d *Daemon) askVoters(p *pool, requests []lease.Request) {
	f := d.current.Load()
	for _, q := range requests {
		if q.To == d.config.Name {
			a := d.vote(q.Message)
			go func() { p.inbox <- poolLeaseAnswer{a} }()
			continue
		}
		b, ok := f.boxes[q.To]
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
			defer cancel()
			a, err := d.node.Call(ctx, b.PeerAddress, &wire.CallRequest{Lease: q.Message})
			if err == nil && a.Lease != nil { // a vote that does not come counts as none
				p.inbox <- poolLeaseAnswer{a.Lease}
			}
		}()
	}
}

const voteTimeout = 500 * time.Millisecond

// configurePools starts a pool for each service of this zone, ends those of
// services that are gone and gives all the settings in force.
func (d *Daemon) configurePools() {
	f := d.current.Load()
	d.pools.Lock()
	defer d.pools.Unlock()
	for service, running := range d.pools.byService {
		if !slices.Contains(f.zone.Services, service) {
			_ = d.pools.tree.Remove(running.token) // it ends by itself otherwise
			delete(d.pools.byService, service)
		}
	}
	for _, service := range f.zone.Services {
		running := d.pools.byService[service]
		if running == nil {
			running = d.startPool(service)
			d.pools.byService[service] = running
		}
		s := f.tree.Service(f.zone.Region, f.zone.Name, service)
		running.pool.inbox <- poolSettings{service: s, zone: f.zone, leaving: d.leavingAddresses()}
	}
}

// targetLinesPerSecond bounds the log lines on what the targets of one pool say in answers.
const targetLinesPerSecond = 20

func (d *Daemon) startPool(service string) *runningPool {
	p := newPool(service, d.config.Name, d.process.Incarnation, d.seed)
	p.clock = d.clock
	p.ask = func(requests []lease.Request) { d.askVoters(p, requests) }
	p.refused = func(reason admissionReason) { d.refusals.WithLabelValues(service, string(reason)).Inc() }
	lines := process.NewLineLimiter(targetLinesPerSecond)
	p.backedOff = func(target string, wait time.Duration) {
		d.backOffs.WithLabelValues(service).Inc()
		if !lines.Allow(d.clock.Now()) {
			return
		}
		d.process.Log.Warn().Str("kind", "backOff").Str("service", service).Str("target", target).Dur("retryAfter", wait).
			Msg("target asked for a back-off")
	}
	p.unread = func(target string, headers []string) {
		if lines.Allow(d.clock.Now()) {
			d.process.Log.Warn().Str("kind", "unreadHeaders").Str("service", service).Str("target", target).Strs("headers", headers).
				Msg("headers of a target can't be read")
		}
	}
	p.changed = func(held bool) {
		detail := "gave up or lost the lease on " + service
		if held {
			detail = "holds the lease on " + service
		}
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "lease", Box: d.config.Name, Detail: detail})
	}
	return &runningPool{p, d.pools.tree.Add(process.Service{Name: "pool " + service, Run: p.run})}
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
