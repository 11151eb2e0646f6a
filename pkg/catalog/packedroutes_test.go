package catalog

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func packedRoutesCommand(base, number uint64, text string) *wire.RoutesCommand {
	plain := routesCommand(base, number, text)
	return &wire.RoutesCommand{BaseNumber: base, Packed: Pack(nil, plain.Document)}
}

// Packed and plain commands lead to the same state, and a document that is sent again
// in the other form changes nothing.
func TestPackedCommandsLeadToSameState(t *testing.T) {
	type command = func(base, number uint64, text string) *wire.RoutesCommand
	var want *wire.Catalog
	for _, kinds := range [][2]command{{routesCommand, routesCommand}, {routesCommand, packedRoutesCommand}, {packedRoutesCommand, routesCommand}, {packedRoutesCommand, packedRoutesCommand}} {
		s := State{}
		for i, text := range []string{"a", "", "b"} {
			base := uint64(i)
			next, changed, err := s.ApplyRoutes(kinds[0](base, base+1, text))
			if err != nil || !changed {
				t.Fatalf("document %d: %v", base+1, err)
			}
			if again, changed, err := next.ApplyRoutes(kinds[1](base, base+1, text)); err != nil || changed || !proto.Equal(again.Encode(), next.Encode()) {
				t.Errorf("document %d sent again: changed %v, %v", base+1, changed, err)
			}
			s = next
		}
		if want == nil {
			want = s.Encode()
		}
		if got := s.Encode(); !proto.Equal(got, want) || got.Packed != nil {
			t.Errorf("got %v, want %v", got, want)
		}
	}
}

// A packed document that can't be unpacked leaves the state unchanged and gives an
// UnpackError with the same text on every replica.
func TestInvalidPackedDocumentIsRefused(t *testing.T) {
	s, _, err := State{}.ApplyRoutes(routesCommand(0, 1, "first"))
	if err != nil {
		t.Fatal(err)
	}
	for name, corrupt := range map[string]func(*wire.PackedDocument){
		"base":   func(p *wire.PackedDocument) { p.Base = 7 },
		"data":   func(p *wire.PackedDocument) { p.Data = p.Data[:len(p.Data)-1] },
		"length": func(p *wire.PackedDocument) { p.Length++ },
		"digest": func(p *wire.PackedDocument) { p.Digest++ },
	} {
		c := packedRoutesCommand(1, 2, "second")
		corrupt(c.Packed)
		var reasons []string
		for range 2 {
			next, changed, err := s.ApplyRoutes(c)
			var unpack *UnpackError
			if changed || !errors.As(err, &unpack) || !proto.Equal(next.Encode(), s.Encode()) {
				t.Fatalf("%s: changed %v, %v", name, changed, err)
			}
			reasons = append(reasons, err.Error())
		}
		if reasons[0] != reasons[1] {
			t.Errorf("%s: refused with %q and %q", name, reasons[0], reasons[1])
		}
	}
	var conflict *ConflictError
	if _, _, err := s.ApplyRoutes(packedRoutesCommand(9, 10, "third")); !errors.As(err, &conflict) {
		t.Errorf("document with another base: got %v, want a ConflictError", err)
	}
}
