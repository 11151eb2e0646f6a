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

// Guards against redundant updates that use up a replica's CPU. With 3,002 targets that each sent an
// update every 1.5 s, spread over six replicas, a replica received 333 updates a second. Its CPU was
// saturated, documents were acknowledged after 11 s, and the document could not be read back at the
// end of a day.

func registrationOf(id string, born int64, sequence uint64, slots uint32) *wire.Registration {
	return &wire.Registration{Id: id, Service: "s", Address: id, Zone: "z", Slots: slots, Sequence: sequence, BornUnixMilli: born}
}

// An update found redundant never changes the state, and an update of a known incarnation that
// would not change the state is always found redundant.
func TestCoveredWordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x targetIndex
		s := catalog.State{}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			id := fmt.Sprint("i", rapid.IntRange(0, 1).Draw(t, "id"))
			r := registrationOf(id, rapid.Int64Range(0, 2).Draw(t, "born"), rapid.Uint64Range(1, 24).Draw(t, "sequence"), rapid.Uint32Range(1, 2).Draw(t, "slots"))
			redundant, changes := x.isRedundant(s, r), s.WouldChange(r, false)
			if redundant && changes {
				t.Fatalf("%v was found redundant but would change the state", r)
			}
			if known, ok := s.Target(id); ok && known.BornUnixMilli == r.BornUnixMilli && !changes && !redundant {
				t.Fatalf("%v would not change the state but was not found redundant", r)
			}
			s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: r, Leave: rapid.IntRange(0, 6).Draw(t, "leave") == 0})
		}
	})
}

// BenchmarkRedundantUpdate measures one redundant update among 3,000 targets.
func BenchmarkRedundantUpdate(b *testing.B) {
	s := catalog.State{}
	for i := range 3000 {
		s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: registrationOf(fmt.Sprint("i", i), 0, 1, 4)})
	}
	r := registrationOf("i2999", 0, 7, 4)
	b.Run("index", func(b *testing.B) {
		var x targetIndex
		for b.Loop() {
			x.isRedundant(s, r)
		}
	})
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			s.WouldChange(r, false)
		}
	})
}

// BenchmarkServingBoxes builds the list of boxes for lookups from 270 reports.
func BenchmarkServingBoxes(b *testing.B) {
	d := &Daemon{publisher: relay.NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })}
	for i := range 270 {
		name := fmt.Sprint("box", i)
		d.publisher.AddReports(&wire.Report{Boxes: []*wire.BoxReport{{Box: name, CallerAddress: name, Zone: "z", Region: "r"}}})
	}
	for b.Loop() {
		d.listServingBoxes()
	}
}

// The list of boxes for lookups is rebuilt when it expires, and at once when a box is stopping or
// reports for the first time.
func TestServingBoxesAreCached(t *testing.T) {
	var s servingBoxes
	built := 0
	fill := func() []lookup.BoxLocation {
		built++
		return []lookup.BoxLocation{{Address: "a"}}
	}
	now := time.Now()
	check := func(want int, after time.Duration, why string) {
		t.Helper()
		s.get(now.Add(after), fill)
		if built != want {
			t.Errorf("%s: built %d times, want %d", why, built, want)
		}
	}
	check(1, 0, "first")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "a"})
	check(1, servingListTTL-1, "no change")
	check(2, servingListTTL, "expired")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "a", Stopping: true})
	check(3, servingListTTL+1, "a box stops")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "b"})
	check(4, servingListTTL+1, "a new box")
	s.invalidateIfChanged(&wire.BoxReport{CallerAddress: "a", CutOff: true})
	check(5, servingListTTL+1, "a box is cut off from the targets")
}
