package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxSpreadTime is within how long all boxes must know of a request that has ended
	// three targets, and retriesAfter how many more it may reach later than that.
	maxSpreadTime  = 3 * time.Second
	maxLateRetries = 3
)

// crashingTargets are targets that end while they run a request of /…/fatal and answer all
// others. A target that has ended refuses connections.
type crashingTargets struct {
	rig *rig
	// reached is when the fatal request reached a target.
	reached chan time.Time
	ended   []atomic.Bool
}

func newCrashingTargets(t *testing.T, targets int) *crashingTargets {
	t.Helper()
	m := &crashingTargets{rig: newRig(t, testConfig(), targets), reached: make(chan time.Time, 1000), ended: make([]atomic.Bool, targets)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	own := m.rig.daemon.isolation // a test may put another in its place
	go func() { ended <- own.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	for i, one := range m.rig.targets {
		one.script = func(_ int, r *http.Request, c net.Conn) bool { return m.serve(i, r, c) }
	}
	dial := m.rig.daemon.connections.dial
	m.rig.daemon.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		var n int
		if _, err := fmt.Sscan(address, &n); err != nil {
			return nil, err
		}
		if m.ended[n].Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return dial(ctx, network, address)
	}
	return m
}

func (m *crashingTargets) serve(i int, r *http.Request, c net.Conn) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Query().Get("n") != "fatal" {
		writeResponse(c, r.Header.Get("Test-Id"), "hello")
		return true
	}
	m.reached <- time.Now()
	time.Sleep(50 * time.Millisecond)
	m.ended[i].Store(true)
	return false
}

// A request that ends each target that runs it came again at any box, with another id
// each time, and was sent to two targets at each arrival: 59 targets ended in some
// seconds, and a tenth of all other requests was not served. A box booked each failure
// to the target that broke off and knew nothing of the request any more when it came
// again. In the run below 20 arrivals reached 40 targets.
func TestRequestThatEndsItsTargetsIsHeld(t *testing.T) {
	for _, route := range []string{"long", "once", "single"} {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				m := newCrashingTargets(t, 60)
				for range 20 {
					got := m.rig.send(context.Background(), "/"+route+"/x?n=fatal", "body")
					if got.status == http.StatusOK {
						t.Fatalf("answered with %d", got.status)
					}
					time.Sleep(time.Second)
				}
				synctest.Wait()
				m.wantFewRetries(t)
			})
		})
	}
}

// wantFewRetries checks how often the fatal request reached targets later than
// contactTime after it had ended the third.
func (m *crashingTargets) wantFewRetries(t *testing.T) {
	t.Helper()
	close(m.reached)
	var all []time.Time
	for at := range m.reached {
		all = append(all, at)
	}
	if len(all) < 3 {
		t.Fatalf("the request reached %d targets; it was not tried enough to tell", len(all))
	}
	late := 0
	for _, at := range all {
		if at.After(all[2].Add(maxSpreadTime)) {
			late++
		}
	}
	if late > maxLateRetries {
		t.Fatalf("the request reached %d targets, %d of them later than %s after the third, want %d at most", len(all), late, maxSpreadTime, maxLateRetries)
	}
}
