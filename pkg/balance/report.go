package balance

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Outcome is the result of a request at a target.
type Outcome int

// The outcomes of a request at a target.
const (
	// Answered: the target responded.
	Answered Outcome = iota
	// TurnedAway: the target was full or wanted no requests from this box, and rejected the request
	// without running it.
	TurnedAway
	// Unreachable: no connection could be made.
	Unreachable
	// Stuck: no response arrived in time.
	Stuck
	// Broken: the connection or the response broke off.
	Broken
	// Dropped: the caller canceled the request.
	Dropped
	// Withdrawn: the request was not sent, because the target stopped being usable after the
	// choice.
	Withdrawn
	// NoPath: this box had no path to the target, by its own connections or through another box, or
	// lost it. That says nothing about the target.
	NoPath
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "turnedAway", "unreachable", "stuck", "broken", "dropped", "withdrawn", "noPath"}[o]
}

// Report is the result of a request at a target.
type Report struct {
	TargetID string
	Route    string
	Outcome  Outcome
	// Took is the time until the response.
	Took time.Duration
	// Load is the load that the response reported, if HasLoad is set.
	Load    targetstatus.Load
	HasLoad bool
	// Connect is how long it took to open a new connection; zero if an existing one was used.
	Connect time.Duration
	// AffinityKey is that of the request, and Failed is set if the target responded with a failure of
	// its own. They are evidence during a roll-out.
	AffinityKey string
	Failed      bool
	// MarkedOverdue is set if MarkOverdue was called for the request before.
	MarkedOverdue bool
}

// Change is the effect of a report on its target.
type Change int

// The effects of a report on its target.
const (
	Unchanged Change = iota
	// Ejected: the target could not be reached, did not respond or broke several responses in a
	// row, and receives nothing for a while.
	Ejected
	// Readmitted: a target that was ejected has responded.
	Readmitted
)

// MarkOverdue records that a request has had no response within its hedge delay. The request stays
// in flight until Done. The target is ejected for a while unless it has responded to another
// request since.
func (b *Balancer) MarkOverdue(now time.Time, r Report) Change {
	t := b.byID[r.TargetID]
	if t == nil {
		return Unchanged
	}
	t.recordOverdue()
	if t.answeredSince(now.Add(-r.Took)) {
		return Unchanged
	}
	t.eject(now)
	return Ejected
}

// Done records the result of a request and ends it at its target.
func (b *Balancer) Done(now time.Time, r Report) Change {
	t := b.byID[r.TargetID]
	if t == nil {
		return Unchanged
	}
	if r.HasLoad {
		t.capacity = b.capacityOf(t).withLoad(r.Load)
		t.observeLoad(now, r.Load)
	}
	b.observeRoundTrip(t.Region, r.Connect)
	t.recordEnd(r.MarkedOverdue)
	if r.Outcome == Answered || r.Outcome == TurnedAway {
		load := b.loadPerSlot(t, r)
		b.service(t.Service).load.observe(load)
		if t.Region == b.config.Region {
			b.service(t.Service).division.ObserveLocalLoad(load)
		}
	}
	b.recordVersionResult(now, t, r)
	wasEjected := t.failures > 0
	switch r.Outcome {
	case Answered:
		b.observeServiceTime(now, t, r)
		t.backOff = t.backOff.WithRun(now, t.Slots)
	case TurnedAway:
		b.observeRejection(now, t, r)
	case Unreachable, Stuck:
		if r.MarkedOverdue || t.answeredSince(now.Add(-r.Took)) {
			return Unchanged
		}
		t.eject(now)
		return Ejected
	case Broken:
		if t.brokenAnswers++; t.brokenAnswers >= maxBrokenAnswers {
			t.eject(now)
			return Ejected
		}
		return Unchanged
	case Dropped, Withdrawn, NoPath:
		return Unchanged
	}
	t.lastAnswerAt = now
	t.failures = 0
	t.brokenAnswers = 0
	if wasEjected {
		return Readmitted
	}
	return Unchanged
}

func (b *Balancer) observeRoundTrip(region string, connect time.Duration) {
	if connect <= 0 {
		return
	}
	if known, ok := b.roundTrips[region]; !ok || connect < known {
		b.roundTrips[region] = connect
	}
}

func (b *Balancer) observeServiceTime(now time.Time, t *targetState, r Report) {
	if times := b.routeTimes[r.Route]; times != nil {
		times.observe(r.Took)
	}
	s := b.service(t.Service)
	s.division.ObserveRun(now, r.Took)
	if s.meanTime == 0 {
		s.meanTime = r.Took
	}
	t.observeRelativeLatency(now, float64(r.Took)/float64(max(s.meanTime, time.Millisecond)))
	s.meanTime = movingAverage(s.meanTime, r.Took)
}

// observeRejection treats a target that rejected a request as full for a while, even if it reports
// no load.
func (b *Balancer) observeRejection(now time.Time, t *targetState, r Report) {
	if r.HasLoad {
		return
	}
	t.otherLoad = max(float64(t.Slots-t.inFlight), t.otherLoad)
	t.otherLoadAt = now
}
