package gateway

import (
	"context"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// membershipInterval is how often a replica is asked for the membership.
	membershipInterval = time.Second
	// controlCallTimeout bounds a call to a replica.
	controlCallTimeout = 600 * time.Millisecond
)

// replicas are the known control replicas: the configured seeds and the members that those
// reported.
type replicas struct {
	mu      lockorder.Mutex
	seeds   []string
	members []string
	// cursor counts the calls of next.
	cursor int
}

func newReplicas(seeds []string) *replicas { return &replicas{seeds: slices.Clone(seeds)} }

// reachability tracks which processes did not answer the last call.
type reachability struct {
	mu          lockorder.Mutex
	unreachable map[string]bool
}

// record records whether a process answered and reports whether that is a change.
func (s *reachability) record(address string, answered bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.unreachable[address] == answered
	if answered {
		delete(s.unreachable, address)
		return changed
	}
	if s.unreachable == nil {
		s.unreachable = make(map[string]bool)
	}
	s.unreachable[address] = true
	return changed
}

// all returns the peer addresses of all known replicas.
func (c *replicas) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.members)
	for _, s := range c.seeds {
		if !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// membersOrSeeds returns the peer addresses of the members, or of the seeds while the members are
// unknown.
func (c *replicas) membersOrSeeds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) > 0 {
		return slices.Clone(c.members)
	}
	return slices.Clone(c.seeds)
}

func (c *replicas) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

func (c *replicas) setMembers(m *wire.Membership) (changed bool) {
	var members []string
	for _, r := range slices.Concat(m.GetVoters(), m.GetLearners()) {
		members = append(members, r.Address)
	}
	slices.Sort(members)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(members) == 0 || slices.Equal(members, c.members) {
		return false
	}
	c.members = members
	return true
}

// next returns the replica to ask next, in round-robin order.
func (c *replicas) next() (string, bool) {
	all := c.all()
	if len(all) == 0 {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cursor++
	return all[c.cursor%len(all)], true
}

// sources returns the replicas to follow, best first. The ranking spreads the boxes over the
// replicas.
func (d *Daemon) sources() []distribution.Source {
	all := d.controlReplicas.all()
	slices.SortFunc(all, func(a, b string) int { return distribution.CompareRank(d.config.Name, a, b) })
	out := make([]distribution.Source, 0, len(all))
	for _, address := range all {
		out = append(out, distribution.Source{Name: "control " + address, Address: address, Control: true})
	}
	return out
}

// refreshMembership asks the replicas for the membership, in round-robin order.
func (d *Daemon) refreshMembership(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		d.fetchMembership(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) fetchMembership(ctx context.Context) {
	address, ok := d.controlReplicas.next()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{
		Box: d.config.Name, Zone: d.config.Zone, Region: d.config.Region, PeersDigest: d.peersDigest,
	}})
	if err != nil {
		d.recordControlCall(address, err)
		return
	}
	if peers := answer.GetHello().GetPeers(); peers != nil {
		d.setPeers(peers)
	}
	if answer.GetHello().GetLeader() == "" || !d.controlReplicas.setMembers(answer.Hello.Membership) {
		return
	}
	d.log.Info().Str("kind", "controls").Strs("addresses", d.controlReplicas.all()).Str("from", address).Msg("control replicas updated")
	d.follower.SourcesChanged()
	d.triggerReport()
}

// recordControlCall logs that a control replica became unreachable or reachable again.
func (d *Daemon) recordControlCall(address string, err error) {
	if !d.controlReachability.record(address, err == nil) {
		return
	}
	if err != nil {
		d.log.Warn().Str("kind", "control").Str("address", address).Err(err).Msg("control replica is unreachable")
		return
	}
	d.log.Info().Str("kind", "control").Str("address", address).Msg("control replica is reachable again")
}
