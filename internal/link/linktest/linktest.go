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
func (l *sharedLink) transmit(duration time.Duration) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(duration)
	return l.busyUntil
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

func newDirection(link *sharedLink, bytesPerSecond, socketBuffer int) *direction {
	return &direction{
		link:           link,
		bytesPerSecond: bytesPerSecond,
		socketBuffer:   socketBuffer,
		frames:         make(chan frame, maxFrames),
		closed:         make(chan struct{}),
	}
}

// transmitTime returns how long the transmission of a number of bytes takes.
func (d *direction) transmitTime(bytes int) time.Duration {
	if d.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(d.bytesPerSecond) * float64(time.Second))
}

// nextDelay returns the additional delay of the next write.
func (d *direction) nextDelay() time.Duration {
	if d.extraDelay == nil {
		return 0
	}
	d.writes++
	return d.extraDelay(d.writes)
}

// nextFrame returns the length of the next pending frame and whether it is complete.
func (d *direction) nextFrame() (length int, complete bool) {
	if !d.prefaced {
		d.prefaced = len(d.pending) > 0
		return 1, d.prefaced
	}
	if len(d.pending) < frameHeader {
		return 0, false
	}
	n := frameHeader
	if d.pending[1] == dataFrame {
		n += int(binary.BigEndian.Uint32(d.pending[frameHeader-4:]))
	}
	return n, len(d.pending) >= n
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
	d := c.out
	if d.dropping.Load() {
		return len(b), nil
	}
	transmitted := d.link.transmit(d.transmitTime(len(b)))
	arrives := transmitted.Add(d.nextDelay())
	d.pending = append(d.pending, b...)
	for {
		n, complete := d.nextFrame()
		if !complete {
			break
		}
		d.frames <- frame{arrives, append([]byte(nil), d.pending[:n]...)}
		d.pending = d.pending[n:]
	}
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	case <-time.After(time.Until(transmitted) - d.transmitTime(d.socketBuffer)):
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
	for _, d := range []*direction{c.in, c.out} {
		d.once.Do(func() { close(d.closed) })
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
