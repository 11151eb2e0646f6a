package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	dialTimeout  = 500 * time.Millisecond
	helloTimeout = 2 * time.Second
	// maxStreams bounds the streams that one peer may have open.
	maxStreams = 4096
)

// Identity is what a process tells its peers about itself.
type Identity struct {
	Name        string
	Incarnation string
}

// Handlers serve the streams that other processes open. A handler returns when its
// stream has ended; streams without a handler are refused.
type Handlers struct {
	Consensus func(ctx context.Context, from string, m *Messages)
	Subscribe func(ctx context.Context, from string, m *Messages)
	Call      func(ctx context.Context, from string, request *wire.CallRequest) *wire.CallAnswer
	Permits   func(ctx context.Context, from string, m *Messages)
	// Forward takes over a stream that carries HTTP.
	Forward func(c net.Conn)
	// Refused is called for each connection that was refused because its
	// certificate is missing or invalid, or because the TLS configuration of this
	// process can't be read.
	Refused func(remote string, err error)
}

// Traffic counts the bytes that a node has sent and received.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Node holds the links of one process to all others.
type Node struct {
	network  Network
	identity Identity
	clock    *timeline.Clock
	handlers Handlers
	tls      func() (*tls.Config, error)
	listener net.Listener

	// Control counts the traffic between processes. Forwarded requests have
	// sessions of their own and are counted by Forwarded instead.
	Control   Traffic
	Forwarded Traffic

	mu       lockorder.Mutex
	sessions map[sessionKey]*dialledSession
	accepted map[*session]bool
	closed   bool
	running  sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// sessionKey identifies a session that this node dials.
type sessionKey struct {
	address string
	kind    sessionKind
}

// sessionKind is the first byte sent on a connection.
type sessionKind byte

const (
	controlSession sessionKind = 'c'
	forwardSession sessionKind = 'f'
)

func (n *Node) traffic(kind sessionKind) *Traffic {
	if kind == forwardSession {
		return &n.Forwarded
	}
	return &n.Control
}

// dialledSession is a session that this node dials. Its lock, a channel of
// capacity one, prevents concurrent dialling; unlike with a mutex, a caller can
// give up waiting for it.
type dialledSession struct {
	lock    chan struct{}
	session *session
}

func newDialledSession() *dialledSession { return &dialledSession{lock: make(chan struct{}, 1)} }

// ErrClosed is returned by a closed node.
var ErrClosed = errors.New("the node is closed")

// Listen returns a node that listens on an address. If tls is not nil, it is
// called for the configuration of each connection, so that keys can be renewed.
func Listen(network Network, address string, id Identity, clock *timeline.Clock, h Handlers, tls func() (*tls.Config, error)) (*Node, error) {
	l, err := network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("listening for other processes: %w", err)
	}
	n := newNode(network, id, clock, h, tls)
	n.listener = l
	n.running.Add(1)
	go n.accept()
	return n, nil
}

// Address returns the address the node listens on; empty for one that only dials.
func (n *Node) Address() string {
	if n.listener == nil {
		return ""
	}
	return n.listener.Addr().String()
}

// NewClient returns a node that only dials, as used by operators' commands.
func NewClient(id Identity, clock *timeline.Clock, tls func() (*tls.Config, error)) *Node {
	return newNode(TCP(), id, clock, Handlers{}, tls)
}

