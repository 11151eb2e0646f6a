package balance

import (
	"fmt"
	"testing"
	"time"
)

var benchTargets = []int{100, 400, 3000}

// balancerWithTargets returns a balancer with the given number of targets of one service in three
// regions.
func balancerWithTargets(targets int) (*Balancer, []Target) {
	b := New(Config{Box: "box1", Zone: "r0-a", Region: "r0"})
	b.SetBoxes([]Box{{"box1", "r0"}})
	list := make([]Target, 0, targets)
	for i := range targets {
		region := fmt.Sprint("r", i%3)
		list = append(list, Target{ID: fmt.Sprint("i", i), Service: "s", Address: fmt.Sprint("a", i), Zone: region + "-a", Region: region, Slots: 4})
	}
	b.SetTargets(time.Unix(0, 0), list)
	return b, list
}

// BenchmarkSetTargets measures how long a box's requests are blocked while its targets are
// replaced.
func BenchmarkSetTargets(b *testing.B) {
	for _, n := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			balancer, list := balancerWithTargets(n)
			for b.Loop() {
				balancer.SetTargets(time.Unix(1, 0), list)
			}
		})
	}
}

// BenchmarkChoose measures one choice and its report.
func BenchmarkChoose(b *testing.B) {
	for _, n := range benchTargets {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			balancer, _ := balancerWithTargets(n)
			now := time.Unix(1, 0)
			r := Request{Service: "s", Route: "r", AffinityKey: "k", Objective: 400 * time.Millisecond, Remaining: 400 * time.Millisecond}
			for b.Loop() {
				c, err := balancer.Choose(now, r)
				if err != nil {
					b.Fatal(err)
				}
				balancer.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Took: 100 * time.Millisecond})
			}
		})
	}
}
