package control

import (
	"context"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// permitIssuer issues permits under the limits of workspaces. It needs no leader: a replica's
// share of a limit depends only on the number of replicas, so it continues while the replica is
// cut off.
type permitIssuer struct {
	bound  quota.Bound
	routes *routesDecoder
	state  atomic.Pointer[steering.State]
	mu     lockorder.Mutex
	issuer *quota.Issuer
}

func newPermitIssuer(bound quota.Bound, routes *routesDecoder) *permitIssuer {
	return &permitIssuer{bound: bound, routes: routes, mu: lockorder.Mutex{Rank: lockorder.Permits}}
}

// setState sets the state that was applied last. It does not block.
func (p *permitIssuer) setState(s steering.State) { p.state.Store(&s) }

// setReplicaCount sets the number of replicas from a membership.
func (p *permitIssuer) setReplicaCount(now time.Time, m *wire.Membership) {
	count := len(m.GetVoters()) + len(m.GetLearners())
	if count == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		p.issuer = quota.NewIssuer(p.bound, count)
	}
	p.issuer.SetReplicaCount(now, count)
	p.refresh(now)
}

// refresh takes over the limits of the active routes document. The lock is held.
func (p *permitIssuer) refresh(now time.Time) {
	s := p.state.Load()
	if s == nil {
		return
	}
	active := s.Catalog().Document()
	if active.GetNumber() == p.issuer.DocumentNumber() {
		return
	}
	d, err := p.routes.decodeOnce(active)
	if err != nil {
		return // logged by decodeOnce; the previous limits stay in effect
	}
	p.issuer.SetLimits(now, active.Number, d.Workspaces)
}

// issue answers a permit request of a box.
func (p *permitIssuer) issue(now time.Time, r *wire.PermitRequest) *wire.PermitAnswer {
	requests := make([]quota.SubjectRequest, 0, len(r.Asks))
	for _, a := range r.Asks {
		requests = append(requests, quota.SubjectRequest{Subject: a.Workspace, Count: int(a.Count)})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		return &wire.PermitAnswer{Behind: true} // its share is unknown without the membership
	}
	p.refresh(now)
	grants, err := p.issuer.Issue(now, r.Number, requests)
	if err != nil {
		return &wire.PermitAnswer{Behind: true} // StaleLimitsError: no permits are issued under outdated limits
	}
	return &wire.PermitAnswer{Grants: grantMessages(grants)}
}

func grantMessages(grants []quota.Grant) []*wire.PermitGrant {
	out := make([]*wire.PermitGrant, 0, len(grants))
	for _, g := range grants {
		out = append(out, &wire.PermitGrant{
			Workspace: g.Subject, Count: uint32(g.Count), LifeMilli: g.TTL.Milliseconds(), WaitMilli: g.RetryAfter.Milliseconds(),
		})
	}
	return out
}

// servePermits answers the permit requests of one box until its stream ends.
func (d *Daemon) servePermits(ctx context.Context, _ string, m *link.Messages) {
	stop := context.AfterFunc(ctx, func() { _ = m.Close() })
	defer stop()
	for {
		r := &wire.PermitRequest{}
		if err := m.Read(r); err != nil {
			return // the box has disconnected or opens another stream
		}
		if err := m.Write(d.answerPermits(r)); err != nil {
			return
		}
	}
}

// answerPermits answers a permit request for workspaces or for targets.
func (d *Daemon) answerPermits(r *wire.PermitRequest) *wire.PermitAnswer {
	if len(r.TargetAsks) > 0 {
		return &wire.PermitAnswer{Grants: d.issueForTargets(r.TargetAsks)}
	}
	return d.permitIssuer.issue(d.clock.Now(), r)
}
