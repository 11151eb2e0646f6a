package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newTargetLimitedRig returns a rig whose target 0 reports a rate limit, and whose replicas issue
// the given number of permits.
func newTargetLimitedRig(t *testing.T, targets int, permits map[string]int) (*rig, *fakeIssuers) {
	t.Helper()
	s := newRig(t, testConfig(), targets)
	r := &fakeIssuers{permits: permits}
	s.daemon.targetLimits.permits.call = r.targetCall
	s.daemon.targetLimits.permits.replicas = func() []string { return []string{"a", "b"} }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.daemon.targetLimits.permits.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.reportLimit("t0", 5)
	return s, r
}

// targetCall issues permits of targets.
func (r *fakeIssuers) targetCall(ctx context.Context, address string, request *wire.PermitRequest) (*wire.PermitAnswer, error) {
	workspaces := &wire.PermitRequest{}
	for _, a := range request.TargetAsks {
		workspaces.Asks = append(workspaces.Asks, &wire.PermitAsk{Workspace: a.Limit.Life, Count: a.Count})
	}
	return r.call(ctx, address, workspaces)
}

// reportLimit makes a target report a rate limit to the box.
func (s *rig) reportLimit(target string, perSecond float64) {
	now := boottime.Now()
	if c, changed := s.daemon.targetLimits.recordResponse(targetstatus.Update{Incarnation: target, Limit: perSecond, Sent: now, Received: now}); changed {
		s.daemon.applyChange(c, "")
	}
}

func (s *rig) knownLimit(target string) float64 { return s.daemon.targetLimits.limit(target) }

// respondsWithHeader responds with a status and headers.
func respondsWithHeader(status int, header string) script {
	return func(r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nTest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Test-Id"), header)
		return true
	}
}

func TestLimitHeaderOfResponses(t *testing.T) {
	cases := map[string]struct {
		script script
		want   float64
	}{
		"valid":                      {respondsWithHeader(200, "Test-Limit: 2.5\r\n"), 2.5},
		"valid, failure":             {respondsWithHeader(500, "Test-Limit: 2.5\r\n"), 2.5},
		"valid, rejection":           {respondsWithHeader(503, "Test-Not-Executed: 1\r\nTest-Limit: 2.5\r\n"), 2.5},
		"missing":                    {respondsWithHeader(200, ""), targetstatus.NoLimit},
		"missing, rejection":         {respondsWithHeader(503, "Test-Not-Executed: 1\r\n"), 5},
		"response of another target": {respondsWithHeader(421, "Test-Limit: 2.5\r\n"), 5},
		"unparsable":                 {respondsWithHeader(200, "Test-Limit: many\r\n"), 5},
		"negative":                   {respondsWithHeader(200, "Test-Limit: -1\r\n"), 5},
		"infinite":                   {respondsWithHeader(200, "Test-Limit: Inf\r\n"), 5},
		"NaN":                        {respondsWithHeader(200, "Test-Limit: NaN\r\n"), 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 1})
				s.scripts = scripts(c.script)
				time.Sleep(time.Second)
				s.send(t.Context(), "/single/", "")
				if got := s.knownLimit("t0"); got != c.want {
					t.Errorf("known limit is %v per second, want %v", got, c.want)
				}
			})
		})
	}
}

// A box that has newer information than another box's update reports it; one that has older
// information applies the update.
func TestNewerLimitIsReportedOrApplied(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		now := boottime.Now()
		time.Sleep(2 * updateRepeatTime)
		if reports := s.daemon.targetLimits.pendingReports(); len(reports) > 0 {
			t.Fatalf("still reports %v", reports)
		}
		before := targetstatus.Update{Incarnation: "t0", Limit: targetstatus.NoLimit, Sent: now.Add(-time.Minute), Received: now.Add(-time.Second)}
		s.daemon.mergeUpdates([]*wire.TargetLimit{before.Message(boottime.Now())})
		if reports := s.daemon.targetLimits.pendingReports(); len(reports) != 1 || reports[0].PerSecond != 5 {
			t.Errorf("reports %v", reports)
		}
		later := targetstatus.Update{Incarnation: "t0", Limit: 3, Sent: boottime.Now().Add(-time.Second), Received: boottime.Now()}
		s.daemon.mergeUpdates([]*wire.TargetLimit{later.Message(boottime.Now())})
		if got := s.knownLimit("t0"); got != 3 {
			t.Errorf("known limit is %v per second, want 3", got)
		}
	})
}

