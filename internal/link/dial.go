package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// openStream opens a stream of a kind to the process at an address, and its session if needed.
func (n *Node) openStream(ctx context.Context, address string, kind wire.StreamHello_Kind) (net.Conn, *Messages, error) {
	use := controlSession
	if kind == wire.StreamHello_KIND_FORWARD {
		use = forwardSession
	}
	s, err := n.session(ctx, sessionKey{address, use})
	if err != nil {
		return nil, nil, err
	}
	stream, err := s.Open()
	if err != nil {
		return nil, nil, fmt.Errorf("opening a stream to %s: %w", address, err)
	}
	m := NewMessages(stream)
	hello := &wire.StreamHello{Kind: kind, From: n.identity.Name, Incarnation: n.identity.Incarnation, Clock: n.clock.Stamp()}
	if err := m.Write(hello); err != nil {
		return nil, nil, errors.Join(err, stream.Close())
	}
	return stream, m, nil
}

func (n *Node) session(ctx context.Context, key sessionKey) (*session, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	d := n.sessions[key]
	if d == nil {
		d = newDialledSession()
		n.sessions[key] = d
	}
	n.mu.Unlock()

	select {
	case d.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, fmt.Errorf("reaching %s: %w", key.address, ctx.Err())
	}
	defer func() { <-d.lock }()
	if d.session != nil && !d.session.IsClosed() {
		return d.session, nil
	}
	c, err := n.dial(ctx, key.address)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{byte(key.kind)}); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	s, err := openSession(&countingConn{Conn: c, traffic: n.traffic(key.kind)}, true)
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	if n.ctx.Err() != nil {
		return nil, errors.Join(ErrClosed, s.Close())
	}
	d.session = s
	return s, nil
}

func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := dialStaggered(ctx, n.network.Dial, address)
	if err != nil {
		return nil, fmt.Errorf("reaching %s: %w", address, err)
	}
	if n.tls == nil {
		return c, nil
	}
	config, err := n.tls()
	if err != nil {
		return nil, errors.Join(err, c.Close())
	}
	config.ServerName, _, _ = net.SplitHostPort(address)
	secured := tls.Client(c, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("securing the link to %s: %w", address, err), c.Close())
	}
	return secured, nil
}

// Consensus opens a stream of consensus messages.
func (n *Node) Consensus(ctx context.Context, address string) (*Messages, error) {
	_, m, err := n.openStream(ctx, address, wire.StreamHello_KIND_CONSENSUS)
	return m, err
}

// Subscribe opens a stream of updates and reports.
func (n *Node) Subscribe(ctx context.Context, address string, s *wire.Subscribe) (*Messages, error) {
	_, m, err := n.openStream(ctx, address, wire.StreamHello_KIND_SUBSCRIBE)
	if err != nil {
		return nil, err
	}
	if err := m.Write(s); err != nil {
		return nil, errors.Join(err, m.Close())
	}
	return m, nil
}

// Permits opens a stream of permit requests and their answers.
func (n *Node) Permits(ctx context.Context, address string) (*Messages, error) {
	_, m, err := n.openStream(ctx, address, wire.StreamHello_KIND_PERMITS)
	return m, err
}

// Call sends one request to the process at an address and returns its answer.
func (n *Node) Call(ctx context.Context, address string, request *wire.CallRequest) (*wire.CallAnswer, error) {
	stream, m, err := n.openStream(ctx, address, wire.StreamHello_KIND_CALL)
	if err != nil {
		return nil, err
	}
	defer m.Close()
	if at, ok := ctx.Deadline(); ok { // steady clock: deadlines of connections go by it
		_ = stream.SetDeadline(at) // on a stream that has ended the write fails
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	request.Clock = n.clock.Stamp()
	if err := m.Write(request); err != nil {
		return nil, err
	}
	answer := &wire.CallAnswer{}
	if err := m.Read(answer); err != nil {
		return nil, err
	}
	n.clock.Observe(answer.Clock)
	if answer.Error != "" {
		return nil, &RemoteError{Address: address, Text: answer.Error}
	}
	return answer, nil
}

// RemoteError is an error that another process returned.
type RemoteError struct {
	Address string
	Text    string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Address + " answers: " + e.Text }

// Forward opens a stream that carries HTTP to the process at an address.
func (n *Node) Forward(ctx context.Context, address string) (net.Conn, error) {
	c, _, err := n.openStream(ctx, address, wire.StreamHello_KIND_FORWARD)
	return c, err
}
