package entry

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a box that goes on granting slots after its lease ended in a suspension.
func TestLeaseEndsInASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asleep atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) })()
		p := newPool("s", "box", "i", 1)
		p.changed = func(bool) {}
		p.refused = func(admission.Reason) {}
		var asked []lease.Request
		p.ask = func(list []lease.Request) { asked = append(asked, list...) }
		p.lease = lease.NewHolder(boottime.Now(), lease.Config{Pool: "s@z", Name: "box", Incarnation: "i", Voters: []string{"box"}, Duration: time.Second, Seed: 1})
		p.handle(poolEvent{admission.Tick{}})
		for range 20 {
			if len(asked) > 0 {
				break
			}
			time.Sleep(100 * time.Millisecond)
			p.handle(poolEvent{admission.Tick{}})
		}
		if len(asked) == 0 {
			t.Fatal("no vote was asked for")
		}
		last := asked[len(asked)-1].Message
		p.handle(poolLeaseAnswer{&wire.LeaseAnswer{Pool: "s@z", Voter: "box", Ballot: last.Ballot, Granted: true, Holder: "box", Incarnation: "i"}})
		if !p.held {
			t.Fatal("the lease is not held before the suspension")
		}
		asleep.Store(int64(5 * time.Second))
		p.handle(poolEvent{admission.Tick{}})
		if p.held {
			t.Error("the lease is held after a suspension that is longer")
		}
	})
}
