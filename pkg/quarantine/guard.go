package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// Decision is how to treat an incoming request.
type Decision int

// The decisions on a request.
const (
	// Free: there is no evidence against it.
	Free Decision = iota
	// OnProbation: it may run at one target only, and Finish must be called.
	OnProbation
	// Busy: it is on probation and already running, or another box's turn. It may be sent again
	// after probationRetryAfter.
	Busy
	// Held: it is quarantined and reaches no target.
	Held
)

// String returns the name that is used in logs.
func (d Decision) String() string {
	return [...]string{"free", "onProbation", "probationBusy", "quarantined"}[d]
}

const (
	// probationRetryAfter is when a request may be sent again while an identical one runs on
	// probation. It is longer than most runs take.
	probationRetryAfter = time.Second
	// localClearanceTime is for how long an answer at this box overrides the replicated
	// list. By then control has been informed of it, also if calls to control are lost.
	localClearanceTime = 10 * time.Second
	// maxRecords bounds the requests of which a box keeps evidence. A target runs about
	// twenty requests when it crashes, so this is enough for fifty crashed targets.
	maxRecords = 1024
)

// Verdict is the decision on a request and the evidence behind it.
type Verdict struct {
	Decision Decision
	// CrashedTargets is the number of known crashed targets. Listed is true if the request
	// is on the replicated list.
	CrashedTargets int
	Listed         bool
	// RetryAfter is when the request may be sent again.
	RetryAfter time.Duration
}

// Guard decides at one box, from the replicated list and from what the box observed
// itself, so that a box without contact to control sends a request to few targets. The
// caller provides locking.
type Guard struct {
	records map[Digest]*record
	list    map[Digest][]Entry
	// running counts the running requests that are on probation.
	running map[Digest]int
	// self is the name of this box, and boxes are the names of all; empty if they are not known.
	self  string
	boxes []string
	// turns are the turns in which requests on the list last ran on probation.
	turns map[Digest]int64
}

// NewGuard returns a guard without evidence.
func NewGuard() *Guard {
	return &Guard{
		records: make(map[Digest]*record), list: make(map[Digest][]Entry), running: make(map[Digest]int), turns: make(map[Digest]int64),
	}
}

// IsIdle reports whether there is no evidence against any request, in which case no
// digest has to be computed.
func (g *Guard) IsIdle() bool { return len(g.records) == 0 && len(g.list) == 0 }

// SuspectCount returns the number of requests against which the box itself has evidence.
func (g *Guard) SuspectCount() int { return len(g.records) }

// SetBoxes sets the name of this box and those of all boxes.
func (g *Guard) SetBoxes(self string, boxes []string) { g.self, g.boxes = self, slices.Clone(boxes) }

// SetList sets the replicated list. A request that is no longer on it was released, so
// the box's own evidence is dropped too.
func (g *Guard) SetList(list []Entry) {
	next := groupByDigest(list)
	for d := range g.list {
		if next[d] == nil {
			delete(g.records, d)
			delete(g.turns, d)
		}
	}
	g.list = next
}

// Admit decides on an incoming request; wall is the wall clock time. If it is admitted on
// probation, Finish must be called when it ends.
func (g *Guard) Admit(now, wall time.Time, d Digest, c Caller) Verdict {
	v := g.decide(now, wall, d, c)
	if v.Decision != OnProbation {
		return v
	}
	if g.running[d] > 0 {
		v.Decision, v.RetryAfter = Busy, probationRetryAfter
		return v
	}
	g.running[d]++
	if v.Listed {
		g.turns[d] = turnAt(wall)
	}
	return v
}

// Finish ends a request that was admitted on probation.
func (g *Guard) Finish(d Digest) {
	if g.running[d]--; g.running[d] <= 0 {
		delete(g.running, d)
	}
}

// MayRetry reports whether an admitted request may be sent to another target.
func (g *Guard) MayRetry(now, wall time.Time, d Digest, c Caller) bool {
	return g.decide(now, wall, d, c).Decision == Free
}

