package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Seen: by reading, a box took word of control of 5.1 s ago for word of 0.1 s after
// its machine was suspended for 5 s, and a replica counted reports of boxes as fresh.
// Cause: the steady clock, which stands still in a suspension.
// Proof: seconds pass in a suspension only, and both are older by them.
func TestWordAndReportsAgeInASuspension(t *testing.T) {
	const length = 5 * time.Second
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		var asleep atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) })()
		time.Sleep(3 * heartbeatInterval)
		publishing := NewPublishing(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		publishing.Collect(&wire.Report{Boxes: []*wire.BoxReport{{Box: "b"}}})
		before := p.following.Age()
		asleep.Add(int64(length))
		if age := p.following.Age(); age < before+length {
			t.Errorf("word of control that was %s old is %s old after a suspension of %s", before, age, length)
		}
		if n := len(publishing.Fresh(length - time.Second)); n != 0 {
			t.Errorf("a report counts as fresh %s after it came", length)
		}
	})
}