// A limit that was reported to another box holds for a target that is registered here later.
func TestLimitOfATargetThatIsRegisteredLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		update := targetstatus.Update{Incarnation: "t9", Limit: 2, Sent: boottime.Now(), Received: boottime.Now()}
		s.daemon.mergeUpdates([]*wire.TargetLimit{update.Message(boottime.Now())})
		s.daemon.targetLimits.prune(boottime.Now(), s.daemon.isRegistered)
		state := steering.State{}
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: "t9", Service: "s", Address: "0", Zone: "z", Slots: 4, Sequence: 1,
		}}})
		s.daemon.lastState = nil
		s.daemon.applyState(state, nil)
		choice, err := s.daemon.choose(balance.Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Second, Tried: []string{"t0"}})
		if err != nil || choice.Target.ID != "t9" || !choice.Limited {
			t.Errorf("got %+v, %v", choice, err)
		}
	})
}

// A permit with which nothing was sent serves the next request.
func TestUnusedTargetPermitIsReused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(respondsWithHeader(200, "Test-Limit: 5\r\n"))
		dial := s.daemon.connections.dial
		s.daemon.connections.dial = func(context.Context, string, string) (net.Conn, error) { return nil, errRefusedDial }
		if got := s.send(t.Context(), "/single/", ""); got.status != http.StatusServiceUnavailable {
			t.Fatalf("got %d %q", got.status, got.body)
		}
		s.daemon.connections.dial = dial
		time.Sleep(300 * time.Millisecond) // the target was ejected
		s.wantResponse(t, s.send(t.Context(), "/single/", ""), "ok", 0)
		if n := r.issued(1); n != 1 {
			t.Errorf("%d permits were issued", n)
		}
	})
}

var errRefusedDial = &net.OpError{Op: "dial", Err: net.ErrClosed}

// A permit that was taken before a suspension belongs to a window that has passed.
func TestTargetPermitIsNotUsedIfItExpiresWhileConnecting(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.responds(0, "old"))
		s.wantNotSent(t, func() { suspend(2 * time.Second) }) // within the request's deadline
	})
}

// A retry for which the budget runs out while it waits for a permit undoes the choice of its
// target.
func TestRetryWithoutBudgetUndoesChoice(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newTargetLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.daemon.targetLimits.permits.call = func(ctx context.Context, address string, request *wire.PermitRequest) (*wire.PermitAnswer, error) {
			for s.daemon.takeRetry("s") {
				continue // another request uses up the budget
			}
			return r.targetCall(ctx, address, request)
		}
		c := &callerRequest{gateway: s.daemon, service: "s", startedAt: boottime.Now(), deadline: boottime.Now().Add(time.Second)}
		c.request = httptest.NewRequest(http.MethodGet, "/long/", strings.NewReader(""))
		c.route.Objective = time.Second
		if _, err := c.chooseRetryTarget(t.Context(), targetPermitWait); err != errRetryBudgetExhausted {
			t.Fatalf("got %v", err)
		}
		synctest.Wait()
		s.reportLimit("t0", targetstatus.NoLimit)
		s.wantNoneInFlight(t)
	})
}

// If many targets are at their limits, a request asks for permits of a few of them and then goes to
// a target without a limit, or is refused.
func TestRequestSkipsFewLimitedTargets(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newTargetLimitedRig(t, 20, map[string]int{"a": 0, "b": 0})
		s.scripts = scripts(respondsWithHeader(200, ""))
		for i := 1; i < 19; i++ {
			s.reportLimit(fmt.Sprint("t", i), 5)
		}
		s.wantResponse(t, s.send(t.Context(), "/single/", ""), "ok", 0)
		s.reportLimit("t19", 5)
		time.Sleep(time.Minute)
		r.mu.Lock()
		r.calls = 0
		r.mu.Unlock()
		wantRefusal(t, s.send(t.Context(), "/single/", ""), http.StatusServiceUnavailable)
		r.mu.Lock()
		defer r.mu.Unlock()
		if most := maxSkippedLimited * len(r.permits); r.calls > most {
			t.Errorf("%d permit calls for one request, want at most %d", r.calls, most)
		}
	})
}

// Limits that change with each response trigger reports no more often than every minReportInterval.
func TestLimitReportsAreSpaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		reports := 0
		for range 100 {
			if s.daemon.targetLimits.allowReport() {
				reports++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if most := int(2*time.Second/minReportInterval) + 1; reports > most || reports < most/2 {
			t.Errorf("%d reports in 2 s, want at most %d", reports, most)
		}
	})
}
