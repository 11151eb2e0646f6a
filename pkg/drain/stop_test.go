package drain

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStop checks that a process keeps serving for as long as cached answers are valid, that the
// phases never go back, and that the stop ends only when nothing is in flight or its deadline has
// passed.
func TestStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		ttl := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ttl")) * time.Millisecond
		maxRequestTime := time.Duration(rapid.IntRange(0, 3000).Draw(t, "longest")) * time.Millisecond
		var s Stop
		s.Begin(now, ttl, maxRequestTime)
		began := now
		last := Leaving
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			inFlight := rapid.IntRange(0, 2).Draw(t, "in flight")
			phase, _ := s.Update(now, inFlight)
			if phase < last {
				t.Fatalf("the phase went back from %s to %s", last, phase)
			}
			if phase >= Refusing && now.Sub(began) < ttl {
				t.Fatal("requests are refused while cached answers are valid")
			}
			if phase == Ended && last != Ended && inFlight > 0 && now.Sub(began) < ttl+maxRequestTime {
				t.Fatal("the stop ended with a request in flight before its deadline")
			}
			last = phase
		}
		if last != Ended {
			t.Fatalf("the phase is %s long after the deadline", last)
		}
	})
}

// ExampleStop goes through a stop with one request in flight.
func ExampleStop() {
	var s Stop
	now := time.Unix(0, 0)
	s.Begin(now, time.Second, time.Minute)
	for _, step := range []struct {
		after    time.Duration
		inFlight int
	}{{0, 1}, {time.Second, 1}, {2 * time.Second, 0}} {
		phase, _ := s.Update(now.Add(step.after), step.inFlight)
		fmt.Println(phase)
	}
	// Output:
	// leaving
	// refusing
	// ended
}
