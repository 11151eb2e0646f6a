package gateway

import (
	"net/http"
	"testing"
	"time"
)

// In a rolling restart each box loses its count of retries. A restarted box must take no extra
// retries until a window has passed, because the process before it may have taken them.
func TestRestartedBoxHasNoExtraRetries(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra, config.Restarted = 0, 1.5, true
		s := newRig(t, config, 2)
		s.scripts = scripts(s.breaks(0), s.responds(0, "first"), s.breaks(0), s.responds(0, "second"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusBadGateway {
			t.Errorf("retried right after the start: got %d %q", got.status, got.body)
		}
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", 0)
		time.Sleep(config.RetryWindow)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "second", 0)
	})
}
