// Package balance decides which target runs a request, or that none can run it in time. It is a
// state machine without I/O: a Balancer takes the current time and the results of earlier requests,
// and returns choices.
//
// The targets of a service are ranked for each affinity key by rendezvous hashing, with the same
// result at every entry box. The highest-ranked usable target is the key's home target, which is
// likely to have the object cached. If the home target has no free slot, the next in rank may take
// the request, unless the whole service is saturated. Targets of another region are treated like
// those of the box's own region if the round trip leaves enough of the request's latency objective.
package balance

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Target is a registered target.
type Target struct {
	// ID identifies one incarnation of the target: after a restart it is a new target, of which
	// nothing is known. Name is the same for all incarnations and determines the target's rank; if
	// it is empty, the ID is used instead.
	ID      string
	Name    string
	Service string
	// Software is the version of the target's software.
	Software string
	Address  string
	Zone     string
	Region   string
	// Slots is how many requests the target runs at once.
	Slots    int
	Draining bool
	// Cold is set while the target is warming up. ColdRemaining is how much longer that takes, as
	// of its registration.
	Cold          bool
	ColdRemaining time.Duration
}

const (
	// otherLoadHalfLife is the half-life of the load from other boxes: about the service time of a
	// request.
	otherLoadHalfLife = 600 * time.Millisecond
	// slowdownHalfLife is the half-life of a reported slowdown. Targets report spells of some 600 ms.
	slowdownHalfLife = 300 * time.Millisecond
	// minEjection is how long an unreachable target is ejected. The time doubles with each
	// consecutive failure, up to maxEjection.
	minEjection = 250 * time.Millisecond
	maxEjection = 2 * time.Second
	// maxBrokenAnswers is the number of consecutive broken responses after which the target is
	// ejected like an unreachable one. Single responses break at healthy targets too.
	maxBrokenAnswers = 3
	// relativeLatencyWeight is the weight of one observation in a target's relative latency.
	relativeLatencyWeight = 0.2
	// maxRelativeLatency is the relative latency above which a target is too slow to be used. A
	// target that has cached none of the objects takes about three times the mean and must not
	// count as slow.
	maxRelativeLatency = 4.0
	// relativeLatencyHalfLife is the half-life of a high relative latency, after which the target
	// is tried again.
	relativeLatencyHalfLife = 2 * time.Second
)

// targetState is the state that the box keeps for one target.
type targetState struct {
	Target
	hash     uint64
	inFlight int
	// overdue counts the requests in flight that are overdue.
	overdue     int
	otherLoad   float64
	otherLoadAt time.Time
	// slowdown is how much longer work takes at the target than usually, as of slowdownAt: 1 is the
	// usual.
	slowdown   float64
	slowdownAt time.Time
	// failures counts consecutive failures. The target is ejected until ejectedUntil because of
	// them.
	failures     int
	ejectedUntil time.Time
	// brokenAnswers counts the broken responses since the last complete one, which arrived at
	// lastAnswerAt.
	brokenAnswers int
	lastAnswerAt  time.Time
	// relativeLatency is the mean latency of the target divided by that of its service.
	relativeLatency        float64
	relativeLatencyUpdated time.Time
	// limited is set if the target reports a rate limit, so that requests to it need permits. No
	// permit is available before throttledUntil.
	limited        bool
	throttledUntil time.Time
	// backOff is the back-off that the target asked this box for.
	backOff targetstatus.BackOff
	// capacity is learned from the target's rejections.
	capacity capacityEstimate
	// backOffUnreported is set until the end of a back-off has been reported, and skipped counts
	// the requests kept from the target since it began.
	backOffUnreported bool
	skipped           int
	// leaving tells that the target reported that it is leaving, and leavingSince when.
	leaving      bool
	leavingSince time.Time
	// The target is cold until coldUntil. Until then this box may send it as many requests as it
	// has tokens.
	coldUntil time.Time
	tokens    float64
	tokensAt  time.Time
	// sharers is how many boxes share the target's rate while it is cold, as of sharersRevision;
	// zero if this box is not one of them.
	sharers         int
	sharersRevision uint64
}

