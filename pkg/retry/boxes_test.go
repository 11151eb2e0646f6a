package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound on retries is one for all boxes together, but each box sees its own
// requests only. These tests sum over all boxes while callers move between them
// and boxes start anew, which the count of one box can't see.

const (
	boxesShare  = 0.2
	boxesLength = 10 * time.Second
	// boxesStep is the time between two rounds of requests.
	boxesStep = boxesLength / 100
)

// fleet is a number of boxes that share the bound, and what all of them did.
type fleet struct {
	extra  float64
	boxes  []*WindowBudget
	starts []int // the step at which each box started
	fresh  []bool
	firsts []int // by step, summed over the boxes
	taken  []int
}

func newFleet(boxes int, extra float64) *fleet {
	f := &fleet{extra: extra, boxes: make([]*WindowBudget, boxes), starts: make([]int, boxes), fresh: make([]bool, boxes)}
	for i := range f.boxes {
		f.boxes[i] = NewWindowBudget(boxesShare, boxesLength)
	}
	return f
}

// restart ends a box and starts it without memory of its retries; as it may follow
// one that took its part, it has no fixed retries for a window's length.
func (f *fleet) restart(box int) {
	f.boxes[box] = NewWindowBudget(boxesShare, boxesLength)
	f.starts[box] = len(f.firsts)
	f.fresh[box] = true
}

// step has each box take its number of requests, and as many retries as asked for.
func (f *fleet) step(requests []int, retriesPerRequest int) {
	step := len(f.firsts)
	f.firsts = append(f.firsts, 0)
	f.taken = append(f.taken, 0)
	for b, n := range requests {
		at := time.Duration(step-f.starts[b]) * boxesStep
		extra := f.extra / float64(len(f.boxes))
		if f.fresh[b] && at < boxesLength {
			extra = 0
		}
		for range n {
			f.boxes[b].RecordFirst(at)
		}
		f.firsts[step] += n
		for range n * retriesPerRequest {
			if f.boxes[b].Take(at, extra) {
				f.taken[step]++
			}
		}
	}
}

// excess returns by how much the window that ends before the step holds more
// retries than allowed: the share of the requests in that window, in the one before
// it or in the one half a window before it, whichever holds most, and the extra.
func (f *fleet) excess(end int) float64 {
	const steps = int(boxesLength / boxesStep)
	sum := func(list []int, from, to int) (n int) {
		for i := max(from, 0); i < min(to, len(list)); i++ {
			n += list[i]
		}
		return n
	}
	from := end - steps
	requests := max(sum(f.firsts, from, end), sum(f.firsts, from-steps, from), sum(f.firsts, from-steps/2, end-steps/2))
	return float64(sum(f.taken, from, end)) - boxesShare*float64(requests) - f.extra
}

// Callers move between boxes as they like, boxes are restarted one after the other,
// the rate of all requests changes once, and targets turn all away from some time
// on: no window holds more retries than allowed. The sizes are those of a small and
// of a large deployment, with their fixed retries.
func TestWindowsOfManyBoxesBoundRetries(t *testing.T) {
	for _, c := range []struct {
		boxes, requests int
		extra           float64
	}{{2, 20, 4}, {9, 60, 58}, {273, 450, 586}} {
		t.Run(fmt.Sprint(c.boxes), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(c.boxes, c.extra)
				rate := rapid.IntRange(1, c.requests).Draw(t, "rate")
				failFrom := rapid.IntRange(0, 200).Draw(t, "failFrom")
				changeAt := rapid.IntRange(0, 250).Draw(t, "changeAt")
				next := 0
				favoured, share := 0, 0
				for step := range 300 {
					if step == changeAt {
						rate = rapid.IntRange(1, c.requests).Draw(t, "changed")
					}
					if step%25 == 0 {
						favoured = rapid.IntRange(0, c.boxes-1).Draw(t, "favoured")
						share = rapid.IntRange(0, 10).Draw(t, "share")
					}
					if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
						f.restart(next % c.boxes)
						next++
					}
					requests := make([]int, c.boxes)
					for i := range rate {
						box := (i + step) % c.boxes
						if i*10 < rate*share {
							box = favoured
						}
						requests[box]++
					}
					retries := 0
					if step >= failFrom {
						retries = 2
					}
					f.step(requests, retries)
					if over := f.excess(len(f.firsts)); over > 1e-6 {
						t.Fatalf("%.1f retries too many after step %d", over, step)
					}
				}
			})
		})
	}
}

// What a box has at once when its targets begin to fail, and in the long run: the
// price that callers pay for parts that expire.
func TestWindowGivesWhatCallersNeed(t *testing.T) {
	const requests = 20 // a step, 200 a second
	f := newFleet(1, 0)
	for range 100 {
		f.step([]int{requests}, 0)
	}
	f.step([]int{requests}, 100)
	// 0.75 of the share of 3 s of requests, less the slot that is not over.
	if atOnce := f.taken[100]; atOnce < 75 || atOnce > 90 {
		t.Errorf("%d retries at once, wanted those of about 0.4 s of all requests", atOnce)
	}
	for range 200 {
		f.step([]int{requests}, 100)
	}
	later := 0
	for _, n := range f.taken[201:301] {
		later += n
	}
	if want := 300; later < want-1 || later > want+1 { // 0.75 of the share of 2,000
		t.Errorf("%d retries in a later window, wanted about %d", later, want)
	}
}
