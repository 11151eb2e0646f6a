package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/internal/operator"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// usage returns the issuer's usage per workspace and the number of the routes document whose
// limits it applies, or zero if it does not issue permits yet.
func (p *permitIssuer) usage(now time.Time) (number uint64, out []*wire.WorkspaceUsage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.issuer == nil {
		return 0, nil
	}
	p.refresh(now)
	for _, u := range p.issuer.Usage(now) {
		out = append(out, &wire.WorkspaceUsage{
			Workspace: u.Workspace, PerSecond: u.Limit.PerSecond, Burst: u.Limit.Burst,
			PartPerSecond: u.SharePerSecond, Room: u.Available, Issued: u.Issued, Refused: u.Refused,
			IssuedPerSecond: u.IssuedPerSecond, RefusedPerSecond: u.RefusedPerSecond,
		})
	}
	return p.issuer.DocumentNumber(), out
}

func (d *Daemon) ownWorkspaces() *wire.WorkspacesAnswer {
	number, list := d.permitIssuer.usage(d.clock.Now())
	return &wire.WorkspacesAnswer{Number: number, AgeMilli: d.controlAge().Milliseconds(), Workspaces: list}
}

// getWorkspaces answers with the usage of workspaces summed over all replicas.
func (d *Daemon) getWorkspaces(c iris.Context) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil {
		d.failCatalogCall(c, &UnavailableError{Cause: err})
		return
	}
	answers := map[string]*wire.WorkspacesAnswer{d.config.PeerAddress: d.ownWorkspaces()}
	var missing []string
	var mu sync.Mutex
	var running sync.WaitGroup
	for _, r := range slices.Concat(v.membership.GetVoters(), v.membership.GetLearners()) {
		if r.Id == d.replica.id {
			continue
		}
		running.Go(func() {
			a, err := d.node.Call(ctx, r.Address, &wire.CallRequest{Workspaces: &wire.WorkspacesRequest{}})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || a.Workspaces == nil {
				missing = append(missing, r.Address)
				return
			}
			answers[r.Address] = a.Workspaces
		})
	}
	running.Wait()
	slices.Sort(missing)
	_ = c.JSON(operator.Workspaces{Workspaces: sumWorkspaces(answers), Missing: missing}) // the client notices a failed write
}

// sumWorkspaces sums the answers of replicas per workspace. Limits are those of the latest routes
// document that any replica applies.
func sumWorkspaces(answers map[string]*wire.WorkspacesAnswer) []operator.WorkspaceUsage {
	var latest uint64
	for _, a := range answers {
		latest = max(latest, a.Number)
	}
	sums := make(map[string]*operator.WorkspaceUsage)
	for replica, a := range answers {
		for _, u := range a.Workspaces {
			sum := sums[u.Workspace]
			if sum == nil {
				sum = &operator.WorkspaceUsage{Name: u.Workspace, PerSecond: u.PerSecond, Burst: u.Burst}
				sums[u.Workspace] = sum
			}
			if a.Number == latest {
				sum.PerSecond, sum.Burst = u.PerSecond, u.Burst
			}
			sum.Issued += u.Issued
			sum.Denied += u.Refused
			sum.IssuedPerSecond += u.IssuedPerSecond
			sum.DeniedPerSecond += u.RefusedPerSecond
			sum.Shares = append(sum.Shares, operator.WorkspaceShare{
				Replica: replica, Number: a.Number, AgeMillis: a.AgeMilli, PerSecond: u.PartPerSecond, Available: u.Room,
				IssuedPerSecond: u.IssuedPerSecond, DeniedPerSecond: u.RefusedPerSecond,
			})
		}
	}
	out := make([]operator.WorkspaceUsage, 0, len(sums))
	for _, sum := range sums {
		slices.SortFunc(sum.Shares, func(a, b operator.WorkspaceShare) int { return cmp.Compare(a.Replica, b.Replica) })
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b operator.WorkspaceUsage) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
