package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/pipelining"
)

// pipeRig is a box with targets and one connection of a caller, all in memory. A target responds to
// /ROUTE/MILLISECONDS/BODY with BODY after that time.
type pipeRig struct {
	*rig
	caller net.Conn
	reader *bufio.Reader
	served chan error
	// conn is the box's side of the connection once it has been accepted.
	conn *callerConn
	mu   sync.Mutex
	// arrived are the ids of the requests that have reached a target.
	arrived []string
	// failing is the id of a request whose first target breaks its connection.
	failing string
}

func newPipeRig(t *testing.T) *pipeRig {
	t.Helper()
	config := testConfig()
	config.StopTime = 8 * time.Second
	p := &pipeRig{rig: newRig(t, config, 2), served: make(chan error, 1)}
	for _, one := range p.targets {
		one.script = func(_ int, r *http.Request, c net.Conn) bool { return p.respond(r, c) }
	}
	c := p.daemon.callerServer
	l := &memoryListener{Listener: c.listener, conns: make(chan net.Conn), ended: make(chan struct{})}
	t.Cleanup(func() { c.listener = l.Listener })
	c.listener = l
	connContext := c.server.ConnContext
	c.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		p.conn, _ = conn.(*callerConn)
		return connContext(ctx, conn)
	}
	served := c.serve()
	go func() { p.served <- <-served }()
	near, far := net.Pipe()
	l.conns <- far
	p.caller, p.reader = near, bufio.NewReader(near)
	return p
}

func (p *pipeRig) respond(r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Test-Id")
	p.mu.Lock()
	p.arrived = append(p.arrived, id)
	breaks := p.failing == id
	if breaks {
		p.failing = ""
	}
	p.mu.Unlock()
	if breaks {
		return false
	}
	parts := strings.SplitN(r.URL.Path, "/", 4)
	millis, _ := strconv.Atoi(parts[2])
	if p.endsWithin(time.Duration(millis)*time.Millisecond, r, c) {
		return false
	}
	body := parts[3]
	if n, err := strconv.Atoi(body); err == nil {
		body = strings.Repeat("x", n)
	}
	if body == "truncated" {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 400000\r\n\r\n%s", id, strings.Repeat("t", 300_000))
		return false
	}
	writeResponse(c, id, body)
	return true
}

// requests returns the heads of GET requests.
func requests(paths ...string) string {
	var out strings.Builder
	for i, path := range paths {
		fmt.Fprintf(&out, "GET %s HTTP/1.1\r\nHost: a.example\r\nTest-Id: id%d\r\nTest-Deadline: 5000\r\n\r\n", path, i+1)
	}
	return out.String()
}

// write writes in the background, as a pipe has no buffer.
func (p *pipeRig) write(text string) { go func() { _, _ = io.WriteString(p.caller, text) }() }

// wantResponses reads responses and checks their bodies.
func (p *pipeRig) wantResponses(t *testing.T, bodies ...string) (last *http.Response) {
	t.Helper()
	for _, want := range bodies {
		r, err := http.ReadResponse(p.reader, nil)
		if err != nil {
			t.Fatalf("instead of %.20q: %v", want, err)
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || string(body) != want {
			t.Fatalf("got %d %.40q, %v, want %.40q", r.StatusCode, body, err, want)
		}
		last = r
	}
	return last
}

// wantArrived checks which requests have reached a target.
func (p *pipeRig) wantArrived(t *testing.T, want int) {
	t.Helper()
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.arrived) != want {
		t.Fatalf("%v reached targets, want %d requests", p.arrived, want)
	}
}

func (p *pipeRig) wantCount(t *testing.T, started string, want float64) {
	t.Helper()
	families, err := p.daemon.process.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := 0.0
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if f.GetName() == "ledgesill_pipelined_requests_total" && m.GetLabel()[0].GetValue() == started {
				got = m.GetCounter().GetValue()
			}
		}
	}
	if got != want {
		t.Errorf("%v pipelined requests count as %s, want %v", got, started, want)
	}
}

