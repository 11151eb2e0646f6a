package lookup

import "time"

// StartupGate decides when a control replica that has started knows enough entry boxes
// to answer lookups. An answer with only a few of them would send all callers to these
// boxes until it expires.
type StartupGate struct {
	// wait is the delay between the first report and the first answer.
	wait time.Duration
	// firstReport is when the first box reported that it serves.
	firstReport time.Time
}

const (
	// memberWait applies to a replica that was a member before it started: every box
	// knows its address and retries a report each retryInterval, and a connection and a
	// call over the longest path take 0.14 s.
	memberWait = 280 * time.Millisecond
	// newReplicaWait applies to a replica that the boxes must first discover: they
	// query the membership once a second.
	newReplicaWait = 1200 * time.Millisecond
)

// NewStartupGate returns the gate of a replica that has just started; member is true if
// the replica was a member before.
func NewStartupGate(member bool) *StartupGate {
	if member {
		return &StartupGate{wait: memberWait}
	}
	return &StartupGate{wait: newReplicaWait}
}

// BoxReported records that a box has reported that it serves.
func (g *StartupGate) BoxReported(now time.Time) {
	if g.firstReport.IsZero() {
		g.firstReport = now
	}
}

// Ready reports whether the replica can answer lookups.
func (g *StartupGate) Ready(now time.Time) bool {
	return !g.firstReport.IsZero() && now.Sub(g.firstReport) >= g.wait
}
