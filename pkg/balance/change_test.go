package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against ChangeTargets diverging from SetTargets. SetTargets on every new state took 0.3 ms
// of a core at 3,000 targets, while requests wait, 25 times a second while targets are being
// replaced. Of two balancers, one gets the full list with each change and the other only the
// change; both must make the same choices for the same requests and reports.
func TestChangeTargetsMatchesSetTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		newBalancer := func() *Balancer {
			b := New(Config{Box: "box1", Zone: "near-a", Region: "near"})
			b.SetBoxes([]Box{{"box1", "near"}, {"box2", "far"}})
			b.SetColdLimit("s0", ColdLimit{Time: 3 * time.Second, Rate: 30})
			return b
		}
		full, incremental := newBalancer(), newBalancer()
		var all []Target
		joined := 0 // IDs are not reused
		draw := func(id string) Target {
			return Target{
				ID:            id,
				Service:       rapid.SampledFrom([]string{"s0", "s0", "s0", "s1"}).Draw(t, "service"),
				Zone:          rapid.SampledFrom([]string{"near-a", "near-b"}).Draw(t, "zone"),
				Region:        rapid.SampledFrom([]string{"near", "far"}).Draw(t, "region"),
				Slots:         rapid.IntRange(1, 3).Draw(t, "slots"),
				Draining:      rapid.IntRange(0, 4).Draw(t, "draining") == 0,
				Cold:          rapid.IntRange(0, 4).Draw(t, "cold") == 0,
				ColdRemaining: time.Duration(rapid.IntRange(0, 3000).Draw(t, "left")) * time.Millisecond,
			}
		}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var changed []Target
			var ended []string
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				i := rapid.IntRange(0, len(all)).Draw(t, "which")
				switch {
				case i == len(all):
					joined++
					all = append(all, draw(fmt.Sprint("t", joined)))
					changed = append(changed, all[i])
				case rapid.Bool().Draw(t, "ends"):
					ended = append(ended, all[i].ID)
					changed = slices.DeleteFunc(changed, func(c Target) bool { return c.ID == all[i].ID })
					all = slices.Delete(slices.Clone(all), i, i+1)
				default:
					all = slices.Clone(all)
					all[i] = draw(all[i].ID)
					changed = slices.DeleteFunc(changed, func(c Target) bool { return c.ID == all[i].ID })
					changed = append(changed, all[i]) // each target occurs once
				}
			}
			full.SetTargets(now, all)
			incremental.ChangeTargets(now, changed, ended)
			for _, id := range ended {
				if incremental.HasTarget(id) {
					t.Fatalf("%s has ended and is still registered", id)
				}
			}
			for i := range 4 {
				r := Request{Service: "s0", Route: "r", AffinityKey: fmt.Sprint("k", (step+i)%7), Objective: time.Second, Remaining: time.Second}
				want, wantErr := full.Choose(now, r)
				got, gotErr := incremental.Choose(now, r)
				if diff := cmp.Diff(want, got); diff != "" || fmt.Sprint(wantErr) != fmt.Sprint(gotErr) {
					t.Fatalf("step %d: %v, want %v\n%s", step, gotErr, wantErr, diff)
				}
				if wantErr != nil {
					continue
				}
				report := Report{TargetID: want.Target.ID, Route: "r", Outcome: Outcome(rapid.IntRange(0, 5).Draw(t, "outcome")), Took: 200 * time.Millisecond}
				if rapid.Bool().Draw(t, "reported") {
					full.Done(now, report)
					incremental.Done(now, report)
				}
			}
		}
	})
}

// BenchmarkChangeTargets measures how long a box's requests are blocked while one target joins and
// another leaves.
func BenchmarkChangeTargets(b *testing.B) {
	for _, n := range []int{100, 400, 1400, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			balancer := New(Config{Box: "box1", Zone: "z", Region: "r"})
			var list []Target
			for i := range n {
				list = append(list, Target{ID: fmt.Sprint("i", i), Service: "s", Zone: "z", Region: "r", Slots: 9})
			}
			balancer.SetTargets(time.Unix(0, 0), list)
			for i := 0; b.Loop(); i++ {
				joins := Target{ID: fmt.Sprint("n", i), Service: "s", Zone: "z", Region: "r", Slots: 9}
				balancer.ChangeTargets(time.Unix(1, 0), []Target{joins}, []string{fmt.Sprint("n", i-1)})
			}
		})
	}
}
