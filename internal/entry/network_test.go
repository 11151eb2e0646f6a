package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fakeNetwork connects hosts in memory within a synctest bubble. A host is the part of an
// address before the port. Each host is in a zone. Messages are delayed, and zones can be
// partitioned from each other.
type fakeNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*fakeListener
	conns       []*fakeConn
	zones       map[string]string
	partitioned map[[2]string]bool
	// cutLinks holds the pairs of hosts that do not reach each other.
	cutLinks map[[2]string]bool
	stalled  map[string]bool
	dead     map[string]bool
	// framed holds the addresses whose connections deliver complete frames only.
	framed map[string]bool
	delay  time.Duration
	// endLag is by how much later than data the ends of connections reach a host.
	endLag map[string]time.Duration
	// onDial and onWrite are called for every dial and write before it takes effect.
	onDial  func(from, to string)
	onWrite func(from, to string, data []byte)
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{
		listeners:   make(map[string]*fakeListener),
		zones:       make(map[string]string),
		partitioned: make(map[[2]string]bool),
		cutLinks:    make(map[[2]string]bool),
		stalled:     make(map[string]bool),
		dead:        make(map[string]bool),
		framed:      make(map[string]bool),
		endLag:      make(map[string]time.Duration),
		delay:       time.Millisecond,
		onDial:      func(string, string) {},
		onWrite:     func(string, string, []byte) {},
	}
}

var (
	errRefused = fmt.Errorf("connection: %w", syscall.ECONNREFUSED)
	errReset   = errors.New("connection reset")
)

func hostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// reachable reports whether messages are delivered from one host to another at present.
func (n *fakeNetwork) reachable(from, to string) bool {
	if n.stalled[from] || n.stalled[to] {
		return false
	}
	if n.cutLinks[[2]string{from, to}] || n.cutLinks[[2]string{to, from}] {
		return false
	}
	a, b := n.zones[from], n.zones[to]
	return a == b || !n.partitioned[[2]string{a, b}]
}

// setPartitioned holds back all messages between two zones, or delivers them again.
func (n *fakeNetwork) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
	n.signalAll()
}

// setLinkCut holds back all messages between two hosts, or delivers them again.
func (n *fakeNetwork) setLinkCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[[2]string{a, b}] = cut
	n.signalAll()
}

// setStalled holds back all messages from and to a host, as if it were frozen, or delivers
// them again.
func (n *fakeNetwork) setStalled(host string, stalled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled[host] = stalled
	n.signalAll()
}

// kill resets all connections of a host and refuses new ones.
func (n *fakeNetwork) kill(host string) {
	n.mu.Lock()
	n.dead[host] = true
	var affected []*fakeConn
	for _, c := range n.conns {
		if c.host == host || c.peer.host == host {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		c.fail(errReset)
	}
}

// restart makes a killed host reachable again, without its old listeners.
func (n *fakeNetwork) restart(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dead, host)
	for address := range n.listeners {
		if hostOf(address) == host {
			delete(n.listeners, address)
		}
	}
}

// setFramed makes connections to the address, on which a link listens, deliver complete frames
// only.
func (n *fakeNetwork) setFramed(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.framed[address] = true
}

func (n *fakeNetwork) setZone(host, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[host] = zone
}

// setHooks sets the functions that are called for dials and writes.
func (n *fakeNetwork) setHooks(onDial func(from, to string), onWrite func(from, to string, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onDial, n.onWrite = onDial, onWrite
}

func (n *fakeNetwork) hooks() (onDial func(from, to string), onWrite func(from, to string, data []byte)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.onDial, n.onWrite
}

func (n *fakeNetwork) setDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// setEndLag delays the ends of connections to a host by more than data.
func (n *fakeNetwork) setEndLag(host string, lag time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endLag[host] = lag
}

// endDelay returns the time after which a host learns of the end of a connection.
func (n *fakeNetwork) endDelay(host string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay + n.endLag[host]
}

func (n *fakeNetwork) currentDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

func (n *fakeNetwork) signalAll() {
	for _, c := range n.conns {
		c.signal()
	}
}

func (n *fakeNetwork) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &fakeListener{network: n, address: address, conns: make(chan net.Conn, 64), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *fakeNetwork) dial(ctx context.Context, from, address string) (net.Conn, error) {
	onDial, _ := n.hooks()
	onDial(from, hostOf(address))
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * n.currentDelay()):
	}
	n.mu.Lock()
	to := hostOf(address)
	if !n.reachable(from, to) && !n.dead[from] {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l := n.listeners[address]
	if l == nil || n.dead[to] || n.dead[from] {
		n.mu.Unlock()
		return nil, errRefused
	}
	near, far := &fakeConn{network: n, host: from, address: from + ":0"}, &fakeConn{network: n, host: to, address: address}
	near.peer, far.peer = far, near
	near.notify, far.notify = make(chan struct{}, 1), make(chan struct{}, 1)
	if n.framed[address] {
		near.frames, far.frames = &frameSplitter{}, &frameSplitter{typeByteSeen: true}
	}
	n.conns = append(n.conns, near, far)
	n.mu.Unlock()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, errRefused
	}
}

