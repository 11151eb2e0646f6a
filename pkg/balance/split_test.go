package balance

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A single box matches the weights over a few dozen requests.
func TestSplitFollowsTheWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 100), 2, 4).Draw(t, "weights")
		weights[0]++
		s := NewSplit(rapid.String().Draw(t, "box"), "route")
		checkShares(t, weights, 0.03, func(n int) int { return s.Next(weights) })
	})
}

// Many boxes with one to three requests each match the weights together.
func TestSplitOfManyBoxesFollowsTheWeights(t *testing.T) {
	for _, weights := range [][]float64{{50, 50}, {60, 40}, {90, 10}, {1, 2, 1}} {
		for each := 1; each <= 3; each++ {
			var boxes []*Split
			for i := range 240 / each {
				boxes = append(boxes, NewSplit(fmt.Sprintf("front-%d", i), "route"))
			}
			checkShares(t, weights, 0.1, func(n int) int { return boxes[n%len(boxes)].Next(weights) })
		}
	}
}

// tester is the part of testing.TB that checkShares needs; *rapid.T has it too.
type tester interface {
	Helper()
	Fatalf(format string, args ...any)
}

func checkShares(t tester, weights []float64, tolerance float64, next func(n int) int) {
	t.Helper()
	const requests = 240
	counts := make([]int, len(weights))
	for n := range requests {
		counts[next(n)]++
	}
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for i, w := range weights {
		if got := float64(counts[i]) / requests; math.Abs(got-w/sum) > tolerance {
			t.Fatalf("service %d of %v got %.3f of the requests", i, weights, got)
		}
	}
}

func ExampleSplit() {
	s := NewSplit("front-1", "checkout")
	counts := make([]int, 2)
	for range 100 {
		counts[s.Next([]float64{90, 10})]++
	}
	fmt.Println(counts)
	// Output: [90 10]
}
