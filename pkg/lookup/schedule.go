package lookup

import (
	"slices"
	"time"
)

// repeatInterval is how soon a replica that did not take a report is told
// again. One that starts answers no look-up before boxes have reported, and
// callers without an answer have nowhere to go, so it is short against the
// second that they wait; an attempt at a process that is down costs a box about
// 0.1 ms of processor time.
const repeatInterval = 120 * time.Millisecond

// ReportSchedule decides when an entry box reports to which control replica.
// Each replica has its own times, so that one that does not answer delays no
// report to another. It is a state machine without I/O.
type ReportSchedule struct {
	interval time.Duration
	replicas map[string]*replicaReports
}

// replicaReports are the reports to one replica.
type replicaReports struct {
	due time.Time
	// open tells that a report is under way, and again that what it says has
	// changed since.
	open  bool
	again bool
}

// NewReportSchedule returns a schedule without replicas.
func NewReportSchedule() *ReportSchedule {
	return &ReportSchedule{interval: leastReportInterval, replicas: make(map[string]*replicaReports)}
}

// SetInterval sets the time between two reports to a replica that takes them.
func (s *ReportSchedule) SetInterval(interval time.Duration) { s.interval = interval }

// SetReplicas names the replicas; one that is new is due at once.
func (s *ReportSchedule) SetReplicas(now time.Time, addresses []string) {
	for address := range s.replicas {
		if !slices.Contains(addresses, address) {
			delete(s.replicas, address)
		}
	}
	for _, address := range addresses {
		if s.replicas[address] == nil {
			s.replicas[address] = &replicaReports{due: now}
		}
	}
}

// MarkChanged makes a report to every replica due at once.
func (s *ReportSchedule) MarkChanged(now time.Time) {
	for _, r := range s.replicas {
		r.due = now
		r.again = r.open
	}
}

// Due returns the replicas to report to now, in order of their addresses; Ended
// must follow for each. Next is when to ask again unless something happens
// before; it is zero if nothing is due by itself.
func (s *ReportSchedule) Due(now time.Time) (addresses []string, next time.Time) {
	for address, r := range s.replicas {
		if r.open {
			continue
		}
		if !now.Before(r.due) {
			r.open = true
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

// ReportEnded takes the end of a report; taken tells that the replica has it.
func (s *ReportSchedule) ReportEnded(now time.Time, address string, taken bool) {
	r := s.replicas[address]
	if r == nil {
		return
	}
	r.open = false
	switch {
	case r.again:
		r.again = false
		r.due = now
	case !taken:
		r.due = now.Add(repeatInterval)
	}
}
