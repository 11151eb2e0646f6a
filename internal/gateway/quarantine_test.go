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
	// maxSpreadTime is the time within which all boxes must learn of a request that has crashed three
	// targets, and maxLateRetries how many more targets it may reach after that.
	maxSpreadTime  = 3 * time.Second
	maxLateRetries = 3
)

// crashingTargets are targets that crash while they run a request with n=fatal and respond to all
// others. A target that has crashed refuses connections.
type crashingTargets struct {
	rig *rig
	// reached gets a time whenever the fatal request reaches a target.
	reached chan time.Time
	ended   []atomic.Bool
}

func newCrashingTargets(t *testing.T, targets int) *crashingTargets {
	t.Helper()
	m := &crashingTargets{rig: newRig(t, testConfig(), targets), reached: make(chan time.Time, 1000), ended: make([]atomic.Bool, targets)}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	original := m.rig.daemon.isolation // a test may replace it
	go func() { ended <- original.Run(ctx) }()
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

// Guards against a request that crashes each target that runs it and is sent again and again. Such
// a request came to any box, with a new id each time, and was sent to two targets each time: 59
// targets crashed within seconds, and a tenth of all other requests failed. Each box attributed the
// failure to the target and forgot the request. Before the quarantine, the 20 requests below
// reached 40 targets.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, route := range []string{"long", "once", "single"} {
		t.Run(route, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				m := newCrashingTargets(t, 60)
				for range 20 {
					got := m.rig.send(context.Background(), "/"+route+"/x?n=fatal", "body")
					if got.status == http.StatusOK {
						t.Fatalf("got status %d", got.status)
					}
					time.Sleep(time.Second)
				}
				synctest.Wait()
				m.wantFewRetries(t)
			})
		})
	}
}

// wantFewRetries checks how often the fatal request reached targets later than maxSpreadTime after
// it had crashed the third one.
func (m *crashingTargets) wantFewRetries(t *testing.T) {
	t.Helper()
	close(m.reached)
	var all []time.Time
	for at := range m.reached {
		all = append(all, at)
	}
	if len(all) < 3 {
		t.Fatalf("the request reached %d targets; want at least 3 for this test", len(all))
	}
	late := 0
	for _, at := range all {
		if at.After(all[2].Add(maxSpreadTime)) {
			late++
		}
	}
	if late > maxLateRetries {
		t.Fatalf("the request reached %d targets, %d of them later than %s after the third, want at most %d", len(all), late, maxSpreadTime, maxLateRetries)
	}
}
