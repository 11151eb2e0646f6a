package routing_test

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/routing"
)

// ExampleFailover fails a request over from a full zone to the next one.
func ExampleFailover() {
	now := time.Unix(0, 0)
	pools := []struct {
		name   string
		result routing.Result // the result of sending the request there
	}{
		{"zone a", routing.Result{Verdict: retry.DidNotRun, RetryAfter: 50 * time.Millisecond}},
		{"zone b", routing.Result{Verdict: retry.Ran}},
		{"zone c", routing.Result{Verdict: retry.Ran}},
	}
	f := routing.NewFailover(routing.Config{
		Pools: len(pools), AtOrigin: true, Deadline: now.Add(time.Second),
	}, retry.NewBudget(10))
	kept := ""
	for _, pool := range pools {
		fmt.Println("trying", pool.name)
		d := f.HandleResult(now, pool.result)
		if d.KeepResult {
			kept = pool.name
		}
		if !d.TryNext {
			break
		}
	}
	fmt.Println("the caller gets the result of", kept)
	// Output:
	// trying zone a
	// trying zone b
	// the caller gets the result of zone b
}
