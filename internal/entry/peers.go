package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	helloInterval = 500 * time.Millisecond
	helloTimeout  = 400 * time.Millisecond
	// deadAfter is after how long without an answer a watched box counts as
	// dead.
	deadAfter = 1500 * time.Millisecond
	// avoidFor is how long a box is avoided after a request to it failed.
	avoidFor = 2 * time.Second
	// watchedInZone bounds the boxes of its own zone that a box watches, so
	// that the traffic does not grow with the size of the zone.
	watchedInZone = 3
)

type peer struct {
	name        string
	incarnation string
	stopping    bool
	heardAt     time.Time
	failedAt    time.Time
	watched     bool
	watchedAt   time.Time
}

// peers watches a few other entry boxes: the next ones in its zone and one of
// another zone of the region. One of them is the witness of its request keys.
type peers struct {
	box *Daemon

	mu     sync.Mutex
	byName map[string]*peer
	order  []string
}

func newPeers(d *Daemon) *peers { return &peers{box: d, byName: make(map[string]*peer)} }

// run watches until the context ends.
func (p *peers) run(ctx context.Context) error {
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		var running sync.WaitGroup
		for _, b := range p.choose() {
			running.Go(func() { p.hello(ctx, b) })
		}
		running.Wait()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// choose returns the boxes to watch.
func (p *peers) choose() []settings.Box {
	f := p.box.current.Load()
	watched := nextBoxes(f.zone.Boxes, p.box.config.Name, watchedInZone)
	if b, ok := boxElsewhere(f.tree.Zones(), f.zone, p.box.config.Name); ok {
		watched = append(watched, b)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.order = nil
	for _, b := range watched {
		p.order = append(p.order, b.Name)
		v := p.get(b.Name)
		if !v.watched {
			v.watched = true
			v.watchedAt = p.box.clock.Now()
		}
	}
	return watched
}

// boxElsewhere returns a box of the next zone of the region. The boxes of a zone
// choose different ones as far as there are enough, so that none is watched by
// all.
func boxElsewhere(zones []settings.Zone, own settings.Zone, name string) (settings.Box, bool) {
	var others []settings.Zone
	after := 0
	for _, z := range zones {
		if z.Region != own.Region || z.Name == own.Name || len(z.Boxes) == 0 {
			continue
		}
		others = append(others, z)
		if z.Name < own.Name {
			after++
		}
	}
	if len(others) == 0 {
		return settings.Box{}, false
	}
	z := others[after%len(others)]
	place := slices.IndexFunc(own.Boxes, func(b settings.Box) bool { return b.Name == name })
	return z.Boxes[max(place, 0)%len(z.Boxes)], true
}

// nextBoxes returns up to n boxes that follow the named one in a ring.
func nextBoxes(boxes []settings.Box, name string, n int) []settings.Box {
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

func (p *peers) get(name string) *peer {
	v := p.byName[name]
	if v == nil {
		v = &peer{name: name}
		p.byName[name] = v
	}
	return v
}

func (p *peers) hello(ctx context.Context, b settings.Box) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	a, err := p.box.node.Call(ctx, b.PeerAddress, &wire.CallRequest{Hello: &wire.HelloRequest{}})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || a.Hello == nil {
		return
	}
	v := p.get(b.Name)
	v.incarnation = a.Hello.Incarnation
	v.stopping = a.Hello.Stopping
	v.heardAt = p.box.clock.Now()
}

// failed notes that a request to a box failed.
func (p *peers) failed(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(name).failedAt = p.box.clock.Now()
}

// usable reports whether a box may be sent to.
func (p *peers) usable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.byName[name]
	if v == nil {
		return true
	}
	now := p.box.clock.Now()
	if v.stopping && now.Sub(v.heardAt) < deadAfter {
		return false
	}
	if v.failedAt.After(v.heardAt) && now.Sub(v.failedAt) < avoidFor {
		return false
	}
	return !v.watched || now.Sub(v.heardAt) < deadAfter || now.Sub(v.watchedAt) < deadAfter
}

// witness returns the watched box that is the witness of new request keys: the
// first that answers and does not stop.
func (p *peers) witness() (peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.order {
		v := p.byName[name]
		if v.incarnation != "" && !v.stopping && p.box.clock.Since(v.heardAt) < deadAfter {
			return *v, true
		}
	}
	return peer{}, false
}
