// Package targetpath decides by which path an entry box reaches the targets of an availability
// zone: by its own connections, or through a peer, another entry box that connects to the target
// and joins the two connections. It is a state machine without I/O: Paths takes the current time
// and the results of connection attempts, and returns which attempts to make.
//
// A connection that fails says nothing about whether the target or the box has lost its link.
// Paths holds the box to be cut off from a zone only if peers connect to targets there that it
// can't connect to itself. All it knows is by zone: a box may be cut off from one zone only, and a
// fleet has few zones and many targets.
package targetpath

import (
	"slices"
	"time"
)

const (
	// A box counts as cut off after minFailures of its connection attempts in a row have failed, if
	// peers reached minReachedTargets of these targets, or the only one that was tried: a target at
	// its connection limit resets some connections and accepts others.
	minFailures       = 3
	minReachedTargets = 2
	// maxTrackedTargets bounds the targets that are kept for each zone between two connections.
	maxTrackedTargets = 16
	// ProbeInterval is how often a box that is cut off tries to connect itself, in each zone, and
	// minProbeSuccesses how often in a row that must succeed before it uses its own connections
	// again.
	ProbeInterval     = 250 * time.Millisecond
	minProbeSuccesses = 2
	// After maxFutilePeerFailures attempts in a row in which no peer reached a zone either, peers
	// are asked for that zone only once in each futileInterval: its targets are down.
	maxFutilePeerFailures = 3
	futileInterval        = 500 * time.Millisecond
	// connectWindow is how recent this box's own last connection to a zone must be for its failure to
	// connect to a target to count as the target's.
	connectWindow = time.Second
)

// Peer is another entry box.
type Peer struct {
	Name    string
	Zone    string
	Region  string
	Address string
}

// Config identifies the box.
type Config struct {
	Zone   string
	Region string
}

// Paths holds what a box knows of its paths. It is not safe for concurrent use.
type Paths struct {
	config Config
	zones  map[string]*zone
	peers  []*peer
	budget hedgeBudget
	// turn rotates the choice among equally good peers.
	turn int
}

// zone is what the box knows of its path to one availability zone.
type zone struct {
	// failed are the targets that the box failed to connect to since its last connection, reached
	// those that peers connected to since then.
	failed, reached map[string]bool
	// failures counts the failures of the box since its last connection.
	failures  int
	cutOff    bool
	changedAt time.Time
	// lastConnect and lastResponse are the times of the last connection by the box itself and of the
	// last response on one.
	lastConnect, lastResponse time.Time
	connectTimes              connectTimes
	nextProbe                 time.Time
	successes                 int
	// futile counts the attempts in a row in which a peer did not reach the zone either.
	futile        int
	nextPeerTrial time.Time
}

// New returns the paths of a box that is not cut off and knows no peers.
func New(c Config) *Paths { return &Paths{config: c, zones: make(map[string]*zone)} }

func (p *Paths) zone(name string) *zone {
	z := p.zones[name]
	if z == nil {
		z = &zone{failed: make(map[string]bool), reached: make(map[string]bool)}
		p.zones[name] = z
	}
	return z
}

// Change is the effect of a result on the path to a zone.
type Change int

// The effects of a result on the path to a zone.
const (
	Unchanged Change = iota
	// Lost: the box is cut off from the zone.
	Lost
	// Restored: the box connects to targets of the zone itself again.
	Restored
)

// Evidence is why a path changed.
type Evidence struct {
	// Failures is how many attempts of the box failed in a row, at FailedTargets targets of which
	// peers reached ReachedTargets.
	Failures       int
	FailedTargets  int
	ReachedTargets int
	// Peers is how many peers the box knows.
	Peers int
	// Lasted is the time since the last connection of the box, or for which it was cut off.
	Lasted time.Duration
}

// RecordConnect records that the box itself connected to a target, in the given time.
func (p *Paths) RecordConnect(now time.Time, zoneName string, took time.Duration) (Change, Evidence) {
	z := p.zone(zoneName)
	z.lastConnect = now
	z.connectTimes.record(now, took)
	if !z.cutOff {
		z.forgetFailures()
		return Unchanged, Evidence{}
	}
	if z.successes++; z.successes < minProbeSuccesses {
		z.nextProbe = now
		return Unchanged, Evidence{}
	}
	lasted := now.Sub(z.changedAt)
	z.cutOff = false
	z.changedAt = now
	z.forgetFailures()
	return Restored, Evidence{Peers: len(p.peers), Lasted: lasted}
}

