package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"ledgesill.dev/ledgesill/internal/link"
)

// resetRounds is how often a response is reset: whether a read or a write gets the error differs.
const resetRounds = 60

// Guards against a response that is reset while its request is still being sent, and that the box
// takes for a complete one.
func TestResetDuringUploadIsNoCompleteResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	d := &Daemon{network: link.Network{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}}}
	transport := newTransport(d.dialTarget)
	for n := range resetRounds {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), bytes.NewReader(make([]byte, 400_000)))
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(r)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Fatalf("round %d: %q is a complete response", n, body)
		}
	}
}
