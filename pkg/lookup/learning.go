package lookup

import "time"

// StartupGate decides when a control replica that has started knows the entry
// boxes well enough to answer look-ups. An answer that names a few of them only
// would send all callers there, for as long as it is kept.
type StartupGate struct {
	// wait is the time from the first report to the first answer.
	wait time.Duration
	// first is when the first box reported that it serves.
	first time.Time
}

const (
	// learnAgain is for replicas that stood in the membership before they
	// started: every box knows them and tries them each repeatInterval, and a
	// connection and a call over the longest way take 0.14 s.
	learnAgain = 280 * time.Millisecond
	// learnNew is for replicas that the boxes have to hear of first: they ask
	// for the membership once a second.
	learnNew = 1200 * time.Millisecond
)

// NewStartupGate returns the learning of a replica that has just started; member
// tells that it stood in the membership before.
func NewStartupGate(member bool) *StartupGate {
	if member {
		return &StartupGate{wait: learnAgain}
	}
	return &StartupGate{wait: learnNew}
}

// BoxReported takes that a box has reported that it serves.
func (l *StartupGate) BoxReported(now time.Time) {
	if l.first.IsZero() {
		l.first = now
	}
}

// Ready reports whether look-ups can be answered.
func (l *StartupGate) Ready(now time.Time) bool {
	return !l.first.IsZero() && now.Sub(l.first) >= l.wait
}
