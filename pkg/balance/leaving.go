package balance

import "time"

// leavingGrace is for how long a target that reported that it leaves is still used where no
// other can be: it serves for longer than that.
const leavingGrace = time.Second

// SetLeaving takes that a target reported that it leaves: it gets no request any more where
// another target can be used, and none at all after leavingGrace. Neither a registration
// nor another answer takes that back.
func (b *Balancer) SetLeaving(now time.Time, id string) {
	if t := b.byID[id]; t != nil && t.leavingSince.IsZero() {
		t.leavingSince = now
	}
}

func (t *targetState) isLeaving() bool { return !t.leavingSince.IsZero() }

// isGone reports whether the target gets nothing any more as it leaves.
func (t *targetState) isGone(now time.Time) bool {
	return t.isLeaving() && now.Sub(t.leavingSince) > leavingGrace
}

// lastResort returns the target that ranks highest for an object of those that have just
// reported that they leave; nil if there is none.
func (b *Balancer) lastResort(now time.Time, s *service, r Request, key uint64) *targetState {
	var best ranked
	for _, t := range s.targets {
		if !t.isLeaving() || t.isGone(now) || !b.isReachable(now, t) || t.isBackedOff(now) || t.limited || !r.allows(t) {
			continue
		}
		if c := b.rank(t, r, key); best.target == nil || c.above(best) {
			best = c
		}
	}
	return best.target
}
