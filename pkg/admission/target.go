package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// latencyWeight is the weight of one observation in the mean latency.
	latencyWeight = 0.1
	// shedRecovery is how long a target must not shed any request to get one withheld slot back.
	shedRecovery = 500 * time.Millisecond
	// maxEjectDoublings limits how often the ejection time of a target that keeps failing doubles.
	maxEjectDoublings = 5
	// minLatency makes a target without measurements comparable to the others, in seconds.
	minLatency = 0.0005
)

// target is the state that the pool keeps for one target.
type target struct {
	name     string
	draining bool
	removed  bool

	inFlight     int
	peakInFlight int

	unready            bool
	reportsDraining    bool
	otherRequests      int
	otherRequestsUntil time.Time

	rampStart time.Time

	withheldSlots int
	shedAt        time.Time

	failures     int
	failedAt     time.Time
	ejections    int
	ejectedUntil time.Time
	probing      bool

	latency float64
	limiter rateLimiter
	// backOff is the back-off that the target asked this box for, and leavingReportedAt the time of
	// its last response that reported that it is leaving; zero for none.
	backOff           targetstatus.BackOff
	leavingReportedAt time.Time
}

// inService reports whether the target may get new work.
func (t *target) inService(now time.Time) bool {
	return t.isServing(now) && !now.Before(t.ejectedUntil) && !t.backOff.IsActive(now)
}

// isServing is inService without ejections and back-offs, which end by themselves.
func (t *target) isServing(now time.Time) bool {
	return !t.draining && !t.removed && !t.unready && !t.reportsDraining && !t.isLeaving(now)
}

// maxInFlight returns how many requests the target may have in flight.
func (t *target) maxInFlight(now time.Time, c Config) int {
	if !t.inService(now) {
		return 0
	}
	n := c.Slots
	if t.probing {
		n = 1
	}
	if since := now.Sub(t.rampStart); !t.rampStart.IsZero() && since < c.RampUp {
		n = min(n, 1+int(float64(c.Slots-1)*float64(since)/float64(c.RampUp)))
	}
	n = t.backOff.Limit(now, n)
	n -= t.withheldSlotsAt(now)
	n -= t.otherLoad(now)
	return max(n, 0)
}

// withheldSlotsAt returns how many slots are withheld because the target rejected work; at least
// one slot is left.
func (t *target) withheldSlotsAt(now time.Time) int {
	recovered := int(now.Sub(t.shedAt) / shedRecovery)
	return max(t.withheldSlots-recovered, 0)
}

// otherLoad returns how many requests the target runs that this pool has not granted, such as those
// granted by a lease holder that has died.
func (t *target) otherLoad(now time.Time) int {
	if !now.Before(t.otherRequestsUntil) {
		return 0
	}
	return t.otherRequests
}

func (t *target) freeSlots(now time.Time, c Config) int {
	slots := max(t.maxInFlight(now, c)-t.inFlight, 0)
	if !t.limiter.hasLimit() {
		return slots
	}
	return min(slots, t.limiter.available(now))
}

// applyHealthReport applies a health report of the target. It can withhold slots, and give back
// only those that an earlier report withheld.
func (t *target) applyHealthReport(now time.Time, report HealthReport, c Config) {
	becameReady := t.unready && report.Ready
	if becameReady || t.reportsDraining && !report.Draining {
		t.leavingReportedAt = time.Time{} // the next incarnation has responded
	}
	t.unready = !report.Ready
	t.reportsDraining = report.Draining
	if becameReady || (report.Cold && t.rampStart.IsZero()) {
		t.rampStart = now
	}
	if report.Busy >= 0 {
		t.otherRequests = max(report.Busy-max(t.peakInFlight, t.inFlight), 0)
		t.otherRequestsUntil = now.Add(c.MaxRequestTime)
		t.peakInFlight = t.inFlight
	}
}

func (t *target) recordGrant() {
	t.inFlight++
	t.limiter.consume()
	t.peakInFlight = max(t.peakInFlight, t.inFlight)
}

// recordResult updates the target's state by the result of a request.
func (t *target) recordResult(now time.Time, result Result, latency time.Duration, c Config) {
	switch result {
	case Succeeded:
		t.observeLatency(latency)
		t.failures = 0
		t.backOff = t.backOff.WithRun(now, c.Slots)
		if t.probing {
			t.probing = false
			t.ejections = 0
			t.rampStart = now
		}
	case Shed:
		t.withheldSlots = min(t.withheldSlotsAt(now)+1, c.Slots-1)
		t.shedAt = now
	case Failed:
		t.failures++
		t.failedAt = now
	case Canceled:
	}
}

func (t *target) observeLatency(latency time.Duration) {
	s := latency.Seconds()
	if t.latency == 0 {
		t.latency = s
		return
	}
	t.latency += latencyWeight * (s - t.latency)
}

// eject ejects the target, for longer each time, and then lets one trial request through at a time.
func (t *target) eject(now time.Time, c Config) {
	doublings := min(t.ejections, maxEjectDoublings)
	t.ejectedUntil = now.Add(c.EjectionTime << doublings)
	t.ejections++
	t.failures = 0
	t.probing = true
}

// score ranks targets: the lower the score, the sooner a request is likely to be answered. For
// EjectionTime after a failure, failurePenalty ranks a target after the others.
func (t *target) score(now time.Time, c Config) float64 {
	slots := t.maxInFlight(now, c)
	if t.backOff.IsRecovering() {
		slots = c.Slots // otherwise it would be chosen last and not recover while others are idle
	}
	load := float64(t.inFlight+1) / float64(max(slots, 1))
	score := load * max(t.latency, minLatency)
	if t.failures > 0 && now.Sub(t.failedAt) < c.EjectionTime {
		score *= failurePenalty
	}
	return score
}

const failurePenalty = 100
