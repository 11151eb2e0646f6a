package quarantine

import (
	"time"
)

// Decision is what becomes of a request that arrives.
type Decision int

// The decisions on a request.
const (
	// Free: nothing is known against it.
	Free Decision = iota
	// OnProbation: it may run at one target, and must be finished.
	OnProbation
	// Busy: it is on probation and runs already; it may come back after busyWait.
	Busy
	// Held: it reaches no target.
	Held
)

// String returns the name as it stands in logs.
func (d Decision) String() string {
	return [...]string{"free", "onProbation", "probationBusy", "quarantined"}[d]
}

const (
	// busyWait is when a request may come back whose like is on probation: longer than
	// most runs take.
	busyWait = time.Second
	// clearedTime is for how long an answer at this box counts for more than the list. By
	// then control has been told of it, also where calls to it are lost.
	clearedTime = 10 * time.Second
	// maxRecords bounds the requests that a box knows of by itself: a target has some
	// twenty at work when it ends, so this holds what fifty ended targets leave.
	maxRecords = 1024
)

// Verdict is the decision on a request with its grounds.
type Verdict struct {
	Decision Decision
	// CrashedTargets is how many ended targets are known, and Listed whether control named it.
	CrashedTargets int
	Listed         bool
	// RetryAfter is when it may come back.
	RetryAfter time.Duration
}

// Guard decides at one box. It goes by the replicated list and by what the box saw
// itself, so that a box without word of control sends a request to three targets at
// most. The caller provides locking.
type Guard struct {
	records map[Digest]*record
	list    map[Digest][]Entry
	// running counts requests on probation that run.
	running map[Digest]int
}

// NewGuard returns a guard that knows of nothing.
func NewGuard() *Guard {
	return &Guard{records: make(map[Digest]*record), list: make(map[Digest][]Entry), running: make(map[Digest]int)}
}

// IsIdle reports whether nothing is known of any request, so that none needs a digest.
func (g *Guard) IsIdle() bool { return len(g.records) == 0 && len(g.list) == 0 }

// SuspectCount returns how many requests the box itself has evidence against.
func (g *Guard) SuspectCount() int { return len(g.records) }

// SetList takes the replicated list. What left it was let go: the box's own evidence
// goes with it.
func (g *Guard) SetList(list []Entry) {
	next := byDigest(list)
	for d := range g.list {
		if next[d] == nil {
			delete(g.records, d)
		}
	}
	g.list = next
}

// Admit decides on a request that arrives; wall is the time of day. One that is let in
// on probation must be finished by Finish.
func (g *Guard) Admit(now, wall time.Time, d Digest, c Caller) Verdict {
	v := g.look(now, wall, d, c)
	if v.Decision != OnProbation {
		return v
	}
	if g.running[d] > 0 {
		v.Decision, v.RetryAfter = Busy, busyWait
		return v
	}
	g.running[d]++
	return v
}

// Finish ends a request that was let in on probation.
func (g *Guard) Finish(d Digest) {
	if g.running[d]--; g.running[d] <= 0 {
		delete(g.running, d)
	}
}

// MayRetry reports whether a further target may get a request that has been let in.
func (g *Guard) MayRetry(now, wall time.Time, d Digest, c Caller) bool {
	return g.look(now, wall, d, c).Decision == Free
}

func (g *Guard) look(now, wall time.Time, d Digest, c Caller) Verdict {
	v := g.lookAtOwn(now, d, c)
	for _, e := range g.list[d] {
		if !e.Covers(c) || !wall.Before(e.Until) {
			continue
		}
		v.Listed = true
		v.CrashedTargets = max(v.CrashedTargets, len(e.CrashedTargets))
		if g.isCleared(now, d, c) {
			continue
		}
		if e.Held {
			v.Decision, v.RetryAfter = Held, max(v.RetryAfter, e.Until.Sub(wall))
			continue
		}
		if v.Decision == Free {
			v.Decision = OnProbation
		}
	}
	return v
}

// lookAtOwn decides by what the box saw itself. On probation a request runs once at a
// time: it is answered, which clears it, or ends one more target, which holds it.
func (g *Guard) lookAtOwn(now time.Time, d Digest, c Caller) Verdict {
	r := g.records[d]
	if r == nil {
		return Verdict{}
	}
	var v Verdict
	for _, e := range r.evidence(now) {
		if e.against != AnyCaller && e.against != c {
			continue
		}
		v.CrashedTargets = max(v.CrashedTargets, e.lives)
		switch {
		case e.lives >= holdLives && r.endedWhileWatched(e.against):
			return Verdict{Decision: Held, CrashedTargets: v.CrashedTargets, RetryAfter: EvidenceRetention}
		case e.lives >= watchLives:
			v.Decision = OnProbation
		}
	}
	return v
}

// isCleared reports whether a caller was answered here a short time ago, since the last
// target ended under its requests: control may not have heard of it yet.
func (g *Guard) isCleared(now time.Time, d Digest, c Caller) bool {
	r := g.records[d]
	if r == nil {
		return false
	}
	at, ok := r.answerTo(c)
	ok = ok && now.Sub(at) <= clearedTime
	for _, e := range r.ends {
		ok = ok && !(e.Caller == c && e.Ended.After(at))
	}
	return ok
}

// RecordCrash takes that a target ended while it ran a request, and reports whether control
// must be told.
func (g *Guard) RecordCrash(now time.Time, e Crash) bool {
	r := g.records[e.Request]
	if r == nil {
		r = &record{}
		if len(g.records) >= maxRecords {
			delete(g.records, leastTelling(g.records, func(r *record) *record { return r }))
		}
		g.records[e.Request] = r
	}
	news := r.add(now, e)
	if r.most(now) >= watchLives && r.watchedSince.IsZero() {
		r.watchedSince = now
	}
	return news
}

// RecordAnswer takes that a request got a whole answer, and reports whether control must be
// told: only if it was suspected.
func (g *Guard) RecordAnswer(now time.Time, d Digest, c Caller) bool {
	listed := len(g.list[d]) > 0
	r := g.records[d]
	if r == nil && !listed {
		return false
	}
	if listed && g.isCleared(now, d, c) {
		return false // told before
	}
	if r == nil {
		r = &record{}
		g.records[d] = r
	}
	r.answer(now, c, now)
	if r.most(now) < watchLives {
		r.watchedSince = time.Time{}
	}
	if !listed && len(r.ends) == 0 {
		delete(g.records, d)
	}
	return true
}

// RemoveExpired drops what no longer counts.
func (g *Guard) RemoveExpired(now time.Time) {
	for d, r := range g.records {
		if r.isOld(now) {
			delete(g.records, d)
		}
	}
}
