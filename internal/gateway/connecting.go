package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
)

const (
	// dialTimeout bounds a connection attempt of the box itself.
	dialTimeout = targetpath.DialTimeout
	// tunnelTimeout bounds an attempt through a peer: the connection to the peer, the request and
	// the peer's own attempt.
	tunnelTimeout = 2 * dialTimeout
)

// noPathError says that this box can't connect to a target and no peer has done so either, which
// says nothing about the target.
type noPathError struct {
	Zone string
	// RetryAfter is when a peer may be available again.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *noPathError) Error() string {
	text := "this box is cut off from zone " + e.Zone + " and no other box connects it"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the error of the last attempt.
func (e *noPathError) Unwrap() error { return e.Err }

// withdrawnError says that a peer must not connect to a target.
type withdrawnError struct{ Err error }

// Error implements error.
func (e *withdrawnError) Error() string { return e.Err.Error() }

// errPoolClosed says that the box has stopped.
var errPoolClosed = errors.New("the box has stopped")

// connectResult is the result of one connection attempt.
type connectResult struct {
	conn net.Conn
	// peer is the box through which the attempt was made; its name is empty for this box's own.
	peer targetpath.Peer
	err  error
}

// connecting is a connection that is being established: its attempts run side by side, and the first
// that succeeds is used.
type connecting struct {
	pool    *connectionPool
	target  balance.Target
	regions []string
	plan    targetpath.Plan
	results chan connectResult
	// started and pending count the attempts that were started and those that have not ended.
	started, pending int
	// directErr and peerErr are the errors of the box's own attempt and of the last through a peer.
	// targetDown is set once a peer that connects to others of the zone did not reach the target.
	directErr, peerErr error
	targetDown         bool
	// suppressed is set once the budget has held back a hedged attempt.
	suppressed bool
}

// connect opens a connection to a target, by this box itself or through a peer.
func (p *connectionPool) connect(ctx context.Context, target balance.Target, regions []string) (*connection, error) {
	plan := p.paths.plan(p.clock.Now(), target.Zone, regions)
	p.onPlan(target.Zone, plan.Delay)
	if len(plan.Peers) == 0 && plan.Direct {
		return p.connectDirectly(ctx, target)
	}
	c := &connecting{pool: p, target: target, regions: regions, plan: plan, results: make(chan connectResult, len(plan.Peers)+1)}
	return c.run(ctx)
}

// connectDirectly connects without peers.
func (p *connectionPool) connectDirectly(ctx context.Context, target balance.Target) (*connection, error) {
	conn, err := p.dialTarget(ctx, target)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to the target")
	}
	return newConnection(conn, targetpath.Peer{}), nil
}

// dialTarget makes one connection attempt of this box itself and records its result.
func (p *connectionPool) dialTarget(ctx context.Context, target balance.Target) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := p.clock.Now()
	p.paths.recordAttempt(began)
	conn, err := p.dial(ctx, "tcp4", target.Address)
	p.onDial(target, err)
	p.paths.recordDial(p.clock.Now(), target, p.clock.Since(began), err)
	return conn, err
}

// run makes the planned attempts and returns the first connection.
func (c *connecting) run(ctx context.Context) (*connection, error) {
	if c.plan.Probe {
		c.pool.probeDirectly(context.WithoutCancel(ctx), c.target)
	}
	if c.plan.Direct {
		c.start(ctx, c.dial)
	} else {
		c.startNext(ctx)
	}
	delay := time.NewTimer(c.plan.Delay)
	defer delay.Stop()
	for c.pending > 0 {
		select {
		case <-ctx.Done():
			c.abandon()
			return nil, errors.Wrap(context.Cause(ctx), "connecting to the target")
		case r := <-c.results:
			c.pending--
			if r.err == nil {
				c.abandon()
				return c.pool.adopt(r), nil
			}
			c.recordFailure(r)
			if c.targetDown && c.directErr != nil {
				c.abandonTo(c.remainingPeers())
				return nil, c.failure()
			}
			if c.startNext(ctx) {
				delay.Reset(c.plan.Delay)
			}
		case <-delay.C:
			c.hedge(ctx)
			delay.Reset(c.plan.Delay)
		}
	}
	return nil, c.failure()
}

// start starts an attempt, which outlives the request: its result tells about the path.
func (c *connecting) start(ctx context.Context, attempt func(context.Context) connectResult) {
	c.pending++
	ctx = context.WithoutCancel(ctx)
	if !c.pool.startBackground(func() { c.results <- attempt(ctx) }) {
		c.results <- connectResult{err: errPoolClosed}
	}
}

// startNext starts the attempt through the next peer and reports whether there was one.
func (c *connecting) startNext(ctx context.Context) bool {
	if c.started >= len(c.plan.Peers) {
		return false
	}
	peer := c.plan.Peers[c.started]
	c.started++
	c.start(ctx, func(ctx context.Context) connectResult { return c.pool.openTunnel(ctx, peer, c.target) })
	return true
}

// hedge starts the attempt through the next peer beside those that have not ended, if there is one
// and the budget allows it. One that was suppressed is tried again after the same delay: by then the
// box may have recorded failures that lift the limit.
func (c *connecting) hedge(ctx context.Context) {
	if len(c.remainingPeers()) == 0 || len(c.results) > 0 {
		return // after a stall of the box the result and the timer are due together
	}
	if c.pool.paths.takeHedge(c.pool.clock.Now(), c.target.Zone) {
		c.pool.onHedge(c.target.Zone, true)
		c.startNext(ctx)
		return
	}
	if !c.suppressed {
		c.suppressed = true
		c.pool.onHedge(c.target.Zone, false)
	}
}

