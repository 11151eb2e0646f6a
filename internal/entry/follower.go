package entry

import (
	"context"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newFollower returns the follower that keeps the box's steering state up to date.
func newFollower(d *Daemon) *relay.Follower {
	return relay.NewFollower(relay.FollowerConfig{
		Box:         d.config.Name,
		Incarnation: d.process.Incarnation,
		Zone:        d.config.Zone,
		PeerAddress: d.config.PeerAddress,
		Node:        func() *link.Node { return d.node },
		Clock:       d.process.Clock,
		BootClock:   d.clock,
		Seed:        d.seed,
		Sources:     d.sources,
		ApplyState:  d.applyState,
		Reports:     func() []*wire.BoxReport { return append(d.publisher.Reports(), d.boxReport()) },
		Event:       d.process.Event,
	})
}

func (d *Daemon) applyState(s steering.State, commands []*wire.Command) {
	if before := d.current.Load().state.Catalog(); !s.Catalog().SharesQuarantined(before) {
		d.isolation.SetList(quarantine.EntriesOf(s.Catalog().Quarantined()))
	}
	d.setState(s)
	d.publisher.SetState(s, commands)
	d.configurePools()
}

func (d *Daemon) boxReport() *wire.BoxReport {
	r := &wire.BoxReport{
		Box:         d.config.Name,
		Incarnation: d.process.Incarnation,
		Zone:        d.config.Zone,
		Address:     d.config.PeerAddress,
		Version:     d.current.Load().state.Version(),
		Stopping:    d.stop.begun(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	for _, p := range d.poolList() {
		v, err := p.view(ctx)
		if err != nil || !v.held {
			continue
		}
		r.Pools = append(r.Pools, &wire.PoolReport{
			Service:  p.service,
			Capacity: uint32(v.load.Capacity),
			Busy:     uint32(v.load.Busy + v.load.Waiting),
			Targets:  uint32(v.load.Targets),
			Draining: uint32(v.draining),
		})
	}
	return r
}

// sources returns the upstreams of this box, best first.
func (d *Daemon) sources() []distribution.Source {
	controls := make([]distribution.Source, 0, len(d.config.Controls))
	for _, address := range d.config.Controls {
		controls = append(controls, distribution.Source{Name: "control " + address, Address: address, Control: true})
	}
	return distribution.Sources(d.config.Name, d.current.Load().zone, controls)
}
