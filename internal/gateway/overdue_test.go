package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against further requests to a target that stopped responding, while the first one still
// waits there.
func TestOverdueTargetGetsNoFurtherRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 0
		s := newRig(t, config, 2)
		s.scripts = scripts(s.silent(), s.responds(0, "a"), s.responds(0, "b"), s.responds(0, "c"), s.responds(0, "d"))
		got := make(chan result, 1)
		go func() { got <- s.send(t.Context(), "/long/", "") }()
		time.Sleep(hedgeDelay + time.Millisecond)
		silent := <-s.reached
		for range 4 {
			s.send(t.Context(), "/long/", "")
			if <-s.reached == silent {
				t.Error("a request was sent to a target with an overdue response")
			}
		}
		<-got
		s.wantNoneInFlight(t)
	})
}

// Guards against a healthy target that gets no requests for as long as one request to it is
// overdue.
func TestOverdueTargetIsProbed(t *testing.T) {
	t.Run("one connection gets no response", oneSilentConnection)
	t.Run("all targets run long requests", busyTargets)
	t.Run("by one request at a time", singleProbe)
}

// firstEjection is how long the balancer ejects a target the first time.
const firstEjection = 250 * time.Millisecond

func oneSilentConnection(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		list := []script{s.silent()}
		for range 7 {
			list = append(list, s.responds(0, "answer"))
		}
		s.scripts = scripts(list...)
		done := make(chan result, 1)
		go func() { done <- s.send(t.Context(), "/long/", "") }()
		time.Sleep(hedgeDelay + time.Millisecond)
		if r := s.send(t.Context(), "/long/", ""); r.status != http.StatusServiceUnavailable {
			t.Errorf("the target is not ejected: got %d %q", r.status, r.body)
		}
		time.Sleep(firstEjection)
		for i := range 7 {
			if r := s.send(t.Context(), "/long/", ""); r.status != http.StatusOK {
				t.Errorf("request %d: got %d %q", i, r.status, r.body)
			}
			time.Sleep(500 * time.Millisecond)
		}
		<-done
		s.wantNoneInFlight(t)
	})
}

// Two targets with four slots each that run long requests still accept another one.
func busyTargets(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		config := testConfig()
		config.RetryShare, config.RetryExtra = 0, 0
		s := newRig(t, config, 2)
		s.scripts = make(chan script, 8)
		done := make(chan result, 8)
		begun := make(map[*target]bool)
		sent := 0
		for len(begun) < 2 {
			sent++
			s.scripts <- s.responds(4*time.Second, "long")
			go func() { done <- s.send(t.Context(), "/long/", "") }()
			begun[<-s.reached] = true
		}
		time.Sleep(slowResponseTime)
		s.scripts <- s.responds(0, "short")
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "short", 0)
		for range sent {
			if r := <-done; r.status != http.StatusOK || r.body != "long" {
				t.Errorf("got %d %q", r.status, r.body)
			}
		}
		s.wantNoneInFlight(t)
	})
}

// While one request probes an ejected target, no other is sent there. If the probe is overdue too,
// the target is ejected again, for twice as long.
func singleProbe(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newRig(t, testConfig(), 1)
		s.scripts = scripts(s.silent(), s.silent(), s.responds(0, "third"))
		done := make(chan result, 2)
		send := func() { done <- s.send(t.Context(), "/long/", "") }
		go send()
		time.Sleep(hedgeDelay + firstEjection + time.Millisecond)
		go send()
		synctest.Wait()
		s.wantReached(t, 2)
		for _, wait := range []time.Duration{0, hedgeDelay, 2*firstEjection - 2*time.Millisecond} {
			time.Sleep(wait)
			if r := s.send(t.Context(), "/long/", ""); r.status != http.StatusServiceUnavailable {
				t.Errorf("got %d %q", r.status, r.body)
			}
			s.wantReached(t, 2)
		}
		time.Sleep(3 * time.Millisecond)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "third", 0)
		<-done
		<-done
		s.wantNoneInFlight(t)
	})
}

func (s *rig) wantReached(t *testing.T, want int) {
	t.Helper()
	if got := len(s.reached); got != want {
		t.Fatalf("%d requests reached targets, want %d", got, want)
	}
}
