package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/retry"
)

// Guards against a target's failure that is replaced by the refusal of a hedged attempt.
func TestToldFailureIsKeptWhenTheHedgeIsRefused(t *testing.T) {
	now := time.Now()
	e := &execution{
		box:     &Daemon{},
		ends:    make(chan attemptEnd, 2),
		cancels: make(map[int]context.CancelFunc),
		plan: retry.NewPlan(retry.Config{
			Repeatable: true, MaxAttempts: 2, HedgeAfter: time.Millisecond, Deadline: now.Add(time.Hour),
		}, retry.NewBudget(100)),
	}
	e.plan.Begin(now)
	if out := e.plan.Tick(now.Add(time.Second)); out.Launch != 2 {
		t.Fatalf("no hedge: %+v", out)
	}
	e.ends <- attemptEnd{number: 1, end: retry.Failed, answer: &answer{outcome: caller.Unknown, status: http.StatusInternalServerError}}
	e.ends <- attemptEnd{number: 2, end: retry.Refused, answer: refusal("full", time.Second)}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	out := e.next(t.Context(), timer)
	for out.Final == 0 {
		out = e.next(t.Context(), timer)
	}
	if got := e.final(t.Context(), out); got.status != http.StatusInternalServerError {
		t.Fatalf("answered %d %s", got.status, got.reason)
	}
}
