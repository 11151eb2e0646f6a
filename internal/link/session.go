package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// keepAliveInterval is how often the dialling side pings its peer, and
	// keepAliveTimeout how long it then waits to receive anything at all: longer than
	// the second retransmission of a lost packet takes on the longest route. A
	// connection that goes silent without a reset is closed after 1 s to 2 s, and the
	// next call opens a new one. A ping and its answer take 24 bytes.
	keepAliveInterval = time.Second
	keepAliveTimeout  = time.Second
	// acceptedKeepAliveInterval and acceptedKeepAliveTimeout apply to the accepting
	// side. It sends nothing on its own and only releases dead connections, after 2 s
	// to 2.4 s. While one side sends much data, its own pings wait behind that, and
	// the other side's pings are all it receives; so each side pings more often than
	// the other's timeout. If the second of two pings is lost once, they arrive at
	// most the interval, a retransmission timeout of 200 ms and a round trip of 140 ms
	// on the longest route apart: 740 ms, within keepAliveTimeout.
	acceptedKeepAliveInterval = 400 * time.Millisecond
	acceptedKeepAliveTimeout  = 2 * time.Second
	// writeTimeout bounds how long a chunk of a message waits to be written. After a
	// timeout nothing may be written to the stream any more: yamux still sends the
	// chunk, but does not count it against the peer's window.
	writeTimeout = 2 * time.Second
)

// session is a yamux session that is only ever ended through its connection.
//
// When yamux closes a session from any goroutine but the one that reads the
// connection, all readers of streams spin until the reading goroutine has ended:
// the session is marked as shut down while the streams are still open. On a box
// with one processor these readers keep the reading goroutine from running. So
// nothing here closes a session: its connection is closed, the reading goroutine
// fails, and that closes the session and its streams in one step.
type session struct {
	*yamux.Session
	conn    *readErrorConn
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// openSession starts a session on a connection; dialled tells which side this is.
func openSession(c net.Conn, dialled bool) (*session, error) {
	conn := &readErrorConn{Conn: c, received: make(chan struct{}, 1)}
	start, interval, timeout := yamux.Server, acceptedKeepAliveInterval, acceptedKeepAliveTimeout
	if dialled {
		start, interval, timeout = yamux.Client, keepAliveInterval, keepAliveTimeout
	}
	y, err := start(&frameReader{Conn: conn}, sessionConfig())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{Session: y, conn: conn, cancel: cancel}
	s.running.Go(func() { s.keepAlive(ctx, interval, timeout) })
	return s, nil
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false // keepAlive replaces it
	c.StreamOpenTimeout = 0   // streams have deadlines of their own
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = maxStreams
	return c
}

// Close closes the connection and waits until the session has ended.
func (s *session) Close() error {
	err := s.conn.Close()
	<-s.CloseChan()
	s.cancel()
	s.running.Wait()
	return err
}

// keepAlive closes the connection once the peer is no longer alive.
func (s *session) keepAlive(ctx context.Context, interval, timeout time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.CloseChan():
			return
		case <-time.After(interval):
		}
		if !s.isPeerAlive(timeout) {
			_ = s.conn.Close() // the session's readers report the end
			return
		}
	}
}

// isPeerAlive pings the peer. Any data received after the ping counts, since the
// answer itself may wait behind seconds of data.
func (s *session) isPeerAlive(timeout time.Duration) bool {
	s.conn.clearReceived()
	s.running.Go(func() {
		_, _ = s.Ping() // any data counts, not this answer
	})
	select {
	case <-s.conn.received:
		return true
	case <-s.CloseChan():
		return false
	case <-time.After(timeout):
		return false
	}
}

// readErrorConn is a connection that reports errors to its reader only: a failed
// write closes it and is reported as successful.
type readErrorConn struct {
	net.Conn
	// received holds a token if data was received since clearReceived.
	received chan struct{}
}

// clearReceived drops the token of data received before.
func (c *readErrorConn) clearReceived() {
	select {
	case <-c.received:
	default:
	}
}

// Read implements net.Conn.
func (c *readErrorConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		select {
		case c.received <- struct{}{}:
		default:
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *readErrorConn) Write(b []byte) (int, error) {
	if _, err := c.Conn.Write(b); err != nil {
		_ = c.Close() // the reader reports the error
	}
	return len(b), nil
}