// RecordConnectFailure records that the box itself failed to connect to a target.
func (p *Paths) RecordConnectFailure(now time.Time, zoneName, target string) (Change, Evidence) {
	z := p.zone(zoneName)
	z.successes = 0
	z.failures++
	add(z.failed, target)
	return p.judge(now, z)
}

// RecordTunnel records that a peer connected to a target.
func (p *Paths) RecordTunnel(now time.Time, zoneName, target, peerName string) (Change, Evidence) {
	if found := p.find(peerName); found != nil {
		found.skipUntil = time.Time{}
	}
	z := p.zone(zoneName)
	z.futile = 0
	add(z.reached, target)
	return p.judge(now, z)
}

// add adds a target to a set of bounded size.
func add(set map[string]bool, target string) {
	if len(set) < maxTrackedTargets {
		set[target] = true
	}
}

// judge decides whether the box is cut off from a zone.
func (p *Paths) judge(now time.Time, z *zone) (Change, Evidence) {
	reached := z.failedAndReached()
	if z.cutOff || z.failures < minFailures || reached == 0 || reached < min(minReachedTargets, len(z.failed)) {
		return Unchanged, Evidence{}
	}
	z.cutOff = true
	z.changedAt = now
	z.successes = 0
	z.nextProbe = now.Add(ProbeInterval)
	e := Evidence{Failures: z.failures, FailedTargets: len(z.failed), ReachedTargets: reached, Peers: len(p.peers)}
	if !z.lastConnect.IsZero() {
		e.Lasted = now.Sub(z.lastConnect)
	}
	return Lost, e
}

// failedAndReached returns the number of targets that the box failed to connect to and peers reached.
func (z *zone) failedAndReached() (n int) {
	for target := range z.failed {
		if z.reached[target] {
			n++
		}
	}
	return n
}

func (z *zone) forgetFailures() {
	clear(z.failed)
	clear(z.reached)
	z.failures = 0
	z.futile = 0
}

// RecordResponse records a response on a connection of the box itself.
func (p *Paths) RecordResponse(now time.Time, zoneName string) { p.zone(zoneName).lastResponse = now }

// IsCutOff reports whether the box is cut off from a zone.
func (p *Paths) IsCutOff(zoneName string) bool {
	z := p.zones[zoneName]
	return z != nil && z.cutOff
}

// CutOffZones returns the zones that the box is cut off from, sorted.
func (p *Paths) CutOffZones() (out []string) {
	for name, z := range p.zones {
		if z.cutOff {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// WasLostSince reports whether the box is cut off from a zone, or was at any time since a given one.
// A result from that time says nothing about a target.
func (p *Paths) WasLostSince(zoneName string, since time.Time) bool {
	z := p.zones[zoneName]
	return z != nil && (z.cutOff || z.changedAt.After(since))
}

// CanConnect reports whether the box itself has connected to the zone lately, so that its failure to
// connect to a target is the target's. Responses on open connections don't tell that: these may live
// on while new ones fail.
func (p *Paths) CanConnect(now time.Time, zoneName string) bool {
	z := p.zones[zoneName]
	return z != nil && !z.cutOff && now.Sub(z.lastConnect) < connectWindow
}

// HeardSince reports whether the box itself has connected to the zone or had a response from it
// since a time.
func (p *Paths) HeardSince(zoneName string, since time.Time) bool {
	z := p.zones[zoneName]
	return z != nil && (z.lastConnect.After(since) || z.lastResponse.After(since))
}

// CanUseOpen reports whether the box's own open connections to a zone may be used. While new ones fail,
// open ones may still work or have gone silent: they are used once a response has arrived on one.
func (p *Paths) CanUseOpen(zoneName string) bool {
	z := p.zones[zoneName]
	return z == nil || !z.cutOff || z.lastResponse.After(z.changedAt)
}
