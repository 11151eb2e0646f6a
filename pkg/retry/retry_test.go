package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPlan runs requests whose attempts have random results. It checks that a request that
// is not repeatable runs at most once, that DidNotRun is only reported if the request did
// not run, and that retries stay within the budget.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(0, 50).Draw(t, "share")
		budget := NewBudget(share)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			requests++
			now := time.Unix(1000, 0)
			c := Config{
				Repeatable:  rapid.Bool().Draw(t, "repeatable"),
				MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"),
				HedgeAfter:  time.Duration(rapid.IntRange(0, 50).Draw(t, "hedge")) * time.Millisecond,
				Deadline:    now.Add(100 * time.Millisecond),
			}
			p := NewPlan(c, budget)
			open := make(map[int]bool)
			mayRun, finals, launched := 0, 0, 0
			take := func(out Output) {
				if out.Launch > 0 {
					if finals > 0 || !now.Before(c.Deadline) {
						t.Fatal("an attempt was launched after the request ended")
					}
					launched++
					open[out.Launch] = true
				}
				if out.Final == 0 {
					return
				}
				finals++
				if out.Final == DidNotRun && (mayRun > 0 || len(open) > 0) {
					t.Fatal("reported as not run though it may have run")
				}
			}
			take(p.Begin(now))
			for range 12 {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
				take(p.Tick(now))
				for n := range open {
					end := AttemptResult(rapid.IntRange(0, 3).Draw(t, "end"))
					delete(open, n)
					if end == Answered || end == Failed {
						mayRun++
					}
					take(p.HandleResult(now, n, end))
					break
				}
			}
			if !c.Repeatable && mayRun > 1 {
				t.Fatal("a request that is not repeatable ran twice")
			}
			if launched > c.MaxAttempts || finals > 1 {
				t.Fatalf("%d attempts of %d, %d ends", launched, c.MaxAttempts, finals)
			}
			retries += max(launched-1, 0)
		}
		if limit := MaxTokens + requests*share/100 + 1; retries > limit {
			t.Fatalf("%d retries of %d requests, the budget is %d", retries, requests, limit)
		}
	})
}

// ExamplePlan retries a repeatable request after a failure.
func ExamplePlan() {
	now := time.Unix(0, 0)
	p := NewPlan(Config{Repeatable: true, MaxAttempts: 2, Deadline: now.Add(time.Second)}, NewBudget(10))
	fmt.Println("launch", p.Begin(now).Launch)
	fmt.Println("launch", p.HandleResult(now, 1, Failed).Launch)
	fmt.Println("ran", p.HandleResult(now, 2, Answered).Final == Ran)
	// Output:
	// launch 1
	// launch 2
	// ran true
}
