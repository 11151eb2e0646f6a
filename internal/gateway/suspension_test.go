package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// simulateSuspension returns a function that suspends the machine.
func simulateSuspension(t *testing.T) (suspend func(time.Duration)) {
	t.Helper()
	var asleep atomic.Int64
	t.Cleanup(boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) }))
	return func(d time.Duration) { asleep.Add(int64(d)) }
}

// This test and those below guard against using what expired while the machine was suspended. A
// permit of a window that has passed would count in two windows.
func TestPermitIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.rejects(), s.responds(0, "old"))
		// The target rejects it, so that its permit is cached again.
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusServiceUnavailable)
		suspend(5 * time.Second)
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusTooManyRequests)
		if n := r.issued(1); n != 1 {
			t.Fatalf("%d permits were issued", n)
		}
	})
}

// A target closes connections that are idle for longer than it declared; a request sent on one then
// may be lost.
func TestIdleConnectionIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(0, "first"), s.responds(0, "second"), s.responds(0, "third"))
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", 0)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "second", 0)
		if n := s.targets[0].conns.Load(); n != 1 {
			t.Fatalf("%d connections before the suspension", n)
		}
		suspend(defaultKeepAlive)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "third", 0)
		if n := s.targets[0].conns.Load(); n != 2 {
			t.Fatalf("%d connections after the suspension, want a new one", n)
		}
	})
}

// Retries earned before the suspension belong to a window that has passed.
func TestRetriesEarnedBeforeASuspensionHaveExpired(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		config := testConfig()
		config.RetryShare, config.RetryExtra = 1, 0
		s := newRig(t, config, 2)
		for range 4 {
			s.daemon.recordFirstAttempt("s")
		}
		if !s.daemon.allowsRetry("s") {
			t.Fatal("no retry is allowed before the suspension")
		}
		suspend(config.RetryWindow)
		if s.daemon.allowsRetry("s") {
			t.Fatal("retries that were earned before the suspension are allowed after it")
		}
	})
}

// A request whose deadline has passed is not sent to another target.
func TestRequestIsNotRetriedAfterDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(func(*http.Request, net.Conn) bool {
			suspend(10 * time.Second)
			return false // the first attempt breaks as the machine wakes up
		}, s.responds(0, "late"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusGatewayTimeout {
			t.Fatalf("got %d %q, want a timeout", got.status, got.body)
		}
		if len(s.reached) != 1 {
			t.Fatalf("%d targets were reached", len(s.reached))
		}
	})
}

// A request that waits for its target when the machine is suspended is answered when the machine
// wakes up, not after the rest of its timeout by a clock that stopped.
func TestWaitingRequestTimesOutAfterSuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.silent())
		answered := make(chan result, 1)
		go func() { answered <- s.send(t.Context(), "/single/", "") }()
		time.Sleep(time.Second)
		suspend(10 * time.Second)
		boottime.Now() // as the next request does
		time.Sleep(time.Millisecond)
		select {
		case got := <-answered:
			if got.status != http.StatusGatewayTimeout {
				t.Fatalf("got %d %q, want a timeout", got.status, got.body)
			}
		default:
			t.Fatal("the request still waits")
		}
	})
}

// wantNotSent runs meanwhile while a request waits for its connection, and checks that no target
// gets the request and that its caller is told that it has not run.
func (s *rig) wantNotSent(t *testing.T, meanwhile func()) {
	t.Helper()
	dial := s.daemon.connections.dial
	s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		meanwhile()
		return dial(ctx, network, address)
	}
	if got := s.send(t.Context(), "/once/", ""); got.status != http.StatusServiceUnavailable {
		t.Fatalf("got %d %q, want a refusal", got.status, got.body)
	}
	if len(s.reached) != 0 {
		t.Fatalf("%d targets were reached", len(s.reached))
	}
}

// A request whose target was chosen before the suspension must not be sent after its deadline. It
// has not run.
func TestRequestIsNotSentIfDeadlinePassesWhileConnecting(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.responds(0, "late"))
		s.wantNotSent(t, func() { suspend(10 * time.Second) })
	})
}

// A permit that was taken before the suspension and not used belongs to a window that has passed:
// the request must not be sent with it.
func TestPermitIsNotUsedIfItExpiresWhileConnecting(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.responds(0, "old"))
		s.wantNotSent(t, func() { suspend(2 * time.Second) }) // within the request's deadline
	})
}

// slowBody is a body that ends after some time.
type slowBody struct{ wait time.Duration }

