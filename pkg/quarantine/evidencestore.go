package quarantine

import (
	"bytes"
	"slices"
	"time"
)

const (
	// maxSuspects bounds the requests of which a replica keeps evidence: 4,096 of about 400
	// bytes each are 1.6 MB. A box with 20 requests at each of 200 targets that crash together
	// leaves that many.
	maxSuspects = 4096
	// maxChanges bounds the changes that one call returns, so that they don't fill the log.
	maxChanges = 16
)

// ListChange changes the replicated list: it adds or replaces an entry, or releases it.
type ListChange struct {
	Entry   Entry
	Release bool
	// Reason is the reason for the log.
	Reason string
}

// suspect is a replica's evidence about one request.
type suspect struct {
	record
	// listed is true once the request has been seen on the list.
	listed bool
}

// EvidenceStore collects, at a control replica, the reports of boxes about requests that
// crashed targets. Boxes report to every replica, so that any of them can lead. The caller
// provides locking.
type EvidenceStore struct {
	suspects map[Digest]*suspect
}

// NewEvidenceStore returns an empty store.
func NewEvidenceStore() *EvidenceStore { return &EvidenceStore{suspects: make(map[Digest]*suspect)} }

// Len returns the number of requests with evidence.
func (es *EvidenceStore) Len() int { return len(es.suspects) }

// RecordCrash records a crash that a box reported.
func (es *EvidenceStore) RecordCrash(now time.Time, e Crash) { es.get(e.Request).addCrash(now, e) }

// RecordAnswer records that a suspected request was answered.
func (es *EvidenceStore) RecordAnswer(now time.Time, d Digest, c Caller, at time.Time) {
	es.get(d).addAnswer(now, c, at)
}

// get returns the evidence about a request. A new suspect evicts the weakest one if the
// store is full.
func (es *EvidenceStore) get(d Digest) *suspect {
	s := es.suspects[d]
	if s != nil {
		return s
	}
	if len(es.suspects) >= maxSuspects {
		delete(es.suspects, weakestRecord(es.suspects, func(s *suspect) *record { return &s.record }))
	}
	s = &suspect{}
	es.suspects[d] = s
	return s
}

// PendingChanges returns the changes that a leader has to make to the list; wall is the
// wall clock time. A change is returned again until the list reflects it.
func (es *EvidenceStore) PendingChanges(now, wall time.Time, list []Entry) []ListChange {
	known := groupByDigest(list)
	var out []ListChange
	for _, e := range list {
		if !wall.Before(e.Until) {
			out = append(out, ListChange{Entry: e, Release: true, Reason: "the entry has expired"})
		}
	}
	for d, s := range es.suspects {
		if !es.updateListed(now, d, s, len(known[d]) > 0) {
			continue
		}
		out = append(out, s.changes(now, wall, known[d])...)
	}
	slices.SortStableFunc(out, func(a, b ListChange) int { return bytes.Compare(a.Entry.Request[:], b.Entry.Request[:]) })
	return out[:min(len(out), maxChanges)]
}

// updateListed records whether a suspect is on the list, and reports whether it is still
// a suspect: one that left the list was released, and its evidence is dropped.
func (es *EvidenceStore) updateListed(now time.Time, d Digest, s *suspect, listed bool) bool {
	if s.listed && !listed || !listed && s.isExpired(now) {
		delete(es.suspects, d)
		return false
	}
	if listed && !s.listed {
		s.listed = true
		s.probationSince = now
	}
	return true
}

// changes returns the changes to make for one request.
func (s *suspect) changes(now, wall time.Time, entries []Entry) []ListChange {
	for _, found := range s.evidence(now) {
		if !s.listed || !s.isConclusive(found) || isHeld(entries, found.against) {
			continue
		}
		e := s.newEntry(now, found.against)
		e.Held = true
		e.Until = wall.Add(quarantineTime)
		return []ListChange{{Entry: e, Reason: "targets crashed one after another while they ran it"}}
	}
	if s.maxCrashedTargets(now) >= probationThreshold && len(entries) == 0 {
		e := s.probationEntry(now)
		e.Until = wall.Add(probationTime)
		return []ListChange{{Entry: e, Reason: "two targets crashed while they ran it"}}
	}
	if released := s.releases(now, entries); len(released) > 0 {
		return released
	}
	return s.turnChanges(now, entries)
}

// probationEntry returns the entry that puts the request on probation for all callers. It names the
// targets that crashed since anybody was answered. If there is only evidence against single callers,
// because others were answered, it names fewer than turnThreshold of the targets of one of them.
func (s *suspect) probationEntry(now time.Time) Entry {
	out := s.newEntry(now, AnyCaller)
	if len(out.CrashedTargets) >= probationThreshold {
		return out
	}
	for _, e := range s.evidence(now) {
		if e.crashedTargets >= probationThreshold {
			out = s.newEntry(now, e.against)
		}
	}
	out.Caller = AnyCaller
	out.CrashedTargets = out.CrashedTargets[:min(len(out.CrashedTargets), turnThreshold-1)]
	return out
}

// turnChanges returns the change of an entry on probation if boxes should take turns from now on, or
// need not any more because somebody was answered.
func (s *suspect) turnChanges(now time.Time, entries []Entry) []ListChange {
	for _, e := range entries {
		next := s.probationEntry(now)
		if e.Held || e.Caller != AnyCaller || len(next.CrashedTargets) == 0 || next.takesTurns() == e.takesTurns() {
			continue
		}
		next.Until = e.Until
		reason := "somebody was answered: boxes no longer take turns"
		if next.takesTurns() {
			reason = "nobody was answered since three targets crashed: boxes take turns"
		}
		return []ListChange{{Entry: next, Reason: reason}}
	}
	return nil
}

// releases returns the releases of entries whose callers were answered.
func (s *suspect) releases(now time.Time, entries []Entry) []ListChange {
	var out []ListChange
	for _, e := range entries {
		if s.isCleared(now, e) {
			out = append(out, ListChange{Entry: e, Release: true, Reason: "the request was answered"})
		}
	}
	return out
}

// isCleared reports whether answers refute an entry. A replica that restarted since knows
// no crashes, so the absence of crashes alone does not clear an entry.
func (s *suspect) isCleared(now time.Time, e Entry) bool {
	if e.Caller != AnyCaller {
		_, answered := s.lastAnswerTo(e.Caller)
		return answered && !slices.ContainsFunc(s.crashes, func(crash Crash) bool { return crash.Caller == e.Caller })
	}
	if len(s.answers) == 0 {
		return false
	}
	if e.Held {
		return s.sinceAnswer(now).episodes < quarantineThreshold
	}
	return s.maxCrashedTargets(now) < probationThreshold
}

func isHeld(entries []Entry, c Caller) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Held && e.Covers(c) })
}

// newEntry returns an entry for the request and a caller.
func (s *suspect) newEntry(now time.Time, c Caller) Entry {
	out := Entry{Caller: c}
	for _, e := range s.crashesAgainst(now, c) {
		out.Request, out.Route, out.Service = e.Request, e.Route, e.Service
		if !slices.Contains(out.CrashedTargets, e.Incarnation) {
			out.CrashedTargets = append(out.CrashedTargets, e.Incarnation)
		}
	}
	return out
}
