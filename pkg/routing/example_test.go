package routing_test

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/routing"
)

// ExampleFailover takes a request from a full zone to the next one.
func ExampleFailover() {
	now := time.Unix(0, 0)
	places := []struct {
		name   string
		answer routing.Result // what asking there would bring
	}{
		{"zone a", routing.Result{Verdict: retry.DidNotRun, RetryAfter: 50 * time.Millisecond}},
		{"zone b", routing.Result{Verdict: retry.Ran}},
		{"zone c", routing.Result{Verdict: retry.Ran}},
	}
	f := routing.NewFailover(routing.Config{
		Pools: len(places), AtOrigin: true, Deadline: now.Add(time.Second),
	}, retry.NewBudget(10))
	kept := ""
	for _, p := range places {
		fmt.Println("asks", p.name)
		d := f.HandleResult(now, p.answer)
		if d.KeepResult {
			kept = p.name
		}
		if !d.TryNext {
			break
		}
	}
	fmt.Println("the caller gets the answer of", kept)
	// Output:
	// asks zone a
	// asks zone b
	// the caller gets the answer of zone b
}
