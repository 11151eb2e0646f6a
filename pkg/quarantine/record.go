package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// watchLives is from how many ended targets on a request is watched: run by a box
	// once at a time and not repeated by it. An innocent one gets there if two targets
	// end under it in a row.
	watchLives = 2
	// holdLives is from how many ended targets on a request reaches no target. With a
	// part p of the targets ending in the time of a run, an innocent request that is
	// repeated three times is held with p^3: 0.003 where 0.15 of them end.
	holdLives = 3
	// EvidenceRetention is how long evidence counts. A request that comes less often ends a
	// target every EvidenceRetention at most.
	EvidenceRetention = 10 * time.Minute
	// maxEnds and maxAnswers bound what is kept of one request.
	maxEnds    = 8
	maxAnswers = 8
)

// Crash is a run of a request that ended with the life of its target.
type Crash struct {
	Request Digest
	Caller  Caller
	// Incarnation is that of the target.
	Incarnation string
	Route       string
	Service     string
	// Began and Ended are those of the run.
	Began time.Time
	Ended time.Time
}

// answered is the last whole answer to a caller.
type answered struct {
	caller Caller
	at     time.Time
}

// record is what is known of one request.
type record struct {
	ends    []Crash
	answers []answered
	// changed is when something was learned last.
	changed time.Time
	// watchedSince is since when the request is watched, zero if it is not.
	watchedSince time.Time
}

// add takes an end and reports whether it counts.
func (r *record) add(now time.Time, e Crash) bool {
	if at, ok := r.answerTo(e.Caller); ok && !e.Ended.After(at) {
		return false
	}
	if slices.ContainsFunc(r.ends, func(known Crash) bool { return known.Incarnation == e.Incarnation && known.Caller == e.Caller }) {
		return false
	}
	r.changed = now
	r.ends = append(r.ends, e)
	if len(r.ends) > maxEnds {
		r.ends = slices.Delete(r.ends, 0, 1)
	}
	return true
}

// answer takes a whole answer to a caller: what was held against it before counts no
// longer.
func (r *record) answer(now time.Time, c Caller, at time.Time) {
	r.changed = now
	r.ends = slices.DeleteFunc(r.ends, func(e Crash) bool { return e.Caller == c && !e.Ended.After(at) })
	i := slices.IndexFunc(r.answers, func(a answered) bool { return a.caller == c })
	if i >= 0 {
		r.answers[i].at = later(r.answers[i].at, at)
		return
	}
	r.answers = append(r.answers, answered{c, at})
	if len(r.answers) > maxAnswers {
		r.answers = slices.Delete(r.answers, 0, 1)
	}
}

func (r *record) answerTo(c Caller) (at time.Time, ok bool) {
	for _, a := range r.answers {
		if a.caller == c {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// lastAnswer is when any caller was answered last.
func (r *record) lastAnswer() (at time.Time) {
	for _, a := range r.answers {
		at = later(at, a.at)
	}
	return at
}

// evidence is how many targets ended under requests of a caller; AnyCaller stands for
// several of whom none was answered since.
type evidence struct {
	against Caller
	lives   int
}

// evidence returns what there is against each caller, and against all of them if several
// lost targets, the gravest first. Ends that are older than Memory don't count.
func (r *record) evidence(now time.Time) []evidence {
	byCaller := make(map[Caller]map[string]bool)
	for _, e := range r.ends {
		if now.Sub(e.Ended) > EvidenceRetention {
			continue
		}
		if byCaller[e.Caller] == nil {
			byCaller[e.Caller] = make(map[string]bool)
		}
		byCaller[e.Caller][e.Incarnation] = true
	}
	var out []evidence
	for caller, lives := range byCaller {
		out = append(out, evidence{caller, len(lives)})
	}
	if all := r.livesSinceAnswer(now); len(byCaller) > 1 && all > 0 {
		out = append(out, evidence{AnyCaller, all})
	}
	slices.SortFunc(out, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.lives, a.lives), cmp.Compare(a.against, b.against))
	})
	return out
}

// most is how many targets the gravest evidence names.
func (r *record) most(now time.Time) int {
	if all := r.evidence(now); len(all) > 0 {
		return all[0].lives
	}
	return 0
}

// livesSinceAnswer counts the targets that ended under requests of any caller since one
// was answered last.
func (r *record) livesSinceAnswer(now time.Time) int {
	lives := make(map[string]bool)
	last := r.lastAnswer()
	for _, e := range r.ends {
		if now.Sub(e.Ended) <= EvidenceRetention && e.Ended.After(last) {
			lives[e.Incarnation] = true
		}
	}
	return len(lives)
}

// endedWhileWatched reports whether a target ended under a run that began when the request
// was watched already: that is no longer of the moment at which the others ended.
func (r *record) endedWhileWatched(against Caller) bool {
	return !r.watchedSince.IsZero() && slices.ContainsFunc(r.ends, func(e Crash) bool {
		return e.against(against) && e.Began.After(r.watchedSince)
	})
}

// against reports whether an end is part of the evidence against a caller.
func (e Crash) against(c Caller) bool { return c == AnyCaller || e.Caller == c }

// isOld reports whether nothing of the record counts any more.
func (r *record) isOld(now time.Time) bool { return now.Sub(r.changed) > EvidenceRetention }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// leastTelling returns the digest of the record that is forgotten first where there is
// no room: one with the fewest ended targets, and of those the oldest. Many requests
// with one end each push out none that has more.
func leastTelling[R any](records map[Digest]R, of func(R) *record) (out Digest) {
	var least *record
	for d, one := range records {
		r := of(one)
		if least == nil || len(r.ends) < len(least.ends) || len(r.ends) == len(least.ends) && r.changed.Before(least.changed) {
			out, least = d, r
		}
	}
	return out
}
