package main

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// silenceOpen makes the connections that are open now go silent for good, both
// ways and without a reset; new ones work.
func (p *proxy) silenceOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbed.add()
	for c := range p.conns {
		p.conns[c] = silenced
	}
}

func (p *proxy) isSilenced(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c] == silenced
}

const (
	leastSilencePause = 1500 * time.Millisecond
	mostSilencePause  = 4 * time.Second
)

// silenceConnections lets the open connections of one proxy after the other go
// silent until the end. Its plan is its own, so that the other faults of a seed
// stay as they were.
func (w *world) silenceConnections(end time.Time, r *rand.Rand) {
	for {
		time.Sleep(some(r, leastSilencePause, mostSilencePause))
		if time.Now().After(end) {
			return
		}
		w.mu.Lock()
		names := slices.Sorted(maps.Keys(w.proxies))
		x := w.proxies[pick(r, names)]
		w.mu.Unlock()
		w.counts.fault("silent connections")
		x.silenceOpen()
	}
}
