package control

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Load: 3,002 targets, each telling six replicas each 1.5 s what they know, 333 updates a
// second at a replica; its processor was full, documents were acknowledged after 11 s,
// and the document could not be read back at the end of a day.

func registrationOf(id string, born int64, sequence uint64, slots uint32) *wire.Registration {
	return &wire.Registration{Id: id, Service: "s", Address: id, Zone: "z", Slots: slots, Sequence: sequence, BornUnixMilli: born}
}

// Whatever came before, an update that is covered would change nothing, and one of a known
// life that would change nothing is covered.
func TestCoveredWordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w targetIndex
		s := catalog.State{}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			id := fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "id"))
			r := registrationOf(id, rapid.Int64Range(0, 2).Draw(t, "born"), rapid.Uint64Range(1, 24).Draw(t, "sequence"), rapid.Uint32Range(1, 2).Draw(t, "slots"))
			covered, news := w.isRedundant(s, r), s.WouldChange(r, false)
			if covered && news {
				t.Fatalf("%v is covered and would change the state", r)
			}
			if known, ok := s.Target(id); ok && known.BornUnixMilli == r.BornUnixMilli && !news && !covered {
				t.Fatalf("%v would change nothing and is not covered", r)
			}
			s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: r, Leave: rapid.IntRange(0, 6).Draw(t, "leave") == 0})
		}
	})
}

// BenchmarkRepeatedWord is one update that says nothing new, among 3,000 targets.
func BenchmarkRepeatedWord(b *testing.B) {
	s := catalog.State{}
	for i := range 3000 {
		s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: registrationOf(fmt.Sprint("i", i), 0, 1, 4)})
	}
	r := registrationOf("i2999", 0, 7, 4)
	b.Run("index", func(b *testing.B) {
		var w targetIndex
		for b.Loop() {
			w.isRedundant(s, r)
		}
	})
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			s.WouldChange(r, false)
		}
	})
}

// BenchmarkServingBoxes makes the list of boxes for look-ups of 270 reports.
func BenchmarkServingBoxes(b *testing.B) {
	d := &Daemon{publisher: relay.NewPublishing(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })}
	for i := range 270 {
		name := fmt.Sprint("box", i)
		d.publisher.Collect(&wire.Report{Boxes: []*wire.BoxReport{{Box: name, CallerAddress: name, Zone: "z", Region: "r"}}})
	}
	for b.Loop() {
		d.listServingBoxes()
	}
}

// The list of boxes for look-ups is made anew when it is old, and at once when a box
// stops or a new one reports.
func TestServingBoxesAreCached(t *testing.T) {
	var s servingBoxes
	made := 0
	fill := func() []lookup.BoxLocation {
		made++
		return []lookup.BoxLocation{{Address: "a"}}
	}
	now := time.Now()
	check := func(want int, after time.Duration, why string) {
		t.Helper()
		s.get(now.Add(after), fill)
		if made != want {
			t.Errorf("%s: made %d times, want %d", why, made, want)
		}
	}
	check(1, 0, "first")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "a"})
	check(1, servingListTTL-1, "nothing new")
	check(2, servingListTTL, "old")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "a", Stopping: true})
	check(3, servingListTTL+1, "a box stops")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "b"})
	check(4, servingListTTL+1, "a new box")
}
