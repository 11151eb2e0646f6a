package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/pipelining"
)

const (
	// memoryTargets have 4 slots each, so that many requests run at once.
	memoryTargets  = 16
	memoryRequests = 4 * memoryTargets
	// testBufferMemory is less than four whole buffers.
	testBufferMemory = 1 << 20
)

// stuckWriter is the response writer of a caller that reads nothing.
type stuckWriter struct {
	header http.Header
	ended  <-chan struct{}
}

// Header implements http.ResponseWriter.
func (w stuckWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w stuckWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (w stuckWriter) Write([]byte) (int, error) {
	<-w.ended
	return 0, net.ErrClosed
}

// Guards against a box that runs out of memory because many targets send much at once, and callers read
// nothing: each response was bounded, all together were not.
func TestManyLongResponsesAreBoundedTogether(t *testing.T) {
	for name, test := range map[string]struct {
		start string
		// pieces is how much of 4 KB each target sends: less than a box buffers of one response.
		pieces int
		// free is what a request may hold without a reservation, in bytes.
		free int
	}{
		"body without a length": {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\n\r\n", 50, 2 * unreservedBuffer},
		"body with a length":    {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 999999\r\n\r\n", 50, 2 * unreservedBuffer},
		"head":                  {"HTTP/1.1 200 OK\r\nTest-Id: %s\r\nX-A: ", 12, 2 * unreservedHead},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newRig(t, testConfig(), memoryTargets)
				s.reached = make(chan *target, 2*memoryRequests)
				s.daemon.bufferMemory = pipelining.NewBudget(testBufferMemory)
				var held atomic.Int64
				ended := make(chan struct{})
				s.scripts = make(chan script, 2*memoryRequests)
				for range cap(s.scripts) {
					s.scripts <- func(r *http.Request, c net.Conn) bool {
						n := writePieces(c, fmt.Sprintf(test.start, r.Header.Get("Test-Id")), test.pieces)
						held.Add(n)
						<-ended
						return false
					}
				}
				var running sync.WaitGroup
				for range memoryRequests {
					running.Go(func() {
						defer func() { _ = recover() }() // a response that breaks off aborts its handler
						r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/single/", nil)
						r.Host = "a.example"
						r.Header.Set("Test-Id", "id1")
						s.daemon.ServeHTTP(stuckWriter{make(http.Header), ended}, r)
					})
				}
				time.Sleep(time.Second)
				most := int64(testBufferMemory + memoryRequests*test.free)
				if n := held.Load(); n > most {
					t.Errorf("the box holds %d bytes of responses, want at most %d", n, most)
				}
				if used := s.daemon.bufferMemory.Used(); used > testBufferMemory {
					t.Errorf("%d bytes are reserved, the limit is %d", used, testBufferMemory)
				}
				close(ended)
				running.Wait()
				if used := s.daemon.bufferMemory.Used(); used != 0 {
					t.Errorf("%d bytes are reserved after the requests", used)
				}
			})
		})
	}
}

// writePieces writes a text and pieces behind it, and returns how much of those has been read after
// half a second.
func writePieces(c net.Conn, text string, pieces int) (total int64) {
	_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	if _, err := io.WriteString(c, text); err != nil {
		return 0
	}
	for range pieces {
		n, err := io.WriteString(c, strings.Repeat("a", 4<<10))
		total += int64(n)
		if err != nil {
			break
		}
	}
	return total
}
