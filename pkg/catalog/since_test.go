package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// What TargetsSince returns leads from the targets of the earlier state to those of
// the later one, and of states that follow each other it returns no more than changed.
func TestTargetsSinceLeadToTheTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, earlier := State{}, State{}
		steps := 0
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			r := &wire.Registration{
				Id:       fmt.Sprint("t", rapid.IntRange(0, 12).Draw(t, "id")),
				Address:  fmt.Sprint("a", rapid.IntRange(0, 12).Draw(t, "address")),
				Service:  "s",
				Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
				Sequence: uint64(i + 1),

				BornUnixMilli: int64(rapid.IntRange(0, 3).Draw(t, "born")),
			}
			next, changed := s.ApplyRegistration(&wire.RegistrationCommand{Registration: r, Leave: rapid.IntRange(0, 5).Draw(t, "leave") == 0})
			s = next
			if changed {
				steps++
			}
			decoded := rapid.IntRange(0, 9).Draw(t, "decoded") == 0
			if decoded {
				var err error
				if s, err = Decode(s.Encode()); err != nil {
					t.Fatal(err)
				}
			}
			if rapid.Bool().Draw(t, "together") {
				continue // several commands come as one
			}
			given, ended := s.TargetsSince(earlier)
			// One word gives a target and ends one life, or two if it is of a later life: its
			// former one and that of the target whose address it has.
			reborn := slices.ContainsFunc(earlier.Targets(), func(r *wire.Registration) bool {
				now, ok := s.Target(r.Id)
				return ok && IncarnationOf(now) != IncarnationOf(r)
			})
			each := 2
			if reborn {
				each = 3
			}
			if most := each * steps; !decoded && len(given)+len(ended) > most && len(earlier.Targets()) > 0 && shares(s, earlier) {
				t.Fatalf("%d given and %d ended after %d changes", len(given), len(ended), steps)
			}
			held := slices.DeleteFunc(slices.Clone(earlier.Targets()), func(r *wire.Registration) bool { return slices.Contains(ended, IncarnationOf(r)) })
			for _, r := range earlier.Targets() {
				now, ok := s.Target(r.Id)
				if over := !ok || IncarnationOf(now) != IncarnationOf(r); over && !slices.Contains(ended, IncarnationOf(r)) {
					t.Fatalf("life %s is over and was not told to have ended", IncarnationOf(r))
				}
			}
			for _, r := range given {
				if at := slices.IndexFunc(held, func(o *wire.Registration) bool { return IncarnationOf(o) == IncarnationOf(r) }); at >= 0 {
					held[at] = r
					continue
				}
				held = append(held, r)
			}
			if !reborn && !slices.Equal(held, s.Targets()) {
				t.Fatalf("led to %v, want %v", held, s.Targets())
			}
			// A target that starts again stays at its place in the state and is new to the
			// box, so that only the order differs.
			if want := byID(s.Targets()); !slices.Equal(byID(held), want) {
				t.Fatalf("led to %v, want %v", held, want)
			}
			earlier, steps = s, 0
		}
	})
}

// shares reports whether two states have a registration in common, which states that
// were decoded apart have not.
func shares(a, b State) bool {
	return slices.ContainsFunc(a.Targets(), func(r *wire.Registration) bool { return slices.Contains(b.Targets(), r) })
}

func byID(list []*wire.Registration) []*wire.Registration {
	return slices.SortedFunc(slices.Values(list), func(a, b *wire.Registration) int { return strings.Compare(a.Id, b.Id) })
}
