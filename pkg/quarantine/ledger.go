package quarantine

import (
	"bytes"
	"slices"
	"time"
)

const (
	// settleTime is for how long a watched request with enough ended targets may still
	// be cleared: targets that ended at one moment are one piece of evidence, and a
	// request that many ask for is answered many times in it. Telling all boxes takes
	// 0.2 to 0.5 s.
	settleTime = time.Second
	// maxSuspects bounds the requests of which a replica has evidence: 4,096 of some
	// 400 bytes are 1.6 MB. A box with 20 requests at each of 200 targets that end
	// together leaves as many.
	maxSuspects = 4096
	// maxOrders bounds the orders of one call, so that the log is not filled by them.
	maxOrders = 16
)

// ListChange changes the replicated list: it enters or changes an entry, or lets it go.
type ListChange struct {
	Entry   Entry
	Release bool
	// Reason is why, for the log.
	Reason string
}

// suspect is what a replica knows of one request.
type suspect struct {
	record
	// listed tells that it was seen on the list.
	listed bool
}

// EvidenceStore keeps at a control replica what boxes tell of requests under which targets
// ended. Each replica is told all, so that any may lead. The caller provides locking.
type EvidenceStore struct {
	suspects map[Digest]*suspect
}

// NewEvidenceStore returns a ledger without evidence.
func NewEvidenceStore() *EvidenceStore { return &EvidenceStore{suspects: make(map[Digest]*suspect)} }

// Len returns how many requests there is evidence about.
func (l *EvidenceStore) Len() int { return len(l.suspects) }

// RecordCrash takes an end that a box tells.
func (l *EvidenceStore) RecordCrash(now time.Time, e Crash) { l.of(e.Request).add(now, e) }

// RecordAnswer takes that a suspected request was answered.
func (l *EvidenceStore) RecordAnswer(now time.Time, d Digest, c Caller, at time.Time) {
	l.of(d).answer(now, c, at)
}

func (l *EvidenceStore) of(d Digest) *suspect {
	s := l.suspects[d]
	if s != nil {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		delete(l.suspects, leastTelling(l.suspects, func(s *suspect) *record { return &s.record }))
	}
	s = &suspect{}
	l.suspects[d] = s
	return s
}

// PendingChanges returns what a leader has to change on the list; wall is the time of day. It is
// returned again until the list shows it.
func (l *EvidenceStore) PendingChanges(now, wall time.Time, list []Entry) []ListChange {
	known := byDigest(list)
	var out []ListChange
	for _, e := range list {
		if !wall.Before(e.Until) {
			out = append(out, ListChange{Entry: e, Release: true, Reason: "its time is over"})
		}
	}
	for d, s := range l.suspects {
		if !l.see(now, d, s, len(known[d]) > 0) {
			continue
		}
		out = append(out, s.orders(now, wall, known[d])...)
	}
	slices.SortStableFunc(out, func(a, b ListChange) int { return bytes.Compare(a.Entry.Request[:], b.Entry.Request[:]) })
	return out[:min(len(out), maxOrders)]
}

// see notes whether a suspect is on the list and reports whether it is still one: what
// left the list was let go, and the evidence goes with it.
func (l *EvidenceStore) see(now time.Time, d Digest, s *suspect, listed bool) bool {
	if s.listed && !listed || !listed && s.isOld(now) {
		delete(l.suspects, d)
		return false
	}
	if listed && !s.listed {
		s.listed = true
		s.watchedSince = now
	}
	return true
}

// orders returns what is to be changed of one request.
func (s *suspect) orders(now, wall time.Time, entries []Entry) []ListChange {
	for _, found := range s.evidence(now) {
		if found.lives < holdLives || !s.mayHold(now, found.against) || isHeld(entries, found.against) {
			continue
		}
		e := s.entry(found.against)
		e.Held = true
		e.Until = wall.Add(holdTime)
		return []ListChange{{Entry: e, Reason: "targets ended under it one after the other"}}
	}
	if s.most(now) >= watchLives && len(entries) == 0 {
		e := s.entry(AnyCaller)
		e.Until = wall.Add(watchTime)
		return []ListChange{{Entry: e, Reason: "two targets ended under it"}}
	}
	return s.releases(now, entries)
}

// mayHold reports whether a watched request has had the time to be cleared: a target ended
// under a run that began after that, or the time is over and nobody was answered in it.
// Where others are, this caller may not have had its turn.
func (s *suspect) mayHold(now time.Time, against Caller) bool {
	if !s.listed {
		return false
	}
	settled := now.Sub(s.watchedSince) >= settleTime && !s.lastAnswer().After(s.watchedSince)
	return settled || s.endedWhileWatched(against)
}

// releases lets go of entries whose callers were answered.
func (s *suspect) releases(now time.Time, entries []Entry) []ListChange {
	var out []ListChange
	for _, e := range entries {
		if s.clears(now, e) {
			out = append(out, ListChange{Entry: e, Release: true, Reason: "it was answered"})
		}
	}
	return out
}

// clears reports whether answers speak against an entry. A replica that has started
// since knows of no ends, so that silence is no answer.
func (s *suspect) clears(now time.Time, e Entry) bool {
	if e.Caller != AnyCaller {
		_, answered := s.answerTo(e.Caller)
		return answered && !slices.ContainsFunc(s.ends, func(end Crash) bool { return end.Caller == e.Caller })
	}
	if len(s.answers) == 0 {
		return false
	}
	if e.Held {
		return s.livesSinceAnswer(now) < holdLives
	}
	return s.most(now) < watchLives
}

func isHeld(entries []Entry, c Caller) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Held && e.Covers(c) })
}

// entry returns the entry of the request against a caller.
func (s *suspect) entry(c Caller) Entry {
	out := Entry{Caller: c}
	for _, e := range s.ends {
		if !e.against(c) {
			continue
		}
		out.Request, out.Route, out.Service = e.Request, e.Route, e.Service
		if !slices.Contains(out.CrashedTargets, e.Incarnation) {
			out.CrashedTargets = append(out.CrashedTargets, e.Incarnation)
		}
	}
	return out
}
