package gateway

import (
	"net/http"
	"testing"
	"time"
)

// When all boxes are stopped in turn each of them loses the count of its retries. A
// box that follows another process takes none of the fixed retries until the window
// is over in which the one before may have taken them.
func TestRestartedBoxTakesNoFixedRetriesAtFirst(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra, config.Restarted = 0, 1.5, true
		s := newRig(t, config, 2)
		s.scripts = scripts(s.breaks(0), s.answers(0, "first"), s.breaks(0), s.answers(0, "second"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusBadGateway {
			t.Errorf("a retry right after the start: got %d %q", got.status, got.body)
		}
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", 0)
		time.Sleep(config.RetryWindow)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "second", 0)
	})
}
