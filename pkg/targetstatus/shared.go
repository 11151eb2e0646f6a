package targetstatus

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// NoLimit is the limit of a target that names none.
var NoLimit = math.Inf(1)

// Update is what one answer of one incarnation of a target says to all boxes. The target
// sent it after Sent, when the request that it answered was sent, and before Received, when
// the answer had come.
type Update struct {
	Incarnation string
	// Limit is in requests a second, all boxes together.
	Limit float64
	// Leaving tells that the target leaves.
	Leaving  bool
	Sent     time.Time
	Received time.Time
}

// Update returns what an answer of an incarnation says to all boxes.
func (s Status) Update(incarnation string, sent, received time.Time) Update {
	u := Update{Incarnation: incarnation, Limit: NoLimit, Leaving: s.Leaving, Sent: sent, Received: received}
	if s.HasLimit {
		u.Limit = s.Limit
	}
	if !s.ReportsLimit() {
		return u.WithoutLimit()
	}
	return u
}

// HasLimit reports whether the target named a limit.
func (u Update) HasLimit() bool { return u.Limit < NoLimit }

// WithoutLimit returns the update with nothing on the limit, neither one nor that there is
// none: an update that is older than all others takes none of them back.
func (u Update) WithoutLimit() Update {
	u.Limit = NoLimit
	u.Sent = time.Time{}
	return u
}

// candidateLimit is a limit and when the last answer that named it had come.
type candidateLimit struct {
	perSecond float64
	received  time.Time
}

// maxCandidates bounds the limits of one target of which each may be the latest.
const maxCandidates = 8

// SharedState is what the updates of one incarnation lead to, in whatever order they come and
// however often. It is a join of them: associative, commutative and idempotent.
//
// An update is superseded by another one whose request was sent after its answer had come.
// Of those that are not superseded each may be the latest one; the lowest limit of them
// holds.
type SharedState struct {
	Incarnation string
	Leaving     bool
	// sent is the latest time at which a request was sent whose answer speaks of the limit:
	// what had come by then is superseded.
	sent time.Time
	// limits have come after sent. They rise, and so do their times: a limit that is
	// superseded sooner than a lower one never holds.
	limits []candidateLimit
}

// With returns what is known once a further update has come.
func (s SharedState) With(u Update) SharedState {
	s.Leaving = s.Leaving || u.Leaving
	if u.Sent.After(s.sent) {
		s.sent = u.Sent
	}
	candidates := slices.Clone(s.limits)
	if u.HasLimit() {
		candidates = append(candidates, candidateLimit{u.Limit, u.received()})
	}
	candidates = slices.DeleteFunc(candidates, func(l candidateLimit) bool { return !l.received.After(s.sent) })
	s.limits = rising(candidates)
	return s
}

// received is after Sent, also where the clock did not move between them.
func (u Update) received() time.Time {
	if u.Received.After(u.Sent) {
		return u.Received
	}
	return u.Sent.Add(1)
}

// rising sorts limits and drops those that never hold.
func rising(candidates []candidateLimit) []candidateLimit {
	slices.SortFunc(candidates, func(a, b candidateLimit) int {
		if c := cmp.Compare(a.perSecond, b.perSecond); c != 0 {
			return c
		}
		return b.received.Compare(a.received)
	})
	out := candidates[:0]
	for _, l := range candidates {
		if len(out) == 0 || l.received.After(out[len(out)-1].received) {
			out = append(out, l)
		}
	}
	if len(out) > maxCandidates { // the lower limit then holds for longer than it must
		out[maxCandidates-1].received = out[len(out)-1].received
		out = out[:maxCandidates]
	}
	return out
}

// Limit returns the limit that holds, NoLimit for none.
func (s SharedState) Limit() float64 {
	if len(s.limits) == 0 {
		return NoLimit
	}
	return s.limits[0].perSecond
}

// Updates returns updates that lead to the same: what another process is told.
func (s SharedState) Updates() []Update {
	if len(s.limits) == 0 {
		return []Update{{Incarnation: s.Incarnation, Limit: NoLimit, Leaving: s.Leaving, Sent: s.sent, Received: s.sent}}
	}
	out := make([]Update, 0, len(s.limits))
	for _, l := range s.limits {
		out = append(out, Update{Incarnation: s.Incarnation, Limit: l.perSecond, Leaving: s.Leaving, Sent: s.sent, Received: l.received})
	}
	return out
}
