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
	// keepAliveInterval is how often the one that dialled asks whether its peer is
	// there, and answerTimeout how long it may hear nothing at all then, more than
	// the second retransmission of a lost packet on the longest way. A connection
	// that has gone silent without a reset is closed after 1 s to 2 s, and the next
	// call goes over a new one. A question and its answer are 24 bytes.
	keepAliveInterval = time.Second
	answerTimeout     = time.Second
	// acceptedInterval and acceptedTimeout are those of the other side, which has
	// nothing to send by itself and only lets go of what is lost, after 2 s to
	// 2.4 s. Each side's questions are what the other hears while it sends much
	// and its own questions wait behind that, so each asks more often than the
	// other's timeout. Between two questions of which the second is lost once lie
	// the interval, the retransmission of 200 ms and a round trip of 140 ms on the
	// longest way: 740 ms of answerTimeout.
	acceptedInterval = 400 * time.Millisecond
	acceptedTimeout  = 2 * time.Second
	// writeTimeout bounds how long a part of a message waits to be written. yamux
	// must not write to a stream again after it: the part still waits to be sent,
	// but is not counted against the peer's window.
	writeTimeout = 2 * time.Second
)

// session is a yamux session that ends only by its connection.
//
// When yamux closes a session from anywhere but its reading goroutine, every
// reader of a stream runs in a loop without rest until the reading goroutine has
// ended: the session counts as shut down and the stream as open. On a box with
// one processor the readers then keep the reading goroutine from running. So
// nothing here closes a session: its connection is closed, the reading goroutine
// fails, and that closes the session and its streams in one step.
type session struct {
	*yamux.Session
	connection *endingConn
	ended      context.CancelFunc
	watching   sync.WaitGroup
}

// openSession starts a session on a connection, as the one that dialled or not.
func openSession(c net.Conn, dialled bool) (*session, error) {
	conn := &endingConn{Conn: c, heard: make(chan struct{}, 1)}
	start, interval, timeout := yamux.Server, acceptedInterval, acceptedTimeout
	if dialled {
		start, interval, timeout = yamux.Client, keepAliveInterval, answerTimeout
	}
	y, err := start(conn, sessionConfig())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &session{Session: y, connection: conn, ended: cancel}
	s.watching.Go(func() { s.keepAlive(ctx, interval, timeout) })
	return s, nil
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.EnableKeepAlive = false // keepAlive does it
	c.StreamOpenTimeout = 0   // streams have deadlines of their own
	c.ConnectionWriteTimeout = writeTimeout
	c.AcceptBacklog = maxStreams
	return c
}

// Close closes the connection and waits for the session's end.
func (s *session) Close() error {
	err := s.connection.Close()
	<-s.CloseChan()
	s.ended()
	s.watching.Wait()
	return err
}

// keepAlive closes the connection when nothing is heard of the peer any more.
func (s *session) keepAlive(ctx context.Context, interval, timeout time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.CloseChan():
			return
		case <-time.After(interval):
		}
		if !s.answers(timeout) {
			_ = s.connection.Close() // the session's readers report the end
			return
		}
	}
}

// answers asks the peer whether it is there. Whatever comes after the question
// shows that it is: the answer itself may wait behind seconds of data.
func (s *session) answers(timeout time.Duration) bool {
	s.connection.forget()
	s.watching.Go(func() {
		_, _ = s.Ping() // what is heard counts
	})
	select {
	case <-s.connection.heard:
		return true
	case <-s.CloseChan():
		return false
	case <-time.After(timeout):
		return false
	}
}

// endingConn is a connection whose end is told to its reader only: a write that
// fails closes it and counts as done.
type endingConn struct {
	net.Conn
	// heard holds a token when bytes have come since forget.
	heard chan struct{}
}

// forget lets go of what was heard.
func (c *endingConn) forget() {
	select {
	case <-c.heard:
	default:
	}
}

// Read implements net.Conn.
func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		select {
		case c.heard <- struct{}{}:
		default:
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *endingConn) Write(b []byte) (int, error) {
	if _, err := c.Conn.Write(b); err != nil {
		_ = c.Close() // the reader reports the end
	}
	return len(b), nil
}
