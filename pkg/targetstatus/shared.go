package targetstatus

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// NoLimit is the limit of a target that reports none.
var NoLimit = math.Inf(1)

// Update is what one response of an incarnation of a target tells all boxes. The target
// sent it after Sent, the time at which the request was sent, and before Received, the
// time at which the response had arrived.
type Update struct {
	Incarnation string
	// Limit is in requests per second, for all boxes together.
	Limit float64
	// Leaving is true if the target is leaving.
	Leaving  bool
	Sent     time.Time
	Received time.Time
}

// Update returns what a response of an incarnation tells all boxes.
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

// HasLimit reports whether the target reported a limit.
func (u Update) HasLimit() bool { return u.Limit < NoLimit }

// WithoutLimit returns the update without any statement on the limit, neither a value nor
// that there is none: an update that is older than all others withdraws none of them.
func (u Update) WithoutLimit() Update {
	u.Limit = NoLimit
	u.Sent = time.Time{}
	return u
}

// candidateLimit is a limit and the time at which the last response with it arrived.
type candidateLimit struct {
	perSecond float64
	received  time.Time
}

// maxCandidates bounds the limits of one target of which each may be the latest.
const maxCandidates = 8

// SharedState is the merged result of the updates of one incarnation. The merge is
// associative, commutative and idempotent, so that the result does not depend on the order
// of the updates or on duplicates.
//
// An update is superseded by another one whose request was sent after the response with
// the first had arrived. Each of those that are not superseded may be the latest one; the
// lowest of their limits applies.
type SharedState struct {
	Incarnation string
	Leaving     bool
	// sent is the latest time at which a request was sent whose response states the limit.
	// Responses that had arrived by then are superseded.
	sent time.Time
	// limits were received after sent. They are sorted by value and by time, both ascending:
	// a limit that is superseded sooner than a lower one never applies.
	limits []candidateLimit
}

// With returns the state with an update merged into it.
func (s SharedState) With(u Update) SharedState {
	s.Leaving = s.Leaving || u.Leaving
	if u.Sent.After(s.sent) {
		s.sent = u.Sent
	}
	candidates := slices.Clone(s.limits)
	if u.HasLimit() {
		candidates = append(candidates, candidateLimit{u.Limit, u.receivedAfterSent()})
	}
	candidates = slices.DeleteFunc(candidates, func(l candidateLimit) bool { return !l.received.After(s.sent) })
	s.limits = dropDominated(candidates)
	return s
}

// receivedAfterSent returns Received, or a time just after Sent if the clock did not
// advance between them.
func (u Update) receivedAfterSent() time.Time {
	if u.Received.After(u.Sent) {
		return u.Received
	}
	return u.Sent.Add(1)
}

// dropDominated sorts limits and drops those that never apply.
func dropDominated(candidates []candidateLimit) []candidateLimit {
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
	if len(out) > maxCandidates { // the lower limit then applies for longer than necessary
		out[maxCandidates-1].received = out[len(out)-1].received
		out = out[:maxCandidates]
	}
	return out
}

// Limit returns the limit that applies, or NoLimit.
func (s SharedState) Limit() float64 {
	if len(s.limits) == 0 {
		return NoLimit
	}
	return s.limits[0].perSecond
}

// Updates returns updates that bring another process to the same state.
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
