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

// side is the part of a service's targets that is in the box's region, or the
// part that is not.
type side struct {
	// usable is how many targets may be used; top are those that rank highest.
	usable int
	top    [maxPreferred]ranked
	count  int
}

func (d *side) consider(r ranked) {
	d.usable++
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

// pick returns the highest of the preferred targets that has a free slot, or
// else the one with the shortest wait.
func (d *side) pick(now time.Time, preferred int, mean time.Duration) (*targetState, time.Duration) {
	var best *targetState
	shortest := time.Duration(0)
	for _, r := range d.top[:min(d.count, preferred)] {
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
