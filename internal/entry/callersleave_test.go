package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
)

var (
	leaveSeeds = flag.Uint64("leave-seeds", 3, "number of seeds that each test of leaving callers runs")
	leaveFrom  = flag.Uint64("leave-from", 1, "first seed of the tests of leaving callers")
)

const (
	leavingCallers = 8
	// leavingRequests is the number of requests that each of these callers sends.
	leavingRequests = 60
	// leavingTimeout is the request timeout. Callers that leave do so before it has passed.
	leavingTimeout = 2500 * time.Millisecond
)

// Guards against a nil pointer dereference in keys.run, which crashed the box when a caller
// left while the start of its key was being recorded.
func TestLeavingCallersDoNotCrashBox(t *testing.T) {
	runWithLeavingCallers(t, func(s *system, c *caller.Client, name string, wait time.Duration) { s.sendAndLeave(c, name, wait, "") })
}

// Guards against a second run, or a false report that a request did not run, if a caller
// leaves and resends with its key, to the same box or another.
func TestRetryAfterLeavingDoesNotRunTwice(t *testing.T) {
	hosts := []string{boxHosts["b1"], boxHosts["b2"], boxHosts["b3"]}
	runWithLeavingCallers(t, func(s *system, c *caller.Client, name string, wait time.Duration) {
		key := s.sendAndLeave(c, name, wait, "")
		if key == "" {
			return
		}
		retrier := s.client("flags")
		retrier.Pin(hosts[int(wait)%len(hosts)] + ":1")
		s.sendAndLeave(retrier, name, leavingTimeout, key)
	})
}

// Guards against a second run, or a false report that a request did not run, if two callers
// send the same key concurrently and either leaves first.
func TestSharedKeyDoesNotRunTwice(t *testing.T) {
	runWithLeavingCallers(t, func(s *system, c *caller.Client, name string, wait time.Duration) {
		lookup, err := c.Lookup(context.Background())
		if err != nil {
			return // nothing is sent
		}
		key := lookup.KeyScope + "~" + name
		var running sync.WaitGroup
		running.Go(func() { s.sendAndLeave(c, name, wait, key) })
		running.Go(func() { s.sendAndLeave(s.client("flags"), name, leavingTimeout/4-wait/2, key) })
		running.Wait()
		s.sendAndLeave(c, name, leavingTimeout, key)
	})
}

// runWithLeavingCallers runs callers that leave, for several seeds, and checks the system's
// guarantees.
func runWithLeavingCallers(t *testing.T, toggle func(s *system, c *caller.Client, name string, wait time.Duration)) {
	t.Helper()
	for seed := *leaveFrom; seed < *leaveFrom+*leaveSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				s := newSystem(t, cellSlots)
				s.runLeavingTraffic(rand.New(rand.NewPCG(seed, 54)), toggle)
				s.network.setDelay(time.Millisecond)
				s.checkRecovery()
				s.close(cellSlots)
				reportProblems(t, s)
			})
		})
	}
}

// runLeavingTraffic makes callers leave at random times on a network with varying delay.
func (s *system) runLeavingTraffic(random *rand.Rand, toggle func(s *system, c *caller.Client, name string, wait time.Duration)) {
	between := func(minimum, maximum time.Duration) time.Duration {
		return minimum + time.Duration(random.Int64N(int64(maximum-minimum)))
	}
	var running sync.WaitGroup
	for caller := range leavingCallers {
		waits := make([]time.Duration, leavingRequests)
		for i := range waits {
			waits[i] = between(5*time.Millisecond, 700*time.Millisecond)
		}
		running.Go(func() {
			c := s.client("flags")
			for n, wait := range waits {
				toggle(s, c, fmt.Sprintf("leaving-%d-%d-", caller, n), wait)
			}
		})
	}
	done := make(chan struct{})
	delaysStopped := make(chan struct{})
	go func() {
		defer close(delaysStopped)
		for {
			s.network.setDelay(between(10*time.Millisecond, 70*time.Millisecond))
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	running.Wait()
	close(done)
	<-delaysStopped
}

// sendAndLeave sends an unrepeatable request, which its caller cancels after wait. An empty key
// makes the client create one. It records the latest outcome and returns the key.
func (s *system) sendAndLeave(c *caller.Client, name string, wait time.Duration, key string) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer time.AfterFunc(wait, cancel).Stop()
	// An error of the lookup does not change the outcome of what was sent before.
	a, _ := c.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/toggle", Body: []byte(name), Timeout: leavingTimeout, Key: key})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[name] = a.Outcome
	return a.Key
}
