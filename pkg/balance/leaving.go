package balance

import "time"

// leavingGrace is how long a target that reported that it is leaving is still used when no other is
// usable. Targets go on serving for longer than that.
const leavingGrace = time.Second

// SetLeaving records that a target reported at a time that it is leaving. From then on it receives
// requests only if no other target is usable, and none after leavingGrace. Neither a registration nor
// another response reverts this.
func (b *Balancer) SetLeaving(since time.Time, id string) {
	if t := b.byID[id]; t != nil && !t.leaving {
		t.leaving = true
		t.leavingSince = since
	}
}

func (t *targetState) isLeaving() bool { return t.leaving }

// hasLeft reports whether the target is leaving and its grace period is over.
func (t *targetState) hasLeft(now time.Time) bool {
	return t.isLeaving() && now.Sub(t.leavingSince) > leavingGrace
}

// leavingTarget returns the highest-ranked target among those still within their leavingGrace, or
// nil if there is none. It excludes targets that are backed off or need permits.
func (b *Balancer) leavingTarget(now time.Time, s *service, r Request, key uint64) *targetState {
	var best ranked
	for _, t := range s.targets {
		if !t.isLeaving() || t.hasLeft(now) || !b.isHealthy(now, t) || t.isBackedOff(now) || t.limited || !r.allows(t) {
			continue
		}
		if c := b.rank(t, r, key); best.target == nil || c.ranksAbove(best) {
			best = c
		}
	}
	return best.target
}
