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

// A request is on probation, then held, and stays held until it is released, also after
// the state was encoded and decoded.
func TestQuarantineIsKept(t *testing.T) {
	s := applyQuarantine(t, State{}, quarantined("a", 0, false), false, true)
	s = applyQuarantine(t, s, quarantined("a", 0, false), false, false)
	s = applyQuarantine(t, s, quarantined("a", 3, true), false, true) // quarantined for one caller only
	s = applyQuarantine(t, s, quarantined("a", 0, true), false, true)
	s = applyQuarantine(t, s, quarantined("a", 0, false), false, false) // a command that arrives late
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if len(decoded.Quarantined()) != 2 || !proto.Equal(decoded.Quarantined()[0], quarantined("a", 0, true)) {
		t.Fatalf("decoded as %v", decoded.Quarantined())
	}
	s = applyQuarantine(t, s, quarantined("a", 0, true), true, true)
	s = applyQuarantine(t, s, quarantined("a", 0, true), true, false)
	if remaining := s.Quarantined(); len(remaining) != 1 || remaining[0].Caller != 3 {
		t.Fatalf("after the release for all callers: %v, want the entry of caller 3", remaining)
	}
	all := &wire.QuarantineCommand{Request: &wire.Quarantined{Digest: []byte("a")}, Release: true, Every: true}
	if next, changed := s.ApplyQuarantine(all); !changed || len(next.Quarantined()) > 0 {
		t.Fatalf("after the release of every entry of the request: %v", next.Quarantined())
	}
	if next, changed := s.ApplyQuarantine(&wire.QuarantineCommand{}); changed || len(next.Quarantined()) != 1 {
		t.Fatal("an empty command changed the list")
	}
}

// When the list is full, requests on probation are evicted first, and a new one on
// probation never evicts a held one.
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
