package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// testProtocol returns the headers of these tests.
func testProtocol() Protocol {
	return Protocol{
		RequestID: "Test-Id", AffinityKey: "Test-Key", Deadline: "Test-Deadline", ExpectTarget: "Test-Expect",
		Status: targetstatus.Headers{
			NotRun: "Test-Not-Executed", Load: "Test-Load", WarmupRemaining: "Test-Cold", Limit: limitHeader, Leaving: leavingHeader,
			ParseLoad:   targetstatus.ParseLoad,
			ParseWarmup: func(string) (time.Duration, bool) { return 0, false },
		},
	}
}

// target is a fake target that responds to each request as its script says.
type target struct {
	listener net.Listener
	script   func(n int, r *http.Request, c net.Conn) (keep bool)
	requests atomic.Int32
	conns    atomic.Int32
}

func newTarget(t testing.TB, script func(n int, r *http.Request, c net.Conn) bool) *target {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	out := &target{listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go out.accept()
	return out
}

func (s *target) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.serve(c)
	}
}

func (s *target) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.script(int(s.requests.Add(1)), r, c) {
			return
		}
	}
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func respondHello(_ int, r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	writeResponse(c, r.Header.Get("Test-Id"), "hello")
	return true
}

// testRoutes has the route /safe/, whose requests may be repeated, and /unsafe/, whose may not.
func testRoutes([]byte) (catalog.Document, error) {
	route := func(name string, repeat catalog.Repeat) catalog.Route {
		return catalog.Route{
			Name: name, Prefix: "/" + name + "/", Repeat: repeat, Objective: time.Second, Timeout: 2 * time.Second,
			MaxAttempts: 2, Affinity: true, Destinations: []catalog.Destination{{Service: "s", Weight: 1}},
		}
	}
	return catalog.Document{
		Number:   1,
		Hosts:    []catalog.Host{{Name: "a.example", Routes: []catalog.Route{route("safe", catalog.Repeatable), route("unsafe", catalog.Unrepeatable)}}},
		Services: []catalog.Service{{Name: "s"}},
	}, nil
}

// testGateway is a box with targets, behind an HTTP server.
type testGateway struct {
	daemon *Daemon
	server *httptest.Server
}

// testConfig returns the configuration of a box with practically unlimited retries.
func testConfig() Config {
	return Config{
		Name: "box", Zone: "z", Region: "r", RegionOf: map[string]string{"z": "r"},
		CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", Protocol: testProtocol(), DecodeRoutes: testRoutes,
		RetryShare: 1, RetryExtra: 100, RetryWindow: 10 * time.Second, LogLevel: zerolog.Disabled,
	}
}

// newDaemon opens a box with the targets t0, t1 and so on at the given addresses.
func newDaemon(t testing.TB, c Config, addresses ...string) *Daemon {
	t.Helper()
	d, err := Open(c, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	for i, a := range addresses {
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprint("t", i), Service: "s", Address: a, Zone: "z", Slots: 4, Sequence: 1,
		}}})
	}
	d.controlAge = func() time.Duration { return 0 }
	d.applyState(state, nil)
	d.setEntryBoxes([]*wire.EntryBox{{Name: "box", Zone: "z", Region: "r"}})
	return d
}

func newGateway(t *testing.T, targets ...*target) *testGateway {
	t.Helper()
	addresses := make([]string, 0, len(targets))
	for _, s := range targets {
		addresses = append(addresses, s.listener.Addr().String())
	}
	return serveDaemon(t, newDaemon(t, testConfig(), addresses...))
}

// serveDaemon serves callers through a box until the test ends.
func serveDaemon(t *testing.T, d *Daemon) *testGateway {
	t.Helper()
	g := &testGateway{daemon: d, server: httptest.NewServer(d)}
	t.Cleanup(func() {
		g.server.Close()
		d.connections.close()
		_ = d.callerServer.listener.Close()
		_ = d.readyListener.Close()
	})
	return g
}

func (g *testGateway) do(t *testing.T, method, path, id, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Test-Id", id)
	r.Header.Set("Test-Key", "k")
	r.Header.Set("Test-Deadline", "1500")
	response, err := g.server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}

