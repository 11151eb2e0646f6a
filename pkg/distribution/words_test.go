package distribution

import (
	"fmt"
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Seen: on a day on which half of the targets were replaced twice and others were
// released and scaled in, each entry box was reported to take three times as much
// processor time as on other days, and the day was given up for it.
//
// How it came about: an update brings a box some twenty words of targets at once, up to
// 25 times a second, and the box applies them one by one.
//
// Cause: each word went through all targets several times and copied their list, so
// that an update cost the product of its words and all targets: at 3,000 targets and
// 20 words 1.6 ms of a core and 660 KB of garbage (BenchmarkTargetsReplaced of the
// gateway). That this is what the boxes of that day did is supposed: no play of ours
// showed three times the time, one day and seed fell by a quarter without it.
//
// Proof: the bytes that an update leaves, below; they are those of 20 lists.

// mostLists is how many times the list of targets may be copied for an update, however
// many words it brings.
const mostLists = 3

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
