package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a control age and an age of reports that do not grow while the
// machine is suspended.
func TestControlAgeAndReportsAgeDuringSuspension(t *testing.T) {
	const length = 5 * time.Second
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		var suspended atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		time.Sleep(3 * heartbeatInterval)
		publisher := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		publisher.AddReports(&wire.Report{Boxes: []*wire.BoxReport{{Box: "b"}}})
		before := p.follower.ControlAge()
		suspended.Add(int64(length))
		if age := p.follower.ControlAge(); age < before+length {
			t.Errorf("control age was %s before a suspension of %s and is %s after it", before, length, age)
		}
		if n := len(publisher.RecentReports(length - time.Second)); n != 0 {
			t.Errorf("a report counts as recent %s after it was received", length)
		}
	})
}
