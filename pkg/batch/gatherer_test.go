package batch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func testConfig() Config {
	return Config{MaxItems: 4, MaxInFlight: 2, NominalDuration: 100 * time.Millisecond, MinInterval: 40 * time.Millisecond, MinTimeLeft: 50 * time.Millisecond}
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func ExampleBatcher() {
	g := New[string](Config{MaxItems: 2, MaxInFlight: 1, NominalDuration: time.Second, MinInterval: 40 * time.Millisecond})
	now := time.Unix(0, 0)
	for _, v := range []string{"a", "b", "c"} {
		if err := g.Add(now, v, now.Add(time.Second)); err != nil {
			fmt.Println(err)
		}
	}
	begin, _ := g.Next(now)
	fmt.Println(begin, g.Queued())
	begin, _ = g.Next(now) // one is under way
	fmt.Println(begin, g.Queued())
	g.Done(10 * time.Millisecond)
	begin, _ = g.Next(now.Add(40 * time.Millisecond))
	fmt.Println(begin, g.Queued())
	// Output:
	// [a b] 1
	// [] 1
	// [c] 0
}

func TestFirstItemIsBegunAtOnce(t *testing.T) {
	g := New[int](testConfig())
	if err := g.Add(at(0), 1, at(900)); err != nil {
		t.Fatal(err)
	}
	if begin, _ := g.Next(at(0)); len(begin) != 1 {
		t.Fatalf("began %v", begin)
	}
	if err := g.Add(at(1), 2, at(900)); err != nil {
		t.Fatal(err)
	}
	if begin, _ := g.Next(at(39)); len(begin) != 0 {
		t.Fatalf("began %v before its time", begin)
	}
	if due, ok := g.NextAt(); !ok || due != at(40) {
		t.Fatalf("due at %v, %v", due, ok)
	}
	if begin, _ := g.Next(at(40)); len(begin) != 1 {
		t.Fatalf("began %v", begin)
	}
}

func TestItemsWhoseAskersGoTooSoonAreLetGo(t *testing.T) {
	g := New[int](testConfig())
	g.underWay = 1
	g.Done(200 * time.Millisecond)
	for i, deadline := range []int{49, 50, 51} {
		if err := g.Add(at(0), i, at(deadline)); err != nil {
			t.Fatal(err)
		}
	}
	begin, late := g.Next(at(0))
	if fmt.Sprint(begin, late) != "[2] [0 1]" {
		t.Fatalf("began %v, let go %v", begin, late)
	}
}

func TestBusyGathererTurnsAwayAtOnce(t *testing.T) {
	g := New[int](testConfig())
	g.underWay = 1
	g.Done(400 * time.Millisecond) // one batch may be under way
	var busy *BusyError
	for i := range 100 {
		err := g.Add(at(0), i, at(900))
		if err == nil {
			continue
		}
		if i < testConfig().MaxItems {
			t.Fatalf("item %d of the first batch is turned away: %v", i, err)
		}
		if !errors.As(err, &busy) || busy.RetryAfter <= 0 || busy.Queued != i {
			t.Fatalf("item %d: %v", i, err)
		}
		return
	}
	t.Fatal("a hundred items were taken which can't be settled in time")
}

// Slow batches: what is under way stays what is done in MaxUnderWay times Quick.
func TestFewerBatchesAreUnderWayWhereTheyAreSlow(t *testing.T) {
	for took, want := range map[time.Duration]int{0: 2, 100 * time.Millisecond: 2, 150 * time.Millisecond: 1, time.Second: 1} {
		g := New[int](testConfig())
		g.took = took
		for i := range 12 {
			_ = g.Add(at(0), i, at(100_000)) // there is time for all
		}
		began := 0
		for {
			if begin, _ := g.Next(at(0)); len(begin) == 0 {
				break
			}
			began++
		}
		if began != want {
			t.Errorf("batches of %v: %d under way, want %d", took, began, want)
		}
	}
}

// Whatever comes and however long it takes: each item that was taken is begun or let go
// exactly once and in its order, batches keep their bounds, and once nothing comes any
// more all are gone.
func TestEachItemIsBegunOrLetGoOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		g := New[int](c)
		now := start
		seen := make(map[int]bool)
		var ends []time.Duration
		last, added := -1, 0
		step := func() {
			begin, late := g.Next(now)
			for _, v := range append(begin, late...) {
				if seen[v] {
					t.Fatalf("item %d came twice", v)
				}
				seen[v] = true
			}
			if len(begin) == 0 {
				return
			}
			if begin[0] <= last {
				t.Fatalf("item %d after %d", begin[0], last)
			}
			last = begin[len(begin)-1]
			ends = append(ends, time.Duration(rapid.IntRange(1, 500).Draw(t, "took"))*time.Millisecond)
			if len(begin) > c.MaxItems || len(ends) > c.MaxInFlight {
				t.Fatalf("%d items, %d batches under way", len(begin), len(ends))
			}
		}
		end := func() {
			if len(ends) > 0 {
				g.Done(ends[0])
				ends = ends[1:]
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				end()
			case 1:
				step()
			default:
				if g.Add(now, added, now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "left"))*time.Millisecond)) == nil {
					added++
				}
			}
		}
		for range 3*added + len(ends) + 1 {
			now = now.Add(c.MinInterval)
			step()
			end()
		}
		if len(seen) != added || g.Queued() != 0 {
			t.Fatalf("%d of %d items came, %d wait", len(seen), added, g.Queued())
		}
	})
}