func newNode(network Network, id Identity, clock *timeline.Clock, h Handlers, tls func() (*tls.Config, error)) *Node {
	n := &Node{
		network:  network,
		identity: id,
		clock:    clock,
		handlers: h,
		tls:      tls,
		sessions: make(map[sessionKey]*dialledSession),
		accepted: make(map[*session]bool),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

func (n *Node) accept() {
	defer n.running.Done()
	for {
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.running.Add(1)
		go n.serve(c)
	}
}

func (n *Node) serve(c net.Conn) {
	defer n.running.Done()
	remote := c.RemoteAddr().String()
	c, err := n.secureServer(c)
	if err != nil {
		if n.handlers.Refused != nil {
			n.handlers.Refused(remote, err)
		}
		return
	}
	kind := make([]byte, 1)
	_ = c.SetReadDeadline(time.Now().Add(helloTimeout)) // steady clock: deadlines of connections go by it; on one that has ended the read fails
	if _, err := io.ReadFull(c, kind); err != nil {
		_ = c.Close() // the peer has left or sends nothing; it can dial again
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	s, err := openSession(&countingConn{Conn: c, traffic: n.traffic(sessionKind(kind[0]))}, false)
	if err != nil {
		_ = c.Close()
		return
	}
	if !n.addAccepted(s) {
		return
	}
	defer n.removeAccepted(s)
	for {
		stream, err := s.Accept()
		if err != nil {
			return
		}
		n.running.Add(1)
		go n.serveStream(stream)
	}
}

func (n *Node) secureServer(c net.Conn) (net.Conn, error) {
	if n.tls == nil {
		return c, nil
	}
	config, err := n.tls()
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	secured := tls.Server(c, config)
	ctx, cancel := context.WithTimeout(n.ctx, helloTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return secured, nil
}

func (n *Node) addAccepted(s *session) bool {
	n.mu.Lock()
	closed := n.closed
	if !closed {
		n.accepted[s] = true
	}
	n.mu.Unlock()
	if closed {
		_ = s.Close() // it carries no streams yet
	}
	return !closed
}

func (n *Node) removeAccepted(s *session) {
	n.mu.Lock()
	delete(n.accepted, s)
	n.mu.Unlock()
	_ = s.Close() // the session has ended
}

func (n *Node) serveStream(stream net.Conn) {
	defer n.running.Done()
	m := NewMessages(stream)
	hello := &wire.StreamHello{}
	_ = stream.SetReadDeadline(time.Now().Add(helloTimeout)) // steady clock: deadlines of connections go by it; on one that has ended the read fails
	if err := m.Read(hello); err != nil {
		_ = stream.Close() // the peer that opened it sees it closed
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	n.clock.Observe(hello.Clock)
	switch {
	case hello.Kind == wire.StreamHello_KIND_CONSENSUS && n.handlers.Consensus != nil:
		n.handlers.Consensus(n.ctx, hello.From, m)
	case hello.Kind == wire.StreamHello_KIND_SUBSCRIBE && n.handlers.Subscribe != nil:
		n.handlers.Subscribe(n.ctx, hello.From, m)
	case hello.Kind == wire.StreamHello_KIND_PERMITS && n.handlers.Permits != nil:
		n.handlers.Permits(n.ctx, hello.From, m)
	case hello.Kind == wire.StreamHello_KIND_CALL && n.handlers.Call != nil:
		n.serveCall(hello.From, m)
	case hello.Kind == wire.StreamHello_KIND_FORWARD && n.handlers.Forward != nil:
		n.handlers.Forward(&bufferedConn{Conn: stream, reader: m.reader})
		return
	}
	_ = stream.Close()
}

func (n *Node) serveCall(from string, m *Messages) {
	request := &wire.CallRequest{}
	if err := m.Read(request); err != nil {
		return
	}
	n.clock.Observe(request.Clock)
	answer := n.handlers.Call(n.ctx, from, request)
	answer.Clock = n.clock.Stamp()
	_ = m.Write(answer) // if it fails, the caller sees a broken stream
}

// Close closes all links and waits for the handlers to return.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.cancel()
	var err error
	if n.listener != nil {
		err = n.listener.Close()
	}
	accepted := slices.Collect(maps.Keys(n.accepted))
	dialled := n.sessions
	n.mu.Unlock()
	for _, s := range accepted {
		_ = s.Close() // calls in flight on it are abandoned
	}
	for _, d := range dialled {
		d.lock <- struct{}{}
		if d.session != nil {
			_ = d.session.Close()
		}
		<-d.lock
	}
	n.running.Wait()
	return err
}
