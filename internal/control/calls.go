package control

import (
	"context"
	"slices"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// serveCall answers a call from another process.
func (d *Daemon) serveCall(ctx context.Context, _ string, request *wire.CallRequest) *wire.CallAnswer {
	switch {
	case request.Hello != nil:
		return d.serveHello(ctx, request.Hello)
	case request.Timeline != nil:
		return &wire.CallAnswer{Timeline: d.process.Ring.Events(request.Timeline)}
	case request.Join != nil:
		d.recordJoining(request.Join.Replica)
		return &wire.CallAnswer{Join: &wire.JoinAnswer{Noted: true}}
	case request.Report != nil:
		d.collectReport(request.Report)
		return &wire.CallAnswer{}
	case request.Submit != nil:
		return d.serveSubmit(ctx, request)
	case request.Read != nil:
		return d.serveRead(ctx, request)
	case request.Workspaces != nil:
		return &wire.CallAnswer{Workspaces: d.ownWorkspaces()}
	case request.Words != nil:
		return d.serveUpdates(ctx, request.Words)
	case request.Evidence != nil:
		return d.serveEvidence(request.Evidence)
	}
	return &wire.CallAnswer{Error: "a control replica does not answer this"}
}

func (d *Daemon) serveHello(ctx context.Context, request *wire.HelloRequest) *wire.CallAnswer {
	v, err := d.replica.view(ctx)
	if err != nil {
		return &wire.CallAnswer{Error: err.Error()}
	}
	return &wire.CallAnswer{Hello: &wire.HelloAnswer{
		Id:          d.replica.id,
		Incarnation: d.process.Incarnation,
		Version:     v.state.Version(),
		Formed:      len(v.membership.Voters) > 0,
		Membership:  v.membership,
		Leader:      v.status.Leader,

		TakesQuarantine: true,
		TakesRollouts:   true,
		Peers:           d.peersFor(request),
	}}
}

func (d *Daemon) recordJoining(r *wire.Replica) {
	if r == nil || !d.config.PeersAreSeeds && !slices.Contains(d.config.Peers, r.Address) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.joining[r.Address].GetId() != r.Id {
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "replicaJoining", Box: r.Id, Detail: "a replica on a new disk asks to be taken in at " + r.Address})
	}
	d.joining[r.Address] = r
}
