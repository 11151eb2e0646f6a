package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// newIdleTestServer passes connection state changes on to the box's caller server. before is called
// with each state first.
func newIdleTestServer(t *testing.T, before func(c *callerServer, s http.ConnState)) *testGateway {
	t.Helper()
	g := newGateway(t, newTarget(t, respondHello))
	c := g.daemon.callerServer
	g.server.Close()
	g.server = httptest.NewUnstartedServer(g.daemon)
	g.server.Config.ConnState = func(conn net.Conn, s http.ConnState) {
		before(c, s)
		c.connStateChanged(conn, s)
	}
	g.server.Start()
	return g
}

// A request that is read while its connection is being closed as idle must be served.
func TestRequestDuringIdleCloseIsServed(t *testing.T) {
	g := newIdleTestServer(t, func(c *callerServer, s http.ConnState) {
		if s == http.StateActive {
			c.closeIdle(time.Now().Add(time.Hour))
		}
	})
	for _, id := range []string{"id1", "id2", "id3"} {
		response, _ := g.do(t, http.MethodPost, "/unsafe/", id, "")
		if response.StatusCode != http.StatusOK {
			t.Fatalf("request %s: got status %d", id, response.StatusCode)
		}
	}
}

// A connection that has been idle for too long is closed.
func TestIdleConnectionIsClosed(t *testing.T) {
	closed := make(chan struct{}, 8)
	idle := make(chan struct{}, 8)
	g := newIdleTestServer(t, func(_ *callerServer, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
		if s == http.StateIdle {
			idle <- struct{}{}
		}
	})
	g.do(t, http.MethodGet, "/safe/", "id1", "")
	<-idle
	for ended := false; !ended; {
		g.daemon.callerServer.closeIdle(time.Now().Add(time.Hour))
		select {
		case <-closed:
			ended = true
		case <-time.After(time.Millisecond):
		}
	}
}

// closeRaceConn is a connection that starts to close after a request was read and before the server
// gets it.
type closeRaceConn struct {
	net.Conn
	read func()
	// requestRead is set once a request has been read; from then on, ending is closed when the
	// connection is told to close.
	requestRead atomic.Bool
	endOnce     sync.Once
	ending      chan struct{}
}

// Read implements net.Conn.
func (c *closeRaceConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.read()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *closeRaceConn) SetReadDeadline(at time.Time) error {
	if !at.IsZero() && at.Before(time.Now()) {
		c.recordEnd()
	}
	return c.Conn.SetReadDeadline(at)
}

// Close implements net.Conn.
func (c *closeRaceConn) Close() error {
	c.recordEnd()
	return c.Conn.Close()
}

func (c *closeRaceConn) recordEnd() {
	if c.requestRead.Load() {
		c.endOnce.Do(func() { close(c.ending) })
	}
}

// closeRaceListener wraps its connections in closeRaceConn.
type closeRaceListener struct {
	net.Listener
	read func(c *closeRaceConn)
}

// Accept implements net.Listener.
func (l *closeRaceListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &closeRaceConn{Conn: accepted, ending: make(chan struct{})}
	c.read = func() { l.read(c) }
	return c, nil
}

// Guards against a box that, while shutting down, closes a connection on which a request has just
// been read.
func TestRequestDuringShutdownIsServed(t *testing.T) {
	g := newGateway(t, newTarget(t, respondHello))
	c := g.daemon.callerServer
	idle := make(chan struct{}, 8)
	c.server.ConnState = func(conn net.Conn, s http.ConnState) {
		c.connStateChanged(conn, s)
		if s == http.StateIdle {
			idle <- struct{}{}
		}
	}
	stopped := make(chan error, 1)
	reads := 0
	c.listener = &closeRaceListener{Listener: c.listener, read: func(conn *closeRaceConn) {
		if reads++; reads != 2 {
			return
		}
		conn.requestRead.Store(true)
		go func() { stopped <- c.shutdown(t.Context()) }()
		<-conn.ending
	}}
	ended := c.serve()
	g.server.Client().Transport = &http.Transport{}
	g.server.URL = "http://" + c.listener.Addr().String()
	if response, _ := g.do(t, http.MethodPost, "/unsafe/", "id1", ""); response.StatusCode != http.StatusOK {
		t.Fatalf("first request: got status %d", response.StatusCode)
	}
	<-idle // otherwise the second may arrive while its connection still counts as active
	if response, _ := g.do(t, http.MethodPost, "/unsafe/", "id2", ""); response.StatusCode != http.StatusOK {
		t.Fatalf("second request: got status %d", response.StatusCode)
	}
	g.server.Client().CloseIdleConnections()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != http.ErrServerClosed {
		t.Fatal(err)
	}
}
