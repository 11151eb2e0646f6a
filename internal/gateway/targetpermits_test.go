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

// namedScene is a scene whose target 0 names a limit, and whose replicas hand out as many
// permits of it as they have left.
func namedScene(t *testing.T, targets int, left map[string]int) (*scene, *replicas) {
	t.Helper()
	s := newScene(t, testConfig(), targets)
	r := &replicas{left: left}
	s.daemon.targetLimits.permits.call = r.targetCall
	s.daemon.targetLimits.permits.replicas = func() []string { return []string{"a", "b"} }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.daemon.targetLimits.permits.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.heard("t0", 5)
	return s, r
}

// targetCall issues permits of targets.
func (r *replicas) targetCall(ctx context.Context, address string, request *wire.PermitRequest) (*wire.PermitAnswer, error) {
	workspaces := &wire.PermitRequest{}
	for _, a := range request.TargetAsks {
		workspaces.Asks = append(workspaces.Asks, &wire.PermitAsk{Workspace: a.Limit.Life, Count: a.Count})
	}
	return r.call(ctx, address, workspaces)
}

// heard has the box receive from a target that it names a limit.
func (s *scene) heard(life string, perSecond float64) {
	now := boottime.Now()
	if c, changed := s.daemon.targetLimits.receive(targetstatus.Update{Incarnation: life, Limit: perSecond, Sent: now, Received: now}); changed {
		s.daemon.applyChange(c, "")
	}
}

func (s *scene) limitOf(life string) float64 { return s.daemon.targetLimits.limit(life) }

// answersLimited answers with a status and headers.
func answersLimited(status int, header string) script {
	return func(r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nTest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", status, r.Header.Get("Test-Id"), header)
		return true
	}
}

func TestWhatAnswersSayOfALimit(t *testing.T) {
	cases := map[string]struct {
		script script
		want   float64
	}{
		"names one":                        {answersLimited(200, "Test-Limit: 2.5\r\n"), 2.5},
		"names one as it fails":            {answersLimited(500, "Test-Limit: 2.5\r\n"), 2.5},
		"names one and turns it away":      {answersLimited(503, "Test-Not-Executed: 1\r\nTest-Limit: 2.5\r\n"), 2.5},
		"names none":                       {answersLimited(200, ""), targetstatus.NoLimit},
		"names none and turns it away":     {answersLimited(503, "Test-Not-Executed: 1\r\n"), 5},
		"is another target":                {answersLimited(421, "Test-Limit: 2.5\r\n"), 5},
		"names what can't be read":         {answersLimited(200, "Test-Limit: many\r\n"), 5},
		"names less than nothing":          {answersLimited(200, "Test-Limit: -1\r\n"), 5},
		"names what has no end":            {answersLimited(200, "Test-Limit: Inf\r\n"), 5},
		"names nothing that is comparable": {answersLimited(200, "Test-Limit: NaN\r\n"), 5},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s, _ := namedScene(t, 1, map[string]int{"a": 1, "b": 1})
				s.scripts = scripts(c.script)
				time.Sleep(time.Second)
				s.ask(t.Context(), "/single/", "")
				if got := s.limitOf("t0"); got != c.want {
					t.Errorf("%v a second is known, want %v", got, c.want)
				}
			})
		})
	}
}

// A box that knows better than what it is told tells so; one that knows less takes it.
func TestBoxTellsWhatItKnowsBetter(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := namedScene(t, 1, nil)
		now := boottime.Now()
		time.Sleep(2 * reportTime)
		if told := s.daemon.targetLimits.pendingReports(); len(told) > 0 {
			t.Fatalf("still tells %v", told)
		}
		before := targetstatus.Update{Incarnation: "t0", Limit: targetstatus.NoLimit, Sent: now.Add(-time.Minute), Received: now.Add(-time.Second)}
		s.daemon.takeUpdates([]*wire.TargetLimit{before.Message(boottime.Now())})
		if told := s.daemon.targetLimits.pendingReports(); len(told) != 1 || told[0].PerSecond != 5 {
			t.Errorf("tells %v", told)
		}
		later := targetstatus.Update{Incarnation: "t0", Limit: 3, Sent: boottime.Now().Add(-time.Second), Received: boottime.Now()}
		s.daemon.takeUpdates([]*wire.TargetLimit{later.Message(boottime.Now())})
		if got := s.limitOf("t0"); got != 3 {
			t.Errorf("%v a second is known", got)
		}
	})
}

