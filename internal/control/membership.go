package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	membershipInterval = 200 * time.Millisecond
	callTimeout        = time.Second
	repairInterval     = 200 * time.Millisecond
	// maxDiscovered bounds the remembered addresses of replicas: three generations of the nine
	// replicas in the largest deployment.
	maxDiscovered = 27
)

// maintainMembership provides a replica on an empty disk with a membership. If all configured
// replicas are empty, each of them forms the first membership by itself, and all arrive at the
// same one. If one of them already has a membership, this replica either is part of it or has lost
// its disk and asks to join.
func (d *Daemon) maintainMembership(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		v, err := d.replica.view(ctx)
		if err != nil {
			return err
		}
		switch {
		case addressOf(v.membership, d.replica.id) == "":
			d.findMembership(ctx, v)
		case d.config.PeersAreSeeds && v.status.CutOff:
			d.askToRejoin(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) findMembership(ctx context.Context, v view) {
	answers := d.helloAll(ctx)
	for _, h := range answers {
		if !h.Formed {
			continue
		}
		d.recordReportedLeader(h)
		if len(v.membership.Voters) == 0 && d.isInitialMembership(h) {
			_ = d.replica.inbox.put(ctx, bootstrap{h.Membership}) // fails only if the context ends; then looked for again
			return
		}
		d.askToJoin(ctx)
		return
	}
	if len(v.membership.Voters) > 0 || len(answers) < len(d.config.Peers)-1 || !d.mayBootstrap() {
		return
	}
	first := &wire.Membership{Voters: []*wire.Replica{{Id: d.replica.id, Address: d.config.PeerAddress}}}
	for address, h := range answers {
		if slices.Contains(d.config.Peers, address) {
			first.Voters = append(first.Voters, &wire.Replica{Id: h.Id, Address: address})
		}
	}
	slices.SortFunc(first.Voters, func(a, b *wire.Replica) int { return strings.Compare(a.Id, b.Id) })
	d.process.RecordStateChange(&wire.TimelineEvent{Kind: "formed", Box: d.replica.id, Detail: "forms the first membership"})
	_ = d.replica.inbox.put(ctx, bootstrap{first}) // fails only if the context ends; then tried again
}

// recordReportedLeader remembers the leader that another replica reports. Until this replica is a member
// it forwards to that one; rejecting would keep callers waiting for each replica that joins.
func (d *Daemon) recordReportedLeader(h *wire.HelloAnswer) {
	address := addressOf(h.Membership, h.Leader)
	if address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reportedLeader = address
}

// mayBootstrap reports whether this replica may take part in forming the first membership.
func (d *Daemon) mayBootstrap() bool {
	return !d.config.PeersAreSeeds || d.config.MayBootstrap && slices.Contains(d.config.Peers, d.config.PeerAddress)
}

// isInitialMembership reports whether another replica has just formed a first membership that
// includes this one, and nothing has changed since.
func (d *Daemon) isInitialMembership(h *wire.HelloAnswer) bool {
	m := h.Membership
	return h.Version == 0 && len(m.Learners) == 0 && len(m.Voters) == len(d.config.Peers) && addressOf(m, d.replica.id) != ""
}

// askToRejoin asks to join if the other replicas have removed this one.
func (d *Daemon) askToRejoin(ctx context.Context) {
	for _, h := range d.helloAll(ctx) {
		if h.Formed && h.Leader != "" && addressOf(h.Membership, d.replica.id) == "" {
			d.askToJoin(ctx)
			return
		}
	}
}

// knownReplicas returns the addresses at which other replicas may be found: those configured,
// those in the membership and those learned from other replicas.
func (d *Daemon) knownReplicas() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := slices.Clone(d.config.Peers)
	for _, address := range d.discovered {
		if !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	return slices.DeleteFunc(out, func(a string) bool { return a == d.config.PeerAddress })
}

// addDiscovered remembers the addresses in a membership received from another replica.
func (d *Daemon) addDiscovered(m *wire.Membership) {
	if !d.config.PeersAreSeeds || m == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range slices.Concat(m.Voters, m.Learners) {
		if !slices.Contains(d.discovered, r.Address) {
			d.discovered = append(d.discovered, r.Address)
		}
	}
	if extra := len(d.discovered) - maxDiscovered; extra > 0 {
		d.discovered = d.discovered[extra:]
	}
}

// helloAll calls all other known replicas in parallel and returns their answers by address.
func (d *Daemon) helloAll(ctx context.Context) map[string]*wire.HelloAnswer {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	type helloFrom struct {
		address string
		answer  *wire.HelloAnswer
	}
	known := d.knownReplicas()
	answers := make(chan helloFrom, len(known))
	for _, address := range known {
		go func() {
			answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
			if err != nil {
				answers <- helloFrom{address, nil} // retried at the next interval
				return
			}
			answers <- helloFrom{address, answer.Hello}
		}()
	}
	out := make(map[string]*wire.HelloAnswer)
	for range known {
		if a := <-answers; a.answer != nil {
			out[a.address] = a.answer
			d.addDiscovered(a.answer.Membership)
		}
	}
	return out
}

func (d *Daemon) askToJoin(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := &wire.Replica{Id: d.replica.id, Address: d.config.PeerAddress}
	known := d.knownReplicas()
	done := make(chan struct{}, len(known))
	for _, address := range known {
		go func() {
			// Retried at the next interval until this replica is a member.
			_, _ = d.node.Call(ctx, address, &wire.CallRequest{Join: &wire.JoinRequest{Replica: self}})
			done <- struct{}{}
		}()
	}
	for range known {
		<-done
	}
}

// repair adds joining replicas and, in a seeded membership, removes lost ones, with one membership
// change at a time.
func (d *Daemon) repair(ctx context.Context) {
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return
	}
	for _, j := range d.joiningReplicas() {
		step, next := d.nextRepair(v, j)
		d.recordRepair(j, step)
		if next == nil {
			continue
		}
		d.changeMembership(ctx, next)
		return
	}
	if !d.config.PeersAreSeeds {
		return
	}
	if next := consensus.NextRemoval(v.membership, v.status, d.config.ToleratedDiskLosses); next != nil {
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "removal", Detail: "lets a replica go that has been silent for long"})
		d.changeMembership(ctx, next)
	}
}

func (d *Daemon) nextRepair(v view, joining *wire.Replica) (consensus.RepairStep, *wire.Membership) {
	if d.config.PeersAreSeeds {
		return consensus.NextReplacement(v.membership, v.status, joining)
	}
	return consensus.NextRepair(v.membership, v.status, joining)
}

func (d *Daemon) changeMembership(ctx context.Context, next *wire.Membership) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// A failed step is retried at the next interval.
	_ = d.replica.changeMembership(ctx, next)
}

func (d *Daemon) joiningReplicas() []*wire.Replica {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.Replica
	for _, address := range slices.Sorted(maps.Keys(d.joining)) {
		out = append(out, d.joining[address])
	}
	return out
}

func (d *Daemon) recordRepair(j *wire.Replica, step consensus.RepairStep) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.repairs[j.Id] != step {
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "repair", Box: j.Id, Detail: string(step)})
	}
	d.repairs[j.Id] = step
	if step == consensus.RepairFinished {
		delete(d.joining, j.Address)
	}
}
