package distribution

import (
	"fmt"
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// mostLists is how many times the list of targets may be copied for an update, however
// many words it brings.
const mostLists = 3

// Guards against an update whose cost is the product of its registrations and all targets.
func TestUpdateCopiesTargetsOnce(t *testing.T) {
	const targets, words, pointer = 3000, 20, 8
	s := steering.State{}
	for i := range targets {
		s, _ = s.Apply(joins(i))
	}
	u := &wire.Update{FromVersion: s.Version(), Version: s.Version() + words}
	for i := range words / 2 {
		u.Commands = append(u.Commands, joins(targets+i), leaves(i))
	}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := Advance(s, u); err != nil {
				b.Fatal(err)
			}
		}
	})
	// Beside one copy of the targets there are one of the departures and what is known of
	// the targets that the words name.
	if got, most := result.AllocedBytesPerOp(), int64(mostLists*targets*pointer); got > most {
		t.Errorf("an update of %d words left %d bytes, want at most %d", words, got, most)
	}
}

func joins(i int) *wire.Command {
	id := fmt.Sprint("i", i)
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
		Id: id, Address: "a" + id, Service: "s", Zone: "z", Slots: 9, Sequence: 1,
	}}}
}

func leaves(i int) *wire.Command {
	return &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: fmt.Sprint("i", i)}, Leave: true}}
}