// A limit that another box was told holds for a target that is registered here later.
func TestLimitOfATargetThatIsRegisteredLater(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := namedScene(t, 1, nil)
		word := targetstatus.Update{Incarnation: "t9", Limit: 2, Sent: boottime.Now(), Received: boottime.Now()}
		s.daemon.takeUpdates([]*wire.TargetLimit{word.Message(boottime.Now())})
		s.daemon.targetLimits.keep(boottime.Now(), s.daemon.knows)
		state := steering.State{}
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: "t9", Service: "s", Address: "0", Zone: "z", Slots: 4, Sequence: 1,
		}}})
		s.daemon.steered = nil
		s.daemon.putInForce(state, nil)
		choice, err := s.daemon.choose(balance.Request{Service: "s", Route: "r", Objective: time.Second, Remaining: time.Second, Tried: []string{"t0"}})
		if err != nil || choice.Target.ID != "t9" || !choice.Limited {
			t.Errorf("got %+v, %v", choice, err)
		}
	})
}

// A permit with which nothing was sent serves the next request.
func TestTargetPermitThatWasNotUsedIsUsedAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := namedScene(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(answersLimited(200, "Test-Limit: 5\r\n"))
		dial := s.daemon.connections.dial
		s.daemon.connections.dial = func(context.Context, string, string) (net.Conn, error) { return nil, errRefusedDial }
		if got := s.ask(t.Context(), "/single/", ""); got.status != http.StatusServiceUnavailable {
			t.Fatalf("got %d %q", got.status, got.body)
		}
		s.daemon.connections.dial = dial
		time.Sleep(300 * time.Millisecond) // the target was left out
		s.wantAnswer(t, s.ask(t.Context(), "/single/", ""), "ok", 0)
		if n := r.issued(1); n != 1 {
			t.Errorf("%d permits were issued", n)
		}
	})
}

var errRefusedDial = &net.OpError{Op: "dial", Err: net.ErrClosed}

// A permit that was taken before a suspension counts for a window that is over.
func TestTargetPermitIsNotUsedAfterASuspension(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		suspend := suspensions(t)
		s, _ := namedScene(t, 1, map[string]int{"a": 1, "b": 0})
		s.scripts = scripts(s.answers(0, "old"))
		s.wantNotSent(t, func() { suspend(2 * time.Second) }) // within the request's time
	})
}

// A retry for which the budget ran out while it waited for a permit takes its choice back.
func TestRetryWithoutBudgetLeavesNothingCounted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := namedScene(t, 1, map[string]int{"a": 1, "b": 0})
		s.daemon.targetLimits.permits.call = func(ctx context.Context, address string, request *wire.PermitRequest) (*wire.PermitAnswer, error) {
			for s.daemon.takeRetry("s") {
				continue // another request takes the rest
			}
			return r.targetCall(ctx, address, request)
		}
		c := &call{gateway: s.daemon, service: "s", began: boottime.Now(), ends: boottime.Now().Add(time.Second)}
		c.request = httptest.NewRequest(http.MethodGet, "/long/", strings.NewReader(""))
		c.route.Objective = time.Second
		if _, err := c.chooseRetry(t.Context(), targetPermitWait); err != errNoRetries {
			t.Fatalf("got %v", err)
		}
		synctest.Wait()
		s.heard("t0", targetstatus.NoLimit)
		s.wantNoneCounted(t)
	})
}

// Where many targets are at their limits, a request asks for a few of them and then goes to
// one without a limit, or is refused.
func TestRequestAsksForFewTargetsInNeed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := namedScene(t, 20, map[string]int{"a": 0, "b": 0})
		s.scripts = scripts(answersLimited(200, ""))
		for i := 1; i < 19; i++ {
			s.heard(fmt.Sprint("t", i), 5)
		}
		s.wantAnswer(t, s.ask(t.Context(), "/single/", ""), "ok", 0)
		s.heard("t19", 5)
		time.Sleep(time.Minute)
		r.mu.Lock()
		r.asked = 0
		r.mu.Unlock()
		wantRefusal(t, s.ask(t.Context(), "/single/", ""), http.StatusServiceUnavailable)
		r.mu.Lock()
		defer r.mu.Unlock()
		if most := maxSkippedLimited * len(r.left); r.asked > most {
			t.Errorf("%d asks for one request, want %d at most", r.asked, most)
		}
	})
}

// Limits that change with each answer have a box report at once no more often than each
// reportPause.
func TestReportsForLimitsAreSpaced(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := namedScene(t, 1, nil)
		reportedAt := 0
		for range 100 {
			if s.daemon.targetLimits.allowReport() {
				reportedAt++
			}
			time.Sleep(20 * time.Millisecond)
		}
		if most := int(2*time.Second/reportPause) + 1; reportedAt > most || reportedAt < most/2 {
			t.Errorf("%d reports in 2 s, want %d at most", reportedAt, most)
		}
	})
}
