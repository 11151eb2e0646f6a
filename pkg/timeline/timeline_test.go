package timeline

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// TestClockOrdersMessages exchanges messages between processes with skewed clocks: a
// timestamp taken after receiving a message must be later than that of the sending.
func TestClockOrdersMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var clocks []*Clock
		for range 3 {
			skew := time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "skew")) * time.Millisecond
			clocks = append(clocks, NewClock(func() time.Time { return now.Add(skew) }))
		}
		last := make([]*wire.Clock, len(clocks))
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
			from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			sent := clocks[from].Stamp()
			clocks[to].Observe(sent)
			received := clocks[to].Stamp()
			if !Before(sent, received) {
				t.Fatalf("received at %v a message sent at %v", received, sent)
			}
			for i, stamp := range map[int]*wire.Clock{from: sent, to: received} {
				if i != from || from != to {
					if last[i] != nil && !Before(last[i], stamp) {
						t.Fatal("a clock went backwards")
					}
				}
			}
			last[from], last[to] = sent, received
		}
	})
}

// TestTimestampFarAheadIsIgnored guards against one process with a wrong clock advancing
// the clocks of all others.
func TestTimestampFarAheadIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewClock(func() time.Time { return now })
	c.Observe(&wire.Clock{WallUnixMilli: now.Add(time.Hour).UnixMilli()})
	if got := c.Stamp().WallUnixMilli; got != now.UnixMilli() {
		t.Errorf("the clock went %d ms ahead", got-now.UnixMilli())
	}
}

func TestDroppedEventsAreShownAsGap(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRing("p", NewClock(func() time.Time { return now }), 3, nil)
	for i := range 5 {
		r.Add(&wire.TimelineEvent{Kind: "k", Change: fmt.Sprint(i % 2)})
	}
	all := r.Events(nil)
	if all.Lost != 2 || len(all.Events) != 3 || all.Events[0].Sequence != 3 {
		t.Errorf("got %v", all)
	}
	if got := r.Events(&wire.TimelineRequest{Change: "1"}); len(got.Events) != 1 {
		t.Errorf("the filter matched %d events, want 1", len(got.Events))
	}
	if merged := Merge(all); merged[0].Kind != GapKind || len(merged) != 4 {
		t.Errorf("the gap is not shown: %v", merged)
	}
}

// ExampleMerge merges the events of two processes whose clocks differ by a second.
func ExampleMerge() {
	now := time.Unix(1000, 0)
	a, b := NewClock(func() time.Time { return now }), NewClock(func() time.Time { return now.Add(-time.Second) })
	first, second := NewRing("a", a, 10, nil), NewRing("b", b, 10, nil)
	first.Add(&wire.TimelineEvent{Kind: "proposed"})
	b.Observe(a.Stamp()) // a message from a to b
	second.Add(&wire.TimelineEvent{Kind: "inForce"})
	for _, e := range Merge(second.Events(nil), first.Events(nil)) {
		fmt.Println(e.Process, e.Kind)
	}
	// Output:
	// a proposed
	// b inForce
}
