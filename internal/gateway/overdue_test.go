package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against further requests to a target that has gone silent, while the first one still
// waits there.
func TestOverdueTargetGetsNoFurtherRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 0
		s := newScene(t, config, 2)
		s.scripts = scripts(s.silent(), s.answers(0, "a"), s.answers(0, "b"), s.answers(0, "c"), s.answers(0, "d"))
		got := make(chan result, 1)
		go func() { got <- s.ask(t.Context(), "/long/", "") }()
		time.Sleep(patience + time.Millisecond)
		silent := <-s.reached
		for range 4 {
			s.ask(t.Context(), "/long/", "")
			if <-s.reached == silent {
				t.Error("a request was sent to a target whose answer is overdue")
			}
		}
		<-got
		s.wantNoneCounted(t)
	})
}

// Guards against a sound target that gets nothing for as long as one request to it is overdue.
func TestTargetWithAnOverdueRequestIsTriedAgain(t *testing.T) {
	t.Run("one connection is silent", targetWithASilentConnection)
	t.Run("all targets are at work", targetsAtWork)
	t.Run("by one request at once", targetThatIsTried)
}

// leftOut is how long the balancer leaves a target out the first time.
const leftOut = 250 * time.Millisecond

func targetWithASilentConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newScene(t, testConfig(), 1)
		list := []script{s.silent()}
		for range 7 {
			list = append(list, s.answers(0, "answer"))
		}
		s.scripts = scripts(list...)
		done := make(chan result, 1)
		go func() { done <- s.ask(t.Context(), "/long/", "") }()
		time.Sleep(patience + time.Millisecond)
		if r := s.ask(t.Context(), "/long/", ""); r.status != http.StatusServiceUnavailable {
			t.Errorf("the target is not left out: %d %q", r.status, r.body)
		}
		time.Sleep(leftOut)
		for i := range 7 {
			if r := s.ask(t.Context(), "/long/", ""); r.status != http.StatusOK {
				t.Errorf("request %d: %d %q", i, r.status, r.body)
			}
			time.Sleep(500 * time.Millisecond)
		}
		<-done
		s.wantNoneCounted(t)
	})
}

// Two targets of four slots that have long requests take a further one.
func targetsAtWork(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 0
		s := newScene(t, config, 2)
		s.scripts = make(chan script, 8)
		done := make(chan result, 8)
		begun := make(map[*target]bool)
		asked := 0
		for len(begun) < 2 {
			asked++
			s.scripts <- s.answers(4*time.Second, "long")
			go func() { done <- s.ask(t.Context(), "/long/", "") }()
			begun[<-s.reached] = true
		}
		time.Sleep(atWork)
		s.scripts <- s.answers(0, "short")
		s.wantAnswer(t, s.ask(t.Context(), "/long/", ""), "short", 0)
		for range asked {
			if r := <-done; r.status != http.StatusOK || r.body != "long" {
				t.Errorf("got %d %q", r.status, r.body)
			}
		}
		s.wantNoneCounted(t)
	})
}

// While one request tries a target that was left out, no other is sent there, and
// if that one is overdue too, the target is left out again, for twice as long.
func targetThatIsTried(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newScene(t, testConfig(), 1)
		s.scripts = scripts(s.silent(), s.silent(), s.answers(0, "third"))
		done := make(chan result, 2)
		ask := func() { done <- s.ask(t.Context(), "/long/", "") }
		go ask()
		time.Sleep(patience + leftOut + time.Millisecond)
		go ask()
		synctest.Wait()
		s.wantReached(t, 2)
		for _, wait := range []time.Duration{0, patience, 2*leftOut - 2*time.Millisecond} {
			time.Sleep(wait)
			if r := s.ask(t.Context(), "/long/", ""); r.status != http.StatusServiceUnavailable {
				t.Errorf("got %d %q", r.status, r.body)
			}
			s.wantReached(t, 2)
		}
		time.Sleep(3 * time.Millisecond)
		s.wantAnswer(t, s.ask(t.Context(), "/long/", ""), "third", 0)
		<-done
		<-done
		s.wantNoneCounted(t)
	})
}

func (s *scene) wantReached(t *testing.T, want int) {
	t.Helper()
	if got := len(s.reached); got != want {
		t.Fatalf("%d requests reached targets, want %d", got, want)
	}
}
