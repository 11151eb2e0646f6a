package catalog

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// referenceState is the reference for ApplyRegistrations: it applies updates one by one
// and scans all targets for each check.
type referenceState struct {
	targets  []*wire.Registration
	departed []*wire.Departure
}

func (s *referenceState) apply(c *wire.RegistrationCommand) bool {
	r := c.Registration
	if r == nil || !s.wouldChange(r, c.Leave) {
		return false
	}
	if c.Leave {
		s.remove(r.Id)
		return true
	}
	for _, other := range slices.Clone(s.targets) {
		if other.Address == r.Address && other.Id != r.Id {
			s.remove(other.Id)
		}
	}
	if i := s.indexOf(r.Id); i >= 0 {
		s.targets[i] = r
		return true
	}
	s.targets = append(s.targets, r)
	return true
}

func (s *referenceState) indexOf(id string) int {
	return slices.IndexFunc(s.targets, func(r *wire.Registration) bool { return r.Id == id })
}

func (s *referenceState) wouldChange(r *wire.Registration, leave bool) bool {
	i := s.indexOf(r.Id)
	if s.isFromDeparted(r, leave, i >= 0) {
		return false
	}
	if leave {
		return i < 0 || r.BornUnixMilli == 0 || compareStarts(r.BornUnixMilli, s.targets[i].BornUnixMilli) >= 0
	}
	older := slices.ContainsFunc(s.targets, func(other *wire.Registration) bool {
		return other.Address == r.Address && other.Id != r.Id && r.BornUnixMilli > 0 && r.BornUnixMilli < other.BornUnixMilli
	})
	if older || i < 0 {
		return !older
	}
	if order := compareStarts(r.BornUnixMilli, s.targets[i].BornUnixMilli); order != 0 {
		return order > 0
	}
	return !IsRedundant(s.targets[i], r)
}

func (s *referenceState) isFromDeparted(r *wire.Registration, leave, registered bool) bool {
	i := slices.IndexFunc(s.departed, func(d *wire.Departure) bool { return d.Id == r.Id })
	if i < 0 {
		return false
	}
	if leave {
		return !registered
	}
	d := s.departed[i]
	order := compareStarts(r.BornUnixMilli, d.BornUnixMilli)
	alive := order == 0 && r.BornUnixMilli > 0 && !r.Draining && r.Sequence >= d.Sequence+readmitAfterUpdates
	return order <= 0 && !alive
}

func (s *referenceState) remove(id string) {
	d := &wire.Departure{Id: id}
	if i := s.indexOf(id); i >= 0 {
		d.BornUnixMilli, d.Sequence = s.targets[i].BornUnixMilli, s.targets[i].Sequence
		s.targets = slices.Delete(s.targets, i, i+1)
	}
	s.departed = slices.DeleteFunc(s.departed, func(other *wire.Departure) bool { return other.Id == id })
	s.departed = append(s.departed, d)
	if extra := len(s.departed) - maxDepartures; extra > 0 {
		s.departed = s.departed[extra:]
	}
}

func drawUpdate(t *rapid.T, ids int, sequence uint64) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{
		Leave: rapid.IntRange(0, 3).Draw(t, "leave") == 0,
		Registration: &wire.Registration{
			Id:       fmt.Sprint("t", rapid.IntRange(0, ids).Draw(t, "id")),
			Address:  fmt.Sprint("a", rapid.IntRange(0, ids).Draw(t, "address")),
			Service:  "s",
			Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
			Sequence: sequence - min(sequence, uint64(rapid.IntRange(0, 5).Draw(t, "late"))),

			BornUnixMilli: int64(rapid.IntRange(0, 3).Draw(t, "born")),
		},
	}
}

// A batch of updates leads to the same targets and departures, in the same order, as
// the same updates one by one, also when the oldest departures are evicted meanwhile.
func TestBatchedUpdatesEqualSequentialUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := &referenceState{}
		s := State{}
		if rapid.Bool().Draw(t, "full") {
			for i := range maxDepartures - 2 {
				id := fmt.Sprint("x", i)
				if i < 7 {
					id = fmt.Sprint("t", i) // the oldest departures, whose targets send updates
				}
				want.departed = append(want.departed, &wire.Departure{Id: id})
			}
			s.departed = slices.Clone(want.departed)
		}
		sequence := uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			var updates []*wire.RegistrationCommand
			for range rapid.IntRange(1, 16).Draw(t, "updates") {
				sequence++
				updates = append(updates, drawUpdate(t, 14, sequence))
			}
			before, targets, departed := s, slices.Clone(s.targets), slices.Clone(s.departed)
			next, changed := s.ApplyRegistrations(updates)
			anyChanged := false
			for i, c := range updates {
				wantChanged := want.apply(c)
				anyChanged = anyChanged || wantChanged
				if changed[i] != wantChanged {
					t.Fatalf("update %d (%v): changed %v, want %v", i, c, changed[i], wantChanged)
				}
			}
			if !slices.Equal(next.targets, want.targets) {
				t.Fatalf("targets %v, want %v", next.targets, want.targets)
			}
			sameDeparture := func(a, b *wire.Departure) bool {
				return a.Id == b.Id && a.BornUnixMilli == b.BornUnixMilli && a.Sequence == b.Sequence
			}
			if !slices.EqualFunc(next.departed, want.departed, sameDeparture) {
				t.Fatalf("departures %v, want %v", next.departed, want.departed)
			}
			if !slices.Equal(before.targets, targets) || !slices.Equal(before.departed, departed) {
				t.Fatal("the original state was modified")
			}
			if !anyChanged && !next.SharesTargets(before) {
				t.Fatal("updates that changed nothing made a new list")
			}
			s = next
		}
	})
}