// wantNothingLeft closes the connection and checks that nothing of its requests is left.
func (p *pipeRig) wantNothingLeft(t *testing.T) {
	t.Helper()
	_ = p.caller.Close()
	synctest.Wait()
	c := p.daemon.callerServer
	if n, used := c.early.Load(), c.buffers.Used(); n != 0 || used != 0 || p.daemon.inFlight.Load() != 0 {
		t.Errorf("left: %d unwritten, %d bytes, %d requests in flight", n, used, p.daemon.inFlight.Load())
	}
	if err := c.server.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	if err := <-p.served; err != http.ErrServerClosed {
		t.Error(err)
	}
}

// Guards against requests of one connection that wait for the run of those before them, and against
// responses out of order. The load: browse requests of wpsl, 610 ms each, 8 at once.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	for name, step := range map[string]int{"in one segment": 0, "byte by byte": 1, "in pieces": 50} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				p := newPipeRig(t)
				began := time.Now()
				text := requests("/long/610/a", "/long/10/b", "/long/300/c", "/long/610/d", "/long/0/e", "/long/1/f", "/long/2/g", "/long/600/h")
				go func() {
					for len(text) > 0 {
						n := len(text)
						if step > 0 {
							n = min(step, n)
						}
						_, _ = io.WriteString(p.caller, text[:n])
						text = text[n:]
					}
				}()
				p.wantResponses(t, "a", "b", "c", "d", "e", "f", "g", "h")
				if took := time.Since(began); took != 610*time.Millisecond {
					t.Errorf("took %s", took)
				}
				p.wantCount(t, "early", 7)
				p.wantNothingLeft(t)
				p.wantNoneInFlight(t)
			})
		})
	}
}

// Guards against more than 8 requests of a connection at once, and against losing those beyond.
func TestPipelinedRequestsAreLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		var paths, bodies []string
		for i := range 60 {
			paths = append(paths, fmt.Sprintf("/long/100/r%d", i))
			bodies = append(bodies, fmt.Sprintf("r%d", i))
		}
		p.write(requests(paths...))
		p.wantArrived(t, maxStartedRequests)
		p.wantResponses(t, bodies...)
		p.wantArrived(t, 60)
		p.wantNothingLeft(t)
	})
}

// Guards against requests that start before one that may change what they read, and behind one that
// closes the connection.
func TestOtherRequestsRunAlone(t *testing.T) {
	post := "POST /long/100/p HTTP/1.1\r\nHost: a.example\r\nTest-Id: p\r\nTest-Deadline: 5000\r\n"
	get := requests("/long/100/a", "/long/100/b")
	for _, c := range []struct {
		name, text string
		early      int
		bodies     []string
		took       time.Duration
	}{
		{"post with length", get + post + "Content-Length: 3\r\n\r\nabc" + get, 2, []string{"a", "b", "p", "a", "b"}, 300},
		{"post first", post + "Content-Length: 3\r\n\r\nabc" + get, 1, []string{"p", "a", "b"}, 200},
		{"post without body", get + post + "Content-Length: 0\r\n\r\n" + get, 2, []string{"a", "b", "p", "a", "b"}, 300},
		// After a chunked body the connection is served one request at a time.
		{"chunked post", get + post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get, 1, []string{"a", "b", "p", "a", "b"}, 400},
		{"unrepeatable route", get + requests("/once/100/o") + get, 2, []string{"a", "b", "o", "a", "b"}, 300},
		{"empty line after post", post + "Content-Length: 0\r\n\r\n\r\n" + get, 0, []string{"p", "a", "b"}, 300},
		{"close", get + strings.Replace(get, "Test-Id", "Connection: close\r\nTest-Id", 1), 2, []string{"a", "b", "a"}, 100},
		{"HTTP/1.0", get + strings.Replace(get, "HTTP/1.1", "HTTP/1.0", 1), 1, []string{"a", "b", "a"}, 200},
		{"options", get + "OPTIONS * HTTP/1.1\r\nHost: a.example\r\n\r\n" + get, 1, []string{"a", "b", "", "a", "b"}, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				p := newPipeRig(t)
				began := time.Now()
				p.write(c.text)
				p.wantResponses(t, c.bodies...)
				if took := time.Since(began); took != c.took*time.Millisecond {
					t.Errorf("took %s, want %d ms", took, c.took)
				}
				p.wantCount(t, "early", float64(c.early))
				p.wantNothingLeft(t)
			})
		})
	}
}

