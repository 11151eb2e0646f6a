package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"ledgesill.dev/ledgesill/internal/link"
)

// resetRounds is how often a response is reset: whether a read or a write gets the error differs.
const resetRounds = 60

// uploadOften sends uploads to a target over TCP, which a function plays once it has read their
// beginning, and checks what a box reads of each response.
func uploadOften(t *testing.T, respond func(c *net.TCPConn), check func(body []byte, err error) error) {
	t.Helper()
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
			respond(c.(*net.TCPConn))
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
		var body []byte
		response, err := transport.RoundTrip(r)
		if err == nil {
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
		}
		if err := check(body, err); err != nil {
			t.Fatalf("round %d: %v", n, err)
		}
	}
}

// Guards against a response that is reset while its request is still being sent, and that the box
// takes for a complete one.
func TestResetDuringUploadIsNoCompleteResponse(t *testing.T) {
	respond := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = c.SetLinger(0)
	}
	uploadOften(t, respond, func(body []byte, err error) error {
		if err == nil {
			return fmt.Errorf("%q is a complete response", body)
		}
		return nil
	})
}

// A target may end its response soundly before it has read the whole request.
func TestSoundEndDuringUploadIsCompleteResponse(t *testing.T) {
	respond := func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	uploadOften(t, respond, func(body []byte, err error) error {
		if err != nil || string(body) != "whole" {
			return fmt.Errorf("got %q, %w", body, err)
		}
		return nil
	})
}
