package main

import (
	"strings"
	"testing"
)

// Guards against days that can't be reproduced by their seed.
func TestDrawRepeats(t *testing.T) {
	first := drawDay(7, nil)
	if again := drawDay(7, nil); first != again {
		t.Error("seed 7 gave two different days")
	}
	if first == drawDay(8, nil) {
		t.Error("seeds 7 and 8 gave the same day")
	}
}

// Guards against a left-out kind that appears in a day, or whose omission changes the other events.
func TestDrawLeavesKindsOut(t *testing.T) {
	for seed := range uint64(50) {
		var kept []string
		for _, line := range strings.SplitAfter(drawDay(seed, nil), "\n") {
			if !strings.Contains(line, `kind = "burst"`) {
				kept = append(kept, line)
			}
		}
		if got := drawDay(seed, []string{"burst"}); got != strings.Join(kept, "") {
			t.Fatalf("seed %d: got %s", seed, got)
		}
	}
}
