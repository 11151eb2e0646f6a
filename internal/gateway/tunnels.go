package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxTunnels bounds the connections that this box carries for others. Each takes two descriptors and
// 16 KB of buffers: an eighth of the descriptors of the users' smallest boxes, and 4 MB.
const maxTunnels = 256

// newTunnels returns the dialer of connections through peers and the server of those that other
// boxes ask for.
func (d *Daemon) newTunnels() (*tunnel.Dialer, *tunnel.Server) {
	dialer := &net.Dialer{KeepAliveConfig: tunnel.KeepAlive}
	client := &tunnel.Dialer{
		Box: d.config.Name,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		OnBackOff: d.applyPeerBackOff,
	}
	server := tunnel.NewServer(tunnel.ServerConfig{
		Connect:    d.connectForPeer,
		MaxTunnels: maxTunnels,
		Pace:       d.shaper.pace,
		OnBackOff:  d.applyPeerBackOff,
		OnRequest:  d.recordTunnelRequest,
	})
	return client, server
}

// listenForPeers listens for the boxes that ask for connections to targets.
func (d *Daemon) listenForPeers() error {
	if d.config.PeerAddress == "" {
		return nil
	}
	listener := net.ListenConfig{KeepAliveConfig: tunnel.KeepAlive}
	var err error
	d.peerListener, err = listener.Listen(context.Background(), "tcp4", d.config.PeerAddress)
	return errors.Wrap(err, "listening for other entry boxes")
}

// connectForPeer connects to a target for another box. The box itself must reach it: the request
// takes no second hop.
func (d *Daemon) connectForPeer(ctx context.Context, id string) (net.Conn, error) {
	now := d.clock.Now()
	target, backOff, usable := d.sendableTarget(now, id)
	if backOff > 0 {
		return nil, &tunnel.RefusedError{Peer: d.config.Name, Result: targetpath.TargetUnknown, BackOff: backOff}
	}
	if !usable {
		return nil, &tunnel.RefusedError{Peer: d.config.Name, Result: targetpath.TargetUnknown}
	}
	if cutOff, _ := d.connections.paths.stateOf(target.Zone); cutOff {
		return nil, &tunnel.RefusedError{Peer: d.config.Name, Result: targetpath.PeerCutOff}
	}
	conn, err := d.connections.dialTarget(ctx, target)
	if err == nil {
		return conn, nil
	}
	if d.connections.paths.canConnect(d.clock.Now(), target.Zone) {
		return nil, &tunnel.RefusedError{Peer: d.config.Name, Result: targetpath.TargetDown}
	}
	return nil, &tunnel.RefusedError{Peer: d.config.Name, Result: targetpath.TargetUnreached}
}

// sendableTarget returns a registered target, how much longer this box sends it nothing at its
// request, and whether requests may be sent to it.
func (d *Daemon) sendableTarget(now time.Time, id string) (target balance.Target, backOff time.Duration, usable bool) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	target, ok := d.balancing.balancer.Target(id)
	if !ok {
		return target, 0, false
	}
	return target, d.balancing.balancer.BackOffRemaining(now, id), d.balancing.balancer.CanSend(now, id)
}

// applyPeerBackOff applies a back-off that a target asked another box for: the target counts
// requests by the box that connects to it.
func (d *Daemon) applyPeerBackOff(target string, wait time.Duration) {
	now := d.clock.Now()
	d.balancing.Lock()
	began := d.balancing.balancer.ShareBackOff(now, target, wait)
	d.balancing.Unlock()
	if began {
		d.tunnelServer.BackOff(target, wait)
	}
	if began && d.otherLineLimit.Allow(now) {
		d.log.Warn().Str("kind", "backOff").Str("target", target).Dur("retryAfter", wait).Msg("target asked another box for a back-off")
	}
}

// recordTunnelRequest counts a request of another box, and logs it if it was refused.
func (d *Daemon) recordTunnelRequest(r *wire.TunnelRequest, answer *wire.TunnelAnswer) {
	result := "connected"
	if answer.Result != wire.TunnelAnswer_RESULT_CONNECTED {
		result = answer.Result.String()
	}
	d.metrics.tunnelRequests.WithLabelValues(result).Inc()
	if answer.Result == wire.TunnelAnswer_RESULT_CONNECTED || !d.otherLineLimit.Allow(d.clock.Now()) {
		return
	}
	d.log.Info().Str("kind", "tunnel").Str("from", r.From).Str("target", r.Target).Str("result", result).
		Int("open", d.tunnelServer.Open()).Msg("connection for another box refused")
}

// recordTunnel counts an attempt to connect through a peer.
func (d *Daemon) recordTunnel(err error) {
	result := "connected"
	if err != nil {
		result = tunnelResult(err).String()
	}
	d.metrics.tunnels.WithLabelValues(result).Inc()
}

// recordPathChange logs that this box lost its path to an availability zone or has it back, and
// readmits the targets there that were ejected meanwhile: their failures were the box's.
func (d *Daemon) recordPathChange(zone string, change targetpath.Change, e targetpath.Evidence) {
	d.balancing.Lock()
	d.balancing.balancer.ReadmitZone(zone)
	d.balancing.Unlock()
	d.triggerReport()
	line := d.log.Warn().Str("kind", "path").Str("zone", zone).Int("peers", e.Peers).Dur("lasted", e.Lasted).
		Dur("controlAge", d.controlAge()).Strs("cutOffZones", d.connections.paths.cutOffZones())
	if change == targetpath.Restored {
		line.Msg("connecting to the targets of the zone again")
		return
	}
	line.Int("failures", e.Failures).Int("failedTargets", e.FailedTargets).Int("reachedTargets", e.ReachedTargets).
		Msg("cut off from the targets of the zone; connecting through other boxes")
}

// isCutOff reports whether the box reaches none of the availability zones of its region that have
// targets.
func (d *Daemon) isCutOff() bool {
	if len(d.connections.paths.cutOffZones()) == 0 {
		return false
	}
	d.balancing.Lock()
	zones := d.balancing.balancer.TargetZones(d.config.Region)
	d.balancing.Unlock()
	for _, zone := range zones {
		if cutOff, _ := d.connections.paths.stateOf(zone); !cutOff {
			return false
		}
	}
	return len(zones) > 0
}

// probePaths tries to connect to the zones that the box is cut off from. Requests do so too, but a box
// that lookups no longer name gets none.
func (d *Daemon) probePaths(ctx context.Context) error {
	ticker := time.NewTicker(targetpath.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			for _, zone := range d.connections.paths.cutOffZones() {
				d.probeZone(ctx, zone)
			}
		}
	}
}

// probeZone tries to connect to one target of a zone if a probe is due.
func (d *Daemon) probeZone(ctx context.Context, zone string) {
	d.balancing.Lock()
	target, ok := d.balancing.balancer.ProbeTarget(zone)
	d.balancing.Unlock()
	if ok && d.connections.paths.takeProbe(d.clock.Now(), zone) {
		d.connections.probeDirectly(ctx, target)
	}
}

// setPeers applies the peers that a replica named.
func (d *Daemon) setPeers(list *wire.PeerBoxes) {
	peers := make([]targetpath.Peer, 0, len(list.Boxes))
	for _, b := range list.Boxes {
		peers = append(peers, targetpath.Peer{Name: b.Name, Zone: b.Zone, Region: b.Region, Address: b.Address})
	}
	d.connections.paths.setPeers(peers)
	d.peersDigest = list.Digest
}
