package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

const (
	// hedgeDelay is the delay that the balancer chooses for a target of these routes of which it
	// knows nothing: three times 5/4 of the objective.
	hedgeDelay = 750 * time.Millisecond
	// slowResponseTime is longer than the hedge delay and much shorter than the timeout.
	slowResponseTime = 2 * time.Second
)

// hedgedRoutes has the route /long/, whose requests may be repeated, /once/, whose may not, /single/,
// which allows one attempt, and /thrice/, which allows three.
func hedgedRoutes([]byte) (catalog.Document, error) {
	route := func(name string, repeat catalog.Repeat, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Prefix: "/" + name + "/", Repeat: repeat, Objective: 200 * time.Millisecond, Timeout: 5 * time.Second,
			MaxAttempts: attempts, Destinations: []catalog.Destination{{Service: "s", Weight: 1}},
		}
	}
	return catalog.Document{
		Number: 1,
		Hosts: []catalog.Host{{Name: "a.example", Routes: []catalog.Route{
			route("long", catalog.Repeatable, 2), route("once", catalog.Unrepeatable, 2), route("single", catalog.Repeatable, 1), route("thrice", catalog.Repeatable, 3),
		}}},
		Services: []catalog.Service{{Name: "s"}},
	}, nil
}

// script is how a target responds to a request; it returns whether the connection is kept.
type script func(r *http.Request, c net.Conn) bool

// rig is a box in virtual time with targets on an in-memory network. The n-th request that reaches
// any target gets the n-th script; any further request gets no response.
type rig struct {
	daemon  *Daemon
	targets []*target
	scripts chan script
	// reached are the targets in the order in which requests reached them. ended are the ids of the
	// requests whose connection was closed while their target ran them.
	reached chan *target
	ended   chan string
	// key is the workspace key of the requests; empty for none.
	key string
}

func newRig(t *testing.T, config Config, targets int) *rig {
	t.Helper()
	config.DecodeRoutes = hedgedRoutes
	s := &rig{reached: make(chan *target, 8), ended: make(chan string, 8)}
	addresses := make([]string, 0, targets)
	for i := range targets {
		one := &target{}
		one.script = func(_ int, r *http.Request, c net.Conn) bool { return s.runScript(one, r, c) }
		s.targets = append(s.targets, one)
		addresses = append(addresses, fmt.Sprint(i))
	}
	s.daemon = newDaemon(t, config, addresses...)
	s.daemon.connections.dial = func(_ context.Context, _, address string) (net.Conn, error) {
		var n int
		if _, err := fmt.Sscan(address, &n); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		s.targets[n].conns.Add(1)
		go s.targets[n].serve(far)
		return near, nil
	}
	t.Cleanup(func() {
		s.daemon.connections.close()
		_ = s.daemon.callerServer.listener.Close()
		_ = s.daemon.readyListener.Close()
	})
	return s
}

func (s *rig) runScript(at *target, r *http.Request, c net.Conn) bool {
	s.reached <- at
	_, _ = io.Copy(io.Discard, r.Body)
	next, ok := <-s.scripts
	return ok && next(r, c)
}

// scripts returns the scripts for the requests that reach targets, in order.
func scripts(list ...script) chan script {
	out := make(chan script, len(list))
	for _, s := range list {
		out <- s
	}
	close(out)
	return out
}

// responds responds with a body after some time, unless the connection closes before.
func (s *rig) responds(after time.Duration, body string) script {
	return func(r *http.Request, c net.Conn) bool {
		if s.endsWithin(after, r, c) {
			return false
		}
		writeResponse(c, r.Header.Get("Test-Id"), body)
		return true
	}
}

// respondsStatus responds with a status after some time.
func (s *rig) respondsStatus(after time.Duration, code int) script {
	return func(r *http.Request, c net.Conn) bool {
		if s.endsWithin(after, r, c) {
			return false
		}
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nno", code, r.Header.Get("Test-Id"))
		return true
	}
}

// silent never responds.
func (s *rig) silent() script {
	return func(r *http.Request, c net.Conn) bool { return !s.endsWithin(time.Hour, r, c) }
}

func (s *rig) rejects() script {
	return func(r *http.Request, c net.Conn) bool { return rejectNotRun(0, r, c) }
}

// breaks closes the connection after some time.
func (s *rig) breaks(after time.Duration) script {
	return func(r *http.Request, c net.Conn) bool {
		s.endsWithin(after, r, c)
		return false
	}
}

// endsWithin reports whether the connection closes within a time.
func (s *rig) endsWithin(d time.Duration, r *http.Request, c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	_, err := c.Read(make([]byte, 1))
	_ = c.SetReadDeadline(time.Time{})
	if e, ok := err.(net.Error); ok && e.Timeout() {
		return false
	}
	s.ended <- r.Header.Get("Test-Id")
	return true
}

// result is the response that a caller got, and how long it took.
type result struct {
	status int
	header http.Header
	body   string
	took   time.Duration
}

// send sends a request of a caller that waits for 5 s.
func (s *rig) send(ctx context.Context, path, body string) result {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	r.Host = "a.example"
	r.Header.Set("Test-Id", "id1")
	r.Header.Set("Test-Deadline", "5000")
	if s.key != "" {
		r.Header.Set("Test-Secret", s.key)
	}
	w := httptest.NewRecorder()
	began := time.Now()
	s.daemon.ServeHTTP(w, r)
	return result{status: w.Code, header: w.Header(), body: w.Body.String(), took: time.Since(began)}
}

func (s *rig) wantResponse(t *testing.T, got result, body string, took time.Duration) {
	t.Helper()
	if got.status != http.StatusOK || got.body != body {
		t.Fatalf("got %d %q after %s, want %q", got.status, got.body, got.took, body)
	}
	if got.took != took {
		t.Fatalf("answered after %s, want %s", got.took, took)
	}
}

// wantAttempts checks how many requests reached targets, each a different one, and how many
// connections were closed at targets, and that the balancer counts no request in flight.
func (s *rig) wantAttempts(t *testing.T, reached, ended int) {
	t.Helper()
	synctest.Wait()
	if len(s.reached) != reached || len(s.ended) != ended {
		t.Fatalf("%d requests reached targets and %d connections closed there, want %d and %d", len(s.reached), len(s.ended), reached, ended)
	}
	seen := make(map[*target]bool)
	for range reached {
		at := <-s.reached
		if seen[at] {
			t.Fatal("a target got the request twice")
		}
		seen[at] = true
	}
	s.wantNoneInFlight(t)
}

// wantNoneInFlight checks that the balancer counts no request in flight at any target. After a
// minute it has dropped the load that targets reported, and a target is still ejected only if a
// request counts as in flight there.
func (s *rig) wantNoneInFlight(t *testing.T) {
	t.Helper()
	time.Sleep(time.Minute)
	var tried []string
	for range s.targets {
		c, err := s.daemon.choose(balance.Request{Service: "s", Route: "count", Objective: time.Hour, Remaining: time.Hour, Tried: tried})
		if err != nil {
			t.Fatalf("a target is ejected: %v", err)
		}
		if c.Load > 0.01 {
			t.Fatalf("the balancer still counts a load of %v", c.Load)
		}
		tried = append(tried, c.Target.ID)
	}
}

func inVirtualTime(t *testing.T, run func(t *testing.T)) { t.Helper(); bubble.Test(t, run) }

// testTarget returns the n-th target of a box of newDaemon.
func testTarget(n int) balance.Target {
	return balance.Target{ID: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint(n), Zone: "z", Region: "r"}
}
