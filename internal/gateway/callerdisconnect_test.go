package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// cancelOnWriteConn is a connection on whose first write the caller disconnects. The write
// continues after the box has noticed that.
type cancelOnWriteConn struct {
	net.Conn
	leave func()
}

// Write implements net.Conn.
func (c *cancelOnWriteConn) Write(b []byte) (int, error) {
	c.leave()
	time.Sleep(time.Millisecond)
	return c.Conn.Write(b)
}

// cancel makes the caller disconnect when the request is at the target, after the target has sent
// begin, and waits for the connection to close.
func (s *rig) cancel(leave func(), begin string) script {
	return func(r *http.Request, c net.Conn) bool {
		if begin != "" {
			if _, err := fmt.Fprintf(c, begin, r.Header.Get("Test-Id")); err != nil {
				return false
			}
		}
		leave()
		return !s.endsWithin(time.Hour, r, c)
	}
}

// disconnectStep is a step of a request at which its caller disconnects, with the number of
// connections that must close at targets because of it.
type disconnectStep struct {
	name    string
	prepare func(s *rig, leave func())
	ended   int
}

func disconnectSteps() []disconnectStep {
	const half = "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 100\r\n\r\nhalf"
	return []disconnectStep{
		{"connect", func(s *rig, leave func()) {
			s.daemon.connections.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
				leave()
				<-ctx.Done()
				return nil, ctx.Err()
			}
		}, 0},
		{"head", func(s *rig, leave func()) {
			dial := s.daemon.connections.dial
			s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dial(ctx, network, address)
				return &cancelOnWriteConn{c, leave}, err
			}
			s.scripts = scripts(s.silent())
		}, 0},
		{"wait", func(s *rig, leave func()) { s.scripts = scripts(s.cancel(leave, "")) }, 1},
		{"firstByte", func(s *rig, leave func()) { s.scripts = scripts(s.cancel(leave, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n")) }, 1},
		{"midAnswer", func(s *rig, leave func()) { s.scripts = scripts(s.cancel(leave, half)) }, 1},
		{"hedge", func(s *rig, leave func()) { s.scripts = scripts(s.silent(), s.cancel(leave, "")) }, 2},
		{"retry", func(s *rig, leave func()) { s.scripts = scripts(s.rejects(), s.cancel(leave, "")) }, 1},
	}
}

// Guards against a request whose caller disconnects at some step and which still counts as in
// flight afterwards, at the box, at a target or on the link, or whose connection to its target stays
// open.
func TestCallerDisconnectsAtEachStep(t *testing.T) {
	for _, step := range disconnectSteps() {
		t.Run(step.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				config := testConfig()
				config.LinkBytes = 325_000
				s := newRig(t, config, 2)
				s.daemon.linkQueue.recordSize("long", 90_000)
				ctx, cancel := context.WithCancel(t.Context())
				reached := false
				leave := func() {
					reached = true
					cancel()
				}
				step.prepare(s, leave)
				s.send(ctx, "/long/", "")
				synctest.Wait()
				if !reached {
					t.Fatal("the step was not reached")
				}
				if n := s.daemon.inFlight.Load(); n != 0 {
					t.Errorf("%d requests count as in flight at the box", n)
				}
				if len(s.ended) != step.ended {
					t.Errorf("%d connections closed at targets, want %d", len(s.ended), step.ended)
				}
				if q := s.daemon.linkQueue; q.nextFree.After(time.Now().Add(time.Millisecond)) {
					t.Errorf("the link is reserved for another %s", time.Until(q.nextFree))
				}
				s.wantNoneInFlight(t)
			})
		})
	}
}
