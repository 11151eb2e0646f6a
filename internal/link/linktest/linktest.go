// Package linktest is a network of slow connections in memory for tests in
// virtual time. It carries whole frames of yamux: a yamux stream holds a mutex
// while it waits for the rest of a frame, and virtual time stands still while
// anyone waits for that mutex.
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
	// frameHeader is the length of the header of a yamux frame; its last four
	// bytes hold the length of the data that follows where its second byte,
	// the type, is dataFrame.
	frameHeader = 12
	dataFrame   = 0
	// mostFrames is how many frames may be on their way in one direction.
	mostFrames = 1 << 16
)

// Network connects everyone who dials with the one who listens at the address.
type Network struct {
	// DownBytesPerSecond is what all connections together carry towards those that
	// dialled; SentPerSecond the other way, as fast as can be where it is zero.
	DownBytesPerSecond int
	UpBytesPerSecond   int
	// SocketBuffer is how many bytes a write leaves behind that are not yet
	// carried.
	SocketBuffer int
	// ExtraDelay returns how much later than it is carried the nth write towards
	// one that dialled arrives, as after a loss; what follows it arrives after
	// it. It may be nil.
	ExtraDelay func(n int) time.Duration

	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*Conn
	down, up  road
}

// road is what the connections of a network share in one direction.
type road struct {
	mu   sync.Mutex
	free time.Time
}

// carry returns when what takes some time has been carried.
func (r *road) carry(takes time.Duration) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(takes)
	return r.free
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

// Dial connects with the listener at an address.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	down, up := newLane(&n.down, n.DownBytesPerSecond, n.SocketBuffer), newLane(&n.up, n.UpBytesPerSecond, n.SocketBuffer)
	down.lateBy = n.ExtraDelay
	down.greeted = true // only the one that dials opens a link with a byte
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

// Dialled returns the dialling ends of all connections so far.
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

// lane is one direction of a connection.
type lane struct {
	road           *road
	bytesPerSecond int
	socketBuffer   int
	lateBy         func(n int) time.Duration
	frames         chan frame
	closed         chan struct{}
	once           sync.Once
	silent         atomic.Bool
	// What follows belongs to the writer: what is not yet a whole frame after
	// the byte that opens a link.
	greeted bool
	pending []byte
	writes  int
}

type frame struct {
	at   time.Time
	data []byte
}

func newLane(r *road, bytesPerSecond, socketBuffer int) *lane {
	return &lane{
		road:           r,
		bytesPerSecond: bytesPerSecond,
		socketBuffer:   socketBuffer,
		frames:         make(chan frame, mostFrames),
		closed:         make(chan struct{}),
	}
}

// carries returns how long the lane takes for some bytes.
func (l *lane) carries(bytes int) time.Duration {
	if l.bytesPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(l.bytesPerSecond) * float64(time.Second))
}

// late returns how much later the next write arrives than it is carried.
func (l *lane) late() time.Duration {
	if l.lateBy == nil {
		return 0
	}
	l.writes++
	return l.lateBy(l.writes)
}

func (l *lane) next() (length int, whole bool) {
	if !l.greeted {
		l.greeted = len(l.pending) > 0
		return 1, l.greeted
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
	in, out *lane
	rest    []byte
}

// DropTraffic loses all that is written to the connection from now on, at both
// ends.
func (c *Conn) DropTraffic() {
	c.in.silent.Store(true)
	c.out.silent.Store(true)
}

// Write implements net.Conn. It waits while more than the socket's buffer is
// still to be carried.
func (c *Conn) Write(b []byte) (int, error) {
	l := c.out
	if l.silent.Load() {
		return len(b), nil
	}
	carried := l.road.carry(l.carries(len(b)))
	arrives := carried.Add(l.late())
	l.pending = append(l.pending, b...)
	for {
		n, whole := l.next()
		if !whole {
			break
		}
		l.frames <- frame{arrives, append([]byte(nil), l.pending[:n]...)}
		l.pending = l.pending[n:]
	}
	select {
	case <-l.closed:
		return 0, net.ErrClosed
	case <-time.After(time.Until(carried) - l.carries(l.socketBuffer)):
		return len(b), nil
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for len(c.rest) == 0 {
		select {
		case <-c.in.closed:
			return 0, io.EOF
		case f := <-c.in.frames:
			select {
			case <-c.in.closed:
				return 0, io.EOF
			case <-time.After(time.Until(f.at)):
			}
			if !c.in.silent.Load() {
				c.rest = f.data
			}
		}
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close implements net.Conn; it ends both directions.
func (c *Conn) Close() error {
	for _, l := range []*lane{c.in, c.out} {
		l.once.Do(func() { close(l.closed) })
	}
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.UnixAddr{Name: "near", Net: "memory"} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.UnixAddr{Name: "far", Net: "memory"} }

// SetDeadline implements net.Conn; deadlines are not kept.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn; deadlines are not kept.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn; deadlines are not kept.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
