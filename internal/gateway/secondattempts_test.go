package gateway

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	usualTime = 100 * time.Millisecond
	// longestSecondDelay is above the learned quantile of usualTime: a bucket of the histogram is 12
	// percent wide.
	longestSecondDelay = 113 * time.Millisecond
)

// newLearnedRig returns a rig whose box knows the run times of a route from forty requests, which
// also earn a second attempt.
func newLearnedRig(t *testing.T, targets int, path string) *rig {
	t.Helper()
	s := newRig(t, testConfig(), targets)
	for range 40 {
		s.scripts = scripts(s.responds(usualTime, "usual"))
		s.wantResponse(t, s.send(t.Context(), path, ""), "usual", usualTime)
		<-s.reached
	}
	return s
}

func (s *rig) seconds(result string) float64 {
	return counted(s.daemon.metrics.secondAttempts.WithLabelValues(result))
}

func counted(c prometheus.Counter) float64 {
	var m dto.Metric
	_ = c.Write(&m) // a counter can always be written
	return m.GetCounter().GetValue()
}

// usableTargets returns how many targets the balancer would send a request to now.
func (s *rig) usableTargets() int {
	var tried []string
	for {
		c, err := s.daemon.choose(balance.Request{Service: "s", Route: "count", Objective: time.Hour, Remaining: time.Hour, Tried: tried})
		if err != nil {
			return len(tried)
		}
		s.daemon.balancing.Lock()
		s.daemon.balancing.balancer.Release(c.Target.ID)
		s.daemon.balancing.Unlock()
		tried = append(tried, c.Target.ID)
	}
}

// Guards against a request that waits for a slow run until the hedge delay of stuck targets, and
// against a target that is ejected because one of its runs took longer than most.
func TestSecondAttemptAfterLearnedTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newLearnedRig(t, 2, "/long/")
		var lines bytes.Buffer
		s.daemon.log = zerolog.New(&lines)
		s.scripts = scripts(s.responds(7*usualTime, "first"), s.responds(usualTime, "second"))
		got := s.send(t.Context(), "/long/", "")
		if got.body != "second" || got.took <= 2*usualTime*95/100 || got.took > usualTime+longestSecondDelay {
			t.Fatalf("got %q after %s", got.body, got.took)
		}
		if n := s.usableTargets(); n != 2 {
			t.Errorf("%d targets are usable, want 2", n)
		}
		if s.seconds(secondWon) != 1 || counted(s.daemon.metrics.hedges) != 0 {
			t.Error("the attempt was not counted as a second attempt that won")
		}
		for _, want := range []string{`"hedgeDelay":10`, `"hedgeQuantile":10`, `"secondAttempt":"won"`, ` dropped"]`} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("%s is not in the log: %s", want, lines.String())
			}
		}
		s.wantAttempts(t, 2, 1)
	})
}

// Guards against a second attempt that keeps the box from noticing a stuck target at its own time,
// or that counts as overdue with it although it was started later.
func TestStuckTargetIsNoticedBesideSecondAttempt(t *testing.T) {
	for _, c := range []struct {
		path    string
		reached int
	}{{"/long/", 2}, {"/thrice/", 3}} {
		t.Run(c.path, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newLearnedRig(t, 4, c.path)
				s.scripts = scripts(s.silent(), s.responds(slowResponseTime, "second"), s.silent())
				done := make(chan result, 1)
				go func() { done <- s.send(t.Context(), c.path, "") }()
				time.Sleep(hedgeDelay - 2*time.Millisecond)
				if n := s.usableTargets(); n != 4 {
					t.Errorf("%d targets are usable before the hedge delay, want 4", n)
				}
				time.Sleep(4 * time.Millisecond)
				synctest.Wait()
				if n := s.usableTargets(); n != 3 {
					t.Errorf("%d targets are usable after the hedge delay, want 3", n)
				}
				if n := len(s.reached); n != c.reached {
					t.Errorf("%d targets were reached, want %d", n, c.reached)
				}
				if got := <-done; got.body != "second" {
					t.Errorf("got %q", got.body)
				}
				if s.seconds(secondWon) != 1 {
					t.Error("the second attempt was not counted as won")
				}
			})
		})
	}
}

