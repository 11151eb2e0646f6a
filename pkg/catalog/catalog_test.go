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

func routesCommand(base, number uint64, text string) *wire.RoutesCommand {
	return &wire.RoutesCommand{BaseNumber: base, Document: &wire.RoutesDocument{Number: number, Text: []byte(text)}}
}

// Of two documents derived from the same one, only the first is accepted.
func TestConcurrentDocumentsConflict(t *testing.T) {
	s, _, err := State{}.ApplyRoutes(routesCommand(0, 3, "first"))
	if err != nil {
		t.Fatal(err)
	}
	next, changed, err := s.ApplyRoutes(routesCommand(3, 5, "a"))
	if err != nil || !changed {
		t.Fatalf("got %v, %v", changed, err)
	}
	var conflict *ConflictError
	if _, _, err := next.ApplyRoutes(routesCommand(3, 5, "b")); !errors.As(err, &conflict) {
		t.Fatalf("second document with the same base and number: got %v, want a ConflictError", err)
	}
	var invalid *InvalidError
	if _, _, err := next.ApplyRoutes(routesCommand(5, 5, "c")); !errors.As(err, &invalid) {
		t.Fatalf("document with the number of its base: got %v, want an InvalidError", err)
	}
}

func TestResentDocumentIsAccepted(t *testing.T) {
	s, _, _ := State{}.ApplyRoutes(routesCommand(0, 1, "a"))
	s, _, _ = s.ApplyRoutes(routesCommand(1, 2, "b"))
	for _, again := range []*wire.RoutesCommand{routesCommand(0, 1, "a"), routesCommand(1, 2, "b")} {
		next, changed, err := s.ApplyRoutes(again)
		if err != nil || changed || next.Document().Number != 2 {
			t.Fatalf("got %v, %v, number %d", changed, err, next.Document().Number)
		}
	}
}

func registrationUpdate(id, address string, sequence uint64, draining bool) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Service: "s", Address: address, Sequence: sequence, Draining: draining}}
}

func apply(s State, commands ...*wire.RegistrationCommand) State {
	for _, c := range commands {
		s, _ = s.ApplyRegistration(c)
	}
	return s
}

func TestLateUpdateChangesNothing(t *testing.T) {
	s := apply(State{}, registrationUpdate("i", "a", 1, false), registrationUpdate("i", "a", 5, true))
	s = apply(s, registrationUpdate("i", "a", 4, false), registrationUpdate("i", "a", 6, false))
	if r, ok := s.Target("i"); !ok || !r.Draining {
		t.Fatal("a late update ended the draining of a target")
	}
	leave := &wire.RegistrationCommand{Registration: &wire.Registration{Id: "i"}, Leave: true}
	s = apply(s, leave, registrationUpdate("i", "a", 9, false))
	if _, ok := s.Target("i"); ok {
		t.Fatal("a late update registered a departed target again")
	}
}

func TestReusedAddressRemovesOldTarget(t *testing.T) {
	s := apply(State{}, registrationUpdate("old", "a", 1, false), registrationUpdate("new", "a", 1, false), registrationUpdate("old", "a", 7, false))
	if _, ok := s.Target("old"); ok {
		t.Fatal("two targets are registered at one address")
	}
	if _, ok := s.Target("new"); !ok {
		t.Fatal("the new target is not registered")
	}
}

func TestEvacuation(t *testing.T) {
	s, changed := State{}.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z"})
	repeated, changedAgain := s.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z"})
	if !changed || changedAgain || len(repeated.Evacuated()) != 1 {
		t.Fatalf("changed %v, again %v, evacuated %v", changed, changedAgain, repeated.Evacuated())
	}
	s, _ = s.ApplyEvacuation(&wire.EvacuationCommand{Zone: "z", Withdraw: true})
	if len(s.Evacuated()) != 0 {
		t.Fatal("the zone is still evacuated")
	}
}

// After any sequence of commands, documents form a chain, departed targets stay
// removed, no two targets share an address, and the state survives encoding.
func TestStateInvariants(t *testing.T) {
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
				s, changed, _ = s.ApplyRoutes(routesCommand(base, number, fmt.Sprint(base, number)))
				if changed && (base != before || number <= before) {
					t.Fatalf("document %d with base %d was accepted after document %d", number, base, before)
				}
			case 1:
				s, _ = s.ApplyRegistration(&wire.RegistrationCommand{Registration: &wire.Registration{Id: id}, Leave: true})
				departed[id] = true
			default:
				address := fmt.Sprint("a", rapid.IntRange(0, 2).Draw(t, "address"))
				s = apply(s, registrationUpdate(id, address, rapid.Uint64Range(1, 9).Draw(t, "sequence"), rapid.Bool().Draw(t, "draining")))
			}
			addresses := make(map[string]bool)
			for _, r := range s.Targets() {
				if departed[r.Id] || addresses[r.Address] {
					t.Fatalf("target %s at %s has departed or shares its address", r.Id, r.Address)
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
