package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/retry"
)

// Guards against replacing a target's failure by the refusal of a hedged attempt.
func TestRefusedHedgeKeepsTargetFailure(t *testing.T) {
	now := time.Now()
	e := &execution{
		box:     &Daemon{},
		results: make(chan attemptResult, 2),
		cancels: make(map[int]context.CancelFunc),
		plan: retry.NewPlan(retry.Config{
			Repeatable: true, MaxAttempts: 2, HedgeAfter: time.Millisecond, Deadline: now.Add(time.Hour),
		}, retry.NewBudget(100)),
	}
	e.plan.Begin(now)
	if out := e.plan.Tick(now.Add(time.Second)); out.Launch != 2 {
		t.Fatalf("no second attempt was launched: %+v", out)
	}
	e.results <- attemptResult{number: 1, result: retry.Failed, answer: &answer{outcome: caller.Unknown, status: http.StatusInternalServerError}}
	e.results <- attemptResult{number: 2, result: retry.Refused, answer: refusal("full", time.Second)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	out := e.handleNextEvent(t.Context(), timer)
	for out.Final == 0 {
		out = e.handleNextEvent(t.Context(), timer)
	}
	if got := e.finish(t.Context(), out); got.status != http.StatusInternalServerError {
		t.Fatalf("answered with status %d, reason %q, want the target's 500", got.status, got.reason)
	}
}