// Guards against an unrepeatable request that runs at two targets, and against a second attempt
// where the route allows only one.
func TestNoSecondAttemptWhereForbidden(t *testing.T) {
	for _, path := range []string{"/once/", "/single/"} {
		inVirtualTime(t, func(t *testing.T) {
			s := newLearnedRig(t, 2, path)
			s.scripts = scripts(s.responds(slowResponseTime, "first"))
			s.wantResponse(t, s.send(t.Context(), path, ""), "first", slowResponseTime)
			s.wantAttempts(t, 1, 0)
		})
	}
}

// Guards against attempts that go on, or count as in flight, after a caller with two of them has
// disconnected.
func TestCallerDisconnectsWithSecondAttemptInFlight(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newLearnedRig(t, 2, "/long/")
		s.scripts = scripts(s.silent(), s.silent())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan result, 1)
		go func() { done <- s.send(ctx, "/long/", "") }()
		time.Sleep(3 * usualTime)
		if len(s.reached) != 2 {
			t.Fatalf("%d targets were reached, want 2", len(s.reached))
		}
		cancel()
		<-done
		if n := s.usableTargets(); n != 2 {
			t.Errorf("%d targets are usable, want 2", n)
		}
		if s.seconds(secondLost) != 1 {
			t.Error("the second attempt was not counted as lost")
		}
		s.wantAttempts(t, 2, 2)
	})
}

// Guards against second attempts that an operator has switched off, and against a limit that is
// read only once.
func TestShareOfSecondAttemptsFollowsSettings(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newLearnedRig(t, 2, "/long/")
		state := withShare(t, s, "0")
		s.scripts = scripts(s.responds(3*usualTime, "first"))
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", 3*usualTime)
		s.wantAttempts(t, 1, 0)
		_, result := state.Apply(&wire.Command{Change: &wire.Change{Id: "b", BaseVersion: state.SettingsVersion(), Edits: []*wire.Edit{{Path: "/:s", Key: settings.SecondAttemptShare, Value: "21"}}}})
		if result.Changed {
			t.Error("a share above the maximum was accepted")
		}
	})
}

// withShare gives a rig's daemon a state with a share for its service.
func withShare(t *testing.T, s *rig, share string) steering.State {
	t.Helper()
	state, result := steering.State{}.Apply(&wire.Command{Change: &wire.Change{Id: "a", Edits: []*wire.Edit{{Path: "/:s", Key: settings.SecondAttemptShare, Value: share}}}})
	if !result.Changed {
		t.Fatalf("the setting was refused: %v", result.Verdict)
	}
	s.daemon.applySettings(state)
	return state
}

// Guards against second attempts in a service without free slots, and against taking the last of the
// earned retries.
func TestSecondAttemptIsHeld(t *testing.T) {
	for _, c := range []struct {
		name, result string
		prepare      func(s *rig)
	}{
		{"by load", secondHeldByLoad, func(s *rig) {
			d := s.daemon
			for range 60 {
				choice, _ := d.choose(balance.Request{Service: "s", Route: "long", Objective: time.Hour, Remaining: time.Hour})
				d.recordOutcome(balance.Report{TargetID: choice.Target.ID, Route: "x", Outcome: balance.TurnedAway})
			}
		}},
		{"by the retry budget", secondHeldByLimit, func(s *rig) {
			for s.daemon.takeRetry("s") {
				if s.daemon.balancing.retryBudgets["s"].EarnedLeft(s.daemon.clock.Since(s.daemon.started)) < 0.5 {
					break
				}
			}
		}},
		{"by the limit", secondHeldByLimit, func(s *rig) {
			s.daemon.takeSecond("s")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newLearnedRig(t, 2, "/long/")
				c.prepare(s)
				s.scripts = scripts(s.responds(3*usualTime, "first"))
				s.wantResponse(t, s.send(t.Context(), "/long/", ""), "first", 3*usualTime)
				if s.seconds(c.result) != 1 {
					t.Errorf("%s was not counted", c.result)
				}
				s.wantAttempts(t, 1, 0)
			})
		})
	}
}
