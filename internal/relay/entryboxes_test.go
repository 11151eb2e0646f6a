package relay

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// publisherWithBoxes returns a publisher to which a number of serving boxes have reported.
func publisherWithBoxes(boxes int) *Publisher {
	p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
	for i := range boxes {
		p.AddReports(&wire.Report{Boxes: []*wire.BoxReport{{Box: fmt.Sprintf("front-use-a-%d", i), Zone: "use-a", Region: "us-east", CallerAddress: "10.0.0.1:80"}}})
	}
	return p
}

// Guards against a list of entry boxes that is built for each subscriber: a replica allocated boxes
// times boxes times subscribers bytes a second, 840 MB at 984 boxes, and the garbage collector took
// most of its processor time.
func TestSubscribersShareTheListOfBoxes(t *testing.T) {
	p := publisherWithBoxes(1000)
	p.entryBoxes()
	if n := testing.AllocsPerRun(100, func() { p.entryBoxes() }); n > 1 {
		t.Errorf("a subscriber's list of 1000 boxes takes %v allocations, want at most 1", n)
	}
}

// Guards against a list that is sent again although no box has changed, and against one that hides a
// change.
func TestListOfBoxesChangesWithTheBoxes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := publisherWithBoxes(3)
		first := p.entryBoxes()
		time.Sleep(heartbeatInterval)
		if p.entryBoxes() != first {
			t.Error("the list was replaced although no box has changed")
		}
		p.AddReports(&wire.Report{Boxes: []*wire.BoxReport{{Box: "front-use-a-1", Stopping: true, CallerAddress: "10.0.0.1:80"}}})
		time.Sleep(boxListTTL)
		if next := p.entryBoxes(); next == first || len(next.Boxes) != 2 {
			t.Errorf("got %v after a box has left", next)
		}
	})
}

func BenchmarkEntryBoxes(b *testing.B) {
	for _, boxes := range []int{100, 300, 1000, 2000} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			p := publisherWithBoxes(boxes)
			b.ReportAllocs()
			for b.Loop() {
				p.entryBoxes()
			}
		})
	}
}