func TestRequestReachesATargetUnchanged(t *testing.T) {
	type seen struct {
		method, uri, body string
		header            http.Header
	}
	got := make(chan seen, 1)
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		got <- seen{r.Method, r.RequestURI, string(body), r.Header}
		writeResponse(c, r.Header.Get("Test-Id"), "hello")
		return true
	})
	g := newGateway(t, s)
	response, body := g.do(t, "POST", "/unsafe/a%2Fb?q=1&q=2", "id1", "body")
	if response.StatusCode != http.StatusOK || body != "hello" {
		t.Fatalf("got %d %q", response.StatusCode, body)
	}
	at := <-got
	if at.method != "POST" || at.uri != "/unsafe/a%2Fb?q=1&q=2" || at.body != "body" {
		t.Fatalf("the target got %+v", at)
	}
	if at.header.Get("Test-Id") != "id1" || at.header.Get("Test-Expect") != "t0" {
		t.Fatalf("the target got %v", at.header)
	}
	millis, err := strconv.Atoi(at.header.Get("Test-Deadline"))
	if err != nil || millis <= 0 || millis > 1500 {
		t.Fatalf("the target got deadline %q", at.header.Get("Test-Deadline"))
	}
}

func TestConnectionIsReused(t *testing.T) {
	s := newTarget(t, respondHello)
	g := newGateway(t, s)
	for i := range 5 {
		g.do(t, "GET", "/safe/", fmt.Sprint(i), "")
	}
	if n := s.conns.Load(); n != 1 {
		t.Fatalf("%d connections for 5 requests", n)
	}
}

// Data after a complete response belongs to no request: it must not be forwarded as the response to
// the next one, and the connection must not be reused.
func TestSurplusResponseIsNotForwarded(t *testing.T) {
	s := newTarget(t, func(n int, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("Test-Id")
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\n%02d", id, n)
		_, _ = io.WriteString(c, answer+answer)
		return true
	})
	g := newGateway(t, s)
	for i := 1; i <= 3; i++ {
		if response, body := g.do(t, "POST", "/unsafe/", fmt.Sprint("id", i), ""); response.StatusCode != http.StatusOK || body != fmt.Sprintf("%02d", i) {
			t.Fatalf("request %d got %d %q", i, response.StatusCode, body)
		}
	}
}

// A response to an earlier request may arrive before the one to this request. It must be skipped, and
// the connection must not be reused.
func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		writeResponse(c, "other", "wrong")
		writeResponse(c, r.Header.Get("Test-Id"), "right")
		return true
	})
	g := newGateway(t, s)
	if response, body := g.do(t, "POST", "/unsafe/", "id1", ""); response.StatusCode != http.StatusOK || body != "right" {
		t.Fatalf("got %d %q", response.StatusCode, body)
	}
	g.do(t, "POST", "/unsafe/", "id2", "")
	if n := s.conns.Load(); n != 2 {
		t.Fatalf("got %d connections, want 2: one that is out of sync must not be reused", n)
	}
}

// brokenResponses are the ways in which a response can break.
var brokenResponses = map[string]func(c net.Conn, id string){
	"no answer": func(net.Conn, string) {},
	"garbage":   func(c net.Conn, _ string) { _, _ = io.WriteString(c, "\x00\x01 what\r\n\r\n") },
	"half a body": func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", id)
	},
	"half a chunk": func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nhalf", id)
	},
	"no id": func(c net.Conn, _ string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")
	},
	"unframed and reset": func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n\r\nhalf", id)
		_ = c.(*net.TCPConn).SetLinger(0)
	},
}

func TestBrokenResponseIsNotRetriedIfUnrepeatable(t *testing.T) {
	for name, respondBroken := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
				respondBroken(c, r.Header.Get("Test-Id"))
				return false
			})
			g := newGateway(t, s, newTarget(t, s.script))
			response, _ := g.do(t, "POST", "/unsafe/", "id1", "")
			if response.StatusCode != http.StatusBadGateway || response.Header.Get("Retry-After") != "" {
				t.Fatalf("got %d, %v", response.StatusCode, response.Header)
			}
			if s.requests.Load() > 1 {
				t.Fatal("the request was sent twice")
			}
		})
	}
}

