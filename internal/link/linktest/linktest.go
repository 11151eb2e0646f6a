// Package linktest is an in-memory network of slow connections for tests in virtual
// time. It delivers whole yamux frames: a yamux stream holds a mutex while it waits
// for the rest of a frame, and virtual time does not advance while a goroutine is
// blocked on a mutex.
package linktest

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// frameHeader is the length of a yamux frame's header. If the second byte, the
	// type, is dataFrame, the last four hold the length of the data that follows.
	frameHeader = 12
	dataFrame   = 0
	// maxFrames bounds the frames in transit in one direction.
	maxFrames = 1 << 16
)

// Network connects clients with the listener at an address.
type Network struct {
	// DownBytesPerSecond is the rate of all connections together towards the dialling
	// ends, UpBytesPerSecond that of the other direction; zero for no limit.
	DownBytesPerSecond int
	UpBytesPerSecond   int
	// SocketBuffer is how many bytes a write may leave untransmitted when it returns.
	SocketBuffer int
	// ExtraDelay returns the additional delay of the nth write towards a dialling end,
	// as after a loss. Later data arrives after it. It may be nil.
	ExtraDelay func(n int) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*Conn
	down, up  sharedLink
}

// sharedLink is the capacity that the connections of a network share in one direction.
type sharedLink struct {
	mu        sync.Mutex
	busyUntil time.Time
}

// transmit reserves the link for some time and returns when the transmission ends.
func (r *sharedLink) transmit(duration time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.busyUntil.Before(now) {
		r.busyUntil = now
	}
	r.busyUntil = r.busyUntil.Add(duration)
	return r.busyUntil
}

// Listen listens at an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	l := &listener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dial connects to the listener at an address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	down, up := newDirection(&n.down, n.DownBytesPerSecond, n.SocketBuffer), newDirection(&n.up, n.UpBytesPerSecond, n.SocketBuffer)
	down.extraDelay = n.ExtraDelay
	down.prefaced = true // only the dialling side sends a first byte
	near, far := &Conn{in: down, out: up}, &Conn{in: up, out: down}
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, near)
	return near, nil
}

// Dialled returns the dialling ends of all connections, in the order in which they were opened.
func (n *Network) Dialled() []*Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*Conn(nil), n.conns...)
}

type listener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.address, Net: "memory"} }

// direction is one direction of a connection.
type direction struct {
	link           *sharedLink
	bytesPerSecond int
	socketBuffer   int
	extraDelay     func(n int) time.Duration
	frames         chan frame
	closed         chan struct{}
	once           sync.Once
	dropping       atomic.Bool
	// The following belong to the writer. prefaced is set after the byte that opens a
	// link; pending holds an incomplete frame.
	prefaced bool
	pending  []byte
	writes   int
}

type frame struct {
	arrivesAt time.Time
	data      []byte
}

func newDirection(r *sharedLink, bytesPerSecond, socketBuffer int) *direction {
	return &direction{
		link:           r,
		bytesPerSecond: bytesPerSecond,
		socketBuffer:   socketBuffer,
		frames:         make(chan frame, maxFrames),
		closed:         make(chan struct{}),
	}
}

// transmitTime returns how long the transmission of a number of bytes takes.
func (l *direction) transmitTime(bytes int) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.bytesPerSecond) * float64(time.Second))
}

// nextDelay returns the additional delay of the next write.
func (l *direction) nextDelay() time.Duration {
	if l.extraDelay == nil {
		return 0
	}
	l.writes++
	return l.extraDelay(l.writes)
}

func (l *direction) nextFrame() (length int, whole bool) {
	if !l.prefaced {
		l.prefaced = len(l.pending) > 0
		return 1, l.prefaced
	}
	if len(l.pending) < frameHeader {
		return 0, false
	}
	n := frameHeader
	if l.pending[1] == dataFrame {
		n += int(binary.BigEndian.Uint32(l.pending[frameHeader-4:]))
	}
	return n, len(l.pending) >= n
}

// Conn is one end of a connection.
type Conn struct {
	in, out *direction
	unread  []byte
}

// DropTraffic drops all data written to the connection from now on, in both directions.
func (c *Conn) DropTraffic() {
	c.in.dropping.Store(true)
	c.out.dropping.Store(true)
}

// Write implements net.Conn. It blocks while more than the socket's buffer is
// untransmitted.
func (c *Conn) Write(b []byte) (int, error) {
	l := c.out
	if l.dropping.Load() {
		return len(b), nil
	}
	transmitted := l.link.transmit(l.transmitTime(len(b)))
	arrives := transmitted.Add(l.nextDelay())
	l.pending = append(l.pending, b...)
	for {
		n, whole := l.nextFrame()
		if !whole {
			break
		}
		l.frames <- frame{arrives, append([]byte(nil), l.pending[:n]...)}
		l.pending = l.pending[n:]
	}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case <-time.After(time.Until(transmitted) - l.transmitTime(l.socketBuffer)):
		return len(b), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case <-c.in.closed:
			return 0, io.EOF
		case f := <-c.in.frames:
			select {
			case <-c.in.closed:
				return 0, io.EOF
			case <-time.After(time.Until(f.arrivesAt)):
			}
			if !c.in.dropping.Load() {
				c.unread = f.data
			}
		}
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Close implements net.Conn; it closes both directions.
func (c *Conn) Close() error {
	for _, l := range []*direction{c.in, c.out} {
		l.once.Do(func() { close(l.closed) })
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.UnixAddr{Name: "near", Net: "memory"} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.UnixAddr{Name: "far", Net: "memory"} }

// SetDeadline implements net.Conn; deadlines are not supported.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn; deadlines are not supported.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; deadlines are not supported.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
