package distribution

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// A follower that has a state skips sources that are out of contact with control
// without delay: of nine control replicas four may be partitioned, and a change must
// still reach the box in time.
func TestStaleSourcesAreSkippedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	f := NewFollower(now, 1)
	f.SetStaleAfter(1600 * time.Millisecond)
	list, _ := testStates(2)
	f.state = list[1]
	var sources []Source
	for i := range 5 {
		sources = append(sources, Source{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Control: true})
	}
	out := f.Handle(now, SetSources{Sources: sources})
	lost := now.Add(10 * time.Second) // beyond the control age that is tolerated
	for at := lost; at.Before(lost.Add(2 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if s := out.Subscribe; s != nil {
			if s.Source.Name == "4" {
				return
			}
			f.Handle(at, Opened{Attempt: s.Attempt})
			out = f.Handle(at, Received{Attempt: s.Attempt, Update: &wire.Update{FromVersion: f.state.Version(), Version: f.state.Version(), AgeMilli: 60_000}})
			continue
		}
		out = f.Handle(at, Tick{})
	}
	t.Fatal("the source in contact with control was not tried within 2 s")
}
