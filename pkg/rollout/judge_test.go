package rollout

import (
	"fmt"
	"testing"
	"time"
)

// feed passes responses to a judge, ten times a second: of each 10 requests one goes to the version.
// bad returns how many of count responses of a target are bad.
func feed(j *Judge, length time.Duration, bad func(at time.Duration, target int) bool, previousBad func(at time.Duration, n int) bool) (found *Finding, at time.Duration, badCount int) {
	const targets = 10
	start := time.Unix(0, 0)
	n := 0
	for at := time.Duration(0); at < length; at += 100 * time.Millisecond {
		for range 5 {
			n++
			c := Counts{Answers: 1}
			if bad(at, n%targets) {
				badCount++
				c.Bad, c.BadTargets = 1, map[string]uint64{fmt.Sprint(n % targets): 1}
			}
			for i := range 9 {
				c.PreviousAnswers++
				if previousBad(at, n*9+i) {
					c.PreviousBad++
				}
			}
			j.Add(start.Add(at), "r", c)
		}
		if f, ok := j.Finding(start.Add(at), targets, ControlThreshold); ok {
			return &f, at, badCount
		}
	}
	return nil, length, badCount
}

func never(time.Duration, int) bool { return false }

// Guards against a version that is found too late: each must be found before its 50th bad response.
func TestBadVersionIsFoundEarly(t *testing.T) {
	random := func(at time.Duration, target int) bool { return (int(at/time.Millisecond)*7+target*13)%10 < 3 }
	for name, bad := range map[string]func(time.Duration, int) bool{
		"all fail":              func(time.Duration, int) bool { return true },
		"a third fails":         random,
		"fails after 10 s":      func(at time.Duration, n int) bool { return at > 10*time.Second && random(at, n) },
		"all fail after 20 s":   func(at time.Duration, _ int) bool { return at > 20*time.Second },
		"fails during a second": func(at time.Duration, _ int) bool { return at > 5*time.Second && at < 6*time.Second },
	} {
		f, at, count := feed(NewJudge(), 30*time.Second, bad, never)
		if f == nil || count > 50 {
			t.Errorf("%s: found %v at %s after %d bad responses", name, f, at, count)
		}
	}
}

// Guards against a good version that is rolled back for what is not its fault.
func TestGoodVersionIsNotBlamed(t *testing.T) {
	burst := func(at time.Duration, n int) bool { return at > 5*time.Second && at < 9*time.Second && n%10 < 6 }
	for name, c := range map[string]struct{ bad, previous func(time.Duration, int) bool }{
		"nothing is bad":       {never, never},
		"one target is bad":    {func(_ time.Duration, target int) bool { return target == 3 }, never},
		"a burst slows both":   {burst, burst},
		"both fail at random":  {func(_ time.Duration, n int) bool { return n%10 == 0 }, func(_ time.Duration, n int) bool { return n%10 == 0 }},
		"few are bad":          {func(at time.Duration, n int) bool { return at%(2*time.Second) == 0 && n == 1 }, never},
		"only the others fail": {never, func(_ time.Duration, n int) bool { return n%2 == 0 }},
	} {
		if f, at, _ := feed(NewJudge(), 30*time.Second, c.bad, c.previous); f != nil {
			t.Errorf("%s: %s at %s", name, f, at)
		}
	}
}

func ExampleFinding() {
	fmt.Println(Finding{Route: "flag-read", Counts: Counts{Answers: 60, Bad: 14, PreviousAnswers: 540, PreviousBad: 5}})
	// Output: route flag-read: 14 of 60 responses of the version failed or were slow, of the other versions 5 of 540
}
