package catalog

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func quarantined(name string, caller uint64, held bool) *wire.Quarantined {
	return &wire.Quarantined{Digest: []byte(name), Caller: caller, Held: held, Lives: []string{"1", "2"}, UntilUnixMilli: 7}
}

func applyQuarantine(t *testing.T, s State, q *wire.Quarantined, release, changes bool) State {
	t.Helper()
	next, changed := s.ApplyQuarantine(&wire.QuarantineCommand{Request: q, Release: release})
	if changed != changes || changed == next.SharesQuarantined(s) && (len(next.quarantined) > 0 || len(s.quarantined) > 0) {
		t.Fatalf("%v, release %t: changed %t", q, release, changed)
	}
	return next
}

// A request is watched, then held, and stays so until it is let go, also in a state that
// was stored and read again.
func TestQuarantineIsKept(t *testing.T) {
	s := applyQuarantine(t, State{}, quarantined("a", 0, false), false, true)
	s = applyQuarantine(t, s, quarantined("a", 0, false), false, false)
	s = applyQuarantine(t, s, quarantined("a", 3, true), false, true) // one caller's
	s = applyQuarantine(t, s, quarantined("a", 0, true), false, true)
	s = applyQuarantine(t, s, quarantined("a", 0, false), false, false) // an order that came late
	back, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if len(back.Quarantined()) != 2 || !proto.Equal(back.Quarantined()[0], quarantined("a", 0, true)) {
		t.Fatalf("stored and read again: %v", back.Quarantined())
	}
	s = applyQuarantine(t, s, quarantined("a", 0, true), true, true)
	s = applyQuarantine(t, s, quarantined("a", 0, true), true, false)
	if left := s.Quarantined(); len(left) != 1 || left[0].Caller != 3 {
		t.Fatalf("let go for all, left: %v", left)
	}
	all := &wire.QuarantineCommand{Request: &wire.Quarantined{Digest: []byte("a")}, Release: true, Every: true}
	if next, changed := s.ApplyQuarantine(all); !changed || len(next.Quarantined()) > 0 {
		t.Fatalf("let go whoever asks, left: %v", next.Quarantined())
	}
	if next, changed := s.ApplyQuarantine(&wire.QuarantineCommand{}); changed || len(next.Quarantined()) != 1 {
		t.Fatal("an empty order changed the list")
	}
}

// Where there is no room, what is only watched goes first, and watching more pushes out
// nothing that is held.
func TestQuarantineIsBounded(t *testing.T) {
	s := applyQuarantine(t, State{}, quarantined("watched", 0, false), false, true)
	for i := range maxQuarantined {
		s = applyQuarantine(t, s, quarantined(fmt.Sprint(i), 0, true), false, true)
	}
	if list := s.Quarantined(); len(list) != maxQuarantined || string(list[0].Digest) != "0" {
		t.Fatalf("%d, the first %s", len(list), list[0].Digest)
	}
	s = applyQuarantine(t, s, quarantined("more", 0, false), false, false)
	s = applyQuarantine(t, s, quarantined("held", 0, true), false, true)
	if list := s.Quarantined(); len(list) != maxQuarantined || string(list[0].Digest) != "1" {
		t.Fatalf("%d, the first %s", len(list), list[0].Digest)
	}
}
