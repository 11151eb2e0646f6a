package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	helloInterval = 500 * time.Millisecond
	helloTimeout  = 400 * time.Millisecond
	// deadAfter is the time without a hello answer after which a watched box counts as dead.
	deadAfter = 1500 * time.Millisecond
	// avoidTime is how long a box is avoided after a request to it failed.
	avoidTime = 2 * time.Second
	// maxWatchedInZone limits how many boxes of its own zone a box watches, so that the traffic
	// does not grow with the size of the zone.
	maxWatchedInZone = 3
)

type peer struct {
	name         string
	incarnation  string
	stopping     bool
	lastHello    time.Time
	lastFailure  time.Time
	watched      bool
	watchedSince time.Time
}

// peers monitors a few other entry boxes: its successors in the zone and one box of another
// zone of the region. One of them is the witness of this box's request keys.
type peers struct {
	box *Daemon

	mu         lockorder.Mutex
	byName     map[string]*peer
	watchOrder []string
}

func newPeers(d *Daemon) *peers { return &peers{box: d, byName: make(map[string]*peer)} }

// run sends hellos to the watched boxes until the context ends.
func (p *peers) run(ctx context.Context) error {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		var running sync.WaitGroup
		for _, b := range p.updateWatched() {
			running.Go(func() { p.sendHello(ctx, b) })
		}
		running.Wait()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// updateWatched selects the boxes to watch and returns them.
func (p *peers) updateWatched() []settings.Box {
	active := p.box.current.Load()
	watched := successors(active.zone.Boxes, p.box.config.Name, maxWatchedInZone)
	if b, ok := boxInNextZone(active.tree.Zones(), active.zone, p.box.config.Name); ok {
		watched = append(watched, b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchOrder = nil
	for _, b := range watched {
		p.watchOrder = append(p.watchOrder, b.Name)
		v := p.getOrAdd(b.Name)
		if !v.watched {
			v.watched = true
			v.watchedSince = p.box.clock.Now()
		}
	}
	return watched
}

// boxInNextZone returns a box of the next zone of the region. Boxes of the same zone select
// different ones as far as there are enough, so that no box is watched by all of them.
func boxInNextZone(zones []settings.Zone, own settings.Zone, name string) (settings.Box, bool) {
	var others []settings.Zone
	preceding := 0
	for _, z := range zones {
		if z.Region != own.Region || z.Name == own.Name || len(z.Boxes) == 0 {
			continue
		}
		others = append(others, z)
		if z.Name < own.Name {
			preceding++
		}
	}
	if len(others) == 0 {
		return settings.Box{}, false
	}
	z := others[preceding%len(others)]
	position := slices.IndexFunc(own.Boxes, func(b settings.Box) bool { return b.Name == name })
	return z.Boxes[max(position, 0)%len(z.Boxes)], true
}

// successors returns up to n boxes that follow the named one in the ring of boxes.
func successors(boxes []settings.Box, name string, n int) []settings.Box {
	var out []settings.Box
	for i, b := range boxes {
		if b.Name != name {
			continue
		}
		for j := 1; j < len(boxes) && len(out) < n; j++ {
			out = append(out, boxes[(i+j)%len(boxes)])
		}
	}
	return out
}

func (p *peers) getOrAdd(name string) *peer {
	v := p.byName[name]
	if v == nil {
		v = &peer{name: name}
		p.byName[name] = v
	}
	return v
}

func (p *peers) sendHello(ctx context.Context, b settings.Box) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	a, err := p.box.node.Call(ctx, b.PeerAddress, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || a.Hello == nil {
		return
	}
	v := p.getOrAdd(b.Name)
	v.incarnation = a.Hello.Incarnation
	v.stopping = a.Hello.Stopping
	v.lastHello = p.box.clock.Now()
}

// recordFailure records that a request to a box failed.
func (p *peers) recordFailure(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.getOrAdd(name).lastFailure = p.box.clock.Now()
}

// usable reports whether requests may be sent to a box.
func (p *peers) usable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byName[name]
	if v == nil {
		return true
	}
	now := p.box.clock.Now()
	if v.stopping && now.Sub(v.lastHello) < deadAfter {
		return false
	}
	if v.lastFailure.After(v.lastHello) && now.Sub(v.lastFailure) < avoidTime {
		return false
	}
	return !v.watched || now.Sub(v.lastHello) < deadAfter || now.Sub(v.watchedSince) < deadAfter
}

// witness returns the witness for new request keys: the first watched box that answers and is
// not stopping.
func (p *peers) witness() (peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.watchOrder {
		v := p.byName[name]
		if v.incarnation != "" && !v.stopping && p.box.clock.Since(v.lastHello) < deadAfter {
			return *v, true
		}
	}
	return peer{}, false
}
