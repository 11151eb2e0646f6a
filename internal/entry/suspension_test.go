package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against granting slots after the lease has expired during a suspension of the
// machine.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		p := newPool("s", "box", "i", 1)
		p.onLeaseChange = func(bool) {}
		p.onRefusal = func(admission.Reason) {}
		var requests []lease.Request
		p.sendLeaseRequests = func(list []lease.Request) { requests = append(requests, list...) }
		p.lease = lease.NewHolder(boottime.Now(), lease.Config{Pool: "s@z", Name: "box", Incarnation: "i", Voters: []string{"box"}, Duration: time.Second, Seed: 1})
		p.handle(poolEvent{admission.Tick{}})
		for range 20 {
			if len(requests) > 0 {
				break
			}
			time.Sleep(100 * time.Millisecond)
			p.handle(poolEvent{admission.Tick{}})
		}
		if len(requests) == 0 {
			t.Fatal("no lease request was sent")
		}
		last := requests[len(requests)-1].Message
		p.handle(poolLeaseAnswer{&wire.LeaseAnswer{Pool: "s@z", Voter: "box", Ballot: last.Ballot, Granted: true, Holder: "box", Incarnation: "i"}})
		if !p.held {
			t.Fatal("the lease is not held before the suspension")
		}
		suspended.Store(int64(5 * time.Second))
		p.handle(poolEvent{admission.Tick{}})
		if p.held {
			t.Error("the lease is still held after a suspension longer than its duration")
		}
	})
}
