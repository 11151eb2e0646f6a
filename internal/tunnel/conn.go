package tunnel

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// readBuffer holds the frame of a typical response header.
const readBuffer = 2 << 10

// KeepAlive are the TCP keep-alive settings of connections between boxes: a box that has lost its
// power is noticed after 5 s.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// RefusedError tells why a peer did not connect to a target.
type RefusedError struct {
	Peer   string
	Result targetpath.Result
	// BackOff is how long the target must get no requests; zero if it asked for none.
	BackOff time.Duration
}

// Error implements error.
func (e *RefusedError) Error() string { return fmt.Sprintf("box %s: %s", e.Peer, e.Result) }

// results are the reasons of refusals by their code in a TunnelAnswer.
var results = map[wire.TunnelAnswer_Result]targetpath.Result{
	wire.TunnelAnswer_RESULT_TARGET_DOWN:      targetpath.TargetDown,
	wire.TunnelAnswer_RESULT_TARGET_UNREACHED: targetpath.TargetUnreached,
	wire.TunnelAnswer_RESULT_CUT_OFF:          targetpath.PeerCutOff,
	wire.TunnelAnswer_RESULT_BUSY:             targetpath.PeerBusy,
	wire.TunnelAnswer_RESULT_TARGET_UNKNOWN:   targetpath.TargetUnknown,
}

// Dialer opens tunnels.
type Dialer struct {
	// Box is the name of this box.
	Box string
	// Dial connects to the address of a peer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnBackOff is called when a peer tells that a target must get no requests for a while.
	OnBackOff func(target string, wait time.Duration)
}

// Open connects to a target through a peer. The error is a *RefusedError if the peer answered.
func (d *Dialer) Open(ctx context.Context, peer targetpath.Peer, target string) (*Conn, error) {
	raw, err := d.Dial(ctx, peer.Address)
	if err != nil {
		return nil, fmt.Errorf("connecting to box %s: %w", peer.Name, err)
	}
	c := newConn(raw, peer.Name, target, d.OnBackOff)
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) }) // on a connection that has ended the read fails
	answer, err := c.request(ctx, d.Box)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("asking box %s for a connection: %w", peer.Name, err), raw.Close())
	}
	if answer.Result != wire.TunnelAnswer_RESULT_CONNECTED {
		_ = raw.Close() // the peer closes it too
		return nil, newRefusedError(peer.Name, answer)
	}
	return c, nil
}

func newRefusedError(peer string, answer *wire.TunnelAnswer) *RefusedError {
	result, known := results[answer.Result]
	if !known {
		result = targetpath.PeerUnreachable
	}
	return &RefusedError{Peer: peer, Result: result, BackOff: time.Duration(answer.BackOffMilli) * time.Millisecond}
}

// request sends the request for the tunnel and reads the answer.
func (c *Conn) request(ctx context.Context, box string) (*wire.TunnelAnswer, error) {
	request := &wire.TunnelRequest{From: box, Target: c.target}
	if at, ok := ctx.Deadline(); ok { // steady clock: deadlines of contexts go by it
		request.TimeoutMilli = time.Until(at).Milliseconds() // steady clock: deadlines of contexts go by it
	}
	if _, err := protodelim.MarshalTo(c.raw, request); err != nil {
		return nil, err
	}
	answer := &wire.TunnelAnswer{}
	return answer, protodelim.UnmarshalFrom(c.reader, answer)
}

// Conn is a connection to a target through a peer. Read and Write may be called concurrently with
// each other.
type Conn struct {
	raw       net.Conn
	reader    *bufio.Reader
	peer      string
	target    string
	onBackOff func(target string, wait time.Duration)
	// remaining is how much of the current data frame has not been read. ended is the error of all
	// further reads.
	remaining int
	ended     error
	draining  atomic.Bool
}

func newConn(raw net.Conn, peer, target string, onBackOff func(string, time.Duration)) *Conn {
	return &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), peer: peer, target: target, onBackOff: onBackOff}
}

// Peer returns the name of the box that the connection leads through.
func (c *Conn) Peer() string { return c.peer }

// NetConn returns the connection to the peer.
func (c *Conn) NetConn() net.Conn { return c.raw }

// IsReusable reports whether another request may be sent on the connection, as far as this side
// knows: the peer does not shut down, and there is no unread data.
func (c *Conn) IsReusable() bool {
	return !c.draining.Load() && c.ended == nil && c.remaining == 0 && c.reader.Buffered() == 0
}

// PeerLostError tells that the connection to a peer broke, so that nothing is known of the target's.
type PeerLostError struct {
	Peer string
	Err  error
}

// Error implements error.
func (e *PeerLostError) Error() string { return fmt.Sprintf("lost box %s: %v", e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *PeerLostError) Unwrap() error { return e.Err }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for c.ended == nil && c.remaining == 0 {
		if err := c.readFrame(); err != nil {
			return 0, err
		}
	}
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.reader.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	if err != nil {
		err = c.lost(noEOF(err))
	}
	return n, err
}

// readFrame reads the header of the next frame and handles frames without data.
func (c *Conn) readFrame() error {
	kind, length, err := readHeader(c.reader)
	if err != nil {
		return c.lost(err)
	}
	switch kind {
	case dataFrame:
		c.remaining = length
	case endFrame:
		c.ended = io.EOF
	case resetFrame:
		c.ended = &net.OpError{Op: "read", Net: "tunnel", Err: syscall.ECONNRESET}
	case drainFrame:
		c.draining.Store(true)
	case backOffFrame:
		wait, err := readBackOff(c.reader)
		if err != nil {
			return c.lost(err)
		}
		c.onBackOff(c.target, wait)
	}
	return nil
}

// lost returns the error for a connection to the peer that broke. A deadline of the caller says
// nothing about the peer.
func (c *Conn) lost(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return &PeerLostError{c.peer, err}
}

var writeBuffers = sync.Pool{New: func() any { b := make([]byte, headerBytes+maxPayload); return &b }}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (written int, err error) {
	buffer := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(buffer)
	for written < len(b) {
		n := copy((*buffer)[headerBytes:], b[written:])
		putHeader(*buffer, dataFrame, n)
		if _, err := c.raw.Write((*buffer)[:headerBytes+n]); err != nil {
			return written, c.lost(err)
		}
		written += n
	}
	return written, nil
}

// SendBackOff tells the peer that the target must get no requests for a while.
func (c *Conn) SendBackOff(wait time.Duration) error {
	_, err := c.raw.Write(encodeBackOff(wait))
	return err
}

// Close implements net.Conn. The peer closes the connection to the target.
func (c *Conn) Close() error { return c.raw.Close() }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn; it is the address of the peer.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.raw.SetDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.raw.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.raw.SetWriteDeadline(t) }
