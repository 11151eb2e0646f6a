package gateway

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// idleServer serves with the connections' states told to the callers of a box;
// before is called with each state before the box hears of it.
func idleServer(t *testing.T, before func(c *callers, s http.ConnState)) *gateway {
	t.Helper()
	g := newGateway(t, newTarget(t, served))
	c := g.daemon.callers
	g.server.Close()
	g.server = httptest.NewUnstartedServer(g.daemon)
	g.server.Config.ConnState = func(conn net.Conn, s http.ConnState) {
		before(c, s)
		c.note(conn, s)
	}
	g.server.Start()
	return g
}

// A request that is read while its connection is ended for resting too long is
// answered.
func TestRequestThatCrossesTheEndOfItsConnectionIsServed(t *testing.T) {
	g := idleServer(t, func(c *callers, s http.ConnState) {
		if s == http.StateActive {
			c.closeIdle(time.Now().Add(time.Hour))
		}
	})
	for _, id := range []string{"id1", "id2", "id3"} {
		response, _ := g.do(t, http.MethodPost, "/unsafe/", id, "")
		if response.StatusCode != http.StatusOK {
			t.Fatalf("%s was answered %d", id, response.StatusCode)
		}
	}
}

// A connection that has rested too long is closed.
func TestConnectionThatRestsTooLongIsClosed(t *testing.T) {
	closed := make(chan struct{}, 8)
	idle := make(chan struct{}, 8)
	g := idleServer(t, func(_ *callers, s http.ConnState) {
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
		g.daemon.callers.closeIdle(time.Now().Add(time.Hour))
		select {
		case <-closed:
			ended = true
		case <-time.After(time.Millisecond):
		}
	}
}
