package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// framedResponses are responses to the request "id1", by framing.
var framedResponses = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nContent-Length: 10\r\n\r\n",
	"chunks":     "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection": "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":   "HTTP/1.0 200 OK\r\nTest-Id: id1\r\nContent-Length: 10\r\n\r\n",
	"no body":    "HTTP/1.1 204 No Content\r\nTest-Id: id1\r\n\r\n",
}

// A target that stops in the middle of a head has sent no response: on a new connection, on a kept one
// and on one through another box.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	for name, head := range framedResponses {
		for _, connection := range []string{"new", "kept", "tunnel"} {
			t.Run(name+" "+connection, func(t *testing.T) {
				for length := range len(head) {
					inVirtualTime(t, func(t *testing.T) {
						s := newRig(t, testConfig(), 1)
						stops := func(_ *http.Request, c net.Conn) bool {
							_, _ = fmt.Fprint(c, head[:length])
							return false
						}
						s.scripts = scripts(stops)
						switch connection {
						case "kept":
							s.scripts = scripts(s.responds(0, "first"), stops)
							s.wantResponse(t, s.send(t.Context(), "/once/", ""), "first", 0)
						case "tunnel":
							s.dialThroughPeer(t)
						}
						if got := s.send(t.Context(), "/once/", ""); got.status != http.StatusBadGateway {
							t.Errorf("%d bytes: got %d %q", length, got.status, got.body)
						}
					})
				}
			})
		}
	}
}

// A whole response gets through another box, so that the test before tells something.
func TestResponseThroughPeer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(0, "whole"))
		s.dialThroughPeer(t)
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "whole", 0)
	})
}

// dialThroughPeer makes the box connect to targets through a peer, in memory.
func (s *rig) dialThroughPeer(t *testing.T) {
	t.Helper()
	dial := s.daemon.connections.dial
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	server := tunnel.NewServer(tunnel.ServerConfig{
		MaxTunnels: 4,
		Connect:    func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx, "tcp4", "0") },
		Pace:       func(context.Context, int) error { return nil },
		OnBackOff:  func(string, time.Duration) {},
		OnRequest:  func(*wire.TunnelRequest, *wire.TunnelAnswer) {},
	})
	dialer := &tunnel.Dialer{
		Box: "box",
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			running.Go(func() { server.ServeConn(ctx, far) })
			return near, nil
		},
		OnBackOff: func(string, time.Duration) {},
	}
	s.daemon.connections.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
		return dialer.Open(ctx, targetpath.Peer{Name: "peer"}, "t0")
	}
}