func (c *connecting) dial(ctx context.Context) connectResult {
	conn, err := c.pool.dialTarget(ctx, c.target)
	return connectResult{conn: conn, err: err}
}

func (c *connecting) recordFailure(r connectResult) {
	if r.peer.Name == "" {
		c.directErr = r.err
		return
	}
	c.peerErr = r.err
	var refused *tunnel.RefusedError
	c.targetDown = errors.As(r.err, &refused) && (refused.Result == targetpath.TargetDown || refused.BackOff > 0)
}

// failure returns the error after all attempts.
func (c *connecting) failure() error {
	var refused *tunnel.RefusedError
	isWithheld := errors.As(c.peerErr, &refused) && refused.Result == targetpath.TargetUnknown
	switch {
	case isWithheld && (refused.BackOff > 0 || !c.plan.Direct):
		return &withdrawnError{c.peerErr}
	case c.plan.Direct && c.directErr != nil:
		return errors.Wrap(c.directErr, "connecting to the target")
	case !c.targetDown:
		return &noPathError{Zone: c.target.Zone, RetryAfter: c.pool.paths.nextPeer(c.pool.clock.Now(), c.regions), Err: c.peerErr}
	}
	return errors.Wrap(c.peerErr, "connecting to the target")
}

// remainingPeers returns the planned peers that were not asked.
func (c *connecting) remainingPeers() []targetpath.Peer { return c.plan.Peers[c.started:] }

// abandon handles the results of the attempts that are not waited for any more.
func (c *connecting) abandon() { c.abandonTo(nil) }

// abandonTo is abandon, and goes on asking peers in the background until one connects. A peer may
// have lost its path together with this box without knowing it yet; the request does not wait for
// the farther ones that may have not, but what they find tells about the path.
func (c *connecting) abandonTo(peers []targetpath.Peer) {
	if c.pending == 0 && len(peers) == 0 {
		return
	}
	c.pool.startBackground(func() {
		connected := false
		for range c.pending {
			r := <-c.results
			connected = connected || r.err == nil
			c.pool.keep(c.target, r)
		}
		for _, peer := range peers {
			if connected {
				return
			}
			r := c.pool.openTunnel(context.Background(), peer, c.target)
			connected = r.err == nil
			c.pool.keep(c.target, r)
		}
	})
}

// keep handles the result of an attempt that no request waits for: a connection of this box itself is
// kept for another request, one through a peer is closed.
func (p *connectionPool) keep(target balance.Target, r connectResult) {
	switch {
	case r.err != nil: // recorded by the attempt
	case r.peer.Name == "":
		p.put(target, newConnection(r.conn, targetpath.Peer{}), defaultKeepAlive)
	default:
		_ = r.conn.Close() // nothing was sent on it
	}
}

// adopt returns the connection of a successful attempt.
func (p *connectionPool) adopt(r connectResult) *connection {
	out := newConnection(r.conn, r.peer)
	if !out.isDirect() {
		p.paths.recordOpen(r.peer.Name, 1)
		out.onClose = func() { p.paths.recordOpen(r.peer.Name, -1) }
	}
	return out
}

// openTunnel makes one attempt through a peer and records its result.
func (p *connectionPool) openTunnel(ctx context.Context, peer targetpath.Peer, target balance.Target) connectResult {
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	conn, err := p.tunnels.Open(ctx, peer, target.ID)
	p.onTunnel(err)
	p.paths.recordTunnel(p.clock.Now(), target, peer.Name, err)
	if err == nil {
		return connectResult{conn: conn, peer: peer}
	}
	var refused *tunnel.RefusedError
	if errors.As(err, &refused) && refused.BackOff > 0 {
		p.tunnels.OnBackOff(target.ID, refused.BackOff)
	}
	return connectResult{peer: peer, err: err}
}

// probe makes a connection attempt that no request waits for and keeps the connection.
func (p *connectionPool) probe(ctx context.Context, target balance.Target) {
	p.startBackground(func() {
		c, err := p.connect(ctx, target, nil)
		if err != nil {
			return // recorded by the attempts
		}
		p.put(target, c, defaultKeepAlive)
	})
}

// probeDirectly makes one connection attempt of this box itself that no request waits for and keeps
// the connection.
func (p *connectionPool) probeDirectly(ctx context.Context, target balance.Target) {
	p.startBackground(func() {
		conn, err := p.dialTarget(ctx, target)
		p.keep(target, connectResult{conn: conn, err: err})
	})
}

// errReachedByPeer says that a target refuses this box's connections but not those of a peer.
var errReachedByPeer = errors.New("another box connects to the target")

// confirmRefused asks peers whether a target that refuses this box's connections refuses theirs too.
// It returns nil if one says so, or if this box knows no peer.
func (p *connectionPool) confirmRefused(ctx context.Context, target balance.Target) error {
	if p.paths.peerCount() == 0 {
		return nil
	}
	var last error = &noPathError{Zone: target.Zone}
	for _, peer := range p.paths.peers(p.clock.Now()) {
		r := p.openTunnel(ctx, peer, target)
		if r.err == nil {
			_ = r.conn.Close() // nothing was sent on it
			return errReachedByPeer
		}
		var refused *tunnel.RefusedError
		if errors.As(r.err, &refused) && refused.Result == targetpath.TargetDown {
			return nil
		}
		last = r.err
	}
	return last
}
