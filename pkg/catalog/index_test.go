package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against an index that answers otherwise than a scan of all targets, after any updates of
// targets that start again, take over addresses and leave, and after states that are skipped.
func TestIndexAnswersLikeTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		s := State{}
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			c := &wire.RegistrationCommand{
				Registration: &wire.Registration{
					Id: fmt.Sprint("i", rapid.IntRange(0, 3).Draw(t, "id")), Service: "s", Address: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")),
					Slots: rapid.Uint32Range(1, 2).Draw(t, "slots"), Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0,
					Sequence: rapid.Uint64Range(1, 24).Draw(t, "sequence"), BornUnixMilli: rapid.Int64Range(0, 2).Draw(t, "born"),
				},
				Leave: rapid.IntRange(0, 5).Draw(t, "leave") == 0,
			}
			if rapid.Bool().Draw(t, "ask") {
				x.Advance(s)
				if got, want := x.WouldChange(c.Registration, c.Leave), s.WouldChange(c.Registration, c.Leave); got != want {
					t.Fatalf("the index says %v to %v, the state %v", got, c, want)
				}
			}
			s, _ = s.ApplyRegistration(c)
		}
	})
}

// Guards against a check of an update whose cost grows with the number of targets: with 10,002 targets
// each of thousands of calls a second read all of them.
func TestCheckDoesNotReadAllTargets(t *testing.T) {
	var x Index
	s := stateWithTargets(100)
	x.Advance(s)
	clear(s.targets) // reading one fails from now on
	x.Advance(s)
	for _, c := range []struct {
		r       *wire.Registration
		leave   bool
		changes bool
	}{
		{registrationUpdate("new", "b", 1, false).Registration, false, true},
		{registrationUpdate("i7", "b", 9, true).Registration, false, true},
		{&wire.Registration{Id: "i7"}, true, true},
	} {
		if got := x.WouldChange(c.r, c.leave); got != c.changes {
			t.Errorf("%v, leave %v: would change %v", c.r, c.leave, got)
		}
	}
}

func BenchmarkIndex(b *testing.B) {
	for _, n := range []int{1000, 10_000, 20_000} {
		s := stateWithTargets(n)
		next, _ := s.ApplyRegistration(registrationUpdate("other", "c", 1, false))
		r := registrationUpdate("new", "b", 1, false).Registration
		b.Run(fmt.Sprintf("list/targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				s.WouldChange(r, false)
			}
		})
		b.Run(fmt.Sprintf("index/targets=%d", n), func(b *testing.B) {
			var x Index
			x.Advance(s)
			for b.Loop() {
				x.WouldChange(r, false)
			}
		})
		b.Run(fmt.Sprintf("advance/targets=%d", n), func(b *testing.B) {
			var x Index
			for b.Loop() {
				x.Advance(s)
				x.Advance(next)
			}
		})
	}
}
