package targetpath

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPeerDelay bounds the time after which the next peer is asked while the box is cut off: a round
	// trip to another region takes 70 ms, and the peer connects to the target in addition.
	maxPeerDelay = 150 * time.Millisecond
	// maxPlannedPeers is how many peers are asked for one connection.
	maxPlannedPeers = 3
	// Peers are skipped for a while if they could not be reached, are cut off from the zone
	// themselves or may be, or have no room.
	unreachablePeerPause = time.Second
	cutOffPeerPause      = time.Second
	unsurePeerPause      = 200 * time.Millisecond
	busyPeerPause        = 100 * time.Millisecond
)

// Result is why a peer made no connection.
type Result int

// The reasons why a peer made no connection.
const (
	// TargetDown: the peer reaches the zone, but not the target.
	TargetDown Result = iota
	// TargetUnreached: the peer did not reach the target and can't tell why.
	TargetUnreached
	// PeerCutOff: the peer is cut off from the zone too.
	PeerCutOff
	// PeerBusy: the peer carries as many connections as it can, or shuts down.
	PeerBusy
	// PeerUnreachable: the peer could not be reached or did not answer.
	PeerUnreachable
	// TargetUnknown: the peer does not know the target, or must not send to it.
	TargetUnknown
)

// String returns the name used in logs and metrics.
func (r Result) String() string {
	return [...]string{"targetDown", "targetUnreached", "peerCutOff", "peerBusy", "peerUnreachable", "targetUnknown"}[r]
}

// peer is what the box knows of a peer.
type peer struct {
	Peer
	class     int
	skipUntil time.Time
	// open is how many connections through the peer are open.
	open int
	// lastResponse is the time of the last response on a connection through it.
	lastResponse time.Time
}

// The classes of peers, best first.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// SetPeers replaces the peers. What is known of those that remain is kept.
func (p *Paths) SetPeers(list []Peer) {
	next := make([]*peer, 0, len(list))
	for _, entry := range list {
		known := p.find(entry.Name)
		if known == nil || known.Address != entry.Address {
			known = &peer{}
		}
		known.Peer = entry
		known.class = p.classOf(entry)
		next = append(next, known)
	}
	p.peers = next
}

// PeerCount returns the number of known peers.
func (p *Paths) PeerCount() int { return len(p.peers) }

func (p *Paths) classOf(entry Peer) int {
	switch {
	case entry.Zone == p.config.Zone:
		return sameZone
	case entry.Region == p.config.Region:
		return sameRegion
	}
	return otherRegion
}

func (p *Paths) find(name string) *peer {
	for _, known := range p.peers {
		if known.Name == name {
			return known
		}
	}
	return nil
}

// Plan says which connection attempts to make for one connection.
type Plan struct {
	// Direct is set if the box tries to connect itself, before it asks peers.
	Direct bool
	// Probe is set if the box, which is cut off, tries to connect itself beside that, to find out whether
	// it still is. The request does not wait for the result.
	Probe bool
	// Peers are asked in this order, each at once when the attempt before it has failed, or when Delay
	// has passed and TakeHedge allows it.
	Peers []Peer
	Delay time.Duration
}

// Plan returns the attempts for a connection to a target of a zone. If regions is not empty, the
// request must not leave them, so only peers there are asked.
func (p *Paths) Plan(now time.Time, zoneName string, regions []string) Plan {
	z := p.zone(zoneName)
	out := Plan{Direct: !z.cutOff, Delay: z.hedgeDelay()}
	if !z.cutOff {
		if z.futile < maxFutilePeerFailures || !now.Before(z.nextPeerTrial) {
			out.Peers = p.choosePeers(now, regions)
		}
		return out
	}
	out.Peers = p.choosePeers(now, regions)
	out.Probe = p.TakeProbe(now, zoneName)
	return out
}

// TakeProbe reports whether the box should try to connect to a zone that it is cut off from. If so, the
// next probe is due after the interval.
func (p *Paths) TakeProbe(now time.Time, zoneName string) bool {
	z := p.zone(zoneName)
	if !z.cutOff || now.Before(z.nextProbe) {
		return false
	}
	z.nextProbe = now.Add(ProbeInterval)
	return true
}

