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
	leaveSeeds = flag.Uint64("leave-seeds", 3, "how many seeds TestCallersThatLeave runs")
	leaveFrom  = flag.Uint64("leave-from", 1, "the first seed of TestCallersThatLeave")
)

const (
	leavingCallers = 8
	// leavingRequests is how many requests each of these callers sends.
	leavingRequests = 60
	// leavingTimeout is how long a caller that stays waits.
	leavingTimeout = 2500 * time.Millisecond
)

// Guards against a nil pointer in keys.run, which ended the box with all its callers, when a
// caller leaves while the start of its key is recorded.
func TestCallersThatLeave(t *testing.T) {
	runLeaving(t, func(s *system, c *caller.Client, name string, stay time.Duration) { s.leavingToggle(c, name, stay, "") })
}

// Guards against a second run, or a wrong "not run", where a caller leaves and comes again with
// its key, at the same box or at another.
func TestCallersThatLeaveAndComeAgain(t *testing.T) {
	hosts := []string{boxHosts["b1"], boxHosts["b2"], boxHosts["b3"]}
	runLeaving(t, func(s *system, c *caller.Client, name string, stay time.Duration) {
		key := s.leavingToggle(c, name, stay, "")
		if key == "" {
			return
		}
		again := s.client("flags")
		again.Pin(hosts[int(stay)%len(hosts)] + ":1")
		s.leavingToggle(again, name, leavingTimeout, key)
	})
}

// Guards against the same where two callers send one key at a time and either leaves first.
func TestTwoCallersOfAKeyLeave(t *testing.T) {
	runLeaving(t, func(s *system, c *caller.Client, name string, stay time.Duration) {
		look, err := c.Lookup(context.Background())
		if err != nil {
			return // nothing is sent
		}
		key := look.KeyScope + "~" + name
		var running sync.WaitGroup
		running.Go(func() { s.leavingToggle(c, name, stay, key) })
		running.Go(func() { s.leavingToggle(s.client("flags"), name, leavingTimeout/4-stay/2, key) })
		running.Wait()
		s.leavingToggle(c, name, leavingTimeout, key)
	})
}

// runLeaving runs callers for some seeds and checks the promises.
func runLeaving(t *testing.T, toggle func(s *system, c *caller.Client, name string, stay time.Duration)) {
	t.Helper()
	for seed := *leaveFrom; seed < *leaveFrom+*leaveSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				s := newSystem(t, cellSlots)
				s.leavingTraffic(rand.New(rand.NewPCG(seed, 54)), toggle)
				s.network.setDelay(time.Millisecond)
				s.recovers()
				s.close(cellSlots)
				report(t, s)
			})
		})
	}
}

// leavingTraffic has callers leave at random moments on a network whose delay changes.
func (s *system) leavingTraffic(random *rand.Rand, toggle func(s *system, c *caller.Client, name string, stay time.Duration)) {
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var running sync.WaitGroup
	for caller := range leavingCallers {
		stays := make([]time.Duration, leavingRequests)
		for i := range stays {
			stays[i] = between(5*time.Millisecond, 700*time.Millisecond)
		}
		running.Go(func() {
			c := s.client("flags")
			for n, stay := range stays {
				toggle(s, c, fmt.Sprintf("leaving-%d-%d-", caller, n), stay)
			}
		})
	}
	ended := make(chan struct{})
	changing := make(chan struct{})
	go func() {
		defer close(changing)
		for {
			s.network.setDelay(between(10*time.Millisecond, 70*time.Millisecond))
			select {
			case <-ended:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	running.Wait()
	close(ended)
	<-changing
}

// leavingToggle sends a request that may not be repeated, whose caller leaves after a time, under
// a key, or a new one if it is empty. It returns the key, and notes the latest outcome.
func (s *system) leavingToggle(c *caller.Client, name string, stay time.Duration, key string) string {
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	defer time.AfterFunc(stay, leave).Stop()
	// The error of a look-up leaves the outcome of what was sent before.
	a, _ := c.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/toggle", Body: []byte(name), Timeout: leavingTimeout, Key: key})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[name] = a.Outcome
	return a.Key
}
