package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
)

// keepAliveCall sends a request on a connection and reports whether it was answered.
func keepAliveCall(c net.Conn) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return false
	}
	const status = "HTTP/1.1 200"
	answer := make([]byte, 4096)
	n, err := io.ReadAtLeast(c, answer, len(status))
	return err == nil && string(answer[:min(n, len(status))]) == status
}

// serveLimited serves requests with a limit of connections until the test ends.
func serveLimited(t *testing.T, limit int, h http.Handler) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- ServeLimitedHTTP(ctx, l, h, limit) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return l.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Guards against targets that keep a connection to each replica that they have ever called: 10,002
// targets held 10,112 connections to each of nine replicas, which ended over their memory limit.
func TestIdleConnectionsAreBounded(t *testing.T) {
	const limit = 20
	address := serveLimited(t, limit, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	var conns []net.Conn
	for i := range 10 * limit {
		c := dial(t, address)
		conns = append(conns, c)
		if !keepAliveCall(c) {
			t.Fatalf("call %d on a new connection was not answered", i)
		}
	}
	open := 0
	for _, c := range conns {
		if keepAliveCall(c) {
			open++
		}
	}
	if open > limit {
		t.Errorf("%d connections are open, the limit is %d", open, limit)
	}
}

// Guards against calls under way that take more memory than a replica has: a connection beyond the
// limit is closed at once if none is idle, and those being served go on.
func TestConnectionsInUseAreBounded(t *testing.T) {
	const limit = 5
	release := make(chan struct{})
	entered := make(chan struct{}, 10*limit)
	address := serveLimited(t, limit, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	answered := make(chan bool, limit)
	for range limit {
		c := dial(t, address)
		go func() { answered <- keepAliveCall(c) }()
		<-entered
	}
	for range 10 * limit {
		if keepAliveCall(dial(t, address)) {
			t.Fatal("a call beyond the limit was served")
		}
	}
	close(release)
	for range limit {
		if !<-answered {
			t.Error("a call within the limit was not answered")
		}
	}
}
