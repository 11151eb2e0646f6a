package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// seekInterval is how often a replica is asked for the others.
	seekInterval = time.Second
	// controlCallTimeout bounds a call to a replica.
	controlCallTimeout = 600 * time.Millisecond
)

// controls are the control replicas as far as they are known: those that were
// named at the start, and those that these know.
type controls struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	asked   int
}

func newControls(seeds []string) *controls { return &controls{seeds: slices.Clone(seeds)} }

// silences are the processes that did not answer when they were asked last.
type silences struct {
	mu     sync.Mutex
	silent map[string]bool
}

// note takes whether a process answered and reports whether that is news.
func (s *silences) note(address string, answered bool) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news = s.silent[address] == answered
	if answered {
		delete(s.silent, address)
		return news
	}
	if s.silent == nil {
		s.silent = make(map[string]bool)
	}
	s.silent[address] = true
	return news
}

// all returns the peer addresses of all known replicas.
func (c *controls) all() []string {
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

// replicas returns the peer addresses of the members, or of those named at the start while
// the members are not known.
func (c *controls) replicas() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) > 0 {
		return slices.Clone(c.members)
	}
	return slices.Clone(c.seeds)
}

func (c *controls) setSeeds(seeds []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(seeds)
}

func (c *controls) setMembers(m *wire.Membership) (changed bool) {
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

// next returns the replica to ask next, one after the other.
func (c *controls) next() (string, bool) {
	all := c.all()
	if len(all) == 0 {
		return "", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	return all[c.asked%len(all)], true
}

// sources returns the replicas to follow, best first, spread over the boxes.
func (d *Daemon) sources() []distribution.Source {
	all := d.controls.all()
	slices.SortFunc(all, func(a, b string) int { return distribution.CompareRank(d.config.Name, a, b) })
	out := make([]distribution.Source, 0, len(all))
	for _, address := range all {
		out = append(out, distribution.Source{Name: "control " + address, Address: address, Control: true})
	}
	return out
}

// keepControls asks the replicas for the membership, one after the other.
func (d *Daemon) keepControls(ctx context.Context) error {
	ticker := time.NewTicker(seekInterval)
	defer ticker.Stop()
	for {
		d.askMembership(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (d *Daemon) askMembership(ctx context.Context) {
	address, ok := d.controls.next()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	answer, err := d.node.Call(ctx, address, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	if err != nil {
		d.recordControl(address, err)
		return
	}
	if answer.GetHello().GetLeader() == "" || !d.controls.setMembers(answer.Hello.Membership) {
		return
	}
	d.log.Info().Str("kind", "controls").Strs("addresses", d.controls.all()).Str("from", address).Msg("knows the control replicas")
	d.following.SourcesChanged()
	d.reportsChanged()
}

// recordControl tells that a control replica was lost or is back.
func (d *Daemon) recordControl(address string, err error) {
	if !d.reportWord.note(address, err == nil) {
		return
	}
	if err != nil {
		d.log.Warn().Str("kind", "control").Str("address", address).Err(err).Msg("a control replica does not answer")
		return
	}
	d.log.Info().Str("kind", "control").Str("address", address).Msg("a control replica answers again")
}
