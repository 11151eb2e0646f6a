package lease_test

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/lease"
)

// ExampleHolder acquires the lease on a pool, renews it and releases it.
func ExampleHolder() {
	const duration = 2 * time.Second
	start := time.Unix(0, 0)
	names := []string{"a", "b", "c"}
	voters := make(map[string]*lease.Voter)
	for _, n := range names {
		voters[n] = lease.NewVoter(start, n, duration)
	}
	now := start.Add(duration) // a voter grants nothing until duration after its start
	h := lease.NewHolder(now, lease.Config{Pool: "web", Name: "a", Incarnation: "1", Voters: names, Duration: duration})
	send := func(requests []lease.Request) {
		for _, r := range requests {
			h.HandleAnswer(now, voters[r.To].Handle(now, r.Message))
		}
	}

	send(h.Tick(now))
	fmt.Println("held", h.Held(now), "for", h.Until().Sub(now))
	now = h.NextTick()
	send(h.Tick(now))
	fmt.Println("renewed for", h.Until().Sub(now))
	send(h.Release())
	_, ok := voters["b"].Holder(now, "web")
	fmt.Println("held", h.Held(now), "promised", ok)
	// Output:
	// held true for 1.8s
	// renewed for 1.8s
	// held false promised false
}
