package balance

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Outcome is what became of a request at a target.
type Outcome int

// The outcomes of a request at a target.
const (
	// Answered: the target gave its answer.
	Answered Outcome = iota
	// TurnedAway: the target was full, or wants nothing from this box, and did not run it.
	TurnedAway
	// Unreachable: no connection was had.
	Unreachable
	// Stuck: no answer came in time.
	Stuck
	// Broken: the connection or the answer broke.
	Broken
	// Dropped: the caller left.
	Dropped
	// Withdrawn: it was not sent, as the target was closed to requests after it was chosen.
	Withdrawn
)

// String returns the name as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"answered", "turnedAway", "unreachable", "stuck", "broken", "dropped", "withdrawn"}[o]
}

// Report tells what became of a request at a target.
type Report struct {
	TargetID string
	Route    string
	Outcome  Outcome
	// Took is the time to the answer.
	Took time.Duration
	// Load is what the answer told, if HasLoad.
	Load    targetstatus.Load
	HasLoad bool
	// Connect is how long a new connection took to come up; zero if none was made.
	Connect time.Duration
	// MarkedOverdue says that Overdue was told of the request before.
	MarkedOverdue bool
}

// Change is what a report changed about a target.
type Change int

// The changes of a target.
const (
	Unchanged Change = iota
	// Ejected: the target could not be reached and gets nothing for a while.
	Ejected
	// Readmitted: a target that was left out has answered.
	Readmitted
)

// MarkOverdue takes that a request which is counted at a target, and stays so until Done,
// has had no answer for as long as one is waited for. The target is left out for a
// while unless it has answered another request since.
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

// Done takes what became of a request that was counted at a target.
func (b *Balancer) Done(now time.Time, r Report) Change {
	t := b.byID[r.TargetID]
	if t == nil {
		return Unchanged
	}
	if r.HasLoad {
		t.room = b.roomOf(t).withLoad(r.Load)
		t.observeLoad(now, r.Load)
	}
	b.observeDistance(t.Region, r.Connect)
	t.recordEnd(r.MarkedOverdue)
	if r.Outcome == Answered || r.Outcome == TurnedAway {
		b.service(t.Service).crowd.note(b.crowdLoad(t, r))
	}
	wasOut := t.failures > 0
	switch r.Outcome {
	case Answered:
		b.observeTime(now, t, r)
		t.backOff = t.backOff.WithRun(now, t.Slots)
	case TurnedAway:
		b.observeFull(now, t, r)
	case Unreachable, Stuck:
		if r.MarkedOverdue || t.answeredSince(now.Add(-r.Took)) {
			return Unchanged
		}
		t.eject(now)
		return Ejected
	case Broken:
		if t.broken++; t.broken >= maxBroken {
			t.eject(now)
			return Ejected
		}
		return Unchanged
	case Dropped, Withdrawn:
		return Unchanged
	}
	t.answeredAt = now
	t.failures = 0
	t.broken = 0
	if wasOut {
		return Readmitted
	}
	return Unchanged
}

func (b *Balancer) observeDistance(region string, connect time.Duration) {
	if connect <= 0 {
		return
	}
	if known, ok := b.distances[region]; !ok || connect < known {
		b.distances[region] = connect
	}
}

func (b *Balancer) observeTime(now time.Time, t *targetState, r Report) {
	if learned := b.times[r.Route]; learned != nil {
		learned.note(r.Took)
	}
	s := b.service(t.Service)
	if s.mean == 0 {
		s.mean = r.Took
	}
	t.observePace(now, float64(r.Took)/float64(max(s.mean, time.Millisecond)))
	s.mean = average(s.mean, r.Took)
}

// observeFull makes a target that turned a request away count as full for a
// while, also where it does not tell its load.
func (b *Balancer) observeFull(now time.Time, t *targetState, r Report) {
	if r.HasLoad {
		return
	}
	t.foreign = max(float64(t.Slots-t.inFlight), t.foreign)
	t.foreignAt = now
}
