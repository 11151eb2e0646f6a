package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// openPartialRequest connects to a box and writes the beginning of a request.
func openPartialRequest(t *testing.T, g *testGateway, begin string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(g.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, begin); err != nil {
		t.Fatal(err)
	}
	return c
}

// Nothing is sent to a target if the caller disconnects before its body has been read.
func TestIncompleteBodyIsNotSent(t *testing.T) {
	s := newTarget(t, respondHello)
	g := newGateway(t, s)
	head := "POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nTest-Id: id1\r\nTest-Key: k\r\nContent-Length: 100\r\n\r\n"
	c := openPartialRequest(t, g, head+"half of")
	_ = c.Close()
	g.server.Close() // waits for the request to end
	if n := s.requests.Load(); n != 0 {
		t.Errorf("%d requests reached the target", n)
	}
}

// Callers that connect and send nothing, or half a header, must not block others.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	const many = 300
	g := newGateway(t, newTarget(t, respondHello))
	for n := range many {
		begin := ""
		if n%2 == 0 {
			begin = "GET /safe/ HTTP/1.1\r\nHo"
		}
		defer openPartialRequest(t, g, begin).Close()
	}
	for n := range 5 {
		response, _ := g.do(t, http.MethodGet, "/safe/", fmt.Sprint("id", n), "")
		if response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got status %d", n, response.StatusCode)
		}
	}
}
