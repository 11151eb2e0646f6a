package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	dto "github.com/prometheus/client_model/go"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/overload"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// reportLoads reports a load of the rig's only target as often as it takes for the mean to follow.
func (s *rig) reportLoads(l targetstatus.Load) {
	for range 100 {
		s.daemon.recordOutcome(balance.Report{TargetID: "t0", Route: "other", Outcome: balance.Answered, Took: 50 * time.Millisecond, Load: l, HasLoad: true})
	}
}

// sendStating sends a request of a caller that states how long it waits.
func (s *rig) sendStating(t *testing.T, stated time.Duration) (status int, retryAfter time.Duration) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/long/", nil)
	r.Host = "a.example"
	r.Header.Set("Test-Id", "id1")
	r.Header.Set("Test-Deadline", strconv.FormatInt(stated.Milliseconds(), 10))
	w := httptest.NewRecorder()
	s.daemon.ServeHTTP(w, r)
	seconds, _ := strconv.ParseFloat(w.Header().Get("Retry-After"), 64) // zero without the header
	return w.Code, time.Duration(seconds * float64(time.Second))
}

// Guards against late requests that wait for slots of a saturated service, that are refused though a
// slot is free, or whose callers are asked to return later than they heed.
func TestLateRequestsGetFreeSlotsOnly(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(50*time.Millisecond, "ok"))
		s.sendStating(t, 5*time.Second)
		s.scripts = scripts(s.responds(50*time.Millisecond, "ok"))
		s.reportLoads(targetstatus.Load{Running: 4, Waiting: 1, Slots: 4})
		status, after := s.sendStating(t, time.Second)
		if status != http.StatusServiceUnavailable || after <= 0 || after > time.Second/3 {
			t.Errorf("a late request got %d and Retry-After %s while no slot was free", status, after)
		}
		var counted dto.Metric
		if err := s.daemon.overload.refusals.WithLabelValues(overload.ReasonLate, "0").Write(&counted); err != nil || counted.GetCounter().GetValue() != 1 {
			t.Errorf("%v refusals of late requests were counted: %v", counted.GetCounter().GetValue(), err)
		}
		time.Sleep(10 * time.Second)
		s.sendStating(t, 5*time.Second) // the whole deadline is remembered for 5 to 10 s
		s.scripts = scripts(s.responds(50*time.Millisecond, "ok"))
		if load := s.daemon.serviceLoad("s"); load <= 1 {
			t.Fatalf("the service has a load of %v", load)
		}
		if status, _ := s.sendStating(t, time.Second); status != http.StatusOK {
			t.Errorf("a late request got %d while slots were free", status)
		}
	})
}

// Guards against any effect of a request's age while its service has free slots on average.
func TestAgeIsIgnoredWithoutSaturation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(50*time.Millisecond, "ok"))
		s.sendStating(t, 5*time.Second)
		s.reportLoads(targetstatus.Load{Running: 3, Slots: 4})
		c := &callerRequest{gateway: s.daemon, request: httptest.NewRequest(http.MethodGet, "/long/", nil), routing: s.daemon.routing.Load(), service: "s", startedAt: s.daemon.clock.Now()}
		c.route, _ = c.routing.table.Match("a.example", "/long/")
		c.request.Header.Set("Test-Deadline", "1000")
		c.admission = c.admit()
		if r := c.balanceRequest(); c.admission.Age != 4*time.Second || r.Remaining != c.route.Objective || r.WaitShare != 0 {
			t.Errorf("a request of the age %s is described as %+v", c.admission.Age, r)
		}
		if got := c.retryAfterRefusal(&balance.NoTargetError{Reason: balance.ReasonFull, RetryAfter: time.Second}); got != time.Second {
			t.Errorf("its Retry-After is %s", got)
		}
	})
}