// Guards against targets that go on running the requests of a caller that has left, and against
// requests that are sent to a target after that.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.write(requests("/long/4000/a", "/long/4000/b", "/long/4000/c") + "POST /long/0/p HTTP/1.1\r\nHost: a.example\r\nTest-Id: p\r\nContent-Length: 0\r\n\r\n")
		p.wantArrived(t, 3)
		_ = p.caller.Close()
		synctest.Wait()
		if len(p.ended) != 3 {
			t.Errorf("%d requests ended at targets, want 3", len(p.ended))
		}
		p.wantArrived(t, 3)
		p.wantNothingLeft(t)
		p.wantNoneInFlight(t)
	})
}

// Guards against responses that are lost, or replaced by a refusal, because they wait for longer than
// the deadline of their request.
func TestReadyResponseIsDeliveredLate(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.write(requests("/long/4000/a", "/long/10/20000") + strings.Replace(requests("/long/10/c"), "5000", "500", 1))
		p.wantResponses(t, "a", strings.Repeat("x", 20000), "c")
		p.wantNothingLeft(t)
	})
}

// Guards against a failed target of one request that affects those beside it: the second of three is
// repeated and the order is kept.
func TestFailedPipelinedRequestIsRepeated(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.failing = "id2"
		p.write(requests("/long/300/a", "/long/100/b", "/long/10/c"))
		p.wantResponses(t, "a", "b", "c")
		p.wantArrived(t, 4)
		p.wantNothingLeft(t)
	})
}

// Guards against responses that fill the memory of the box while a caller's first request runs.
func TestBufferedResponsesAreLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		x := strings.Repeat("x", 40000)
		p.write(requests("/long/400/a", "/long/0/40000", "/long/0/40000", "/long/0/40000") + strings.Repeat(requests("/long/0/d"), 20))
		synctest.Wait()
		if used := p.daemon.callerServer.buffers.Used(); used <= 0 || used > maxBufferedResponses {
			t.Errorf("%d bytes are buffered", used)
		}
		p.wantResponses(t, "a", x, x, x)
		for range 20 {
			p.wantResponses(t, "d")
		}
		p.wantNothingLeft(t)
	})
}

// Guards against a box whose buffers are full that starts further requests early, or that no longer
// serves them at all.
func TestFullBoxServesOneByOne(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.daemon.callerServer.buffers = pipelining.NewBudget(0)
		p.write(requests("/long/100/a", "/long/100/b", "/long/100/c"))
		p.wantArrived(t, 1)
		p.wantResponses(t, "a", "b", "c")
		p.wantCount(t, "early", 0)
		p.wantNothingLeft(t)
	})
}

// Guards against framing that is refused without pipelining and accepted behind another request, and
// against effects on the requests before it.
func TestMalformedPipelinedRequestIsRefused(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":         "GET /long/0/b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
		"chunked with length": "GET /long/0/b HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
		"space before colon":  "GET /long/0/b HTTP/1.1\r\nHost: a.example\r\nAccept : x\r\n\r\n",
		"no host":             "GET /long/0/b HTTP/1.1\r\nAccept: x\r\n\r\n",
		"two hosts":           "GET /long/0/b HTTP/1.1\r\nHost: a.example\r\nHost: a.example\r\n\r\n",
		"bad host":            "GET /long/0/b HTTP/1.1\r\nHost: a{}<>.example\r\n\r\n",
		"bad value":           "GET /long/0/b HTTP/1.1\r\nHost: a.example\r\nAccept: \x01\r\n\r\n",
		"no request line":     "GET\r\nHost: a.example\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				p := newPipeRig(t)
				p.write(requests("/long/100/a", "/long/100/a") + head + requests("/long/0/c"))
				p.wantArrived(t, 2)
				p.wantResponses(t, "a", "a")
				r, err := http.ReadResponse(p.reader, nil)
				if err != nil || r.StatusCode < 400 || !r.Close {
					t.Fatalf("got %v, %v", r, err)
				}
				p.wantArrived(t, 2)
				p.wantNothingLeft(t)
			})
		})
	}
}

