package balance

import "time"

// ranked is a target with its rank for a request.
type ranked struct {
	target *targetState
	rank   uint64
	local  bool
}

func (r ranked) ranksAbove(other ranked) bool {
	if r.local != other.local {
		return r.local
	}
	return r.rank > other.rank
}

// maxPreferredTargets is the maximum number of targets considered for one request.
const maxPreferredTargets = 4

// ranking holds the highest-ranked targets for a request, highest first.
type ranking struct {
	top   [maxPreferredTargets]ranked
	count int
}

func (rk *ranking) add(r ranked) {
	at := rk.count
	if at == maxPreferredTargets {
		if !r.ranksAbove(rk.top[at-1]) {
			return
		}
		at--
	} else {
		rk.count++
	}
	for at > 0 && r.ranksAbove(rk.top[at-1]) {
		rk.top[at] = rk.top[at-1]
		at--
	}
	rk.top[at] = r
}

// pick returns the highest-ranked target that has a free slot, or else the one with the shortest
// wait.
func (rk *ranking) pick(now time.Time, mean time.Duration) (*targetState, time.Duration) {
	var best *targetState
	shortest := time.Duration(0)
	for _, r := range rk.top[:rk.count] {
		wait := r.target.expectedWait(now, mean)
		if wait == 0 {
			return r.target, 0
		}
		if best == nil || wait < shortest {
			best = r.target
			shortest = wait
		}
	}
	return best, shortest
}