func newTargetState(t Target) *targetState {
	return &targetState{Target: t, hash: xxhash.Sum64String(cmp.Or(t.Name, t.ID)), relativeLatency: 1}
}

// load returns the target's estimated load: the box's own requests plus what the last response
// revealed of other boxes.
func (t *targetState) load(now time.Time) float64 {
	return float64(t.inFlight) + t.otherLoad*decay(now.Sub(t.otherLoadAt), otherLoadHalfLife)
}

// observeLoad applies the load reported by a response. t.inFlight must still include the request
// that was responded to.
func (t *targetState) observeLoad(now time.Time, l targetstatus.Load) {
	t.otherLoad = max(float64(l.Running+l.Waiting-t.inFlight), 0)
	t.otherLoadAt = now
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
	if l.WorkTime > 0 {
		t.slowdown = float64(l.WorkTime) / usualWorkTime
		t.slowdownAt = now
	}
}

// usualWorkTime is the work time that targets report as the usual, in percent.
const usualWorkTime = 100

// expectedSlowdown returns how much longer work is expected to take at the target than usually.
func (t *targetState) expectedSlowdown(now time.Time) float64 {
	if t.slowdown == 0 {
		return 1
	}
	return 1 + (t.slowdown-1)*decay(now.Sub(t.slowdownAt), slowdownHalfLife)
}

func (t *targetState) observeRelativeLatency(now time.Time, ratio float64) {
	t.relativeLatency = t.relativeLatencyAt(now)*(1-relativeLatencyWeight) + ratio*relativeLatencyWeight
	t.relativeLatencyUpdated = now
}

func (t *targetState) relativeLatencyAt(now time.Time) float64 {
	if t.relativeLatency <= 1 {
		return t.relativeLatency
	}
	return 1 + (t.relativeLatency-1)*decay(now.Sub(t.relativeLatencyUpdated), relativeLatencyHalfLife)
}

// eject stops requests to the target for a while.
func (t *targetState) eject(now time.Time) {
	duration := minEjection << min(t.failures, 4)
	t.failures++
	t.ejectedUntil = now.Add(min(duration, maxEjection))
}

// answeredSince reports whether the target has responded to another request since a time. If it
// has, a response or connection lost in that time does not mean that the target is unavailable, and
// ejecting it would send all its objects, for at least 0.25 s, to targets that have not cached
// them.
func (t *targetState) answeredSince(at time.Time) bool { return t.lastAnswerAt.After(at) }

// isEjected reports whether the target is ejected. After the ejection it gets one trial request at
// a time; overdue requests do not count as trials.
func (t *targetState) isEjected(now time.Time) bool {
	if t.failures == 0 {
		return false
	}
	return now.Before(t.ejectedUntil) || t.inFlight > t.overdue
}

// recordOverdue counts a request in flight as overdue. A request that was sent before the target
// was deregistered and registered again is not in flight.
func (t *targetState) recordOverdue() { t.overdue = min(t.overdue+1, t.inFlight) }

// recordEnd counts a request as ended.
func (t *targetState) recordEnd(wasOverdue bool) {
	t.inFlight = max(t.inFlight-1, 0)
	if wasOverdue {
		t.overdue = max(t.overdue-1, 0)
	}
	t.overdue = min(t.overdue, t.inFlight)
}

func (t *targetState) isCold(now time.Time) bool { return now.Before(t.coldUntil) }

// expectedWait estimates how long one more request waits for a slot, given the mean service time.
func (t *targetState) expectedWait(now time.Time, mean time.Duration) time.Duration {
	slots := max(t.Slots, 1)
	ahead := t.load(now) - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(mean) * t.expectedSlowdown(now))
}