// Guards against a box that shuts down and closes a connection before the responses of requests that
// it has started, or that starts requests behind them.
func TestShutdownDeliversStartedRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.write(requests("/single/4500/a", "/single/100/b", "/single/4900/c"))
		p.wantArrived(t, 3)
		stopped := make(chan struct{})
		go func() { defer close(stopped); p.daemon.shutdown() }()
		time.Sleep(time.Second)
		p.write(requests("/long/0/d"))
		if r := p.wantResponses(t, "a"); r.Close {
			t.Error("the connection is announced to close before the responses of started requests")
		}
		p.wantResponses(t, "b")
		if r := p.wantResponses(t, "c"); !r.Close {
			t.Error("the last response does not announce that the connection closes")
		}
		if _, err := p.reader.ReadByte(); err == nil {
			t.Error("there is a response behind the one that closes the connection")
		}
		<-stopped
		p.wantArrived(t, 3)
		p.wantNothingLeft(t)
	})
}

// Guards against a connection without pipelining that holds a buffer, or a goroutine more than the
// HTTP server has for it.
func TestConnectionWithoutPipeliningHoldsNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		for i := range 3 {
			p.write(requests("/long/100/a"))
			p.wantArrived(t, i+1)
			p.wantNoBuffer(t)
			p.wantResponses(t, "a")
			p.wantNoBuffer(t)
		}
		p.write(requests("/long/100/a", "/long/100/b"))
		p.wantResponses(t, "a", "b")
		p.wantNoBuffer(t)
		p.wantCount(t, "early", 1)
		p.wantNothingLeft(t)
	})
}

// wantNoBuffer checks that nothing is kept of requests behind the one being served.
func (p *pipeRig) wantNoBuffer(t *testing.T) {
	t.Helper()
	synctest.Wait()
	p.conn.mu.Lock()
	defer p.conn.mu.Unlock()
	if p.conn.ahead != nil {
		t.Errorf("%d bytes are read ahead", len(p.conn.ahead.data))
	}
}

// Guards against a request that is logged twice or not at all, and against a line without the
// position of the request.
func TestPipelinedRequestsAreLoggedOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		var lines bytes.Buffer
		p.daemon.log = zerolog.New(&lines)
		p.write(requests("/long/100/a", "/long/200/b") + "POST /long/300/p HTTP/1.1\r\nHost: a.example\r\nTest-Id: id3\r\nContent-Length: 0\r\n\r\n")
		p.wantResponses(t, "a", "b", "p")
		p.wantNothingLeft(t)
		for want, count := range map[string]int{`"kind":"request"`: 3, `"request":"id2"`: 1, `"pipelined":`: 2, `"pipelined":1`: 1, `"pipelined":2`: 1} {
			if n := strings.Count(lines.String(), want); n != count {
				t.Errorf("%d lines have %s, want %d: %s", n, want, count, lines.String())
			}
		}
		p.wantCount(t, "early", 1)
		p.wantCount(t, "notRepeatable", 1)
	})
}

// Guards against responses behind a truncated one, which the caller would take for the rest of it.
func TestTruncatedResponseEndsConnection(t *testing.T) {
	for name, text := range map[string]string{
		"first":         requests("/long/100/truncated", "/long/4000/b", "/long/4000/c"),
		"started early": requests("/long/100/a", "/long/50/truncated", "/long/4000/c"),
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				p := newPipeRig(t)
				p.write(text)
				data, err := io.ReadAll(p.reader)
				if err != nil {
					t.Error(err)
				}
				if !strings.HasSuffix(string(data), strings.Repeat("t", 300_000)) {
					t.Errorf("the response ends with %.40q", data[max(len(data)-40, 0):])
				}
				p.wantNothingLeft(t)
				p.wantNoneInFlight(t)
			})
		})
	}
}

