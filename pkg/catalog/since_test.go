package catalog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Applying the result of TargetsSince to the targets of the earlier state gives those
// of the later one. Between states that follow each other the result has no more than
// what changed.
func TestTargetsSinceYieldsLaterTargets(t *testing.T) {
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
				continue // compare across several commands
			}
			updated, ended := s.TargetsSince(earlier)
			// One update registers a target and ends up to one incarnation: the one whose
			// address it takes over. If the target has restarted its previous one ends too.
			restarted := slices.ContainsFunc(earlier.Targets(), func(r *wire.Registration) bool {
				now, ok := s.Target(r.Id)
				return ok && IncarnationOf(now) != IncarnationOf(r)
			})
			perStep := 2
			if restarted {
				perStep = 3
			}
			if most := perStep * steps; !decoded && len(updated)+len(ended) > most && len(earlier.Targets()) > 0 && haveCommonRegistration(s, earlier) {
				t.Fatalf("%d updated and %d ended after %d changes", len(updated), len(ended), steps)
			}
			result := slices.DeleteFunc(slices.Clone(earlier.Targets()), func(r *wire.Registration) bool { return slices.Contains(ended, IncarnationOf(r)) })
			for _, r := range earlier.Targets() {
				now, ok := s.Target(r.Id)
				if gone := !ok || IncarnationOf(now) != IncarnationOf(r); gone && !slices.Contains(ended, IncarnationOf(r)) {
					t.Fatalf("incarnation %s is gone but not among the ended ones", IncarnationOf(r))
				}
			}
			for _, r := range updated {
				if at := slices.IndexFunc(result, func(o *wire.Registration) bool { return IncarnationOf(o) == IncarnationOf(r) }); at >= 0 {
					result[at] = r
					continue
				}
				result = append(result, r)
			}
			if !restarted && !slices.Equal(result, s.Targets()) {
				t.Fatalf("got targets %v, want %v", result, s.Targets())
			}
			// A restarted target keeps its position in the state but is appended by the
			// box, so only the order may differ.
			if want := sortedByID(s.Targets()); !slices.Equal(sortedByID(result), want) {
				t.Fatalf("got targets %v, want %v", result, want)
			}
			earlier, steps = s, 0
		}
	})
}

// haveCommonRegistration reports whether two states share a registration by pointer,
// which states that were decoded separately do not.
func haveCommonRegistration(a, b State) bool {
	return slices.ContainsFunc(a.Targets(), func(r *wire.Registration) bool { return slices.Contains(b.Targets(), r) })
}

func sortedByID(list []*wire.Registration) []*wire.Registration {
	return slices.SortedFunc(slices.Values(list), func(a, b *wire.Registration) int { return strings.Compare(a.Id, b.Id) })
}
