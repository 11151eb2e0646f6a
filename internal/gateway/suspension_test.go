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

// simulateSuspension lets a test suspend the machine.
func simulateSuspension(t *testing.T) (suspend func(time.Duration)) {
	t.Helper()
	var asleep atomic.Int64
	t.Cleanup(boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) }))
	return func(d time.Duration) { asleep.Add(int64(d)) }
}

// Guards against what ran out while the machine was suspended and still counts after.
// A permit of a window that is over would count in two windows.
func TestPermitIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.rejects(), s.answers(0, "old"))
		// The target turned it away, so that its permit is in stock again.
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusServiceUnavailable)
		suspend(5 * time.Second)
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusTooManyRequests)
		if n := r.issued(1); n != 1 {
			t.Fatalf("%d permits were issued", n)
		}
	})
}

// A target closes what rests longer than it told; a request sent on it then may be lost.
func TestIdleConnectionIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.answers(0, "first"), s.answers(0, "second"), s.answers(0, "third"))
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

// What a box earned of retries before belongs to a window that is over.
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

// A request whose caller's time is over is not sent on.
func TestRequestIsNotSentAfterItsTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 2)
		s.scripts = scripts(func(*http.Request, net.Conn) bool {
			suspend(10 * time.Second)
			return false // the first target breaks off as the machine wakes
		}, s.answers(0, "late"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusGatewayTimeout {
			t.Fatalf("got %d %q, want a time out", got.status, got.body)
		}
		if len(s.reached) != 1 {
			t.Fatalf("%d targets were reached", len(s.reached))
		}
	})
}

// A request that waits for its target when the machine is suspended is answered when it
// wakes, not when what was left of its time by the steady clock is over.
func TestWaitingRequestEndsOnWaking(t *testing.T) {
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
				t.Fatalf("got %d %q, want a time out", got.status, got.body)
			}
		default:
			t.Fatal("the request still waits")
		}
	})
}

// wantNotSent has a request wait for its connection while something happens, and checks
// that no target gets it and its caller is told so.
func (s *rig) wantNotSent(t *testing.T, meanwhile func()) {
	t.Helper()
	dial := s.daemon.connections.dial
	s.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		meanwhile()
		return dial(ctx, network, address)
	}
	if got := s.send(t.Context(), "/once/", ""); got.status != http.StatusServiceUnavailable {
		t.Fatalf("got %d %q, want a word that it has not run", got.status, got.body)
	}
	if len(s.reached) != 0 {
		t.Fatalf("%d targets were reached", len(s.reached))
	}
}

// A request whose target was chosen before the suspension, and that was not sent, is not
// sent after its time; it has not run.
func TestChosenRequestIsNotSentAfterItsTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.answers(0, "late"))
		s.wantNotSent(t, func() { suspend(10 * time.Second) })
	})
}

// A permit that was taken before the suspension and not used counts for a window that is
// over: the request is not sent on it.
func TestTakenPermitIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.answers(0, "old"))
		s.wantNotSent(t, func() { suspend(2 * time.Second) }) // within the request's time
	})
}

// slowBody is a body whose end comes late.
type slowBody struct{ wait time.Duration }

// Read implements io.Reader.
func (b *slowBody) Read([]byte) (int, error) {
	time.Sleep(b.wait)
	return 0, io.EOF
}

// A body that takes longer than a permit lasts costs another permit, not the request.
func TestSlowBodyGetsAnotherPermit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 2, "b": 0})
		s.scripts = scripts(s.answers(0, "served"))
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

// What is in stock is looked at by the clock that counts, also where nothing else looks.
func TestStockIsForgottenInASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 0, "b": 0})
		s.daemon.permits.release("north", boottime.Now().Add(time.Second))
		suspend(2 * time.Second)
		if until, ok := s.daemon.permits.tryAcquire("north"); ok {
			t.Errorf("a permit was taken that ended %s ago", boottime.Since(until))
		}
		s.daemon.permits.release("north", boottime.Now().Add(time.Second))
		if _, ok := s.daemon.permits.tryAcquire("north"); !ok {
			t.Error("a permit of after the suspension was not taken")
		}
	})
}

// A target that was cold when the machine was suspended is warm when it wakes after that
// time, and an evacuation's targets are cold as long as they should from then on.
func TestColdTargetsWarmUpInASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s := newRig(t, testConfig(), 1)
		s.daemon.setColdLimits([]catalog.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 0.1}})
		s.daemon.setColdLeft("t0", 3*time.Second)
		request := balance.Request{Service: "s", Route: "r", Objective: time.Second, Left: time.Second}
		if _, err := s.daemon.choose(request); err == nil {
			t.Fatal("a cold target without a turn was chosen")
		}
		suspend(4 * time.Second)
		for range 3 {
			if _, err := s.daemon.choose(request); err != nil {
				t.Fatalf("after its cold time: %v", err)
			}
		}
	})
}

// What ended under a request after the suspension is told as what has just happened: old
// evidence holds nothing.
func TestEvidenceAfterASuspensionIsFresh(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		m := newCrashingTargets(t, 4)
		told := make(chan *wire.Evidence, 100)
		tell := m.rig.daemon.isolation
		own := isolation.New(isolation.Config{
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return m.rig.daemon.connections.dial(ctx, "tcp4", address)
			},
			DialTimeout: time.Second, Leaving: func(string) bool { return false }, Replicas: func() []string { return []string{"a"} },
			Tell:  func(_ context.Context, _ string, e *wire.Evidence) error { told <- e; return nil },
			Ended: func(isolation.Run) {}, Looked: func(isolation.Look) {},
		})
		m.rig.daemon.isolation = own
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- own.Run(ctx) }()
		defer func() {
			cancel()
			<-ended
			m.rig.daemon.isolation = tell
		}()
		suspend(20 * time.Second)
		m.rig.send(t.Context(), "/single/x?n=fatal", "body")
		time.Sleep(time.Second)
		synctest.Wait()
		select {
		case e := <-told:
			if len(e.Ends) != 1 || e.Ends[0].EndedAgoMilli > 1000 || e.Ends[0].BeganAgoMilli > 1000 {
				t.Errorf("told %v", e)
			}
		default:
			t.Error("nothing was told")
		}
	})
}

// What a target told before a long suspension is no news any more, and a box without control
// may send it what came free meanwhile.
func TestLimitsOfTargetsAgeInASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := simulateSuspension(t)
		s, _ := newTargetLimitedRig(t, 1, map[string]int{"a": -1, "b": -1})
		s.daemon.targetLimits.setBoxes([]string{"box"})
		if _, err := s.daemon.targetLimits.acquirePermit(t.Context(), "t0", targetPermitWait); err == nil {
			t.Fatal("a permit of a limit that was just named")
		}
		suspend(2 * updateRepeatTime)
		if told := s.daemon.targetLimits.pendingReports(); len(told) > 0 {
			t.Errorf("still tells %v", told)
		}
		if _, err := s.daemon.targetLimits.acquirePermit(t.Context(), "t0", targetPermitWait); err != nil {
			t.Errorf("after the suspension: %v", err)
		}
	})
}
