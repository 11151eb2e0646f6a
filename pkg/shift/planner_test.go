package shift

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func newState(t fataler) steering.State {
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

func startShift(t fataler, s steering.State, points uint32) steering.State {
	s, result := s.Apply(&wire.Command{Shift: &wire.ShiftCommand{
		Action: wire.ShiftCommand_ACTION_START,
		Shift:  &wire.Shift{Id: "s", Service: "web", Home: "east", From: "east", To: "west", Points: points},
	}})
	if result.Err != nil {
		t.Fatal(result.Err)
	}
	return s
}

func observe(p *Planner, now time.Time, east, west, capacity float64) {
	p.Observe(Measurement{Service: "web", Region: "east", Capacity: 100, InUse: east, At: now})
	p.Observe(Measurement{Service: "web", Region: "west", Capacity: capacity, InUse: west, At: now})
}

// Checks, while leaders change and measurements stop or report low load, that no more points
// than the cap are unsettled, and that no step begins for which the destination lacks
// headroom according to the worst recent measurement.
func TestStepsStayWithinCapAndHeadroom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		s := startShift(t, newState(t), uint32(rapid.IntRange(1, lookup.Points).Draw(t, "points")))
		p := NewPlanner(now)
		silent := false
		lastMeasurement := now.Add(-time.Hour)
		for range 300 {
			now = now.Add(250 * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "leader") == 0 {
				p = NewPlanner(now)
				lastMeasurement = now.Add(-time.Hour)
			}
			if rapid.IntRange(0, 20).Draw(t, "silence") == 0 {
				silent = !silent
			}
			west := float64(rapid.IntRange(0, 100).Draw(t, "west"))
			if !silent {
				observe(p, now, 60, west, 100)
				lastMeasurement = now
			}
			for _, d := range p.Plan(now, s) {
				if d.Command == nil {
					continue
				}
				if d.Command.Step != nil {
					if now.Sub(lastMeasurement) > 2*time.Second {
						t.Fatal("a step on old measurements")
					}
					if !silent && west > 90 {
						t.Fatalf("a step to a region that uses %.0f of 90 slots", west)
					}
				}
				next, result := s.Apply(&wire.Command{Shift: d.Command})
				if result.Err != nil {
					t.Fatal(result.Err)
				}
				s = next
				// A second leader records the same step, which must not count twice.
				if again, result := s.Apply(&wire.Command{Shift: d.Command}); d.Command.Step != nil && result.Changed {
					t.Fatalf("a step was carried out twice: %v", again.Shifts())
				}
			}
			if n := UnsettledPoints(now, s, "web", "east"); n > 2000 {
				t.Fatalf("%d points are unsettled, the cap is 2000", n)
			}
			sh := s.Shifts()[0]
			if got := s.Assignment("web", "east").PointsOf("west"); got != sh.Moved {
				t.Fatalf("the shift has moved %d points, the assignment has %d", sh.Moved, got)
			}
		}
	})
}

func TestShiftFinishesWhenSettled(t *testing.T) {
	now := time.Unix(10_000, 0)
	s := startShift(t, newState(t), 1000)
	p := NewPlanner(now)
	steps := 0
	for range 200 {
		now = now.Add(250 * time.Millisecond)
		observe(p, now, 20, 10, 100)
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
	sh := s.Shifts()[0]
	if sh.Phase != wire.ShiftPhase_SHIFT_PHASE_FINISHED || sh.Moved != 1000 || steps != 2 {
		t.Errorf("phase %s after %d points in %d steps", sh.Phase, sh.Moved, steps)
	}
}

func TestShiftAbortsOnceWhenDestinationIsLost(t *testing.T) {
	now := time.Unix(10_000, 0)
	s := startShift(t, newState(t), 1000)
	p := NewPlanner(now)
	aborts := 0
	for range 200 {
		now = now.Add(250 * time.Millisecond)
		p.Observe(Measurement{Service: "web", Region: "east", Capacity: 100, InUse: 20, At: now})
		for _, d := range p.Plan(now, s) {
			if d.Command == nil {
				continue
			}
			next, result := s.Apply(&wire.Command{Shift: d.Command})
			s = next
			if result.Changed && d.Command.Action == wire.ShiftCommand_ACTION_ABORT {
				aborts++
			}
		}
	}
	if aborts != 1 || s.Shifts()[0].Phase != wire.ShiftPhase_SHIFT_PHASE_ABORTED {
		t.Errorf("aborted %d times, phase %s", aborts, s.Shifts()[0].Phase)
	}
}

// fataler is the part that tests and properties have in common.
type fataler interface{ Fatal(args ...any) }
