package lookup

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// TestWithMoveChangesOnlyMovedPoints moves random numbers of points between regions and
// checks that no other point changes its region.
func TestWithMoveChangesOnlyMovedPoints(t *testing.T) {
	regions := []string{"east", "west", "south"}
	rapid.Check(t, func(t *rapid.T) {
		a := SingleRegion("east")
		for range rapid.IntRange(1, 12).Draw(t, "moves") {
			from, to := rapid.SampledFrom(regions).Draw(t, "from"), rapid.SampledFrom(regions).Draw(t, "to")
			if from == to {
				continue
			}
			points := uint32(rapid.IntRange(1, Points).Draw(t, "points"))
			next, moved := a.WithMove(from, to, points)
			if want := min(points, a.PointsOf(from)); moved != want {
				t.Fatalf("moved %d points, want %d", moved, want)
			}
			changed := uint32(0)
			for p := range uint32(Points) {
				before, after := a.Region(p), next.Region(p)
				if before == after {
					continue
				}
				changed++
				if before != from || after != to {
					t.Fatalf("point %d moved from %s to %s", p, before, after)
				}
			}
			if changed != moved {
				t.Fatalf("%d points changed, want %d", changed, moved)
			}
			if _, err := FromIntervals(next.Intervals()); err != nil {
				t.Fatal(err)
			}
			a = next
		}
	})
}

func TestRankMovesOnlyTheKeysOfARemovedName(t *testing.T) {
	all := []Weighted{{"a", 1}, {"b", 2}, {"c", 1}, {"d", 4}}
	count := make(map[string]int)
	for i := range 8000 {
		key := fmt.Sprint("block-", i)
		before := Rank(key, all)[0]
		after := Rank(key, all[1:])[0]
		count[before]++
		if before != "a" && before != after {
			t.Fatalf("key %s moved from %s to %s", key, before, after)
		}
	}
	for _, w := range all {
		want := 1000 * int(w.Weight)
		if got := count[w.Name]; got < want*9/10 || got > want*11/10 {
			t.Errorf("%s has %d of 8000 keys, want about %d", w.Name, got, want)
		}
	}
}

func TestFromIntervalsRejectsGaps(t *testing.T) {
	short := SingleRegion("east").Intervals()
	short[0] = &wire.Interval{Start: 0, End: 5, Region: "east"}
	late := SingleRegion("east").Intervals()
	late[0] = &wire.Interval{Start: 5, End: Points, Region: "east"}
	for name, list := range map[string][]*wire.Interval{"empty": nil, "short": short, "late": late} {
		if _, err := FromIntervals(list); err == nil {
			t.Errorf("intervals %q were accepted", name)
		}
	}
}

// ExampleAssignment_WithMove moves a tenth of a region's callers.
func ExampleAssignment_WithMove() {
	a, moved := SingleRegion("east").WithMove("east", "west", 1000)
	fmt.Println(moved, a.PointsOf("east"), a.PointsOf("west"))
	// Output: 1000 9000 1000
}
