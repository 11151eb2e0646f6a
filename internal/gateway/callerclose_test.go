package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// closeRig is a box with one target and one caller over TCP. The caller receives little before it
// reads, so that most of a response waits in the box's socket.
type closeRig struct {
	*testGateway
	caller net.Conn
	reader *bufio.Reader
	// states are the states of the connection in the HTTP server.
	states chan http.ConnState
}

func newCloseRig(t *testing.T, s *target) *closeRig {
	t.Helper()
	out := &closeRig{testGateway: newGateway(t, s), states: make(chan http.ConnState, 16)}
	c := out.daemon.callerServer
	c.server.ConnState = func(conn net.Conn, state http.ConnState) {
		c.connStateChanged(conn, state)
		out.states <- state
	}
	c.listener = &bufferedListener{c.listener.(*net.TCPListener)}
	served := c.serve()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp4", c.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = c.shutdown(t.Context())
		<-served
	})
	out.caller, out.reader = conn, bufio.NewReader(conn)
	return out
}

// bufferedListener accepts connections that buffer a whole response.
type bufferedListener struct{ *net.TCPListener }

// Accept implements net.Listener.
func (l *bufferedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return conn, conn.SetWriteBuffer(1 << 20)
}

// send sends a request without a body.
func (r *closeRig) send(t *testing.T, id, proto string) {
	t.Helper()
	if _, err := fmt.Fprintf(r.caller, "GET /safe/ %s\r\nHost: a.example\r\nTest-Id: %s\r\n\r\n", proto, id); err != nil {
		t.Fatal(err)
	}
}

// await waits until the HTTP server sees the connection in a state.
func (r *closeRig) await(want http.ConnState) {
	for state := range r.states {
		if state == want {
			return
		}
	}
}

// bigBody is larger than what the caller receives before it reads.
var bigBody = strings.Repeat("x", 100_000)

func respondBig(_ int, r *http.Request, c net.Conn) bool {
	writeResponse(c, r.Header.Get("Test-Id"), bigBody)
	return true
}

// wantBig reads the response and the end of the connection.
func (r *closeRig) wantBig(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != bigBody {
		t.Fatalf("got %d of %d bytes, %v", len(body), len(bigBody), err)
	}
	if _, err := r.reader.ReadByte(); err != io.EOF {
		t.Fatalf("instead of the end of the connection: %v", err)
	}
}

// Guards against a box that stops and resets a connection, so that a response that its target has
// given is lost: its caller had sent further requests behind.
func TestStoppingBoxDeliversResponseBeforePipelinedRequests(t *testing.T) {
	r := newCloseRig(t, newTarget(t, respondBig))
	r.daemon.stopping.Store(true)
	r.send(t, "id1", "HTTP/1.1")
	r.await(http.StateClosed)
	r.send(t, "id2", "HTTP/1.1")
	r.wantBig(t)
}

// Guards against the same on a connection that a stopping box closes because it is idle.
func TestIdleCloseDeliversResponseBeforePipelinedRequest(t *testing.T) {
	r := newCloseRig(t, newTarget(t, respondBig))
	r.send(t, "id1", "HTTP/1.1")
	r.await(http.StateIdle)
	r.daemon.callerServer.closeIdle(r.daemon.clock.Now())
	r.await(http.StateClosed)
	r.send(t, "id2", "HTTP/1.1")
	r.wantBig(t)
}

// Guards against a response that breaks off and looks complete to a caller of HTTP/1.0, for which
// the end of the connection ends it.
func TestBrokenResponseIsNotCompleteForHTTP10(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", r.Header.Get("Test-Id"), 2*maxBufferedResponse)
		_, _ = io.WriteString(c, strings.Repeat("x", maxBufferedResponse+100_000))
		return false
	})
	r := newCloseRig(t, s)
	r.send(t, "id1", "HTTP/1.0")
	response, err := http.ReadResponse(r.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the response ended with %v, want a reset", err)
	}
}

// A caller that never closes its connection does not keep a box from stopping.
func TestCallerThatKeepsConnectionDoesNotPreventStop(t *testing.T) {
	r := newCloseRig(t, newTarget(t, respondBig))
	r.daemon.stopping.Store(true)
	r.send(t, "id1", "HTTP/1.1")
	r.await(http.StateClosed)
	l := r.daemon.callerServer.lingering
	if n := l.count(); n != 1 {
		t.Errorf("%d connections wait for their callers, want 1", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	l.close(ctx)
	if n := l.count(); n != 0 {
		t.Errorf("%d connections wait for their callers after the stop", n)
	}
}

// Guards against a response that breaks off and takes the whole one before it along: the connection was
// reset while its caller was still receiving that one.
func TestBrokenResponseLeavesTheOneBeforeItWhole(t *testing.T) {
	r := newCloseRig(t, newTarget(t, func(n int, q *http.Request, c net.Conn) bool {
		if q.Header.Get("Test-Id") == "id1" {
			return respondBig(n, q, c)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n", q.Header.Get("Test-Id"), 2*maxBufferedResponse)
		_, _ = io.WriteString(c, strings.Repeat("x", maxBufferedResponse+50_000))
		return false
	}))
	r.send(t, "id1", "HTTP/1.1")
	r.await(http.StateIdle)
	r.send(t, "id2", "HTTP/1.1")
	r.await(http.StateClosed)
	r.send(t, "id3", "HTTP/1.1")
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil || string(body) != bigBody {
		t.Fatalf("got %d of %d bytes, %v", len(body), len(bigBody), err)
	}
	response, err = http.ReadResponse(r.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err == nil {
		t.Error("the response that broke off looks complete")
	}
}

// A caller that is told that its request is too large, or that it is no request, receives that although
// it goes on sending.
func TestRejectionReachesCallerThatGoesOnSending(t *testing.T) {
	for request, want := range map[string]int{
		"POST /safe/ HTTP/1.1\r\nHost: a.example\r\nTest-Id: id1\r\nContent-Length: x\r\n\r\n":                                http.StatusBadRequest,
		"GET /safe/ HTTP/1.1\r\nHost: a.example\r\nX: " + strings.Repeat("a", http.DefaultMaxHeaderBytes+10_000) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
	} {
		r := newCloseRig(t, newTarget(t, respondBig))
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.WriteString(r.caller, request+strings.Repeat("b", 100_000)) // the box may close before it has all
		}()
		response, err := http.ReadResponse(r.reader, nil)
		if err != nil {
			t.Errorf("instead of %d: %v", want, err)
		} else if response.StatusCode != want {
			t.Errorf("got %d, want %d", response.StatusCode, want)
		}
		_ = r.caller.Close()
		<-sent
	}
}
