package distribution_test

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// ExampleFollower receives a state and then a change to it from a control replica.
func ExampleFollower() {
	now := time.Unix(0, 0)
	state := steering.State{}
	control := distribution.NewPublisher(state)
	f := distribution.NewFollower(now, 1)

	out := f.Handle(now, distribution.SetSources{Sources: []distribution.Source{{Name: "c1", Control: true}}})
	s := out.Subscribe // the host opens a stream to s.Source
	f.Handle(now, distribution.Opened{Attempt: s.Attempt})
	f.Handle(now, distribution.Received{Attempt: s.Attempt, Update: control.FirstUpdate(s.Version, 0)})

	c := &wire.Command{Change: &wire.Change{Id: "more", Edits: []*wire.Edit{{Path: "/", Key: settings.Slots, Value: "9"}}}}
	state, result := state.Apply(c)
	if !result.Changed {
		fmt.Println(result.Verdict.Detail)
		return
	}
	control.SetState(state, []*wire.Command{c})
	update := control.Update(f.State().Version(), 0)
	out = f.Handle(now, distribution.Received{Attempt: s.Attempt, Update: update})
	if out.State == nil {
		fmt.Println(out.Notice) // the follower opens another subscription
		return
	}
	fmt.Println("version", out.State.Version(), "slots", out.State.Tree().Get(settings.Path{}, settings.Slots))
	// Output: version 1 slots 9
}
