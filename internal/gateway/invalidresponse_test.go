package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// invalidResponses are bytes in place of a response. "%s" is the id of the request.
var invalidResponses = map[string]string{
	"status 000":               "HTTP/1.1 000 X\r\nTest-Id: %[1]s\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: %[1]s\r\nContent-Length: 3\r\n\r\nbad",
	"status 099":               "HTTP/1.1 099 X\r\nTest-Id: %[1]s\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: %[1]s\r\nContent-Length: 3\r\n\r\nbad",
	"interim with bad name":    "HTTP/1.1 103 Early Hints\r\nX Foo: a\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"another version":          "HTTP/2.0 200 OK\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"blank behind length":      "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nContent-Length : 3\r\n\r\nbad and more",
	"blank behind encoding":    "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
	"blank in a name":          "HTTP/1.1 200 OK\r\nX Foo: a\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"control byte in a name":   "HTTP/1.1 200 OK\r\nX\x01Foo: a\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"tab in a name":            "HTTP/1.1 200 OK\r\nX\tFoo: a\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"no name":                  "HTTP/1.1 200 OK\r\n: a\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"carriage return in value": "HTTP/1.1 200 OK\r\nX: a\rY: b\r\nTest-Id: %s\r\nContent-Length: 3\r\n\r\nbad",
	"encoding in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
	"blank in a trailer":       "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\nX Foo: a\r\n\r\n",
}

// Guards against bytes that are no response and that a caller gets as one: net/http takes statuses
// below 100, names with blanks and other versions, and ignores fields whose names have blanks. Such a
// request has possibly run.
func TestInvalidResponseIsNotForwarded(t *testing.T) {
	for name, text := range invalidResponses {
		for path, want := range map[string]int{"/long/": http.StatusOK, "/once/": http.StatusBadGateway} {
			t.Run(name+" "+path, func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					s := newRig(t, testConfig(), 2)
					s.scripts = scripts(func(r *http.Request, c net.Conn) bool {
						go func() { _, _ = io.Copy(io.Discard, c) }()
						fmt.Fprintf(c, text, r.Header.Get("Test-Id"))
						return false
					}, s.responds(0, "sound"))
					got := s.send(t.Context(), path, "")
					if got.status != want || want == http.StatusOK && got.body != "sound" {
						t.Errorf("got %d %q, want %d", got.status, got.body, want)
					}
				})
			})
		}
	}
}
