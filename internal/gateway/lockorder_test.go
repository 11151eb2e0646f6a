package gateway

import (
	"errors"
	"net"
	"testing"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against an entry box that answers nothing any more: its sweep and a target's reported limit
// waited for each other's lock.
func TestSweepHoldsNoLockOfReports(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newTargetLimitedRig(t, 1, nil)
		d := s.daemon
		reportLimit := func(string) bool {
			d.applyChange(targetstatus.Change{Incarnation: "t0", Before: 5, After: 4}, "")
			return true
		}
		now := boottime.Now()
		near, far := net.Pipe()
		defer far.Close()
		d.unusableWorkTimes.isNew("t0")
		d.connections.put(balance.Target{ID: "t0"}, newConnection(near, targetpath.Peer{}), defaultKeepAlive)
		for name, sweep := range map[string]func(){
			"limits":      func() { d.targetLimits.prune(now, reportLimit) },
			"connections": func() { d.connections.closeExpired(now, reportLimit) },
			"work times":  func() { d.unusableWorkTimes.prune(reportLimit) },
		} {
			if err := orderErrorOf(sweep); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	})
}

// orderErrorOf returns the violation of the order of locks with which a function panics.
func orderErrorOf(run func()) (violation *lockorder.OrderError) {
	defer func() {
		if err, ok := recover().(error); ok && !errors.As(err, &violation) {
			panic(err)
		}
	}()
	run()
	return nil
}
