package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkRequest measures a complete request through a box, including the target and loopback:
// one at a time, on kept connections.
func BenchmarkRequest(b *testing.B) {
	target := newTarget(b, respondHello)
	d := newDaemon(b, testConfig(), target.listener.Addr().String())
	b.Cleanup(func() {
		d.connections.close()
		_ = d.callerServer.listener.Close()
		_ = d.readyListener.Close()
	})
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/unsafe/", strings.NewReader("hello"))
		r.Host = "a.example"
		r.Header.Set("Test-Id", "id1")
		r.Header.Set("Test-Deadline", "5000")
		w := httptest.NewRecorder()
		d.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatalf("answered %d", w.Code)
		}
	}
}
