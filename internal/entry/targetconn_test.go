package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"

	"ledgesill.dev/ledgesill/internal/bubble"
)

// slowTarget is a target that goes on with a request after it has learned of its end.
type slowTarget struct {
	// sent is the size of the part of the response that is sent before, rest that after.
	sent, rest int
	began      chan struct{}
	learned    chan struct{}
	proceed    chan struct{}
	stopped    atomic.Bool
}

func (g *slowTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.stopped.Store(true)
	close(g.began)
	if g.sent > 0 {
		_, _ = io.WriteString(w, strings.Repeat("x", g.sent)) // the box may have gone
		w.(http.Flusher).Flush()
	}
	<-r.Context().Done()
	close(g.learned)
	<-g.proceed
	_, _ = io.WriteString(w, strings.Repeat("x", g.rest)) // the box may have gone
}

// Guards against a slot that is free while the target goes on with the request, over TCP: the
// target must learn that the request was broken off, and the box that the target has stopped.
func TestSlotIsFreeOnceTargetHasStopped(t *testing.T) {
	for _, g := range []*slowTarget{{}, {sent: 10}, {sent: 10, rest: 4 << 20}} {
		t.Run(fmt.Sprintf("%d bytes before and %d after", g.sent, g.rest), func(t *testing.T) {
			g.began, g.learned, g.proceed = make(chan struct{}), make(chan struct{}), make(chan struct{})
			server := httptest.NewServer(g)
			defer server.Close()
			proceed := sync.OnceFunc(func() { close(g.proceed) })
			defer proceed()
			transport := dialingTargetConns()
			defer transport.CloseIdleConnections()

			p := newPool("s", "box", "i", 1)
			p.onTargetStopped = func(*slot, time.Duration) {}
			ctx, cancel := context.WithCancel(t.Context())
			s := &slot{pool: p, id: 7, cancel: cancel}
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { s.useConn(i.Conn) }}
			request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			if g.sent == 0 {
				go func() {
					<-g.began
					cancel()
				}()
				if response, err := transport.RoundTrip(request); err == nil {
					_ = response.Body.Close()
					t.Fatal("got a response after the end of the context")
				}
			} else {
				response, err := transport.RoundTrip(request)
				if err != nil {
					t.Fatal(err)
				}
				cancel()
				_ = response.Body.Close()
			}
			s.release(admission.Canceled)
			if _, ok := (<-p.inbox).(poolBreakOff); !ok {
				t.Fatal("the request does not count as broken off")
			}
			<-g.learned
			proceed()
			if e, ok := (<-p.inbox).(poolEvent); !ok || e.event != (admission.Finish{ID: 7}) {
				t.Errorf("got %+v, want the end of request 7", e)
			}
			if !g.stopped.Load() {
				t.Error("the slot is free while the target runs the request")
			}
		})
	}
}

// Guards against a connection that is closed, or a slot that stays taken, though the response is
// complete.
func TestCompleteResponseKeepsConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "all") }))
	defer server.Close()
	transport := dialingTargetConns()
	defer transport.CloseIdleConnections()
	p := newPool("s", "box", "i", 1)
	for id := range uint64(3) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &slot{pool: p, id: id, target: "t", cancel: cancel}
		reused := false
		trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
			reused = i.Reused
			s.useConn(i.Conn)
		}}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := transport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		a, _, result := readAnswer(ctx, response, s, true)
		s.release(result)
		if string(a.body) != "all" || reused != (id > 0) {
			t.Errorf("request %d got %q, connection reused: %v", id, a.body, reused)
		}
		if e, ok := (<-p.inbox).(poolEvent); !ok || e.event.(admission.Finish).Result != admission.Succeeded {
			t.Errorf("got %+v, want the end of request %d", e, id)
		}
	}
}

func dialingTargetConns() *http.Transport {
	return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newTargetConn(c), nil
	}}
}

type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
func (failingBody) Close() error             { return nil }

// Guards against a target that is ejected because the callers of its downloads leave.
func TestLeavingCallerIsNoFailureOfTarget(t *testing.T) {
	for left, want := range map[bool]admission.Result{true: admission.Canceled, false: admission.Failed} {
		ctx, cancel := context.WithCancel(t.Context())
		p := newPool("s", "box", "i", 1)
		stream := &slotStream{ReadCloser: failingBody{}, slot: &slot{pool: p, cancel: cancel}, ctx: ctx}
		if left {
			cancel()
		}
		_, _ = io.Copy(io.Discard, stream) // the error is that of the body
		_ = stream.Close()
		if e, ok := (<-p.inbox).(poolEvent); !ok || e.event.(admission.Finish).Result != want {
			t.Errorf("caller left: %v: got %+v, want result %v", left, e, want)
		}
	}
}

// Guards against a read that waits for the target's end of a connection that was broken off. Virtual
// time would not advance then, and tests would hang.
func TestReadReturnsWhileTargetHasNotStopped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c, s := newTargetConn(near), &slot{}
		c.hold(s)
		if !c.breakOff(s) {
			t.Fatal("the target counts as stopped")
		}
		waited := make(chan struct{})
		go func() {
			c.waitForEnd(t.Context())
			close(waited)
		}()
		synctest.Wait()
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
			t.Errorf("got error %v, want net.ErrClosed", err)
		}
		_ = far.Close() // always nil
		<-waited
	})
}
