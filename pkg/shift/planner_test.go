package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func state(t fataler) steering.State {
	edit := func(path, key, value string) *wire.Edit { return &wire.Edit{Path: path, Key: key, Value: value} }
	s, result := steering.State{}.Apply(&wire.Command{Change: &wire.Change{Id: "tree", Edits: []*wire.Edit{
		edit("/", "shiftCapShare", "20"), edit("/", "shiftStepShare", "8"), edit("/", "reserveShare", "10"),
		edit("/east/ea:web", "targets", "e=127.0.0.1:1"), edit("/west/wa:web", "targets", "w=127.0.0.1:2"),
	}}})
	if !result.Changed {
		t.Fatal(result.Verdict.Detail)
	}
	return s
}

func begin(t fataler, s steering.State, points uint32) steering.State {
	s, result := s.Apply(&wire.Command{Shift: &wire.ShiftCommand{
		Action: wire.ShiftCommand_ACTION_START,
		Shift:  &wire.Shift{Id: "s", Service: "web", Home: "east", From: "east", To: "west", Points: points},
	}})
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	return s
}

func readings(p *Planner, now time.Time, east, west, capacity float64) {
	p.Observe(Reading{Service: "web", Region: "east", Capacity: 100, Carried: east, At: now})
	p.Observe(Reading{Service: "web", Region: "west", Capacity: capacity, Carried: west, At: now})
}

// TestCapAndHeadroom lets leaders come and go, readings stop and lie low, and
// checks that no more than the cap is on the move and that no step is begun
// that the worst recent reading has no room for.
func TestCapAndHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		s := begin(t, state(t), uint32(rapid.IntRange(1, lookup.Points).Draw(t, "points")))
		p := NewPlanner(now)
		silent := false
		lastReading := now.Add(-time.Hour)
		for range 300 {
			now = now.Add(250 * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "leader") == 0 {
				p = NewPlanner(now)
				lastReading = now.Add(-time.Hour)
			}
			if rapid.IntRange(0, 20).Draw(t, "silence") == 0 {
				silent = !silent
			}
			west := float64(rapid.IntRange(0, 100).Draw(t, "west"))
			if !silent {
				readings(p, now, 60, west, 100)
				lastReading = now
			}
			for _, d := range p.Plan(now, s) {
				if d.Command == nil {
					continue
				}
				if d.Command.Step != nil {
					if now.Sub(lastReading) > 2*time.Second {
						t.Fatal("a step on old readings")
					}
					if !silent && west > 90 {
						t.Fatalf("a step to a region that carries %.0f of 90 slots", west)
					}
				}
				next, result := s.Apply(&wire.Command{Shift: d.Command})
				if result.Err != nil {
					t.Fatal(result.Err)
				}
				s = next
				// A second leader records the same step: it must not count.
				if again, result := s.Apply(&wire.Command{Shift: d.Command}); d.Command.Step != nil && result.Changed {
					t.Fatalf("a step was carried out twice: %v", again.Shifts())
				}
			}
			if n := Outstanding(now, s, "web", "east"); n > 2000 {
				t.Fatalf("%d points are on the move, the cap is 2000", n)
			}
			h := s.Shifts()[0]
			if got := s.Assignment("web", "east").PointsOf("west"); got != h.Moved {
				t.Fatalf("the shift says %d, the assignment %d", h.Moved, got)
			}
		}
	})
}

func TestFinishesWhenSettled(t *testing.T) {
	now := time.Unix(10_000, 0)
	s := begin(t, state(t), 1000)
	p := NewPlanner(now)
	steps := 0
	for range 200 {
		now = now.Add(250 * time.Millisecond)
		readings(p, now, 20, 10, 100)
		for _, d := range p.Plan(now, s) {
			if d.Command == nil {
				continue
			}
			if d.Command.Step != nil {
				steps++
			}
			s, _ = s.Apply(&wire.Command{Shift: d.Command})
		}
	}
	h := s.Shifts()[0]
	if h.Phase != wire.ShiftPhase_SHIFT_PHASE_FINISHED || h.Moved != 1000 || steps != 2 {
		t.Errorf("phase %s after %d points in %d steps", h.Phase, h.Moved, steps)
	}
}

func TestAbortsOnceWhenTheDestinationIsLost(t *testing.T) {
	now := time.Unix(10_000, 0)
	s := begin(t, state(t), 1000)
	p := NewPlanner(now)
	ends := 0
	for range 200 {
		now = now.Add(250 * time.Millisecond)
		p.Observe(Reading{Service: "web", Region: "east", Capacity: 100, Carried: 20, At: now})
		for _, d := range p.Plan(now, s) {
			if d.Command == nil {
				continue
			}
			next, result := s.Apply(&wire.Command{Shift: d.Command})
			s = next
			if result.Changed && d.Command.Action == wire.ShiftCommand_ACTION_ABORT {
				ends++
			}
		}
	}
	if ends != 1 || s.Shifts()[0].Phase != wire.ShiftPhase_SHIFT_PHASE_ABORTED {
		t.Errorf("aborted %d times, phase %s", ends, s.Shifts()[0].Phase)
	}
}

// fataler is what tests and properties share.
type fataler interface{ Fatal(args ...any) }
