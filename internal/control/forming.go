package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	formInterval   = 200 * time.Millisecond
	callTimeout    = time.Second
	repairInterval = 200 * time.Millisecond
)

// form gives a replica on an empty disk a membership. When all the configured
// replicas are empty they form the first membership, each for itself and all
// the same. When one of them already has a membership, this replica either is
// part of it or has lost its disk, and then asks to be taken in.
func (d *Daemon) form(ctx context.Context) error {
	ticker := time.NewTicker(formInterval)
	defer ticker.Stop()
	for {
		v, err := d.replica.view(ctx)
		if err != nil {
			return err
		}
		if addressOf(v.membership, d.replica.id) == "" {
			d.seekMembership(ctx, v)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) seekMembership(ctx context.Context, v view) {
	hellos := d.helloAll(ctx)
	for _, h := range hellos {
		if !h.Formed {
			continue
		}
		if len(v.membership.Voters) == 0 && addressOf(h.Membership, d.replica.id) != "" && h.Version == 0 {
			d.replica.inbox <- bootstrap{h.Membership}
			return
		}
		d.askToJoin(ctx)
		return
	}
	if len(v.membership.Voters) > 0 || len(hellos) < len(d.config.Peers)-1 {
		return
	}
	first := &wire.Membership{Voters: []*wire.Replica{{Id: d.replica.id, Address: d.config.PeerAddress}}}
	for address, h := range hellos {
		first.Voters = append(first.Voters, &wire.Replica{Id: h.Id, Address: address})
	}
	slices.SortFunc(first.Voters, func(a, b *wire.Replica) int { return strings.Compare(a.Id, b.Id) })
	d.process.StateChange(&wire.TimelineEvent{Kind: "formed", Box: d.replica.id, Detail: "forms the first membership"})
	d.replica.inbox <- bootstrap{first}
}

// helloAll asks the other configured replicas who they are.
func (d *Daemon) helloAll(ctx context.Context) map[string]*wire.HelloAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out := make(map[string]*wire.HelloAnswer)
	for _, address := range d.config.Peers {
		if address == d.config.PeerAddress {
			continue
		}
		answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
		if err == nil && answer.Hello != nil {
			out[address] = answer.Hello
		}
	}
	return out
}

func (d *Daemon) askToJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := &wire.Replica{Id: d.replica.id, Address: d.config.PeerAddress}
	for _, address := range d.config.Peers {
		if address == d.config.PeerAddress {
			continue
		}
		// Asked again at the next interval until it is taken in.
		_, _ = d.node.Call(ctx, address, &wire.CallRequest{Join: &wire.JoinRequest{Replica: self}})
	}
}

// repair takes joining replicas in, one change of the membership at a time.
func (d *Daemon) repair(ctx context.Context) {
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return
	}
	for _, j := range d.joiningReplicas() {
		step, next := consensus.NextRepair(v.membership, v.status, j)
		d.noteRepair(j, step)
		if next == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		// A step that fails is tried again at the next interval.
		_ = d.replica.changeMembership(ctx, next)
		cancel()
		return
	}
}

func (d *Daemon) joiningReplicas() []*wire.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Replica
	for _, address := range d.config.Peers {
		if j := d.joining[address]; j != nil {
			out = append(out, j)
		}
	}
	return out
}

func (d *Daemon) noteRepair(j *wire.Replica, step consensus.RepairStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repairs[j.Id] != step {
		d.process.StateChange(&wire.TimelineEvent{Kind: "repair", Box: j.Id, Detail: string(step)})
	}
	d.repairs[j.Id] = step
	if step == consensus.RepairFinished {
		delete(d.joining, j.Address)
	}
}
