package main

import (
	"strings"
	"testing"
)

// The same seed gives the same day, another seed another one.
func TestDrawRepeats(t *testing.T) {
	first := draw(7, nil)
	if again := draw(7, nil); first != again {
		t.Error("seed 7 gave two days")
	}
	if first == draw(8, nil) {
		t.Error("seeds 7 and 8 gave the same day")
	}
}

// A kind that is left out stands in no day, and the others stay as they were.
func TestDrawLeavesKindsOut(t *testing.T) {
	for seed := range uint64(50) {
		var kept []string
		for _, line := range strings.SplitAfter(draw(seed, nil), "\n") {
			if !strings.Contains(line, `kind = "burst"`) {
				kept = append(kept, line)
			}
		}
		if got := draw(seed, []string{"burst"}); got != strings.Join(kept, "") {
			t.Fatalf("seed %d: got %s", seed, got)
		}
	}
}
