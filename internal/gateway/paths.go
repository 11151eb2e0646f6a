package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
)

// paths guards the state by which connections to targets are planned.
type paths struct {
	mu    lockorder.Mutex
	state *targetpath.Paths
	// onChange is called, without the lock, when the box loses or regains its path to a zone.
	onChange func(zone string, change targetpath.Change, evidence targetpath.Evidence)
	// loss is closed when the box next loses its path to a zone.
	loss chan struct{}
}

func newPaths(c targetpath.Config, onChange func(string, targetpath.Change, targetpath.Evidence)) *paths {
	return &paths{state: targetpath.New(c), onChange: onChange, loss: make(chan struct{})}
}

// report calls onChange for a change.
func (p *paths) report(zone string, change targetpath.Change, evidence targetpath.Evidence) {
	if change == targetpath.Unchanged {
		return
	}
	p.onChange(zone, change, evidence)
	if change == targetpath.Lost {
		p.mu.Lock()
		defer p.mu.Unlock()
		close(p.loss)
		p.loss = make(chan struct{})
	}
}

// nextLoss returns a channel that is closed when the box next loses its path to a zone.
func (p *paths) nextLoss() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.loss
}

func (p *paths) plan(now time.Time, zone string, regions []string) targetpath.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Plan(now, zone, regions)
}

// recordAttempt records that the box starts a connection attempt of its own.
func (p *paths) recordAttempt(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordAttempt(now)
}

// takeHedge reports whether a hedged attempt to a zone may be started, and charges it to the budget.
func (p *paths) takeHedge(now time.Time, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.TakeHedge(now, zone)
}

func (p *paths) setPeers(list []targetpath.Peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.SetPeers(list)
}

// peers returns the peers to ask about a target that refuses this box's connections.
func (p *paths) peers(now time.Time) []targetpath.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Peers(now)
}

// nextPeer returns how long it takes until a peer may be asked again.
func (p *paths) nextPeer(now time.Time, regions []string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.NextPeer(now, regions)
}

func (p *paths) peerCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.PeerCount()
}

// stateOf returns whether the box is cut off from a zone, and whether its own open connections to
// it may be used.
func (p *paths) stateOf(zone string) (cutOff, canUseOpen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.IsCutOff(zone), p.state.CanUseOpen(zone)
}

func (p *paths) takeProbe(now time.Time, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.TakeProbe(now, zone)
}

func (p *paths) cutOffZones() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.CutOffZones()
}

func (p *paths) wasLostSince(zone string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.WasLostSince(zone, since)
}

func (p *paths) canConnect(now time.Time, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.CanConnect(now, zone)
}

func (p *paths) heardSince(zone string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.HeardSince(zone, since)
}

// recordDial records the result of a connection attempt of the box itself. An attempt that was
// canceled has none.
func (p *paths) recordDial(now time.Time, target balance.Target, took time.Duration, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	p.mu.Lock()
	var change targetpath.Change
	var evidence targetpath.Evidence
	if err == nil {
		change, evidence = p.state.RecordConnect(now, target.Zone, took)
	} else {
		change, evidence = p.state.RecordConnectFailure(now, target.Zone, target.ID)
	}
	p.mu.Unlock()
	p.report(target.Zone, change, evidence)
}

// recordTunnel records the result of an attempt through a peer.
func (p *paths) recordTunnel(now time.Time, target balance.Target, peer string, err error) {
	p.mu.Lock()
	var change targetpath.Change
	var evidence targetpath.Evidence
	if err == nil {
		change, evidence = p.state.RecordTunnel(now, target.Zone, target.ID, peer)
	} else {
		p.state.RecordPeerFailure(now, target.Zone, peer, tunnelResult(err))
	}
	p.mu.Unlock()
	p.report(target.Zone, change, evidence)
}

// tunnelResult returns why a peer made no connection.
func tunnelResult(err error) targetpath.Result {
	var refused *tunnel.RefusedError
	if errors.As(err, &refused) {
		return refused.Result
	}
	return targetpath.PeerUnreachable
}

func (p *paths) recordOpen(peer string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordPeerOpen(peer, change)
}

// recordResponse records a response on a connection.
func (p *paths) recordResponse(now time.Time, zone, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer != "" {
		p.state.RecordPeerResponse(now, peer)
		return
	}
	p.state.RecordResponse(now, zone)
}

func (p *paths) recordPeerOverdue(now time.Time, peer string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.RecordPeerOverdue(now, peer, sentAt)
}
