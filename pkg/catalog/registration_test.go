package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// These tests guard against a target that is not registered after a restart under its id:
// its low sequence numbers were taken for late updates until they exceeded those of the
// previous incarnation, and forever if that one had departed.

// updateOf returns an update of one incarnation of a target, given by its start time.
func updateOf(id string, started int64, sequence uint64) *wire.RegistrationCommand {
	c := registrationUpdate(id, id, sequence, false)
	c.Registration.BornUnixMilli = started
	return c
}

func wantIncarnation(t *testing.T, s State, id string, started int64, sequence uint64) {
	t.Helper()
	r, ok := s.Target(id)
	if !ok || r.BornUnixMilli != started || r.Sequence != sequence {
		t.Fatalf("target %s is %v, want start time %d, sequence %d", id, r, started, sequence)
	}
}

func TestRestartedTargetIsNewIncarnation(t *testing.T) {
	s := apply(State{}, updateOf("i", 100, 57))
	s = apply(s, updateOf("i", 200, 1))
	wantIncarnation(t, s, "i", 200, 1)
	// Late updates of the previous incarnation, and updates without a start time, are ignored.
	s = apply(s, updateOf("i", 100, 58), registrationUpdate("i", "elsewhere", 99, true))
	wantIncarnation(t, s, "i", 200, 1)
}

func TestDepartedTargetReturnsAsNewIncarnation(t *testing.T) {
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s := apply(State{}, updateOf("i", 100, 57), leave)
	s = apply(s, updateOf("i", 100, 58), updateOf("i", 99, 1), registrationUpdate("i", "i", 70, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a late update registered a departed incarnation again")
	}
	s = apply(s, updateOf("i", 200, 1))
	wantIncarnation(t, s, "i", 200, 1)
	s = apply(s, leave)
	if _, ok := s.Target("i"); ok {
		t.Fatal("the second leave was ignored")
	}
	s = apply(s, updateOf("i", 200, 2))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a late update registered the second departed incarnation again")
	}
}

// A leave message names no incarnation, so a late one of the previous incarnation
// removes the current one. Its further updates register it again.
func TestLateLeaveOfFormerIncarnationIsCorrected(t *testing.T) {
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s := apply(State{}, updateOf("i", 200, 3), leave)
	for n := uint64(4); n < 3+readmitAfterUpdates; n++ {
		s = apply(s, updateOf("i", 200, n))
		if _, ok := s.Target("i"); ok {
			t.Fatalf("update %d already registered the target again", n)
		}
	}
	s = apply(s, updateOf("i", 200, 3+readmitAfterUpdates))
	wantIncarnation(t, s, "i", 200, 3+readmitAfterUpdates)
	formerLeave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i", BornUnixMilli: 100}, Leave: true}
	s = apply(s, formerLeave)
	wantIncarnation(t, s, "i", 200, 3+readmitAfterUpdates)
}

func TestAddressStaysWithLaterIncarnation(t *testing.T) {
	first, second := updateOf("old", 100, 9), updateOf("new", 200, 1)
	first.Registration.Address, second.Registration.Address = "a", "a"
	s := apply(State{}, second, first)
	wantIncarnation(t, s, "new", 200, 1)
	if _, ok := s.Target("old"); ok {
		t.Fatal("an update of a target that started earlier took over the address")
	}
}

// Updates of several incarnations in any order, some of them repeated, end with the
// latest incarnation registered unless it has left.
func TestLatestIncarnationIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{}
		latest := int64(0)
		highest := make(map[int64]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			started := rapid.Int64Range(0, 4).Draw(t, "started")
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			c := updateOf("i", started, sequence)
			c.Registration.Slots = uint32(sequence) // so that no update is redundant
			s = apply(s, c)
			latest = max(latest, started)
			highest[started] = max(highest[started], sequence)
			r, ok := s.Target("i")
			if !ok || r.BornUnixMilli != latest || r.Sequence != highest[latest] {
				t.Fatalf("registered is %v, want start time %d, sequence %d", r, latest, highest[latest])
			}
			decoded, err := Decode(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			s = decoded
		}
	})
}

// A state stored before incarnations were distinguished lists departures by id only;
// they still count.
func TestDeparturesWithoutIncarnationStillCount(t *testing.T) {
	s, err := Decode(&wire.Catalog{Departed: []string{"i"}})
	if err != nil {
		t.Fatal(err)
	}
	s = apply(s, registrationUpdate("i", "a", 9, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a departed target is registered again")
	}
}

func ExampleIncarnation() {
	fmt.Println(Incarnation{ID: "i"}, Incarnation{ID: "i", StartedUnixMilli: 1700000000000})
	// Output: i i@1700000000000
}
