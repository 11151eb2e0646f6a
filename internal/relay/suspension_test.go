package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against word of control, and reports of boxes, that do not age in a suspension.
func TestWordAndReportsAgeInASuspension(t *testing.T) {
	const length = 5 * time.Second
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		var asleep atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) })()
		time.Sleep(3 * heartbeatInterval)
		publishing := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		publishing.AddReports(&wire.Report{Boxes: []*wire.BoxReport{{Box: "b"}}})
		before := p.following.ControlAge()
		asleep.Add(int64(length))
		if age := p.following.ControlAge(); age < before+length {
			t.Errorf("word of control that was %s old is %s old after a suspension of %s", before, age, length)
		}
		if n := len(publishing.RecentReports(length - time.Second)); n != 0 {
			t.Errorf("a report counts as fresh %s after it came", length)
		}
	})
}
