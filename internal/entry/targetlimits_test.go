package entry

import (
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against sending a target more requests, health checks included, than the rate limit
// that it reports.
func TestTargetRateLimitIsRespected(t *testing.T) {
	const (
		limit  = 3.0
		window = 4 * time.Second
	)
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.change(&wire.Edit{Path: "/", Key: settings.ReportIntervalMillis, Value: "100"})
		s.readFor(time.Second)
		s.target("a1").target.SetLimit("3")
		limitedSince := time.Now()
		s.readFor(14 * time.Second)
		maxInWindow, arrivals := 0, 0
		var inWindow []time.Time
		for _, at := range s.target("a1").target.Arrivals() {
			if at.After(limitedSince.Add(window)) {
				arrivals++
			}
			if at.After(limitedSince.Add(500 * time.Millisecond)) {
				inWindow = append(inWindow, at)
			}
			for len(inWindow) > 0 && at.Sub(inWindow[0]) > window {
				inWindow = inWindow[1:]
			}
			if at.After(limitedSince.Add(window)) {
				maxInWindow = max(maxInWindow, len(inWindow))
			}
		}
		if allowed := int(1.5*limit*window.Seconds()) + 5; maxInWindow > allowed {
			t.Errorf("a target with a limit of %v per second got %d requests in %s, want at most %d", limit, maxInWindow, window, allowed)
		}
		if perSecond := float64(arrivals) / 10; perSecond < 0.9*limit {
			t.Errorf("the target got %v requests per second, want at least 0.9 of %v", perSecond, limit)
		}
		t.Logf("at most %d requests in a window, %d in 10 s", maxInWindow, arrivals)
		s.close(4)
		reportProblems(t, s)
	})
}

// Guards against a wrong limit for a target whose response reports one, none or an invalid one.
// Neither a rejection without a limit nor an invalid limit is an update.
func TestLimitIsReadFromResponse(t *testing.T) {
	cases := map[string]struct {
		status int
		header http.Header
		want   float64
	}{
		"limit":              {200, http.Header{caller.HeaderLimit: {"2.5"}}, 2.5},
		"no limit":           {200, http.Header{}, targetstatus.NoLimit},
		"rejected, limit":    {429, http.Header{caller.HeaderLimit: {"2.5"}}, 2.5},
		"rejected, no limit": {429, http.Header{}, 0},
		"invalid limit":      {200, http.Header{caller.HeaderLimit: {"some"}}, 0},
	}
	for name, c := range cases {
		p := newPool("s", "box", "i", 1)
		p.hasLimitedTarget.Store(true)
		p.recordStatus("t", &http.Response{StatusCode: c.status, Header: c.header}, time.Time{})
		got := 0.0 // stays 0 without an update
		if len(p.inbox) > 0 {
			got = (<-p.inbox).(poolEvent).event.(admission.TargetUpdate).Update.Limit
		}
		if got != c.want {
			t.Errorf("%s: the limit is %v, want %v", name, got, c.want)
		}
	}
}
