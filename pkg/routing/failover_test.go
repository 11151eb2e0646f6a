package routing

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/retry"
)

// TestFailover checks that after a pool that may have run the request only a repeatable request
// goes on, that every failover ends, and that the kept result never claims that a request did not
// run if a pool may have run it.
func TestFailover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		c := Config{
			Pools: rapid.IntRange(1, 9).Draw(t, "places"), AtOrigin: rapid.Bool().Draw(t, "origin"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Deadline: now.Add(time.Second),
		}
		failover := NewFailover(c, retry.NewBudget(50))
		mayRun := 0
		var kept retry.Verdict
		for tried := 1; ; tried++ {
			r := Result{
				Verdict:    rapid.SampledFrom([]retry.Verdict{retry.Ran, retry.DidNotRun, retry.Unknown}).Draw(t, "verdict"),
				RetryAfter: time.Duration(rapid.IntRange(0, 100).Draw(t, "after")) * time.Millisecond,
			}
			if r.Verdict != retry.DidNotRun {
				mayRun++
			}
			d := failover.HandleResult(now, r)
			if d.KeepResult {
				kept = r.Verdict
			}
			if r.Verdict == retry.Ran && (d.TryNext || !d.KeepResult) {
				t.Fatal("goes on after the request has run")
			}
			if !d.TryNext {
				break
			}
			if tried >= MaxPools || tried >= c.Pools || !c.AtOrigin {
				t.Fatal("goes on after the last pool")
			}
		}
		if kept == retry.DidNotRun && mayRun > 0 {
			t.Fatal("the kept result is that the request did not run, though a pool may have run it")
		}
		if mayRun > 1 && !c.Repeatable {
			t.Fatal("an unrepeatable request may have run twice")
		}
	})
}
