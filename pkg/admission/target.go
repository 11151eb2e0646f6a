package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// latencyWeight is the share of the newest latency in the moving mean.
	latencyWeight = 0.1
	// shedRecovery is how long a target must not shed to be given one of its
	// slots back.
	shedRecovery = 500 * time.Millisecond
	// maxEjectDoublings bounds how long a target that fails again is left out.
	maxEjectDoublings = 5
	// minLatency keeps a target without a history comparable.
	minLatency = 0.0005
)

// target is what the pool knows of one target.
type target struct {
	name     string
	draining bool
	removed  bool

	inFlight int
	peak     int

	unready       bool
	saysDraining  bool
	foreign       int
	foreignExpiry time.Time

	rampFrom time.Time

	shed   int
	shedAt time.Time

	failures     int
	failedAt     time.Time
	ejections    int
	ejectedUntil time.Time
	probing      bool

	latency float64
	rate    rate
	// backOff is until when the target asked this box to send it nothing, and leavingAt when
	// its last answer came that reported that it leaves; zero for none.
	backOff   targetstatus.BackOff
	leavingAt time.Time
}

// inService reports whether the target may get new work.
func (t *target) inService(now time.Time) bool {
	return t.isServing(now) && !now.Before(t.ejectedUntil) && !t.backOff.IsActive(now)
}

// isServing is inService but for ejections and back-offs, which end by themselves.
func (t *target) isServing(now time.Time) bool {
	return !t.draining && !t.removed && !t.unready && !t.saysDraining && !t.isLeaving(now)
}

// limit returns how many requests the target may have in flight.
func (t *target) limit(now time.Time, c Config) int {
	if !t.inService(now) {
		return 0
	}
	n := c.Slots
	if t.probing {
		n = 1
	}
	if since := now.Sub(t.rampFrom); !t.rampFrom.IsZero() && since < c.RampUp {
		n = min(n, 1+int(float64(c.Slots-1)*float64(since)/float64(c.RampUp)))
	}
	n = t.backOff.Limit(now, n)
	n -= t.shedding(now)
	n -= t.foreignBusy(now)
	return max(n, 0)
}

// shedding returns how many slots are withheld because the target refused
// work; at least one is left.
func (t *target) shedding(now time.Time) int {
	back := int(now.Sub(t.shedAt) / shedRecovery)
	return max(t.shed-back, 0)
}

// foreignBusy returns how many requests the target runs that this pool has not
// granted, such as those of a lease holder that has died.
func (t *target) foreignBusy(now time.Time) int {
	if !now.Before(t.foreignExpiry) {
		return 0
	}
	return t.foreign
}

func (t *target) free(now time.Time, c Config) int {
	slots := max(t.limit(now, c)-t.inFlight, 0)
	if !t.rate.hasLimit() {
		return slots
	}
	return min(slots, t.rate.free(now))
}

// measure takes what the target says of itself. It can take slots away and
// give back only what an earlier measurement took.
func (t *target) measure(now time.Time, m HealthReport, c Config) {
	cameBack := t.unready && m.Ready
	if cameBack || t.saysDraining && !m.Draining {
		t.leavingAt = time.Time{} // the next incarnation answers
	}
	t.unready = !m.Ready
	t.saysDraining = m.Draining
	if cameBack || (m.Cold && t.rampFrom.IsZero()) {
		t.rampFrom = now
	}
	if m.Busy >= 0 {
		t.foreign = max(m.Busy-max(t.peak, t.inFlight), 0)
		t.foreignExpiry = now.Add(c.MaxRequestTime)
		t.peak = t.inFlight
	}
}

func (t *target) granted() {
	t.inFlight++
	t.rate.grant()
	t.peak = max(t.peak, t.inFlight)
}

// finished takes the end of a request into account.
func (t *target) finished(now time.Time, e Finish, c Config) {
	t.inFlight--
	switch e.Result {
	case Succeeded:
		t.observe(e.Latency)
		t.failures = 0
		t.backOff = t.backOff.WithRun(now, c.Slots)
		if t.probing {
			t.probing = false
			t.ejections = 0
			t.rampFrom = now
		}
	case Shed:
		t.shed = min(t.shedding(now)+1, c.Slots-1)
		t.shedAt = now
	case Failed:
		t.failures++
		t.failedAt = now
	case Canceled:
	}
}

func (t *target) observe(latency time.Duration) {
	s := latency.Seconds()
	if t.latency == 0 {
		t.latency = s
		return
	}
	t.latency += latencyWeight * (s - t.latency)
}

// eject leaves the target out, longer each time, and lets one request at a
// time try it afterwards.
func (t *target) eject(now time.Time, c Config) {
	doublings := min(t.ejections, maxEjectDoublings)
	t.ejectedUntil = now.Add(c.EjectionTime << doublings)
	t.ejections++
	t.failures = 0
	t.probing = true
}

// score orders targets: the lower, the sooner a request is likely to be
// answered there. A target that has just failed comes after all others for as
// long as it would be left out.
func (t *target) score(now time.Time, c Config) float64 {
	slots := t.limit(now, c)
	if t.backOff.IsRecovering() {
		slots = c.Slots // it would be chosen last, and not recover while others are idle
	}
	load := float64(t.inFlight+1) / float64(max(slots, 1))
	score := load * max(t.latency, minLatency)
	if t.failures > 0 && now.Sub(t.failedAt) < c.EjectionTime {
		score *= failurePenalty
	}
	return score
}

const failurePenalty = 100
