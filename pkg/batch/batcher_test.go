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
	b := New[string](Config{MaxItems: 2, MaxInFlight: 1, NominalDuration: time.Second, MinInterval: 40 * time.Millisecond})
	now := time.Unix(0, 0)
	for _, v := range []string{"a", "b", "c"} {
		if err := b.Add(now, v, now.Add(time.Second)); err != nil {
			fmt.Println(err)
		}
	}
	batch, _ := b.Next(now)
	fmt.Println(batch, b.Queued())
	batch, _ = b.Next(now) // one batch is in flight
	fmt.Println(batch, b.Queued())
	b.Done(4, 10*time.Millisecond)
	batch, _ = b.Next(now.Add(40 * time.Millisecond))
	fmt.Println(batch, b.Queued())
	// Output:
	// [a b] 1
	// [] 1
	// [c] 0
}

func TestFirstItemStartsAtOnce(t *testing.T) {
	b := New[int](testConfig())
	if err := b.Add(at(0), 1, at(900)); err != nil {
		t.Fatal(err)
	}
	if batch, _ := b.Next(at(0)); len(batch) != 1 {
		t.Fatalf("started %v", batch)
	}
	if err := b.Add(at(1), 2, at(900)); err != nil {
		t.Fatal(err)
	}
	if batch, _ := b.Next(at(39)); len(batch) != 0 {
		t.Fatalf("started %v before MinInterval has passed", batch)
	}
	if next, ok := b.NextAt(); !ok || next != at(40) {
		t.Fatalf("next batch at %v, %v", next, ok)
	}
	if batch, _ := b.Next(at(40)); len(batch) != 1 {
		t.Fatalf("started %v", batch)
	}
}

// An item is removed if its deadline is 50 ms away or less.
func TestExpiringItemsAreRemoved(t *testing.T) {
	b := New[int](testConfig())
	b.inFlight = 1
	b.Done(4, 200*time.Millisecond)
	for i, deadline := range []int{49, 50, 51} {
		if err := b.Add(at(0), i, at(deadline)); err != nil {
			t.Fatal(err)
		}
	}
	batch, expired := b.Next(at(0))
	if fmt.Sprint(batch, expired) != "[2] [0 1]" {
		t.Fatalf("started %v, removed %v", batch, expired)
	}
}

// An item that can't complete in time is refused when it is added, but items of the
// first batch never are.
func TestBusyBatcherRefusesAtOnce(t *testing.T) {
	b := New[int](testConfig())
	b.inFlight = 1
	b.Done(4, 400*time.Millisecond) // one batch may be in flight
	var busy *BusyError
	for i := range 100 {
		err := b.Add(at(0), i, at(900))
		if err == nil {
			continue
		}
		if i < testConfig().MaxItems {
			t.Fatalf("item %d of the first batch is refused: %v", i, err)
		}
		if !errors.As(err, &busy) || busy.RetryAfter <= 0 || busy.Queued != i {
			t.Fatalf("item %d: %v", i, err)
		}
		return
	}
	t.Fatal("a hundred items were accepted that can't complete in time")
}

// If batches are slow fewer are in flight, so that the backlog in flight stays at
// MaxInFlight times NominalDuration.
func TestSlowBatchesReduceConcurrency(t *testing.T) {
	for took, want := range map[time.Duration]int{0: 2, 100 * time.Millisecond: 2, 150 * time.Millisecond: 1, time.Second: 1} {
		b := New[int](testConfig())
		b.averageDuration = took
		for i := range 12 {
			_ = b.Add(at(0), i, at(100_000)) // can't fail: the deadline is far off
		}
		started := 0
		for {
			if batch, _ := b.Next(at(0)); len(batch) == 0 {
				break
			}
			started++
		}
		if started != want {
			t.Errorf("batches of %v: %d in flight, want %d", took, started, want)
		}
	}
}

// Whatever arrives and however long batches take, each accepted item is started or
// removed exactly once, items start in order, batches stay within their limits, and the
// queue is empty in the end.
func TestEachItemIsReturnedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := testConfig()
		b := New[int](c)
		now := start
		seen := make(map[int]bool)
		var durations []time.Duration
		last, added := -1, 0
		step := func() {
			batch, expired := b.Next(now)
			for _, v := range append(batch, expired...) {
				if seen[v] {
					t.Fatalf("item %d was returned twice", v)
				}
				seen[v] = true
			}
			if len(batch) == 0 {
				return
			}
			if batch[0] <= last {
				t.Fatalf("item %d started after item %d", batch[0], last)
			}
			last = batch[len(batch)-1]
			durations = append(durations, time.Duration(rapid.IntRange(1, 500).Draw(t, "took"))*time.Millisecond)
			if len(batch) > c.MaxItems || len(durations) > c.MaxInFlight {
				t.Fatalf("%d items in a batch, %d batches in flight", len(batch), len(durations))
			}
		}
		end := func() {
			if len(durations) > 0 {
				b.Done(c.MaxItems, durations[0])
				durations = durations[1:]
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
				if b.Add(now, added, now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "left"))*time.Millisecond)) == nil {
					added++
				}
			}
		}
		for range 3*added + len(durations) + 1 {
			now = now.Add(c.MinInterval)
			step()
			end()
		}
		if len(seen) != added || b.Queued() != 0 {
			t.Fatalf("%d of %d items were returned, %d are queued", len(seen), added, b.Queued())
		}
	})
}
