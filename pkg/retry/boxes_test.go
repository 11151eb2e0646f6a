package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bound on retries applies to all boxes together, but each box sees its own requests
// only. These tests sum over all boxes while callers move between them and boxes restart,
// which the counters of a single box can't show.

const (
	testShare  = 0.2
	testWindow = 10 * time.Second
	// stepTime is the time between two rounds of requests.
	stepTime = testWindow / 100
)

// fleet is a number of boxes that share the bound, with the counters of all of them.
type fleet struct {
	extra         float64
	boxes         []*WindowBudget
	starts        []int // the step at which each box started
	restarted     []bool
	firstAttempts []int // by step, summed over the boxes
	retries       []int
}

func newFleet(boxes int, extra float64) *fleet {
	f := &fleet{extra: extra, boxes: make([]*WindowBudget, boxes), starts: make([]int, boxes), restarted: make([]bool, boxes)}
	for i := range f.boxes {
		f.boxes[i] = NewWindowBudget(testShare, testWindow)
	}
	return f
}

// restart restarts a box without memory of its retries. Because its predecessor may have
// used the box's part, it gets no extra retries for the length of a window.
func (f *fleet) restart(box int) {
	f.boxes[box] = NewWindowBudget(testShare, testWindow)
	f.starts[box] = len(f.firstAttempts)
	f.restarted[box] = true
}

// step gives each box its number of requests, and takes as many retries as allowed, up
// to retriesPerRequest.
func (f *fleet) step(requests []int, retriesPerRequest int) {
	step := len(f.firstAttempts)
	f.firstAttempts = append(f.firstAttempts, 0)
	f.retries = append(f.retries, 0)
	for b, n := range requests {
		at := time.Duration(step-f.starts[b]) * stepTime
		extra := f.extra / float64(len(f.boxes))
		if f.restarted[b] && at < testWindow {
			extra = 0
		}
		for range n {
			f.boxes[b].RecordFirst(at)
		}
		f.firstAttempts[step] += n
		for range n * retriesPerRequest {
			if f.boxes[b].Take(at, extra) {
				f.retries[step]++
			}
		}
	}
}

// excess returns by how much the retries of the window that ends before the step exceed
// the bound: the extra retries plus the share of the requests in that window, the one
// before it or the one half a window before it, whichever has most.
func (f *fleet) excess(end int) float64 {
	const steps = int(testWindow / stepTime)
	sum := func(list []int, from, to int) (n int) {
		for i := max(from, 0); i < min(to, len(list)); i++ {
			n += list[i]
		}
		return n
	}
	from := end - steps
	requests := max(sum(f.firstAttempts, from, end), sum(f.firstAttempts, from-steps, from), sum(f.firstAttempts, from-steps/2, end-steps/2))
	return float64(sum(f.retries, from, end)) - testShare*float64(requests) - f.extra
}

// Checks the bound in each window while callers move between boxes, boxes restart one
// after the other, the total request rate changes once, and targets start to reject all
// requests. The sizes are those of a small and of a large deployment, with their extra
// retries.
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
					if over := f.excess(len(f.firstAttempts)); over > 1e-6 {
						t.Fatalf("%.1f retries too many after step %d", over, step)
					}
				}
			})
		})
	}
}

// Checks how many retries a box has at once when its targets begin to fail, and in the long
// run. Both are below the share of its requests, because earned fractions expire.
func TestRetriesAvailableDuringFailure(t *testing.T) {
	const requests = 20 // per step, which is 200 per second
	f := newFleet(1, 0)
	for range 100 {
		f.step([]int{requests}, 0)
	}
	f.step([]int{requests}, 100)
	// 0.75 of the share of 3 s of requests, less the part of the current slot that is to come.
	if atOnce := f.retries[100]; atOnce < 75 || atOnce > 90 {
		t.Errorf("%d retries at once, want those of about 0.4 s of all requests", atOnce)
	}
	for range 200 {
		f.step([]int{requests}, 100)
	}
	later := 0
	for _, n := range f.retries[201:301] {
		later += n
	}
	if want := 300; later < want-1 || later > want+1 { // 0.75 of the share of 2,000
		t.Errorf("%d retries in a later window, want about %d", later, want)
	}
}
