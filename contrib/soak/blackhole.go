package main

import (
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"time"
)

// blackholeOpen makes the connections that are open now drop all bytes in both directions
// for good, without a reset. New connections work.
func (p *proxy) blackholeOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.add()
	for c := range p.conns {
		p.conns[c] = blackholed
	}
}

func (p *proxy) isBlackholed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c] == blackholed
}

const (
	minBlackholePause = 1500 * time.Millisecond
	maxBlackholePause = 4 * time.Second
)

// blackholeConnections blackholes the open connections of randomly picked proxies until
// the end. It has its own random source, so that it doesn't change the other faults of a
// seed.
func (h *harness) blackholeConnections(end time.Time, r *rand.Rand) {
	for {
		time.Sleep(randomDuration(r, minBlackholePause, maxBlackholePause))
		if time.Now().After(end) {
			return
		}
		h.mu.Lock()
		names := slices.Sorted(maps.Keys(h.proxies))
		px := h.proxies[pick(r, names)]
		h.mu.Unlock()
		h.counts.countFault("silent connections")
		px.blackholeOpen()
	}
}
