package batch

import (
	"fmt"
	"testing"
	"time"
)

// serve passes items that wait from the start through a batcher whose batches take a fixed time and a
// time for each item, and returns when the last one is done. Items that are refused or removed come
// again after a pause.
func serve(c Config, items int, fixed, each, patience time.Duration) (took time.Duration, refused, largest int) {
	type ending struct {
		at    time.Time
		items int
		took  time.Duration
	}
	type waiting struct{ from time.Time }
	b := New[int](c)
	now := start
	var inFlight []ending
	due := make([]waiting, items)
	for i := range due {
		due[i].from = start
	}
	done := 0
	for done < items && now.Sub(start) < time.Hour {
		for i := 0; i < len(due); {
			if due[i].from.After(now) {
				i++
				continue
			}
			if b.Add(now, i, now.Add(patience)) != nil {
				refused++
				due[i].from = now.Add(patience)
				i++
				continue
			}
			due[i] = due[len(due)-1]
			due = due[:len(due)-1]
		}
		for {
			batch, expired := b.Next(now)
			for range expired {
				refused++
				due = append(due, waiting{now.Add(patience)})
			}
			if len(batch) == 0 {
				break
			}
			length := fixed + time.Duration(len(batch))*each
			largest = max(largest, len(batch))
			inFlight = append(inFlight, ending{now.Add(length), len(batch), length})
		}
		now = now.Add(5 * time.Millisecond)
		for i := 0; i < len(inFlight); {
			if inFlight[i].at.After(now) {
				i++
				continue
			}
			b.Done(inFlight[i].items, inFlight[i].took)
			done += inFlight[i].items
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
		}
	}
	return now.Sub(start), refused, largest
}

func registrations() Config {
	return Config{MaxItems: 1024, MinItems: 64, MaxInFlight: 4, NominalDuration: 150 * time.Millisecond, MinInterval: 40 * time.Millisecond, MinTimeLeft: 150 * time.Millisecond}
}

// Guards against a burst that is turned away because batches of a fixed size pass too few: at a fixed
// cost of 0.5 s a batch, 64 items at a time, 10,002 targets took 93 s and most calls were refused.
func TestBurstPassesInLargeBatches(t *testing.T) {
	for _, items := range []int{10_002, 20_004} {
		took, refused, _ := serve(registrations(), items, 500*time.Millisecond, 20*time.Microsecond, 900*time.Millisecond)
		if took > 40*time.Second {
			t.Errorf("%d items: all were done after %s, %d were refused", items, took, refused)
		}
	}
}

// Guards against batches that grow although their items are slow, and delay what waits behind them.
func TestBatchesOfSlowItemsStaySmall(t *testing.T) {
	for _, c := range []struct {
		each    time.Duration
		largest int
	}{{2 * time.Millisecond, 128}, {time.Millisecond, 128}, {200 * time.Microsecond, 512}, {10 * time.Microsecond, 1024}} {
		t.Run(fmt.Sprint(c.each), func(t *testing.T) {
			if _, _, largest := serve(registrations(), 6000, 50*time.Millisecond, c.each, 10*time.Second); largest > c.largest {
				t.Errorf("a batch had %d items, want at most %d", largest, c.largest)
			}
		})
	}
}
