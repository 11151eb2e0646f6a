package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// framedResponses are responses to the request "id1", by framing.
var framedResponses = map[string]string{
	"length":     "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nContent-Length: 10\r\n\r\n",
	"chunks":     "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"connection": "HTTP/1.1 200 OK\r\nTest-Id: id1\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":   "HTTP/1.0 200 OK\r\nTest-Id: id1\r\nContent-Length: 10\r\n\r\n",
	"no body":    "HTTP/1.1 204 No Content\r\nTest-Id: id1\r\n\r\n",
}

// A target that stops in the middle of a head has sent no response, on a new connection and on a kept
// one.
func TestHeadThatEndsEarlyIsNoResponse(t *testing.T) {
	for name, head := range framedResponses {
		t.Run(name, func(t *testing.T) {
			for length := range len(head) {
				for _, isKept := range []bool{false, true} {
					inVirtualTime(t, func(t *testing.T) {
						s := newRig(t, testConfig(), 1)
						stops := func(_ *http.Request, c net.Conn) bool {
							_, _ = fmt.Fprint(c, head[:length])
							return false
						}
						s.scripts = scripts(stops)
						if isKept {
							s.scripts = scripts(s.responds(0, "first"), stops)
							s.wantResponse(t, s.send(t.Context(), "/once/", ""), "first", 0)
						}
						if got := s.send(t.Context(), "/once/", ""); got.status != http.StatusBadGateway {
							t.Errorf("%d bytes, kept connection %v: got %d %q", length, isKept, got.status, got.body)
						}
					})
				}
			}
		})
	}
}
