package overload

import "time"

const (
	// deadlinePeriod is half of the longest time for which a stated deadline counts: callers that
	// state longer ones than all others of the last 5 to 10 s have left.
	deadlinePeriod = 5 * time.Second
	// ageTolerance is the part of the whole deadline by which a first attempt may fall short of it.
	// Callers round their deadlines and count from before they open a connection.
	ageTolerance = 0.03
	// minWholeShare is the least share of the requests that must state the largest deadline for it
	// to count as the whole one. Without it one caller with a long deadline would make all others
	// of the route look old. Of the callers that return after boxes were down for 2 s, about 0.05
	// state a deadline within the tolerance.
	minWholeShare = 0.02
)

// deadlines is the deadlines that the callers of a route have stated in the current period, which
// began at since, and in the one before.
type deadlines struct {
	since             time.Time
	current, previous period
}

// period is the deadlines stated in a period: the largest, how many requests stated it within the
// tolerance, and how many requests there were.
type period struct {
	largest      time.Duration
	whole, total int
}

// observe records a stated deadline and returns the age of its request.
func (d *deadlines) observe(now time.Time, stated time.Duration) time.Duration {
	if elapsed := now.Sub(d.since); elapsed >= deadlinePeriod {
		d.previous = d.current
		if elapsed >= 2*deadlinePeriod {
			d.previous = period{}
		}
		d.current, d.since = period{}, now
	}
	d.current = d.current.with(stated)
	largest := max(d.current.largest, d.previous.largest)
	whole := d.current.wholeFor(largest) + d.previous.wholeFor(largest)
	if !isBelow(stated, largest) || float64(whole) < minWholeShare*float64(d.current.total+d.previous.total) {
		return 0
	}
	return largest - stated
}

func (p period) with(stated time.Duration) period {
	p.total++
	if isBelow(p.largest, stated) {
		p.whole = 0
	}
	if !isBelow(stated, p.largest) {
		p.whole++
	}
	p.largest = max(p.largest, stated)
	return p
}

// wholeFor returns how many requests of the period stated a deadline that counts as the largest.
func (p period) wholeFor(largest time.Duration) int {
	if isBelow(p.largest, largest) {
		return 0
	}
	return p.whole
}

// isBelow reports whether a deadline is smaller than another by more than the tolerance.
func isBelow(stated, largest time.Duration) bool {
	return float64(stated) < (1-ageTolerance)*float64(largest)
}
