package balance

import "time"

// ranked is a target with its rank for an object.
type ranked struct {
	target *targetState
	rank   uint64
	near   bool
}

func (r ranked) above(other ranked) bool {
	if r.near != other.near {
		return r.near
	}
	return r.rank > other.rank
}

// maxPreferred bounds the targets that are considered for one object.
const maxPreferred = 4

// ranking holds the targets that rank highest for an object.
type ranking struct {
	top   [maxPreferred]ranked
	count int
}

func (d *ranking) consider(r ranked) {
	at := d.count
	if at == maxPreferred {
		if !r.above(d.top[at-1]) {
			return
		}
		at--
	} else {
		d.count++
	}
	for at > 0 && r.above(d.top[at-1]) {
		d.top[at] = d.top[at-1]
		at--
	}
	d.top[at] = r
}

// pick returns the highest target that has a free slot, or else the one with
// the shortest wait.
func (d *ranking) pick(now time.Time, mean time.Duration) (*targetState, time.Duration) {
	var best *targetState
	shortest := time.Duration(0)
	for _, r := range d.top[:d.count] {
		wait := r.target.wait(now, mean)
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
