package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// By reading: a target that started again under its id was shut out. Its low sequence
// counted as late until it passed that of its former life, and for good if that
// life had departed.

// born returns a word of a life.
func born(id string, life int64, sequence uint64) *wire.RegistrationCommand {
	c := word(id, id, sequence, false)
	c.Registration.BornUnixMilli = life
	return c
}

func wantLife(t *testing.T, s State, id string, life int64, sequence uint64) {
	t.Helper()
	r, ok := s.Target(id)
	if !ok || r.BornUnixMilli != life || r.Sequence != sequence {
		t.Fatalf("target %s is %v, want life %d, sequence %d", id, r, life, sequence)
	}
}

func TestTargetThatStartsAgainIsAnotherLife(t *testing.T) {
	s := apply(State{}, born("i", 100, 57))
	s = apply(s, born("i", 200, 1))
	wantLife(t, s, "i", 200, 1)
	// Late words of the former life, and one without a birth, are not its own.
	s = apply(s, born("i", 100, 58), word("i", "elsewhere", 99, true))
	wantLife(t, s, "i", 200, 1)
}

func TestTargetThatLeftComesBackInAnotherLife(t *testing.T) {
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s := apply(State{}, born("i", 100, 57), leave)
	s = apply(s, born("i", 100, 58), born("i", 99, 1), word("i", "i", 70, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a late word brought a life back")
	}
	s = apply(s, born("i", 200, 1))
	wantLife(t, s, "i", 200, 1)
	s = apply(s, leave)
	if _, ok := s.Target("i"); ok {
		t.Fatal("the second leave was passed over")
	}
	s = apply(s, born("i", 200, 2))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a late word brought the second life back")
	}
}

// A leave names no life. One of the life before that is late ends this one, whose
// words go on and show it.
func TestLateLeaveOfTheFormerLifeDoesNotLast(t *testing.T) {
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s := apply(State{}, born("i", 200, 3), leave)
	for n := uint64(4); n < 3+aliveUpdates; n++ {
		s = apply(s, born("i", 200, n))
		if _, ok := s.Target("i"); ok {
			t.Fatalf("word %d brought it back", n)
		}
	}
	s = apply(s, born("i", 200, 3+aliveUpdates))
	wantLife(t, s, "i", 200, 3+aliveUpdates)
	named := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i", BornUnixMilli: 100}, Leave: true}
	s = apply(s, named)
	wantLife(t, s, "i", 200, 3+aliveUpdates)
}

func TestAddressStaysWithTheLaterLife(t *testing.T) {
	first, second := born("old", 100, 9), born("new", 200, 1)
	first.Registration.Address, second.Registration.Address = "a", "a"
	s := apply(State{}, second, first)
	wantLife(t, s, "new", 200, 1)
	if _, ok := s.Target("old"); ok {
		t.Fatal("a word of an earlier target took the address")
	}
}

// Any order of the words of some lives, some of them twice, ends with the latest life
// that was heard of, unless it has left.
func TestLatestLifeIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{}
		latest := int64(0)
		highest := make(map[int64]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "words") {
			life := rapid.Int64Range(0, 4).Draw(t, "life")
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			c := born("i", life, sequence)
			c.Registration.Slots = uint32(sequence) // each word says something new
			s = apply(s, c)
			latest = max(latest, life)
			highest[life] = max(highest[life], sequence)
			r, ok := s.Target("i")
			if !ok || r.BornUnixMilli != latest || r.Sequence != highest[latest] {
				t.Fatalf("known is %v, want life %d, sequence %d", r, latest, highest[latest])
			}
			decoded, err := Decode(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			s = decoded
		}
	})
}

// A state that was written before lives were told apart keeps who has left.
func TestDeparturesOfAnEarlierFormat(t *testing.T) {
	s, err := Decode(&wire.Catalog{Departed: []string{"i"}})
	if err != nil {
		t.Fatal(err)
	}
	s = apply(s, word("i", "a", 9, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a target that left is back")
	}
}

func ExampleIncarnation() {
	fmt.Println(Incarnation{ID: "i"}, Incarnation{ID: "i", StartedUnixMilli: 1700000000000})
	// Output: i i@1700000000000
}