// BenchmarkRequestsInTurn measures what it costs to serve a connection without pipelining, and what
// a plain connection costs. The requests match no route.
func BenchmarkRequestsInTurn(b *testing.B) {
	for name, wrap := range map[string]bool{"plain": false, "read ahead": true} {
		b.Run(name, func(b *testing.B) {
			d := newDaemon(b, testConfig())
			defer d.readyListener.Close()
			c := d.callerServer
			var l net.Listener = c.listener
			if wrap {
				l = callerListener{l, c}
			}
			go func() { _ = c.server.Serve(l) }() // ends with the listener
			defer c.server.Close()
			conn, err := net.Dial("tcp4", c.listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			text := []byte(strings.Replace(requests("/none/"), "\r\n\r\n", strings.Repeat("\r\nX-Header: some value of a header", 8)+"\r\n\r\n", 1))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = conn.Write(text)
				r, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		})
	}
}

// Guards against a body in the response to a HEAD request that started early.
func TestPipelinedHeadHasNoBody(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		for _, one := range p.targets {
			one.script = func(_ int, r *http.Request, c net.Conn) bool {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 1\r\n\r\n", r.Header.Get("Test-Id"))
				if r.Method != http.MethodHead {
					_, _ = io.WriteString(c, "x")
				}
				return true
			}
		}
		p.write(requests("/long/") + strings.Replace(requests("/long/"), "GET", "HEAD", 1) + requests("/long/"))
		p.wantResponses(t, "x")
		r, err := http.ReadResponse(p.reader, &http.Request{Method: http.MethodHead})
		if err != nil || r.ContentLength != 1 {
			t.Fatalf("got %v, %v", r, err)
		}
		p.wantResponses(t, "x")
		p.wantCount(t, "early", 2)
		p.wantNothingLeft(t)
	})
}

// Guards against a head whose end the box and net/http see at different bytes, so that a request could
// be hidden in another one.
func TestHeadScanAgreesWithParser(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	pieces := []string{"\r\n", "\n", "\r", " ", "\t", "A: b", "C:", "x", ":", "\r\n\r\n", "\r\r\n", "\x00", "GET / HTTP/1.1\r\n"}
	agreed := 0
	for range 200_000 {
		text := "GET / HTTP/1.1\r\nHost: a"
		for range random.IntN(8) {
			text += pieces[random.IntN(len(pieces))]
		}
		text += "\r\n\r\nGET /next HTTP/1.1\r\n\r\n"
		source := strings.NewReader(text)
		reader := bufio.NewReader(source)
		r, err := http.ReadRequest(reader)
		if err != nil || r.ContentLength != 0 {
			continue
		}
		agreed++
		want := len(text) - reader.Buffered() - source.Len()
		var scan headScan
		end, complete := 0, false
		for !complete && end < len(text) {
			n := 0
			n, complete = scan.next([]byte(text[end:min(end+1+random.IntN(20), len(text))]))
			end += n
		}
		if !complete || scan.unclear || end != want {
			t.Fatalf("%q ends at %d (%v, unclear %v), net/http read %d bytes", text, end, complete, scan.unclear, want)
		}
	}
	if agreed < 10_000 {
		t.Errorf("net/http accepted %d heads only", agreed)
	}
}