// hedgeDelay returns the time after which a hedged attempt to the zone is due. While the box is cut off
// the attempts are those of peers, and the next is due at the lower bound.
func (z *zone) hedgeDelay() time.Duration {
	if z.cutOff {
		return min(z.connectTimes.quantile(0.5)+minAboveMedian, maxPeerDelay)
	}
	return z.connectTimes.hedgeDelay()
}

// choosePeers returns the peers to ask, nearest first and those with few connections before others. It
// takes one of each class before a second one of a class: boxes of a zone or a region may have lost
// their links together.
func (p *Paths) choosePeers(now time.Time, regions []string) []Peer {
	p.turn++
	usable := make([]*peer, 0, len(p.peers))
	for i := range p.peers {
		known := p.peers[(i+p.turn)%len(p.peers)]
		if !now.Before(known.skipUntil) && isAllowed(known, regions) {
			usable = append(usable, known)
		}
	}
	slices.SortStableFunc(usable, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.open, b.open))
	})
	var chosen []*peer
	for len(chosen) < maxPlannedPeers && len(usable) > 0 {
		i := max(slices.IndexFunc(usable, func(c *peer) bool { return !hasClass(chosen, c.class) }), 0)
		chosen = append(chosen, usable[i])
		usable = slices.Delete(usable, i, i+1)
	}
	out := make([]Peer, 0, len(chosen))
	for _, c := range chosen {
		out = append(out, c.Peer)
	}
	return out
}

func isAllowed(known *peer, regions []string) bool {
	return len(regions) == 0 || slices.Contains(regions, known.Region)
}

func hasClass(list []*peer, class int) bool {
	return slices.ContainsFunc(list, func(c *peer) bool { return c.class == class })
}

// NextPeer returns how long it takes until a peer may be asked again.
func (p *Paths) NextPeer(now time.Time, regions []string) time.Duration {
	wait := unreachablePeerPause
	for _, known := range p.peers {
		if isAllowed(known, regions) {
			wait = min(wait, max(known.skipUntil.Sub(now), 0))
		}
	}
	return wait
}

// RecordPeerFailure records that a peer made no connection to a target of a zone.
func (p *Paths) RecordPeerFailure(now time.Time, zoneName, peerName string, result Result) {
	z := p.zone(zoneName)
	if known := p.find(peerName); known != nil {
		known.skipUntil = now.Add(pauseAfter(result))
	}
	if !z.cutOff && (result == TargetDown || result == TargetUnreached) {
		z.futile++
		z.nextPeerTrial = now.Add(futileInterval)
	}
}

// pauseAfter returns how long a peer is skipped after a failure.
func pauseAfter(result Result) time.Duration {
	switch result {
	case PeerUnreachable:
		return unreachablePeerPause
	case PeerCutOff:
		return cutOffPeerPause
	case TargetUnreached:
		return unsurePeerPause
	case PeerBusy:
		return busyPeerPause
	}
	return 0
}

// RecordPeerOpen records that a connection through a peer was opened, or with -1 that it was closed.
func (p *Paths) RecordPeerOpen(peerName string, change int) {
	if known := p.find(peerName); known != nil {
		known.open = max(known.open+change, 0)
	}
}

// RecordPeerResponse records a response on a connection through a peer.
func (p *Paths) RecordPeerResponse(now time.Time, peerName string) {
	if known := p.find(peerName); known != nil {
		known.lastResponse = now
	}
}

// RecordPeerOverdue records that a response through a peer is overdue for a request that was sent at a
// time. A peer without any response since then is skipped for a while.
func (p *Paths) RecordPeerOverdue(now time.Time, peerName string, sentAt time.Time) {
	if known := p.find(peerName); known != nil && !known.lastResponse.After(sentAt) {
		known.skipUntil = now.Add(unreachablePeerPause)
	}
}

// Peers returns the peers to ask about a target that refuses this box's connections.
func (p *Paths) Peers(now time.Time) []Peer { return p.choosePeers(now, nil) }
