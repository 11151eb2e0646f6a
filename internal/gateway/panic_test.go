package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// panickingConn is a connection on which the first write panics.
type panickingConn struct {
	net.Conn
	closed chan struct{}
}

// Write implements net.Conn.
func (p *panickingConn) Write([]byte) (int, error) { panic("write") }

// Close implements net.Conn.
func (p *panickingConn) Close() error {
	close(p.closed)
	return p.Conn.Close()
}

// Guards against a panic in an attempt that ends the box with all its requests.
func TestPanicInAttemptFailsOnlyItsRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		var lines bytes.Buffer
		s.daemon.log = zerolog.New(&lines)
		dial := s.daemon.connections.dial
		bad := &panickingConn{closed: make(chan struct{})}
		s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			s.daemon.connections.dial = dial
			conn, err := dial(ctx, network, address)
			bad.Conn = conn
			return bad, err
		}
		s.scripts = scripts(s.responds(0, "next"))
		if got := s.send(t.Context(), "/once/", ""); got.status != http.StatusBadGateway || got.body != "unknown\n" {
			t.Errorf("got %d %q", got.status, got.body)
		}
		<-bad.closed
		for _, want := range []string{`"kind":"panic"`, `"panic":"write"`, "(*panickingConn).Write", `"mayHaveRun":true`} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("%s is not in the log: %s", want, lines.String())
			}
		}
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "next", 0)
		s.wantNoneInFlight(t)
	})
}
