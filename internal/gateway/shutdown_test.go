package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
)

// If a caller disconnects, the target of its request sees its connection close.
func TestDisconnectClosesTargetConnection(t *testing.T) {
	began := make(chan struct{}, 2)
	ended := make(chan error, 2)
	s := newTarget(t, func(_ int, _ *http.Request, c net.Conn) bool {
		began <- struct{}{}
		_, err := c.Read(make([]byte, 1))
		ended <- err
		return false
	})
	g := newGateway(t, s)
	var lines bytes.Buffer
	g.daemon.log = zerolog.New(&lines)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/unsafe/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "a.example"
	r.Header.Set("Test-Id", "id1")
	disconnected := make(chan error, 1)
	go func() {
		response, err := g.server.Client().Do(r)
		if err == nil {
			_ = response.Body.Close()
		}
		disconnected <- err
	}()
	<-began
	cancel()
	if err := <-disconnected; err == nil {
		t.Fatal("the caller got a response")
	}
	if err := <-ended; err == nil {
		t.Fatal("the target got more data")
	}
	g.server.Close() // waits for the request to end
	if !strings.Contains(lines.String(), `"reason":"callerLeft"`) {
		t.Errorf("the log does not report that the caller left: %s", lines.String())
	}
}

// A box that shuts down finishes the requests that it has read, tells callers that the connection
// will close, and is no longer ready.
func TestShutdownFinishesReadRequests(t *testing.T) {
	began, release := make(chan struct{}, 1), make(chan struct{})
	s := newTarget(t, func(_ int, r *http.Request, c net.Conn) bool {
		began <- struct{}{}
		<-release
		writeResponse(c, r.Header.Get("Test-Id"), "hello")
		return true
	})
	g := newGateway(t, s)
	served := g.daemon.callerServer.serve()
	address := "http://" + g.daemon.callerServer.listener.Addr().String()
	got := make(chan string, 1)
	go func() {
		r, err := http.NewRequest(http.MethodPost, address+"/unsafe/", nil)
		if err != nil {
			got <- err.Error()
			return
		}
		r.Host = "a.example"
		r.Header.Set("Test-Id", "id1")
		response, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || !response.Close {
			got <- "the response does not announce that the connection closes"
			return
		}
		got <- string(body)
	}()
	<-began
	g.daemon.stopping.Store(true)
	if g.daemon.isReady() {
		t.Fatal("ready while stopping")
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := g.daemon.callerServer.server.Shutdown(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	if err := <-served; err != http.ErrServerClosed {
		t.Fatal(err)
	}
	close(release)
	if text := <-got; text != "hello" {
		t.Fatalf("got %q", text)
	}
	<-stopped
}
