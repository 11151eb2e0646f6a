// Package balance decides which target runs a request, or that none can in
// time. It is a state machine without I/O: a Balancer takes the present time
// and what became of earlier requests and returns choices.
//
// The targets of a service are ranked for each object by rendezvous hashing,
// the same at every entry box; the first of them that can be used is the
// object's home, where it was seen lately. When the home has no slot the next
// in rank may take the request, unless the whole service is crowded. Targets of
// another region count like those of the box's own if the way there leaves
// enough of the request's objective.
package balance

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Target is one registered target.
type Target struct {
	// ID is unique to one life of the target: a target that starts again is another
	// one, of which nothing is known. Name is what all its lives have in common, by
	// which it ranks for objects; the ID stands for it where it is empty.
	ID      string
	Name    string
	Service string
	Address string
	Zone    string
	Region  string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// Cold tells that it has not warmed up; ColdLeft is how much longer it
	// stays so as of the time when it was registered.
	Cold          bool
	ColdRemaining time.Duration
}

const (
	// foreignHalfLife is how fast the memory of the load that other boxes put
	// on a target fades: about the service time of a request.
	foreignHalfLife = 600 * time.Millisecond
	// firstEjection and longestEjection are how long a target that can't be
	// reached is left out, doubled with each failure in a row.
	firstEjection   = 250 * time.Millisecond
	longestEjection = 2 * time.Second
	// maxBroken is how many answers in a row may break before the target is
	// left out like one that can't be reached. Single ones break also at sound
	// targets.
	maxBroken = 3
	// paceWeight is the weight of one observation in a target's pace.
	paceWeight = 0.2
	// slowPace is how many times slower than the service's mean a target must
	// be to be left out. A target that has seen none of the objects yet takes
	// about three times the mean and is not slow.
	slowPace = 4.0
	// paceHalfLife is how fast a slow pace is forgotten, so that the target is
	// tried again.
	paceHalfLife = 2 * time.Second
)

// targetState is what the box knows of one target.
type targetState struct {
	Target
	hash     uint64
	inFlight int
	// overdue are those in flight whose answer is overdue.
	overdue   int
	foreign   float64
	foreignAt time.Time
	// failures in a row, and until when the target is left out for them.
	failures     int
	ejectedUntil time.Time
	// broken counts the answers that broke since the last whole one, which came
	// at answeredAt.
	broken     int
	answeredAt time.Time
	// pace is the mean time of its answers relative to the service's.
	pace   float64
	paceAt time.Time
	// limited tells that the target names a limit, so that a request to it needs a permit,
	// and throttledUntil is until when there is none to be had.
	limited        bool
	throttledUntil time.Time
	// backOff is until when the target asked this box to send it nothing.
	backOff targetstatus.BackOff
	// room is what its rejections taught of how much it bears.
	room targetRoom
	// backOffOpen tells that the end of a back-off has not been reported, and skipped is
	// how many requests were kept from the target since it began.
	backOffOpen bool
	skipped     int
	// leavingSince is when the target reported that it leaves; zero if it did not.
	leavingSince time.Time
	// coldUntil is when the target counts as warm; tokens are the requests
	// that this box may send it before that.
	coldUntil time.Time
	tokens    float64
	tokensAt  time.Time
	// sharers is how many boxes share what it bears while it is cold, as of the
	// change of the boxes sharersKnown; zero for none known.
	sharers      int
	sharersKnown uint64
}

func newTargetState(t Target) *targetState {
	return &targetState{Target: t, hash: xxhash.Sum64String(cmp.Or(t.Name, t.ID)), pace: 1}
}

// load is how many requests the target is thought to have, by own count and by
// what its last answer told of other boxes.
func (t *targetState) load(now time.Time) float64 {
	return float64(t.inFlight) + t.foreign*fade(now.Sub(t.foreignAt), foreignHalfLife)
}

// observeLoad takes the load that an answer told, made while inFlight requests of
// this box were there, the answered one included.
func (t *targetState) observeLoad(now time.Time, l targetstatus.Load) {
	t.foreign = max(float64(l.Running+l.Waiting-t.inFlight), 0)
	t.foreignAt = now
	if l.Slots > 0 {
		t.Slots = l.Slots
	}
}

func (t *targetState) observePace(now time.Time, ratio float64) {
	t.pace = t.paceNow(now)*(1-paceWeight) + ratio*paceWeight
	t.paceAt = now
}

func (t *targetState) paceNow(now time.Time) float64 {
	if t.pace <= 1 {
		return t.pace
	}
	return 1 + (t.pace-1)*fade(now.Sub(t.paceAt), paceHalfLife)
}

// eject leaves the target out for a while.
func (t *targetState) eject(now time.Time) {
	out := firstEjection << min(t.failures, 4)
	t.failures++
	t.ejectedUntil = now.Add(min(out, longestEjection))
}

// answeredSince reports whether the target has answered another request since a
// time. An answer or a connection that was lost in that time says nothing of the
// target then; leaving it out would send all its objects, for 0.25 s at least, to
// targets that do not know them.
func (t *targetState) answeredSince(at time.Time) bool { return t.answeredAt.After(at) }

// isOut reports whether the target is left out. After its time one request at
// once tries it; those that are overdue try nothing any more.
func (t *targetState) isOut(now time.Time) bool {
	if t.failures == 0 {
		return false
	}
	return now.Before(t.ejectedUntil) || t.inFlight > t.overdue
}

// recordOverdue takes that a request in flight is overdue. One that was sent before
// the target was registered anew is not counted in flight.
func (t *targetState) recordOverdue() { t.overdue = min(t.overdue+1, t.inFlight) }

// recordEnd takes that a request has ended.
func (t *targetState) recordEnd(wasOverdue bool) {
	t.inFlight = max(t.inFlight-1, 0)
	if wasOverdue {
		t.overdue = max(t.overdue-1, 0)
	}
	t.overdue = min(t.overdue, t.inFlight)
}

func (t *targetState) isCold(now time.Time) bool { return now.Before(t.coldUntil) }

// wait estimates how long a further request waits for a slot, where one
// request takes mean.
func (t *targetState) wait(now time.Time, mean time.Duration) time.Duration {
	slots := max(t.Slots, 1)
	ahead := t.load(now) - float64(slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(slots) * float64(mean))
}
