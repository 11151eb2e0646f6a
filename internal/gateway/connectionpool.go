package gateway

import (
	"bufio"
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/tcpconn"
	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
)

const (
	// defaultKeepAlive is how long a connection is kept if its target declares no keep-alive
	// timeout.
	defaultKeepAlive = 3 * time.Second
	// idleFraction is the fraction of the target's keep-alive timeout for which an idle connection
	// is used, so that the target does not close it while a request is sent.
	idleFraction = 0.7
	// maxIdlePerTarget bounds the idle connections to one target: a target has few slots.
	maxIdlePerTarget = 16
	// readBuffer holds a typical response header.
	readBuffer = 2 << 10
)

// connection is a connection to a target. One request at a time uses it.
type connection struct {
	net.Conn
	// reader reads from the connection through head, which bounds response heads.
	reader *bufio.Reader
	head   *headReader
	// peer is the box that it leads through; its name is empty for a connection of this box itself.
	peer targetpath.Peer
	// used tells that a request was sent on it before.
	used bool
	// outOfSync tells that a response to another request was read from it.
	outOfSync bool
	idleUntil time.Time
	// onClose is called when the connection is closed, at most once; nil for none.
	onClose func()
	closing sync.Once
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.closing.Do(func() {
		if c.onClose != nil {
			c.onClose()
		}
	})
	return c.Conn.Close()
}

func newConnection(conn net.Conn, peer targetpath.Peer) *connection {
	head := &headReader{source: conn}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(head, readBuffer), head: head, peer: peer}
}

// isDirect reports whether the connection does not lead through a peer.
func (c *connection) isDirect() bool { return c.peer.Name == "" }

// connectionPool keeps idle connections by target.
type connectionPool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// reusable reports whether an idle connection is open and has no unread data.
	reusable func(net.Conn) bool
	clock    *boottime.Clock
	paths    *paths
	// tunnels opens connections through peers.
	tunnels *tunnel.Dialer
	mu      lockorder.Mutex
	idle    map[string][]*connection
	// closed is set by close; running are the connection attempts that no request waits for.
	closed  bool
	running sync.WaitGroup
	// onDial is called with the result of each connection attempt of this box itself, and onTunnel
	// with that of each attempt through a peer.
	onDial   func(target balance.Target, err error)
	onTunnel func(err error)
	// onPlan is called with the delay of hedged attempts to a zone for each connection, and onHedge
	// when one is due, with whether it was started or suppressed by the budget.
	onPlan  func(zone string, delay time.Duration)
	onHedge func(zone string, started bool)
}

func newConnectionPool() *connectionPool {
	return &connectionPool{idle: make(map[string][]*connection), dial: dialTCP, reusable: isReusable}
}

// dialTCP connects to a target. The connection tells a reset from the end of a response.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return tcpconn.Wrap(conn), nil
}

// get returns an idle connection that is still reusable, or a new one. A request with regions must
// not leave them.
func (p *connectionPool) get(ctx context.Context, target balance.Target, regions []string) (*connection, error) {
	for {
		c := p.pop(target, regions)
		if c == nil {
			return p.connect(ctx, target, regions)
		}
		if p.clock.Now().Before(c.idleUntil) && p.reusable(c.Conn) {
			return c, nil
		}
		_ = c.Close() // no request is in flight on it
	}
}

// pop takes the connection from the pool that was used last, of those that the request may use.
func (p *connectionPool) pop(target balance.Target, regions []string) *connection {
	cutOff, canUseOpen := p.paths.stateOf(target.Zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target.ID]
	for i, c := range slices.Backward(list) {
		if c.isDirect() && canUseOpen || !c.isDirect() && cutOff && (len(regions) == 0 || slices.Contains(regions, c.peer.Region)) {
			p.idle[target.ID] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put returns a connection without a request in flight to the pool. One that leads through a peer is
// kept only while this box is cut off.
func (p *connectionPool) put(target balance.Target, c *connection, idle time.Duration) {
	c.used = true
	c.idleUntil = p.clock.Now().Add(time.Duration(float64(idle) * idleFraction))
	cutOff, _ := p.paths.stateOf(target.Zone)
	if !c.isDirect() && !cutOff || !p.add(target.ID, c) {
		_ = c.Close() // no request is in flight on it
	}
}

// add adds an idle connection, unless its target has enough of them or the pool is closed.
func (p *connectionPool) add(target string, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[target]) >= maxIdlePerTarget {
		return false
	}
	p.idle[target] = append(p.idle[target], c)
	return true
}

// closeExpired closes connections that have been idle for too long, those of targets that are no longer
// registered, and those whose peer shuts down. It calls registered without its lock.
func (p *connectionPool) closeExpired(now time.Time, registered func(target string) bool) {
	ended := unregistered(p.idleTargets(), registered)
	for _, c := range p.removeExpired(now, ended) {
		_ = c.Close() // no request is in flight on it
	}
}

// idleTargets returns the targets that have idle connections.
func (p *connectionPool) idleTargets() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.idle))
}

// removeExpired removes the connections to close from the pool: those that have been idle for too
// long, those of ended targets, and those whose peer shuts down.
func (p *connectionPool) removeExpired(now time.Time, ended map[string]bool) (removed []*connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if !ended[target] && now.Before(c.idleUntil) && (c.isDirect() || p.reusable(c.Conn)) {
				kept = append(kept, c)
				continue
			}
			removed = append(removed, c)
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
	return removed
}

// startBackground runs a function that close waits for, unless the pool is closed.
func (p *connectionPool) startBackground(run func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.running.Go(run)
	}
	return !p.closed
}

// close closes the idle connections and waits for the connection attempts that no request waits for.
func (p *connectionPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeExpired(p.clock.Now(), func(string) bool { return false })
	p.running.Wait()
}

// isReusable reports whether a connection is open and has no unread data: a target that has closed
// it, or sent data without a request, must not get another request on it.
func isReusable(c net.Conn) bool {
	if t, ok := c.(*tunnel.Conn); ok {
		if !t.IsReusable() {
			return false
		}
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// keepAliveTimeout parses the timeout that a target declares in its Keep-Alive header.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultKeepAlive
}
