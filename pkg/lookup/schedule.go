package lookup

import (
	"slices"
	"time"
)

// retryInterval is the delay before a report that a replica did not accept is repeated
// for the first time. It doubles with each further one, up to the interval of reports: a
// replica that is too busy to answer in time would get several times the usual reports.
// A replica that starts answers no lookup before boxes have reported to it. Callers
// without an answer have no box to use and wait only a second, so the interval is short
// against that second. An attempt to reach a process that is down costs a box about 0.1
// ms of processor time.
const retryInterval = 120 * time.Millisecond

// maxRetryDoublings keeps the delay from overflowing.
const maxRetryDoublings = 8

// ReportSchedule decides when an entry box reports to which control replica. Each
// replica has its own due time, so that an unresponsive replica does not delay reports
// to others. It is a state machine without I/O.
type ReportSchedule struct {
	interval time.Duration
	replicas map[string]*replicaSchedule
}

// replicaSchedule is the schedule of reports to one replica.
type replicaSchedule struct {
	due time.Time
	// failures counts the reports since the last one that was accepted.
	failures int
	// inFlight is true while a report is in flight, changedInFlight if the content of
	// the report has changed since it was sent.
	inFlight        bool
	changedInFlight bool
}

// NewReportSchedule returns a schedule without replicas.
func NewReportSchedule() *ReportSchedule {
	return &ReportSchedule{interval: minReportInterval, replicas: make(map[string]*replicaSchedule)}
}

// SetInterval sets the interval of reports to a replica that accepts them.
func (s *ReportSchedule) SetInterval(interval time.Duration) { s.interval = interval }

// SetReplicas sets the replicas. A report to a new one is due at once.
func (s *ReportSchedule) SetReplicas(now time.Time, addresses []string) {
	for address := range s.replicas {
		if !slices.Contains(addresses, address) {
			delete(s.replicas, address)
		}
	}
	for _, address := range addresses {
		if s.replicas[address] == nil {
			s.replicas[address] = &replicaSchedule{due: now}
		}
	}
}

// MarkChanged makes a report to every replica due at once, because its content has
// changed.
func (s *ReportSchedule) MarkChanged(now time.Time) {
	for _, r := range s.replicas {
		r.due = now
		r.changedInFlight = r.inFlight
	}
}

// Due returns the addresses, in order, of the replicas to report to now. The caller
// must call ReportEnded for each of them. next is when the next report is due, or zero
// if none is due before a report ends or the replicas or the content change.
func (s *ReportSchedule) Due(now time.Time) (addresses []string, next time.Time) {
	for address, r := range s.replicas {
		if r.inFlight {
			continue
		}
		if !now.Before(r.due) {
			r.inFlight = true
			r.due = now.Add(s.interval)
			addresses = append(addresses, address)
			continue
		}
		if next.IsZero() || r.due.Before(next) {
			next = r.due
		}
	}
	slices.Sort(addresses)
	return addresses, next
}

// ReportEnded records the end of a report; accepted is true if the replica has received
// it.
func (s *ReportSchedule) ReportEnded(now time.Time, address string, accepted bool) {
	r := s.replicas[address]
	if r == nil {
		return
	}
	r.inFlight = false
	if accepted {
		r.failures = 0
	}
	switch {
	case r.changedInFlight:
		r.changedInFlight = false
		r.due = now
	case !accepted:
		r.due = now.Add(min(retryInterval<<min(r.failures, maxRetryDoublings), s.interval))
		r.failures++
	}
}
