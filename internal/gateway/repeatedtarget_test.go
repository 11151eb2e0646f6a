package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var faultyTargetSeeds = flag.Int("faulty-target-seeds", 5, "number of seeds of TestTargetGetsRequestOnlyOnce")

const (
	faultyTargets    = 5
	faultyCallers    = 24
	faultyTargetTime = 20 * time.Second
)

// faultyTargetRoutes has the route /many/, whose requests may be sent to four targets.
func faultyTargetRoutes([]byte) (catalog.Document, error) {
	return catalog.Document{
		Number: 1,
		Hosts: []catalog.Host{{Name: "a.example", Routes: []catalog.Route{{
			Name: "many", Prefix: "/many/", Repeat: catalog.Repeatable, Objective: 200 * time.Millisecond, Timeout: 5 * time.Second,
			MaxAttempts: 4, Affinity: true, Destinations: []catalog.Destination{{Service: "s", Weight: 1}},
		}}}},
		Services: []catalog.Service{{Name: "s"}},
	}, nil
}

// faultyService is a box with targets whose responses are drawn at random, in virtual time.
type faultyService struct {
	daemon *Daemon
	mu     sync.Mutex
	random *rand.Rand
	state  steering.State
	// started is the start time of each target's present incarnation, and sequence its last
	// heartbeat.
	started, sequence [faultyTargets]int64
	// arrivals counts how often a request reached an incarnation.
	arrivals map[string]int
	// serving are the connections that targets serve.
	serving sync.WaitGroup
}

func newFaultyService(t *testing.T, seed uint64) *faultyService {
	t.Helper()
	config := testConfig()
	config.DecodeRoutes = faultyTargetRoutes
	s := &faultyService{daemon: newDaemon(t, config), random: rand.New(rand.NewPCG(seed, 1)), arrivals: make(map[string]int)}
	s.state, _ = s.state.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	for i := range faultyTargets {
		s.started[i] = 1
		s.register(i, false)
	}
	s.daemon.connections.dial = func(_ context.Context, _, address string) (net.Conn, error) {
		if s.draw(20) == 0 {
			return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
		}
		var n int
		if _, err := fmt.Sscan(address, &n); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		s.serving.Go(func() { s.serve(n, far) })
		return near, nil
	}
	t.Cleanup(func() {
		s.daemon.connections.close()
		s.serving.Wait() // a target may be busy with an attempt that was canceled
		_ = s.daemon.callerServer.listener.Close()
		_ = s.daemon.readyListener.Close()
	})
	return s
}

func (s *faultyService) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// register sends a heartbeat of a target to the box.
func (s *faultyService) register(n int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence[n]++
	s.state, _ = s.state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: fmt.Sprint("t", n), Service: "s", Address: fmt.Sprint(n), Zone: "z", Slots: 4,
		Sequence: uint64(s.sequence[n]), BornUnixMilli: s.started[n], Draining: draining,
	}}})
	s.daemon.applyState(s.state, nil)
}

func (s *faultyService) restart(n int) {
	s.mu.Lock()
	s.started[n]++
	s.sequence[n] = 0
	s.mu.Unlock()
	s.register(n, false)
}

// serve serves the connections of a target.
func (s *faultyService) serve(n int, c net.Conn) {
	one := &target{script: func(_ int, r *http.Request, c net.Conn) bool { return s.respond(n, r, c) }}
	one.serve(c)
}

// respond records a request and responds in one of the ways in which targets do.
func (s *faultyService) respond(n int, r *http.Request, c net.Conn) bool {
	id := r.Header.Get("Test-Id")
	s.mu.Lock()
	s.arrivals[fmt.Sprintf("%s at t%d@%d", id, n, s.started[n])]++
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(time.Duration(s.draw(150)) * time.Millisecond)
	switch s.draw(10) {
	case 0:
		return false // the connection breaks
	case 1:
		time.Sleep(2 * time.Second) // overdue, so that the request is hedged
	case 2:
		return rejectNotRun(0, r, c)
	case 3, 4:
		fmt.Fprintf(c, "HTTP/1.1 500 X\r\nTest-Id: %s\r\nContent-Length: 2\r\n\r\nno", id)
		return true
	}
	writeResponse(c, id, "hello")
	return true
}

