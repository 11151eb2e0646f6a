package lookup

import (
	"testing"
	"time"
)

// TestStartupGateWaitsForOtherBoxes checks that a replica that starts answers lookups
// only once the other boxes have had time to report.
func TestStartupGateWaitsForOtherBoxes(t *testing.T) {
	for _, c := range []struct {
		member bool
		wait   time.Duration
	}{{true, memberWait}, {false, newReplicaWait}} {
		g := NewStartupGate(c.member)
		now := time.Unix(0, 0)
		if g.Ready(now) || g.Ready(now.Add(time.Minute)) {
			t.Error("ready before any box has reported")
		}
		g.BoxReported(now)
		g.BoxReported(now.Add(c.wait / 2))
		if g.Ready(now) || g.Ready(now.Add(c.wait-1)) {
			t.Errorf("member %v: ready before the other boxes have had time to report", c.member)
		}
		if !g.Ready(now.Add(c.wait)) {
			t.Errorf("member %v: not ready %v after the first report", c.member, c.wait)
		}
	}
}
