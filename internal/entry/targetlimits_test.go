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

// Guards against a rate-limited target that gets more than it names, checks of its health
// included.
func TestTargetGetsNoMoreThanItNames(t *testing.T) {
	const (
		limit  = 3.0
		window = 4 * time.Second
	)
	bubble(t, func(t *testing.T) {
		s := newSystem(t, 4)
		s.change(&wire.Edit{Path: "/", Key: settings.ReportIntervalMillis, Value: "100"})
		s.reads(time.Second)
		s.target("a1").target.SetLimit("3")
		named := time.Now()
		s.reads(14 * time.Second)
		most, used := 0, 0
		var counted []time.Time
		for _, at := range s.target("a1").target.Arrivals() {
			if at.After(named.Add(window)) {
				used++
			}
			if at.After(named.Add(500 * time.Millisecond)) {
				counted = append(counted, at)
			}
			for len(counted) > 0 && at.Sub(counted[0]) > window {
				counted = counted[1:]
			}
			if at.After(named.Add(window)) {
				most = max(most, len(counted))
			}
		}
		if allowed := int(1.5*limit*window.Seconds()) + 5; most > allowed {
			t.Errorf("a target that names %v a second got %d requests in %s, allowed %d", limit, most, window, allowed)
		}
		if perSecond := float64(used) / 10; perSecond < 0.9*limit {
			t.Errorf("it got %v a second of %v", perSecond, limit)
		}
		t.Logf("most %d, used %d in 10 s", most, used)
		s.close(4)
		report(t, s)
	})
}

func TestWhatAnswersSayOfALimit(t *testing.T) {
	cases := map[string]struct {
		status int
		header http.Header
		want   float64
	}{
		"names one":                    {200, http.Header{caller.HeaderLimit: {"2.5"}}, 2.5},
		"names none":                   {200, http.Header{}, targetstatus.NoLimit},
		"names one and is shed":        {429, http.Header{caller.HeaderLimit: {"2.5"}}, 2.5},
		"names none and is shed":       {429, http.Header{}, 0},
		"names one that can't be read": {200, http.Header{caller.HeaderLimit: {"some"}}, 0},
	}
	for name, c := range cases {
		p := newPool("s", "box", "i", 1)
		p.limited.Store(true)
		p.observe("t", &http.Response{StatusCode: c.status, Header: c.header}, time.Time{})
		got := 0.0 // for no update
		if len(p.inbox) > 0 {
			got = (<-p.inbox).(poolEvent).event.(admission.TargetUpdate).Update.Limit
		}
		if got != c.want {
			t.Errorf("%s: the pool is told %v, want %v", name, got, c.want)
		}
	}
}