type fakeListener struct {
	network *fakeNetwork
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *fakeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *fakeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *fakeListener) Addr() net.Addr { return fakeAddr(l.address) }

type fakeAddr string

func (a fakeAddr) Network() string { return "fake" }
func (a fakeAddr) String() string  { return string(a) }

type chunk struct {
	arrival time.Time
	data    []byte
	eof     bool
}

// fakeConn is one end of a connection.
type fakeConn struct {
	network  *fakeNetwork
	host     string
	address  string
	peer     *fakeConn
	notify   chan struct{}
	mu       sync.Mutex
	incoming []chunk
	err      error
	closed   bool
	deadline time.Time
	// writeClosed is set once the other end has been sent the end of the connection.
	writeClosed bool
	// frames is nil if data is delivered as it is written. partlyRead is set while a part of the
	// first incoming frame has been read.
	frames     *frameSplitter
	partlyRead bool
}

func (c *fakeConn) signal() {
	select {
	case c.notify <- struct{}{}:
	default:
	}
}

func (c *fakeConn) fail(err error) {
	c.mu.Lock()
	if c.err == nil {
		c.err = err
	}
	c.mu.Unlock()
	c.signal()
}

func (c *fakeConn) Read(b []byte) (int, error) {
	for {
		n, wait, err := c.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-c.notify:
		case <-timer.C:
		}
		timer.Stop()
	}
}

const maxReadWait = time.Hour

func (c *fakeConn) tryRead(b []byte) (n int, wait time.Duration, err error) {
	c.network.mu.Lock()
	open := c.network.reachable(c.peer.host, c.host)
	c.network.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.err != nil {
		return 0, 0, c.err
	}
	if c.closed {
		return 0, 0, net.ErrClosed
	}
	wait = maxReadWait
	if !c.deadline.IsZero() {
		if !now.Before(c.deadline) {
			return 0, 0, os.ErrDeadlineExceeded
		}
		wait = c.deadline.Sub(now)
	}
	if (!open && !c.partlyRead) || len(c.incoming) == 0 {
		return 0, wait, nil
	}
	first := &c.incoming[0]
	if now.Before(first.arrival) {
		return 0, min(wait, first.arrival.Sub(now)), nil
	}
	if first.eof {
		return 0, 0, io.EOF
	}
	n = copy(b, first.data)
	first.data = first.data[n:]
	c.partlyRead = c.frames != nil && len(first.data) > 0
	if len(first.data) == 0 {
		c.incoming = c.incoming[1:]
	}
	return n, 0, nil
}

func (c *fakeConn) Write(b []byte) (int, error) {
	_, onWrite := c.network.hooks()
	onWrite(c.host, c.peer.host, b)
	c.mu.Lock()
	err, closed := c.err, c.closed || c.writeClosed
	chunks := [][]byte{b}
	if c.frames != nil {
		chunks = c.frames.add(b)
	}
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if err != nil {
		return 0, err
	}
	at := time.Now().Add(c.network.currentDelay())
	for _, data := range chunks {
		c.peer.push(chunk{arrival: at, data: append([]byte(nil), data...)})
	}
	return len(b), nil
}

func (c *fakeConn) push(k chunk) {
	c.mu.Lock()
	c.incoming = append(c.incoming, k)
	c.mu.Unlock()
	c.signal()
}

func (c *fakeConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.signal()
	return c.CloseWrite()
}

// CloseWrite sends the end of the connection to the other end, which may go on writing.
func (c *fakeConn) CloseWrite() error {
	c.mu.Lock()
	wasClosed := c.writeClosed
	c.writeClosed = true
	c.mu.Unlock()
	if !wasClosed {
		c.peer.push(chunk{arrival: time.Now().Add(c.network.endDelay(c.peer.host)), eof: true})
	}
	return nil
}

func (c *fakeConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.signal()
	return nil
}

func (c *fakeConn) SetWriteDeadline(time.Time) error { return nil }
func (c *fakeConn) LocalAddr() net.Addr              { return fakeAddr(c.address) }
func (c *fakeConn) RemoteAddr() net.Addr             { return fakeAddr(c.peer.address) }