func TestBrokenResponseIsRetriedIfRepeatable(t *testing.T) {
	for name, respondBroken := range brokenResponses {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int32
			script := func(_ int, r *http.Request, c net.Conn) bool {
				if total.Add(1) == 1 {
					respondBroken(c, r.Header.Get("Test-Id"))
					return false
				}
				return respondHello(0, r, c)
			}
			g := newGateway(t, newTarget(t, script), newTarget(t, script))
			if response, body := g.do(t, "GET", "/safe/", "id1", ""); response.StatusCode != http.StatusOK || body != "hello" {
				t.Fatalf("got %d %q", response.StatusCode, body)
			}
		})
	}
}

func rejectNotRun(_ int, r *http.Request, c net.Conn) bool {
	fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nTest-Id: %s\r\nTest-Not-Executed: 1\r\nSeal: x\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"))
	return true
}

func TestRequestThatDidNotRunGetsRetryAfter(t *testing.T) {
	a, b := newTarget(t, rejectNotRun), newTarget(t, rejectNotRun)
	g := newGateway(t, a, b)
	response, _ := g.do(t, "POST", "/unsafe/", "id1", "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("got %d, %v", response.StatusCode, response.Header)
	}
	if response.Header.Get("Seal") != "" {
		t.Fatal("the target's header is on a response generated by the box")
	}
	if a.requests.Load() != 1 || b.requests.Load() != 1 {
		t.Fatalf("targets got %d and %d requests; the route allows 2 attempts", a.requests.Load(), b.requests.Load())
	}
}

func TestTargetFailureIsForwarded(t *testing.T) {
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 500 Oops\r\nTest-Id: %s\r\nSeal: x\r\nContent-Length: 2\r\n\r\nno", r.Header.Get("Test-Id"))
		return true
	})
	g := newGateway(t, s)
	response, body := g.do(t, "POST", "/unsafe/", "id1", "")
	if response.StatusCode != http.StatusInternalServerError || response.Header.Get("Seal") != "x" || body != "no" {
		t.Fatalf("got %d %v %q", response.StatusCode, response.Header, body)
	}
}

func TestUnreachableTargetIsSkipped(t *testing.T) {
	dead := newTarget(t, respondHello)
	_ = dead.listener.Close()
	g := newGateway(t, dead, newTarget(t, respondHello))
	for i := range 6 {
		if response, _ := g.do(t, "POST", "/unsafe/", fmt.Sprint(i), ""); response.StatusCode != http.StatusOK {
			t.Fatalf("got %d", response.StatusCode)
		}
	}
}

func TestResponsesGeneratedByBox(t *testing.T) {
	g := newGateway(t, newTarget(t, respondHello))
	if response, _ := g.do(t, "GET", "/none/", "id1", ""); response.StatusCode != http.StatusNotFound {
		t.Fatalf("unknown route: got %d", response.StatusCode)
	}
	g.daemon.routing.Store(nil)
	response, _ := g.do(t, "GET", "/safe/", "id2", "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Fatalf("box without routes: got %d, %v", response.StatusCode, response.Header)
	}
	if g.daemon.isReady() {
		t.Fatal("ready without routes")
	}
}

// Guards against answering 404 for a route that was added while the box had no contact with
// control. A box did so for seconds: its last contact was seven seconds ago, and it answered from
// an older routes document than the active one as if that were up to date.
func TestUnknownRouteIsNotDeniedWithoutControl(t *testing.T) {
	g := newGateway(t, newTarget(t, respondHello))
	age := maxControlAge + time.Millisecond
	g.daemon.controlAge = func() time.Duration { return age }
	response, _ := g.do(t, "GET", "/added/", "id1", "")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("no contact with control for %s: got %d, %v", age, response.StatusCode, response.Header)
	}
	if response, _ := g.do(t, "GET", "/safe/", "id2", ""); response.StatusCode != http.StatusOK {
		t.Errorf("known route: got %d", response.StatusCode)
	}
	age = maxControlAge
	if response, _ := g.do(t, "GET", "/added/", "id3", ""); response.StatusCode != http.StatusNotFound {
		t.Errorf("unknown route with recent contact with control: got %d", response.StatusCode)
	}
}

// Large request and response bodies are streamed.
func TestLargeBodies(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 40_000)
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		writeResponse(c, r.Header.Get("Test-Id"), string(body))
		return true
	})
	g := newGateway(t, s)
	if response, body := g.do(t, "POST", "/unsafe/", "id1", long); response.StatusCode != http.StatusOK || body != long {
		t.Fatalf("got %d, %d bytes", response.StatusCode, len(body))
	}
}
