package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks that in every span of the window's length the retries are at most the share of
// the requests of that span and the one before, plus the extra retries.
func TestWindowBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, extra = 10 * time.Second, 5.0
		w := NewWindowBudget(0.2, length)
		var firsts, retries []time.Duration
		at := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			at += time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirst(at)
				firsts = append(firsts, at)
				continue
			}
			if w.Take(at, extra) {
				retries = append(retries, at)
			}
		}
		within := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, x := range list {
				if x > from && x <= to {
					n++
				}
			}
			return n
		}
		for _, end := range retries {
			n := within(retries, end-length, end)
			allowed := 0.2*float64(within(firsts, end-2*length, end)) + extra
			if float64(n) > allowed {
				t.Fatalf("%d retries in the window that ends at %s, allowed %v", n, end, allowed)
			}
		}
	})
}

func TestIdleWindowAllowsExtraRetries(t *testing.T) {
	w := NewWindowBudget(0.2, 10*time.Second)
	taken := 0
	for range 20 {
		if w.Take(time.Second, 5) {
			taken++
		}
	}
	if taken != 4 { // 0.8 of five
		t.Fatalf("%d taken", taken)
	}
}

// Allows must not consume a retry.
func TestAllowsDoesNotConsumeRetry(t *testing.T) {
	w := NewWindowBudget(0, time.Second)
	for range 3 {
		if !w.Allows(0, 1.5) {
			t.Fatal("Allows consumed the only retry")
		}
	}
	if !w.Take(0, 1.5) || w.Allows(0, 1.5) || w.Take(0, 1.5) {
		t.Fatal("want exactly one retry")
	}
}

// Guards against more retries than the share allows when callers move from one box to
// another.
func TestWindowsOfTwoBoxesBoundRetriesWhenCallersMove(t *testing.T) {
	const (
		share, extra = 0.2, 4.0
		length       = 10 * time.Second
		step         = length / 100
		movedAt      = 150 // the step at which callers move and targets begin to reject requests
	)
	boxes := []*WindowBudget{NewWindowBudget(share, length), NewWindowBudget(share, length)}
	rates := func(i int) []int {
		if i < movedAt {
			return []int{10, 10}
		}
		return []int{1, 19}
	}
	firsts, retries := 0, 0
	for i := range movedAt + 100 {
		at := time.Duration(i) * step
		for b, rate := range rates(i) {
			for range rate {
				boxes[b].RecordFirst(at)
			}
			if i < movedAt {
				continue // targets do not reject requests yet
			}
			firsts += rate
			for range 2 * rate {
				if boxes[b].Take(at, extra/2) {
					retries++
				}
			}
		}
	}
	if allowed := share*float64(firsts) + extra; float64(retries) > allowed {
		t.Errorf("%d retries in a window of %d requests, allowed %v", retries, firsts, allowed)
	}
}

// Guards against second attempts that use up what retries have earned: their share of it is judged by
// EarnedLeft, which must not count the extra retries.
func TestEarnedLeftFollowsTakenRetries(t *testing.T) {
	w := NewWindowBudget(testShare, testWindow)
	if left := w.EarnedLeft(0); left != 0 {
		t.Errorf("%v is left before any request, want 0", left)
	}
	for range 40 { // earn six retries
		w.RecordFirst(0)
	}
	for taken := range 6 {
		if left, want := w.EarnedLeft(0), 1-float64(taken)/6; left < want-1e-6 || left > want+1e-6 {
			t.Errorf("%v is left after %d retries, want %v", left, taken, want)
		}
		w.Take(0, 100)
	}
	if left := w.EarnedLeft(0); left != 0 {
		t.Errorf("%v is left after all were taken, want 0", left)
	}
}