// Guards against an incomplete head behind another request that holds its connection, or is lost, and
// against heads that don't fit the buffer for what is read ahead.
func TestIncompletePipelinedHead(t *testing.T) {
	long := strings.Replace(requests("/long/0/b"), "Test-Id", "X-Long: "+strings.Repeat("x", 2*maxReadAhead)+"\r\nTest-Id", 1)
	for _, c := range []struct {
		name, first, later string
		bodies             []string
		closesAfter        time.Duration
	}{
		{"completed later", requests("/long/100/a") + "GET /long/0/", strings.TrimPrefix(requests("/long/0/b"), "GET /long/0/"), []string{"a", "b"}, 0},
		{"never completed", requests("/long/100/a") + "GET /long/0/", "", []string{"a"}, callerHeaderTimeout},
		{"longer than the buffer", requests("/long/100/a") + long + requests("/long/0/c"), "", []string{"a", "b", "c"}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				p := newPipeRig(t)
				p.write(c.first)
				synctest.Wait()
				p.wantResponses(t, c.bodies[0])
				began := time.Now()
				p.write(c.later)
				p.wantResponses(t, c.bodies[1:]...)
				if c.closesAfter > 0 {
					data, err := io.ReadAll(p.reader)
					if took := time.Since(began); err != nil || took != c.closesAfter || !strings.HasPrefix(string(data), "HTTP/1.1 400 ") {
						t.Errorf("got %q, %v after %s, want 400 and EOF after %s", data, err, took, c.closesAfter)
					}
				}
				p.wantNothingLeft(t)
			})
		})
	}
}

// Guards against a connection that counts as busy, and is not closed as idle, after pipelined requests.
func TestIdleConnectionClosesAfterPipelining(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.write(requests("/long/100/a", "/long/10/b", "/long/10/c"))
		p.wantResponses(t, "a", "b", "c")
		synctest.Wait()
		c := p.daemon.callerServer
		if n := c.idleCount(); n != 1 {
			t.Errorf("%d connections are idle", n)
		}
		c.closeIdle(time.Now().Add(time.Second))
		if _, err := p.reader.ReadByte(); err != io.EOF {
			t.Errorf("the idle connection is open: %v", err)
		}
		synctest.Wait()
		if n := c.idleCount(); n != 0 {
			t.Errorf("%d connections are idle or closing", n)
		}
		p.wantNothingLeft(t)
	})
}

// Guards against a request that starts early from the middle of a head of which the server has already
// got the first byte.
func TestPartOfHeadDoesNotStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		near, far := net.Pipe()
		defer near.Close()
		c := &callerConn{Conn: far, server: s.daemon.callerServer, ctx: t.Context(), state: headRead}
		c.keep([]byte(strings.Repeat("x"+requests("/long/0/a"), maxReadAhead/len(requests("/long/0/a"))+1)))
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("read %d bytes, %v", n, err)
		}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/long/0/b", nil)
		r.Host = "a.example"
		c.begin(r)
		synctest.Wait()
		if n := s.daemon.callerServer.early.Load(); n != 0 || len(s.reached) != 0 {
			t.Errorf("%d requests started, %d reached a target", n, len(s.reached))
		}
		_ = c.Close()
	})
}

// Guards against a request whose lines end in bare LF that starts before net/http has decided on it.
func TestBareLineFeedDoesNotStartEarly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		p.write(requests("/long/100/a") + strings.ReplaceAll(requests("/long/0/b"), "\r\n", "\n") + requests("/long/0/c"))
		p.wantArrived(t, 1)
		p.wantResponses(t, "a")
		p.wantCount(t, "early", 0)
		_ = p.caller.Close()
		p.wantNothingLeft(t)
	})
}

// Guards against many connections whose pipelined heads together fill the memory of the box, and
// against requests that are lost because nothing more was read.
func TestReadAheadIsLimited(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		p := newPipeRig(t)
		const room = 2 << 10
		p.daemon.callerServer.buffers = pipelining.NewBudget(room)
		post := "POST /long/10/p HTTP/1.1\r\nHost: a.example\r\nTest-Id: p\r\nContent-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000)
		p.write(requests("/long/100/a") + post + requests("/long/10/b"))
		p.wantArrived(t, 1)
		p.conn.mu.Lock()
		if n := len(p.conn.ahead.data); n > 4096+room { // what net/http read in one call, and the budget
			t.Errorf("%d bytes are read ahead", n)
		}
		p.conn.mu.Unlock()
		p.wantResponses(t, "a", "p", "b")
		p.wantNothingLeft(t)
	})
}
