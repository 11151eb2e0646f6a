package targetstatus_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

func headers() targetstatus.Headers {
	return targetstatus.Headers{
		NotRun: "Not-Run", Load: "Load", WarmupRemaining: "Cold", Limit: "Limit", Leaving: "Leaving",
		ParseLoad: targetstatus.ParseLoad,
		ParseWarmup: func(text string) (time.Duration, bool) {
			left, err := time.ParseDuration(text)
			return left, err == nil
		},
	}
}

func ExampleHeaders_Decode() {
	h := http.Header{}
	h.Set("Load", "3,1,8")
	h.Set("Retry-After", "2.5")
	h.Set("Not-Run", "1")
	s := headers().Decode(http.StatusServiceUnavailable, h, time.Now)
	fmt.Println(s.NotRun, s.Load.Running, s.BackOff)
	// Output: true 3 2.5s
}

// Guards against responses that are misread, and against unparsable headers that change
// the state.
func TestDecode(t *testing.T) {
	const (
		ok          = http.StatusOK
		unavailable = http.StatusServiceUnavailable
	)
	cases := map[string]struct {
		code int
		head map[string]string
		want targetstatus.Status
	}{
		"nothing":                   {ok, nil, targetstatus.Status{}},
		"load":                      {ok, map[string]string{"Load": "1, 2,3"}, targetstatus.Status{Load: targetstatus.Load{Running: 1, Waiting: 2, Slots: 3}, HasLoad: true}},
		"load, invalid":             {ok, map[string]string{"Load": "1,2"}, targetstatus.Status{Unparsed: []string{"Load"}}},
		"warm-up":                   {ok, map[string]string{"Cold": "2s"}, targetstatus.Status{WarmupRemaining: 2 * time.Second}},
		"warm-up, negative":         {ok, map[string]string{"Cold": "-2s"}, targetstatus.Status{}},
		"limit":                     {ok, map[string]string{"Limit": "2.5"}, targetstatus.Status{Limit: 2.5, HasLimit: true}},
		"limit, invalid":            {ok, map[string]string{"Limit": "many"}, targetstatus.Status{Unparsed: []string{"Limit"}}},
		"leaving":                   {ok, map[string]string{"Leaving": "1"}, targetstatus.Status{Leaving: true}},
		"not leaving":               {ok, map[string]string{"Leaving": "0"}, targetstatus.Status{}},
		"leaving, invalid":          {ok, map[string]string{"Leaving": "soon"}, targetstatus.Status{Unparsed: []string{"Leaving"}}},
		"leaving, and rejected":     {unavailable, map[string]string{"Leaving": "1", "Not-Run": "1"}, targetstatus.Status{Leaving: true, NotRun: true}},
		"of another target":         {http.StatusMisdirectedRequest, map[string]string{"Load": "1,2,3", "Limit": "1", "Leaving": "1", "Retry-After": "3"}, targetstatus.Status{NotRun: true}},
		"back-off":                  {unavailable, map[string]string{"Retry-After": "3"}, targetstatus.Status{BackOff: 3 * time.Second}},
		"back-off, not run":         {unavailable, map[string]string{"Retry-After": "3", "Not-Run": "1"}, targetstatus.Status{BackOff: 3 * time.Second, NotRun: true}},
		"back-off, fraction":        {unavailable, map[string]string{"Retry-After": " 0.25 "}, targetstatus.Status{BackOff: 250 * time.Millisecond}},
		"back-off, zero":            {unavailable, map[string]string{"Retry-After": "0"}, targetstatus.Status{}},
		"back-off, negative":        {unavailable, map[string]string{"Retry-After": "-1"}, targetstatus.Status{Unparsed: []string{"Retry-After"}}},
		"back-off, invalid":         {unavailable, map[string]string{"Retry-After": "later"}, targetstatus.Status{Unparsed: []string{"Retry-After"}}},
		"back-off, not a number":    {unavailable, map[string]string{"Retry-After": "NaN"}, targetstatus.Status{Unparsed: []string{"Retry-After"}}},
		"back-off, infinite":        {unavailable, map[string]string{"Retry-After": "Inf"}, targetstatus.Status{Unparsed: []string{"Retry-After"}}},
		"back-off of a day":         {unavailable, map[string]string{"Retry-After": "86400"}, targetstatus.Status{BackOff: 24 * time.Hour}},
		"back-off, very long":       {unavailable, map[string]string{"Retry-After": "1e300"}, targetstatus.Status{BackOff: 100 * 365 * 24 * time.Hour}},
		"back-off by date":          {unavailable, map[string]string{"Retry-After": "Thu, 03 Dec 2026 10:00:07 GMT"}, targetstatus.Status{BackOff: 7 * time.Second}},
		"back-off by own clock":     {unavailable, map[string]string{"Retry-After": "Thu, 03 Dec 2026 11:00:07 GMT", "Date": "Thu, 03 Dec 2026 11:00:05 GMT"}, targetstatus.Status{BackOff: 2 * time.Second}},
		"back-off, date has passed": {unavailable, map[string]string{"Retry-After": "Thu, 03 Dec 2026 09:00:07 GMT"}, targetstatus.Status{}},
		"429 is about a caller":     {http.StatusTooManyRequests, map[string]string{"Retry-After": "3"}, targetstatus.Status{}},
		"200 with Retry-After":      {ok, map[string]string{"Retry-After": "3"}, targetstatus.Status{}},
	}
	timeOfDay := func() time.Time { return time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC) }
	for name, c := range cases {
		h := http.Header{}
		for k, v := range c.head {
			h.Set(k, v)
		}
		got := headers().Decode(c.code, h, timeOfDay)
		if diff := cmp.Diff(c.want, got, cmpopts.IgnoreUnexported(targetstatus.Status{})); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against a limit that is withdrawn by a response that does not state the limit.
func TestReportsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		code int
		head http.Header
		want bool
	}{
		"served without a limit":     {http.StatusOK, http.Header{}, true},
		"served with one":            {http.StatusOK, http.Header{"Limit": {"1"}}, true},
		"one that can't be parsed":   {http.StatusOK, http.Header{"Limit": {"x"}}, false},
		"rejected":                   {http.StatusServiceUnavailable, http.Header{"Not-Run": {"1"}}, false},
		"rejected with one":          {http.StatusServiceUnavailable, http.Header{"Not-Run": {"1"}, "Limit": {"1"}}, true},
		"back-off, without the mark": {http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}}, false},
		"of another target":          {http.StatusMisdirectedRequest, http.Header{"Limit": {"1"}}, false},
	} {
		if got := headers().Decode(c.code, c.head, time.Now).ReportsLimit(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
