package shift_test

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/shift"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// running returns a state with a running shift of a tenth of the callers of east.
func running() (steering.State, error) {
	s, result := steering.State{}.Apply(&wire.Command{Change: &wire.Change{Id: "tree", Edits: []*wire.Edit{
		{Path: "/", Key: "shiftStepShare", Value: "8"},
		{Path: "/east/ea:web", Key: "targets", Value: "e=127.0.0.1:1"},
		{Path: "/west/wa:web", Key: "targets", Value: "w=127.0.0.1:2"},
	}}})
	if !result.Changed {
		return s, fmt.Errorf("the tree: %s", result.Verdict.Detail)
	}
	s, result = s.Apply(&wire.Command{Shift: &wire.ShiftCommand{
		Action: wire.ShiftCommand_ACTION_START,
		Shift:  &wire.Shift{Id: "tenth", Service: "web", Home: "east", From: "east", To: "west", Points: 1000},
	}})
	return s, result.Err
}

// ExamplePlanner carries a shift out as far as measurements allow.
func ExamplePlanner() {
	s, err := running()
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(1000, 0)
	p := shift.NewPlanner(now)
	for _, west := range []float64{95, 20} { // slots in use; too full at first
		now = now.Add(10 * time.Second)
		p.Observe(shift.Measurement{Service: "web", Region: "east", Capacity: 100, InUse: 60, At: now})
		p.Observe(shift.Measurement{Service: "web", Region: "west", Capacity: 100, InUse: west, At: now})
		for _, d := range p.Plan(now, s) {
			if d.Command == nil {
				fmt.Println("waits:", d.Reason)
				continue
			}
			next, result := s.Apply(&wire.Command{Shift: d.Command}) // a leader records it in its log first
			if result.Err != nil {
				fmt.Println(result.Err)
				return
			}
			s = next
		}
	}
	fmt.Println("points in west:", s.Assignment("web", "east").PointsOf("west"))
	// Output:
	// waits: west carries 95.0 of 90.0 slots, 7.2 more may come
	// points in west: 800
}
