package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// endlessBytes is how much a target writes before a response counts as read without a bound.
	endlessBytes = 64 << 20
	// maxBytesRead bounds what a box may read of a response that it does not forward.
	maxBytesRead = 1 << 20
)

// endlessResponse is a response that begins with a text and goes on with a piece, repeated.
type endlessResponse struct {
	name  string
	start string
	piece string
}

func endlessResponses() []endlessResponse {
	long := strings.Repeat("a", 1<<16)
	return []endlessResponse{
		{"status line", "HTTP/1.1 200 ", long},
		{"one header", "HTTP/1.1 200 OK\r\nX-A: ", long},
		{"headers", "HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 1000) + "\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		{"no HTTP", "", long},
		{"body of another response", "HTTP/1.1 200 OK\r\nTest-Id: another\r\nContent-Length: 99999999999\r\n\r\n", long},
		{"chunks of another response", "HTTP/1.1 200 OK\r\nTest-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("a", 0x1000) + "\r\n"},
		{"chunk header", "HTTP/1.1 200 OK\r\nTest-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", long},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-A: ", long},
	}
}

// writes writes the response until the box closes the connection, and reports how much it wrote.
func (e endlessResponse) writes(written chan<- int) script {
	return func(_ *http.Request, conn net.Conn) bool {
		total, err := conn.Write([]byte(e.start))
		for err == nil && total < endlessBytes {
			var n int
			n, err = conn.Write([]byte(e.piece))
			total += n
		}
		written <- total
		_ = conn.Close() // the box may have closed it
		return false
	}
}

// Guards against a target that takes all memory of a box, or keeps it reading, by bytes without end in
// place of a response. The caller is not told that its request has not run, and gets the response of
// another target only if it may be repeated.
func TestEndlessTargetResponseIsBounded(t *testing.T) {
	for _, e := range endlessResponses() {
		for path, want := range map[string]int{"/long/": http.StatusOK, "/once/": http.StatusBadGateway} {
			t.Run(e.name+" "+path, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					s := newRig(t, testConfig(), 2)
					written := make(chan int, 1)
					s.scripts = scripts(e.writes(written), s.responds(0, "b"))
					began := time.Now()
					got := s.send(t.Context(), path, "")
					if got.status != want {
						t.Errorf("status %d, want %d", got.status, want)
					}
					if n := <-written; n > maxBytesRead {
						t.Errorf("the box read %d bytes", n)
					}
					if took := time.Since(began); took > time.Second {
						t.Errorf("the box read for %s", took)
					}
				})
			})
		}
	}
}

// Guards against a response whose body has no end and that is forwarded for longer than the request
// may take, or that looks complete to the caller.
func TestEndlessBodyEndsWithTheRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		ended := make(chan time.Time, 1)
		s.scripts = scripts(func(r *http.Request, conn net.Conn) bool {
			_, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nTest-Id: " + r.Header.Get("Test-Id") + "\r\n\r\n"))
			for err == nil {
				_, err = conn.Write([]byte(strings.Repeat("a", 1000)))
				time.Sleep(time.Millisecond)
			}
			ended <- time.Now()
			return false
		})
		began := time.Now()
		func() {
			defer func() {
				if recover() != http.ErrAbortHandler {
					t.Error("the response looks complete to the caller")
				}
			}()
			s.send(t.Context(), "/single/", "")
		}()
		if took := (<-ended).Sub(began); took > 6*time.Second {
			t.Errorf("the target's connection was closed after %s, the route's timeout is 5 s", took)
		}
	})
}
