package distribution

import (
	"fmt"
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxListCopies is how often an update may copy the list of targets, regardless of the
// number of registrations in it.
const maxListCopies = 3

// TestUpdateAllocationsAreBounded guards against updates that copy the list of
// targets for each registration, so that their cost is the product of both numbers.
func TestUpdateAllocationsAreBounded(t *testing.T) {
	const targets, updates, pointerSize = 3000, 20, 8
	s := steering.State{}
	for i := range targets {
		s, _ = s.Apply(joinCommand(i))
	}
	u := &wire.Update{FromVersion: s.Version(), Version: s.Version() + updates}
	for i := range updates / 2 {
		u.Commands = append(u.Commands, joinCommand(targets+i), leaveCommand(i))
	}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := Advance(s, u); err != nil {
				b.Fatal(err)
			}
		}
	})
	// Besides one copy of the targets, an update allocates a copy of the departures and the
	// indexes of the targets that it names.
	if got, most := result.AllocedBytesPerOp(), int64(maxListCopies*targets*pointerSize); got > most {
		t.Errorf("an update with %d registrations allocates %d bytes, want at most %d", updates, got, most)
	}
}

func joinCommand(i int) *wire.Command {
	id := fmt.Sprint("i", i)
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: id, Address: "a" + id, Service: "s", Zone: "z", Slots: 9, Sequence: 1,
	}}}
}

func leaveCommand(i int) *wire.Command {
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: fmt.Sprint("i", i)}, Leave: true}}
}
