package catalog

import (
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func put(base, number uint64, text string) *wire.RoutesCommand {
	return &wire.RoutesCommand{BaseNumber: base, Document: &wire.RoutesDocument{Number: number, Text: []byte(text)}}
}

func TestOneWinnerOfARace(t *testing.T) {
	s, _, err := State{}.ApplyRoutes(put(0, 3, "first"))
	if err != nil {
		t.Fatal(err)
	}
	won, changed, err := s.ApplyRoutes(put(3, 5, "a"))
	if err != nil || !changed {
		t.Fatalf("got %v, %v", changed, err)
	}
	var conflict *ConflictError
	if _, _, err := won.ApplyRoutes(put(3, 5, "b")); !errors.As(err, &conflict) {
		t.Fatalf("the second with the same number: %v", err)
	}
	var invalid *InvalidError
	if _, _, err := won.ApplyRoutes(put(5, 5, "c")); !errors.As(err, &invalid) {
		t.Fatalf("a number that is not above: %v", err)
	}
}

func TestResendOfAnAcceptedDocumentIsAccepted(t *testing.T) {
	s, _, _ := State{}.ApplyRoutes(put(0, 1, "a"))
	s, _, _ = s.ApplyRoutes(put(1, 2, "b"))
	for _, again := range []*wire.RoutesCommand{put(0, 1, "a"), put(1, 2, "b")} {
		next, changed, err := s.ApplyRoutes(again)
		if err != nil || changed || next.Document().Number != 2 {
			t.Fatalf("got %v, %v, number %d", changed, err, next.Document().Number)
		}
	}
}

func word(id, address string, sequence uint64, draining bool) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Service: "s", Address: address, Sequence: sequence, Draining: draining}}
}

func apply(s State, commands ...*wire.RegistrationCommand) State {
	for _, c := range commands {
		s, _ = s.ApplyRegistration(c)
	}
	return s
}

func TestLateWordChangesNothing(t *testing.T) {
	s := apply(State{}, word("i", "a", 1, false), word("i", "a", 5, true))
	s = apply(s, word("i", "a", 4, false), word("i", "a", 6, false))
	if r, ok := s.Target("i"); !ok || !r.Draining {
		t.Fatal("a draining target is ready again")
	}
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s = apply(s, leave, word("i", "a", 9, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a target that left is back")
	}
}

func TestAddressThatIsUsedAgainEndsTheOldTarget(t *testing.T) {
	s := apply(State{}, word("old", "a", 1, false), word("new", "a", 1, false), word("old", "a", 7, false))
	if _, ok := s.Target("old"); ok {
		t.Fatal("two targets at one address")
	}
	if _, ok := s.Target("new"); !ok {
		t.Fatal("the new target is missing")
	}
}

func TestEvacuation(t *testing.T) {
	s, changed := State{}.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z"})
	again, changedAgain := s.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z"})
	if !changed || changedAgain || len(again.Evacuated()) != 1 {
		t.Fatalf("got %v %v %v", changed, changedAgain, again.Evacuated())
	}
	s, _ = s.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z", Withdraw: true})
	if len(s.Evacuated()) != 0 {
		t.Fatal("still evacuated")
	}
}

// Any commands: documents form a chain, departed targets stay away, no two
// targets share an address, and the state survives its encoding.
func TestStateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{}
		departed := make(map[string]bool)
		for range rapid.IntRange(0, 40).Draw(t, "commands") {
			id := fmt.Sprint("i", rapid.IntRange(0, 4).Draw(t, "id"))
			before := s.Document().GetNumber()
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				base := rapid.Uint64Range(0, 6).Draw(t, "base")
				number := rapid.Uint64Range(0, 6).Draw(t, "number")
				var changed bool
				s, changed, _ = s.ApplyRoutes(put(base, number, fmt.Sprint(base, number)))
				if changed && (base != before || number <= before) {
					t.Fatalf("%d on %d was accepted over %d", number, base, before)
				}
			case 1:
				s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true})
				departed[id] = true
			default:
				address := fmt.Sprint("a", rapid.IntRange(0, 2).Draw(t, "address"))
				s = apply(s, word(id, address, rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.Bool().Draw(t, "draining")))
			}
			addresses := make(map[string]bool)
			for _, r := range s.Targets() {
				if departed[r.Id] || addresses[r.Address] {
					t.Fatalf("target %s at %s", r.Id, r.Address)
				}
				addresses[r.Address] = true
			}
		}
		data, err := proto.Marshal(&wire.State{Catalog: s.Encode()})
		if err != nil {
			t.Fatal(err)
		}
		m := &wire.State{}
		if err := proto.Unmarshal(data, m); err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(m.Catalog)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(s.Encode(), decoded.Encode(), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func ExampleDocument_Match() {
	d := Document{Hosts: []Host{{Name: "a.example", Routes: []Route{{Name: "all", Prefix: "/"}, {Name: "reads", Prefix: "/r/"}}}}}
	r, _ := d.Match("A.example:80", "/r/1")
	fmt.Println(r.Name)
	_, ok := d.Match("b.example", "/r/1")
	fmt.Println(ok)
	// Output:
	// reads
	// false
}
