package balance

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkChooseWithColdTargets measures one choice and its report at one of 273 boxes while a
// third of 1,188 targets is cold, as after a zone has returned or half of a service was replaced.
func BenchmarkChooseWithColdTargets(b *testing.B) {
	const boxes, targets = 273, 1188
	balancer := New(Config{Box: "box0", Zone: "z0", Region: "r0"})
	var list []Box
	for i := range boxes {
		list = append(list, Box{Name: fmt.Sprint("box", i), Region: fmt.Sprint("r", i%3)})
	}
	balancer.SetBoxes(list)
	balancer.SetColdLimit("s", ColdLimit{Time: time.Hour, Rate: 3.1})
	var all []Target
	for i := range targets {
		all = append(all, Target{
			ID: fmt.Sprint("i", i), Service: "s", Zone: fmt.Sprint("z", i%9), Region: fmt.Sprint("r", i%3), Slots: 9,
			Cold: i%3 == 0, ColdRemaining: time.Hour,
		})
	}
	now := time.Unix(0, 0)
	balancer.SetTargets(now, all)
	for i := 0; b.Loop(); i++ {
		now = now.Add(60 * time.Millisecond)
		c, err := balancer.Choose(now, Request{Service: "s", Route: "r", AffinityKey: fmt.Sprint(i % 900), Objective: time.Second, Remaining: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		balancer.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Took: 500 * time.Millisecond})
	}
}

// Guards against a stale count of the boxes that share a cold target, after the boxes or the
// target's region have changed.
func TestColdSharersFollowBoxesAndRegions(t *testing.T) {
	b := New(Config{Box: "box0", Zone: "z", Region: "r0"})
	b.SetColdLimit("s", ColdLimit{Time: time.Hour, Rate: 30})
	now := time.Unix(0, 0)
	target := func(region string) Target {
		return Target{ID: "i", Service: "s", Zone: region + "z", Region: region, Slots: 9, Cold: true, ColdRemaining: time.Hour}
	}
	b.SetTargets(now, []Target{target("r0")})
	for round := range 40 {
		var list []Box
		for i := range 1 + round%5 {
			list = append(list, Box{Name: fmt.Sprint("box", i), Region: fmt.Sprint("r", (i+round/10)%2)})
		}
		b.SetBoxes(list)
		for _, region := range []string{"r0", "r1", "r0"} {
			b.ChangeTargets(now, []Target{target(region)}, nil)
			for range 2 {
				if got, want := b.sharers(b.byID["i"]), b.countSharers(b.byID["i"]); got != want {
					t.Fatalf("round %d in %s: %d sharers, want %d", round, region, got, want)
				}
			}
		}
	}
}
