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
	// quarantineThreshold is the number of episodes from which a request reaches no target. If
	// a fraction p of the targets crash within the time of a run, an innocent request that is
	// tried three times is quarantined with probability p^3: 0.003 for p = 0.15.
	quarantineThreshold = 3
	// episodeLength is the time within which crashed targets belong to one episode. It covers
	// the time by which boxes differ about the moment of a crash, and is short enough for three
	// episodes within the time that informing all boxes may take.
	episodeLength = 500 * time.Millisecond
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
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return a.Ended.Compare(b.Ended) })
	if len(r.crashes) > maxCrashes {
		r.dropDensestCrash()
	}
	return true
}

// dropDensestCrash drops the earlier of the two crashes that are closest to each other, so that
// many crashes at one moment don't displace those of other episodes.
func (r *record) dropDensestCrash() {
	densest := 0
	for i := range len(r.crashes) - 1 {
		gap := r.crashes[i+1].Ended.Sub(r.crashes[i].Ended)
		if gap < r.crashes[densest+1].Ended.Sub(r.crashes[densest].Ended) {
			densest = i
		}
	}
	r.crashes = slices.Delete(r.crashes, densest, densest+1)
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

// evidence is what the crashes of targets that ran requests of a caller say against them. AnyCaller
// stands for several callers none of whom was answered since.
type evidence struct {
	against        Caller
	crashedTargets int
	// episodes counts the crashed targets, those that crashed at one moment together as one: they
	// have a common cause, such as a loss of power, and the more targets run a popular request, the
	// more of them crash under it whatever the cause is.
	episodes int
}

// newEvidence returns the evidence of a list of crashes, which is sorted by their time.
func newEvidence(against Caller, crashes []Crash) evidence {
	out := evidence{against: against}
	seen := make(map[string]bool)
	var began time.Time
	for _, e := range crashes {
		if seen[e.Incarnation] {
			continue
		}
		seen[e.Incarnation] = true
		if out.episodes == 0 || e.Ended.Sub(began) >= episodeLength {
			out.episodes++
			began = e.Ended
		}
	}
	out.crashedTargets = len(seen)
	return out
}

// evidence returns the evidence against each caller, and against all of them if there are
// several, the strongest first. Crashes older than EvidenceRetention don't count.
func (r *record) evidence(now time.Time) []evidence {
	byCaller := make(map[Caller][]Crash)
	for _, e := range r.crashes {
		if now.Sub(e.Ended) <= EvidenceRetention {
			byCaller[e.Caller] = append(byCaller[e.Caller], e)
		}
	}
	var out []evidence
	for caller, crashes := range byCaller {
		out = append(out, newEvidence(caller, crashes))
	}
	if all := r.sinceAnswer(now); len(byCaller) > 1 && all.crashedTargets > 0 {
		out = append(out, all)
	}
	slices.SortFunc(out, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.episodes, a.episodes), cmp.Compare(b.crashedTargets, a.crashedTargets), cmp.Compare(a.against, b.against))
	})
	return out
}

// maxCrashedTargets returns the largest number of crashed targets of the evidence against anybody.
func (r *record) maxCrashedTargets(now time.Time) int {
	most := 0
	for _, e := range r.evidence(now) {
		most = max(most, e.crashedTargets)
	}
	return most
}

// sinceAnswer returns the evidence against all callers since one of them was last answered.
func (r *record) sinceAnswer(now time.Time) evidence {
	return newEvidence(AnyCaller, r.crashesAgainst(now, AnyCaller))
}

// crashesAgainst returns the crashes that count as evidence against a caller.
func (r *record) crashesAgainst(now time.Time, c Caller) (out []Crash) {
	last := r.lastAnswer()
	for _, e := range r.crashes {
		if now.Sub(e.Ended) <= EvidenceRetention && e.countsAgainst(c) && (c != AnyCaller || e.Ended.After(last)) {
			out = append(out, e)
		}
	}
	return out
}

// isConclusive reports whether evidence suffices to quarantine the request. The passing of time
// without an answer does not: there is none while no target can be reached.
func (r *record) isConclusive(e evidence) bool {
	return e.episodes >= quarantineThreshold && r.crashedOnProbation(e.against)
}

// crashedOnProbation reports whether a target crashed in a run that began when the request was
// already on probation: it has had its chance to be answered.
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