// Read implements io.Reader.
func (b *slowBody) Read([]byte) (int, error) {
	time.Sleep(b.wait)
	return 0, io.EOF
}

// A body that takes longer than a permit is valid costs another permit, but does not fail the
// request.
func TestSlowBodyGetsAnotherPermit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 2, "b": 0})
		s.scripts = scripts(s.responds(0, "served"))
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/once/", &slowBody{2 * time.Second})
		request.Host = "a.example"
		request.Header.Set("Test-Id", "id1")
		request.Header.Set("Test-Deadline", "5000")
		request.Header.Set("Test-Secret", s.key)
		w := httptest.NewRecorder()
		s.daemon.ServeHTTP(w, request)
		if w.Code != http.StatusOK || r.issued(2) != 2 {
			t.Fatalf("got %d %q with %d permits", w.Code, w.Body.String(), r.issued(2))
		}
	})
}

// The expiry of cached permits includes the time of a suspension, also if nothing else has read the
// clock since then.
func TestCachedPermitExpiresDuringSuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 0, "b": 0})
		s.daemon.permits.release("north", boottime.Now().Add(time.Second))
		suspend(2 * time.Second)
		if until, ok := s.daemon.permits.tryAcquire("north"); ok {
			t.Errorf("got a permit that expired %s ago", boottime.Since(until))
		}
		s.daemon.permits.release("north", boottime.Now().Add(time.Second))
		if _, ok := s.daemon.permits.tryAcquire("north"); !ok {
			t.Error("a permit cached after the suspension was not used")
		}
	})
}

// A target that was warming up when the machine was suspended for longer than its warm-up time is
// warm afterwards.
func TestWarmupIncludesSuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.daemon.setColdLimits([]catalog.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 0.1}})
		s.daemon.setColdLeft("t0", 3*time.Second)
		request := balance.Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Second}
		if _, err := s.daemon.choose(request); err == nil {
			t.Fatal("a target that is warming up was chosen beyond its rate")
		}
		suspend(4 * time.Second)
		for range 3 {
			if _, err := s.daemon.choose(request); err != nil {
				t.Fatalf("after its warm-up: %v", err)
			}
		}
	})
}

// The age of evidence about a crash after a suspension must not include the suspension: evidence that
// counts as old would quarantine nothing.
func TestAgeOfEvidenceExcludesEarlierSuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		m := newCrashingTargets(t, 4)
		evidence := make(chan *wire.Evidence, 100)
		original := m.rig.daemon.isolation
		replacement := isolation.New(isolation.Config{
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return m.rig.daemon.connections.dial(ctx, "tcp4", address)
			},
			DialTimeout: time.Second, Leaving: func(string) bool { return false }, Replicas: func() []string { return []string{"a"} },
			SendEvidence: func(_ context.Context, _ string, e *wire.Evidence) error { evidence <- e; return nil },
			OnCrash:      func(isolation.BrokenRun) {}, OnProbe: func(isolation.ProbeResult) {},
		})
		m.rig.daemon.isolation = replacement
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- replacement.Run(ctx) }()
		defer func() {
			cancel()
			<-ended
			m.rig.daemon.isolation = original
		}()
		suspend(20 * time.Second)
		m.rig.send(t.Context(), "/single/x?n=fatal", "body")
		time.Sleep(time.Second)
		synctest.Wait()
		select {
		case e := <-evidence:
			if len(e.Ends) != 1 || e.Ends[0].EndedAgoMilli > 1000 || e.Ends[0].BeganAgoMilli > 1000 {
				t.Errorf("got evidence %v", e)
			}
		default:
			t.Error("no evidence was sent")
		}
	})
}

// Updates received before a long suspension are no longer reported, and a box without control may
// use the capacity that was freed meanwhile.
func TestTargetLimitsAgeDuringSuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": -1, "b": -1})
		s.daemon.targetLimits.setBoxes([]string{"box"})
		if _, err := s.daemon.targetLimits.acquirePermit(t.Context(), "t0", targetPermitWait); err == nil {
			t.Fatal("got a permit of a limit that was just reported")
		}
		suspend(2 * updateRepeatTime)
		if reports := s.daemon.targetLimits.pendingReports(); len(reports) > 0 {
			t.Errorf("still reports %v", reports)
		}
		if _, err := s.daemon.targetLimits.acquirePermit(t.Context(), "t0", targetPermitWait); err != nil {
			t.Errorf("after the suspension: %v", err)
		}
	})
}