func (g *Guard) decide(now, wall time.Time, d Digest, c Caller) Verdict {
	v := g.decideLocally(now, d, c)
	for _, e := range g.list[d] {
		if !e.Covers(c) || !wall.Before(e.Until) {
			continue
		}
		v.Listed = true
		v.CrashedTargets = max(v.CrashedTargets, len(e.CrashedTargets))
		if g.isCleared(now, d, c) {
			continue
		}
		switch {
		case e.Held:
			v.Decision, v.RetryAfter = Held, max(v.RetryAfter, e.Until.Sub(wall))
		case v.Decision == Held:
		case e.takesTurns() && !g.hasTurn(wall, d):
			v.Decision, v.RetryAfter = Busy, probationRetryAfter
		case v.Decision == Free:
			v.Decision = OnProbation
		}
	}
	return v
}

func turnAt(wall time.Time) int64 { return wall.UnixNano() / int64(turnLength) }

// hasTurn reports whether it is this box's turn to run a request, and it has not run it in this turn.
// The boxes agree on the one whose turn it is by a hash of the turn and their names.
func (g *Guard) hasTurn(wall time.Time, d Digest) bool {
	turn := turnAt(wall)
	if last, ok := g.turns[d]; ok && last == turn {
		return false
	}
	first, least := g.self, uint64(math.MaxUint64)
	for _, box := range g.boxes {
		if weight := turnWeight(d, turn, box); weight < least {
			first, least = box, weight
		}
	}
	return first == g.self
}

// turnWeight returns the weight of a box in a turn; the one with the least has the turn.
func turnWeight(d Digest, turn int64, box string) uint64 {
	key := binary.BigEndian.AppendUint64(slices.Clone(d[:]), uint64(turn))
	sum := sha256.Sum256(append(key, box...))
	return binary.BigEndian.Uint64(sum[:])
}

// decideLocally decides from what the box observed itself. On probation a request runs
// once at a time: either it is answered, which clears it, or its targets crash again and
// again, which quarantines it.
func (g *Guard) decideLocally(now time.Time, d Digest, c Caller) Verdict {
	r := g.records[d]
	if r == nil {
		return Verdict{}
	}
	var v Verdict
	for _, e := range r.evidence(now) {
		if e.against != AnyCaller && e.against != c {
			continue
		}
		v.CrashedTargets = max(v.CrashedTargets, e.crashedTargets)
		switch {
		case r.isConclusive(e):
			return Verdict{Decision: Held, CrashedTargets: v.CrashedTargets, RetryAfter: EvidenceRetention}
		case e.crashedTargets >= probationThreshold:
			v.Decision = OnProbation
		}
	}
	return v
}

// isCleared reports whether a caller was recently answered here, after the last crash
// under its requests. Control may not know of the answer yet.
func (g *Guard) isCleared(now time.Time, d Digest, c Caller) bool {
	r := g.records[d]
	if r == nil {
		return false
	}
	at, ok := r.lastAnswerTo(c)
	ok = ok && now.Sub(at) <= localClearanceTime
	for _, e := range r.crashes {
		ok = ok && !(e.Caller == c && e.Ended.After(at))
	}
	return ok
}

// RecordCrash records that a target crashed while it ran a request, and reports whether
// control must be informed.
func (g *Guard) RecordCrash(now time.Time, e Crash) bool {
	r := g.records[e.Request]
	if r == nil {
		r = &record{}
		if len(g.records) >= maxRecords {
			delete(g.records, weakestRecord(g.records, func(r *record) *record { return r }))
		}
		g.records[e.Request] = r
	}
	added := r.addCrash(now, e)
	if r.maxCrashedTargets(now) >= probationThreshold && r.probationSince.IsZero() {
		r.probationSince = now
	}
	return added
}

// RecordAnswer records a complete answer to a request, and reports whether control must
// be informed: only if the request was suspected.
func (g *Guard) RecordAnswer(now time.Time, d Digest, c Caller) bool {
	listed := len(g.list[d]) > 0
	r := g.records[d]
	if r == nil && !listed {
		return false
	}
	if listed && g.isCleared(now, d, c) {
		return false // already reported
	}
	if r == nil {
		r = &record{}
		g.records[d] = r
	}
	r.addAnswer(now, c, now)
	if r.maxCrashedTargets(now) < probationThreshold {
		r.probationSince = time.Time{}
	}
	if !listed && len(r.crashes) == 0 {
		delete(g.records, d)
	}
	return true
}

// RemoveExpired removes evidence that no longer counts.
func (g *Guard) RemoveExpired(now time.Time) {
	for d, r := range g.records {
		if r.isExpired(now) {
			delete(g.records, d)
		}
	}
}
