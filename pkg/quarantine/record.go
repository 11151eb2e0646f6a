package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probationThreshold is the number of crashed targets from which a request is on
	// probation: a box runs it once at a time and does not retry it. An innocent request gets
	// there if two targets in a row crash while they run it.
	probationThreshold = 2
	// quarantineThreshold is the number of crashed targets from which a request reaches no
	// target. If a fraction p of the targets crash within the time of a run, an innocent
	// request that is tried three times is quarantined with probability p^3: 0.003 for
	// p = 0.15.
	quarantineThreshold = 3
	// EvidenceRetention is how long evidence counts. A request that is sent less often
	// crashes at most one target per EvidenceRetention.
	EvidenceRetention = 10 * time.Minute
	// maxCrashes and maxAnswers bound what is kept of one request.
	maxCrashes = 8
	maxAnswers = 8
)

// Crash is a run of a request during which its target crashed.
type Crash struct {
	Request Digest
	Caller  Caller
	// Incarnation is the one of the target that crashed.
	Incarnation string
	Route       string
	Service     string
	// Began and Ended delimit the run.
	Began time.Time
	Ended time.Time
}

// callerAnswer is the last complete answer to a caller.
type callerAnswer struct {
	caller Caller
	at     time.Time
}

// record is the evidence about one request.
type record struct {
	crashes []Crash
	answers []callerAnswer
	// updatedAt is the time of the last new evidence.
	updatedAt time.Time
	// probationSince is when the request was put on probation, zero if it is not.
	probationSince time.Time
}

// addCrash adds a crash and reports whether it counts.
func (r *record) addCrash(now time.Time, e Crash) bool {
	if at, ok := r.lastAnswerTo(e.Caller); ok && !e.Ended.After(at) {
		return false
	}
	if slices.ContainsFunc(r.crashes, func(known Crash) bool { return known.Incarnation == e.Incarnation && known.Caller == e.Caller }) {
		return false
	}
	r.updatedAt = now
	r.crashes = append(r.crashes, e)
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	return true
}

// addAnswer adds a complete answer to a caller. It invalidates earlier evidence against
// that caller.
func (r *record) addAnswer(now time.Time, c Caller, at time.Time) {
	r.updatedAt = now
	r.crashes = slices.DeleteFunc(r.crashes, func(e Crash) bool { return e.Caller == c && !e.Ended.After(at) })
	i := slices.IndexFunc(r.answers, func(a callerAnswer) bool { return a.caller == c })
	if i >= 0 {
		r.answers[i].at = later(r.answers[i].at, at)
		return
	}
	r.answers = append(r.answers, callerAnswer{c, at})
	if len(r.answers) > maxAnswers {
		r.answers = slices.Delete(r.answers, 0, 1)
	}
}

func (r *record) lastAnswerTo(c Caller) (at time.Time, ok bool) {
	for _, a := range r.answers {
		if a.caller == c {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// lastAnswer returns the time of the last answer to any caller.
func (r *record) lastAnswer() (at time.Time) {
	for _, a := range r.answers {
		at = later(at, a.at)
	}
	return at
}

// evidence is the number of targets that crashed while they ran requests of a caller.
// AnyCaller stands for several callers none of whom was answered since.
type evidence struct {
	against        Caller
	crashedTargets int
}

// evidence returns the evidence against each caller, and against all of them if there are
// several, the strongest first. Crashes older than EvidenceRetention don't count.
func (r *record) evidence(now time.Time) []evidence {
	byCaller := make(map[Caller]map[string]bool)
	for _, e := range r.crashes {
		if now.Sub(e.Ended) > EvidenceRetention {
			continue
		}
		if byCaller[e.Caller] == nil {
			byCaller[e.Caller] = make(map[string]bool)
		}
		byCaller[e.Caller][e.Incarnation] = true
	}
	var out []evidence
	for caller, incarnations := range byCaller {
		out = append(out, evidence{caller, len(incarnations)})
	}
	if all := r.crashedSinceAnswer(now); len(byCaller) > 1 && all > 0 {
		out = append(out, evidence{AnyCaller, all})
	}
	slices.SortFunc(out, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.crashedTargets, a.crashedTargets), cmp.Compare(a.against, b.against))
	})
	return out
}

// maxCrashedTargets returns the number of crashed targets of the strongest evidence.
func (r *record) maxCrashedTargets(now time.Time) int {
	if all := r.evidence(now); len(all) > 0 {
		return all[0].crashedTargets
	}
	return 0
}

// crashedSinceAnswer counts the targets that crashed while they ran requests of any
// caller, since a caller was last answered.
func (r *record) crashedSinceAnswer(now time.Time) int {
	incarnations := make(map[string]bool)
	last := r.lastAnswer()
	for _, e := range r.crashes {
		if now.Sub(e.Ended) <= EvidenceRetention && e.Ended.After(last) {
			incarnations[e.Incarnation] = true
		}
	}
	return len(incarnations)
}

// crashedOnProbation reports whether a target crashed in a run that began when the
// request was already on probation. Such a crash is independent of the earlier ones,
// which may have happened at one moment.
func (r *record) crashedOnProbation(against Caller) bool {
	return !r.probationSince.IsZero() && slices.ContainsFunc(r.crashes, func(e Crash) bool {
		return e.countsAgainst(against) && e.Began.After(r.probationSince)
	})
}

// countsAgainst reports whether a crash is part of the evidence against a caller.
func (e Crash) countsAgainst(c Caller) bool { return c == AnyCaller || e.Caller == c }

// isExpired reports whether nothing of the record counts any more.
func (r *record) isExpired(now time.Time) bool { return now.Sub(r.updatedAt) > EvidenceRetention }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// weakestRecord returns the digest of the record to evict when there is no space: the one
// with the fewest crashed targets, and of those the oldest. Many requests with one crash
// each can't evict one that has more.
func weakestRecord[R any](records map[Digest]R, of func(R) *record) (out Digest) {
	var least *record
	for d, one := range records {
		r := of(one)
		if least == nil || len(r.crashes) < len(least.crashes) || len(r.crashes) == len(least.crashes) && r.updatedAt.Before(least.updatedAt) {
			out, least = d, r
		}
	}
	return out
}