// callUntil sends requests of one caller until the end.
func (s *faultyService) callUntil(end time.Time, caller int) {
	for n := 0; time.Now().Before(end); n++ {
		r := httptest.NewRequest(http.MethodPost, "/many/", strings.NewReader("body"))
		r.Host = "a.example"
		r.Header.Set("Test-Id", fmt.Sprintf("%d-%d", caller, n))
		r.Header.Set("Test-Deadline", "5000")
		r.Header.Set("Test-Key", fmt.Sprint(s.draw(20)))
		s.daemon.ServeHTTP(httptest.NewRecorder(), r)
		time.Sleep(time.Duration(s.draw(20)) * time.Millisecond)
	}
}

// changeUntil restarts and drains targets until the end.
func (s *faultyService) changeUntil(end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(50+s.draw(200)) * time.Millisecond)
		n := s.draw(faultyTargets)
		switch s.draw(3) {
		case 0:
			s.restart(n)
		case 1:
			s.register(n, true)
		case 2:
			s.register(n, false)
		}
	}
}

// Guards against a retry or a hedged attempt at a target that already got the request, while
// targets respond 500, break connections, reject, respond late, drain and restart.
func TestTargetGetsRequestOnlyOnce(t *testing.T) {
	for seed := range *faultyTargetSeeds {
		inVirtualTime(t, func(t *testing.T) {
			s := newFaultyService(t, uint64(seed))
			end := time.Now().Add(faultyTargetTime)
			var running sync.WaitGroup
			for caller := range faultyCallers {
				running.Go(func() { s.callUntil(end, caller) })
			}
			running.Go(func() { s.changeUntil(end) })
			running.Wait()
			s.checkArrivals(t, seed)
		})
	}
}

// checkArrivals checks that no request reached an incarnation twice, and that requests were sent to
// further targets at all.
func (s *faultyService) checkArrivals(t *testing.T, seed int) {
	t.Helper()
	requests := make(map[string]int)
	for arrival, count := range s.arrivals {
		id, _, _ := strings.Cut(arrival, " ")
		requests[id]++
		if count > 1 {
			t.Errorf("seed %d: request %s: %d arrivals", seed, arrival, count)
		}
	}
	repeated := 0
	for _, targets := range requests {
		if targets > 1 {
			repeated++
		}
	}
	t.Logf("seed %d: %d requests, %d of them at more than one target", seed, len(requests), repeated)
	if repeated == 0 {
		t.Errorf("seed %d: no request was sent to a second target", seed)
	}
}

// Guards against a retry at a target that already got the request, because it restarted and the box
// learns of its new incarnation while that runs the request.
func TestRetryAvoidsNewIncarnationThatGotRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newFaultyService(t, 1)
		reached := make(map[int]int)
		s.daemon.connections.dial = func(_ context.Context, _, address string) (net.Conn, error) {
			var n int
			if _, err := fmt.Sscan(address, &n); err != nil {
				return nil, err
			}
			near, far := net.Pipe()
			one := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
				reached[n]++
				_, _ = io.Copy(io.Discard, r.Body)
				s.restart(n)
				fmt.Fprint(c, "HTTP/1.1 500 X\r\nTest-Id: id1\r\nContent-Length: 2\r\n\r\nno")
				return true
			}}
			go one.serve(far)
			return near, nil
		}
		caller := &rig{daemon: s.daemon}
		if got := caller.send(t.Context(), "/many/", "body"); got.status != http.StatusInternalServerError {
			t.Errorf("got status %d, want that of the target", got.status)
		}
		if len(reached) != 4 {
			t.Errorf("the request reached %d targets, want 4", len(reached))
		}
		for n, count := range reached {
			if count != 1 {
				t.Errorf("the request reached t%d %d times", n, count)
			}
		}
	})
}
