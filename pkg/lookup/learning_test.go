package lookup

import (
	"testing"
	"time"
)

// A replica that starts answers once the other boxes can have reported too.
func TestLearningWaitsForTheOtherBoxes(t *testing.T) {
	for _, c := range []struct {
		member bool
		wait   time.Duration
	}{{true, learnAgain}, {false, learnNew}} {
		l := NewStartupGate(c.member)
		now := time.Unix(0, 0)
		if l.Ready(now) || l.Ready(now.Add(time.Minute)) {
			t.Error("no box is known")
		}
		l.BoxReported(now)
		l.BoxReported(now.Add(c.wait / 2))
		if l.Ready(now) || l.Ready(now.Add(c.wait-1)) {
			t.Errorf("member %v: the first box alone is named", c.member)
		}
		if !l.Ready(now.Add(c.wait)) {
			t.Errorf("member %v: no answer after %v", c.member, c.wait)
		}
	}
}
