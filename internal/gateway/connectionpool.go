package gateway

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/balance"
)

const (
	// dialTimeout bounds a connection attempt: two of the longest round trips between regions,
	// 70 ms each, and the target's handshake, with room for one lost packet on the shorter paths.
	dialTimeout = 300 * time.Millisecond
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
	reader *bufio.Reader
	// used tells that a request was sent on it before.
	used bool
	// outOfSync tells that a response to another request was read from it.
	outOfSync bool
	idleUntil time.Time
}

// connectionPool keeps idle connections by target.
type connectionPool struct {
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	clock  *boottime.Clock
	mu     sync.Mutex
	idle   map[string][]*connection
	closed bool
	// onDial is called with the result of each connection attempt.
	onDial func(target balance.Target, err error)
}

func newConnectionPool(onDial func(balance.Target, error)) *connectionPool {
	dialer := &net.Dialer{KeepAlive: -1}
	return &connectionPool{idle: make(map[string][]*connection), onDial: onDial, dial: dialer.DialContext}
}

// get returns an idle connection that is still reusable, or a new one.
func (p *connectionPool) get(ctx context.Context, target balance.Target) (*connection, error) {
	for {
		c := p.pop(target.ID)
		if c == nil {
			break
		}
		if p.clock.Now().Before(c.idleUntil) && isReusable(c.Conn) {
			return c, nil
		}
		_ = c.Close() // no request is in flight on it
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, "tcp4", target.Address)
	p.onDial(target, err)
	if err != nil {
		return nil, errors.Wrap(err, "connecting to the target")
	}
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (p *connectionPool) pop(target string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

// put returns a connection without a request in flight to the pool.
func (p *connectionPool) put(target string, c *connection, idle time.Duration) {
	c.used = true
	c.idleUntil = p.clock.Now().Add(time.Duration(float64(idle) * idleFraction))
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[target]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[target] = append(p.idle[target], c)
}

// closeExpired closes connections that have been idle for too long and those of targets that are no
// longer registered.
func (p *connectionPool) closeExpired(now time.Time, registered func(target string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if registered(target) && now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, target)
			continue
		}
		p.idle[target] = kept
	}
}

func (p *connectionPool) close() {
	p.closeExpired(p.clock.Now(), func(string) bool { return false })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
}

// isReusable reports whether a connection is open and has no unread data: a target that has closed
// it, or sent data without a request, must not get another request on it.
func isReusable(c net.Conn) bool {
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
