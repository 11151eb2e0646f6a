package steering_test

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// slots returns a command that changes the slots, made against version 0.
func slots(id, value string) *wire.Command {
	return &wire.Command{Change: &wire.Change{Id: id, Edits: []*wire.Edit{{Path: "/", Key: settings.Slots, Value: value}}}}
}

// ExampleState_Apply shows the verdicts on two operators' changes and on a resend.
func ExampleState_Apply() {
	var s steering.State
	for _, c := range []*wire.Command{slots("ann-1", "9"), slots("bob-1", "5"), slots("ann-1", "9")} {
		next, result := s.Apply(c)
		v := result.Verdict
		fmt.Println(v.Id, v.Kind, v.Clashes, "changed", result.Changed)
		s = next
	}
	data, err := s.Marshal()
	if err != nil {
		fmt.Println(err)
		return
	}
	restored, err := steering.Unmarshal(data)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("version", restored.Version(), "slots", restored.Tree().Get(settings.Path{}, settings.Slots))
	// Output:
	// ann-1 VERDICT_KIND_ACCEPTED [] changed true
	// bob-1 VERDICT_KIND_CONFLICT [/ slots] changed false
	// ann-1 VERDICT_KIND_ACCEPTED [] changed false
	// version 1 slots 9
}
