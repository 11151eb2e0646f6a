package admission

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// limitShare is the part of a target's limit that its pool grants, and checkShare what
	// checks of its health get at most.
	limitShare = 0.9
	checkShare = 0.1
	// limitDepth is for how long requests gather that nobody asks for, beyond one.
	limitDepth = 500 * time.Millisecond
	// leastLimit is the least limit that is gone by, in requests a second: a target that
	// gets nothing has no answer in which to take its limit back.
	leastLimit = 0.5
	// leastCheckPause is the shortest time between two checks of a target with a limit.
	leastCheckPause = time.Second
)

// rate is what a target takes from all boxes together as it names it. The holder of the
// pool admits for all boxes, so that the limit is a bucket of its own: in any time T it
// grants at most limit * (limitShare+checkShare) * (T+limitDepth) + 2 requests and checks.
// A new holder begins with an empty bucket once the target has told it.
type rate struct {
	shared    targetstatus.SharedState
	tokens    float64
	at        time.Time
	checkedAt time.Time
}

func newRate(target string) rate {
	return rate{shared: targetstatus.SharedState{Incarnation: target}}
}

// take takes an update of the target.
func (r *rate) take(now time.Time, u targetstatus.Update) {
	had := r.hasLimit()
	r.shared = r.shared.With(u)
	if r.hasLimit() && !had {
		r.tokens = 0
		r.at = now
		r.checkedAt = now
	}
}

func (r *rate) hasLimit() bool { return r.shared.Limit() < targetstatus.NoLimit }

func (r *rate) perSecond() float64 { return max(r.shared.Limit(), leastLimit) }

// free returns how many requests the limit allows now.
func (r *rate) free(now time.Time) int {
	granted := limitShare * r.perSecond()
	if now.After(r.at) {
		r.tokens = min(r.tokens+granted*now.Sub(r.at).Seconds(), 1+granted*limitDepth.Seconds())
		r.at = now
	}
	return int(r.tokens)
}

// grant counts a request that was granted.
func (r *rate) grant() {
	if r.hasLimit() {
		r.tokens--
	}
}

// mayCheck reports whether the target's health may be checked now, and counts the check.
func (r *rate) mayCheck(now time.Time) bool {
	if !r.hasLimit() {
		return true
	}
	pause := time.Duration(float64(time.Second) / (checkShare * r.perSecond()))
	if now.Sub(r.checkedAt) < max(pause, leastCheckPause) {
		return false
	}
	r.checkedAt = now
	return true
}

// Checks returns the targets whose health may be checked now, and counts the checks of
// those that name limits.
func (p *Pool) Checks(now time.Time) (names []string) {
	for _, t := range p.targets {
		if !t.removed && !t.backOff.IsActive(now) && t.rate.mayCheck(now) {
			names = append(names, t.name)
		}
	}
	return names
}

// AnyLimited reports whether a target names a limit.
func (p *Pool) AnyLimited() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.rate.hasLimit() })
}

// limitedRate is how many requests a second the pool can grant where all targets in service
// name limits; ok is false where one does not.
func (p *Pool) limitedRate(now time.Time) (perSecond float64, ok bool) {
	for _, t := range p.targets {
		if !t.inService(now) {
			continue
		}
		if !t.rate.hasLimit() {
			return 0, false
		}
		perSecond += limitShare * t.rate.perSecond()
		ok = true
	}
	return perSecond, ok
}

// limitedWait is how long a request waits for the limits of all targets behind others.
func (p *Pool) limitedWait(now time.Time, ahead int) time.Duration {
	perSecond, ok := p.limitedRate(now)
	if !ok {
		return 0
	}
	return time.Duration(float64(ahead) / perSecond * float64(time.Second))
}
