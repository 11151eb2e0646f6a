package balance

import "time"

const (
	// objectsTime is over which time objects are counted: long enough that a
	// box sees the usual ones several times.
	objectsTime = 5 * time.Second
	// maxObjects bounds the objects that are counted apart.
	maxObjects = 4096
)

// objects counts the different objects that requests were about lately.
type objects struct {
	current map[uint64]struct{}
	before  map[uint64]struct{}
	since   time.Time
}

func newObjects() objects { return objects{current: make(map[uint64]struct{})} }

func (o *objects) note(now time.Time, key uint64) {
	o.turn(now)
	if len(o.current) < maxObjects {
		o.current[key] = struct{}{}
	}
}

func (o *objects) turn(now time.Time) {
	if now.Sub(o.since) < objectsTime {
		return
	}
	o.before = o.current
	o.current = make(map[uint64]struct{}, len(o.before))
	o.since = now
}

// count returns how many objects were seen in the last whole span, or in the
// present one if that are more.
func (o *objects) count(now time.Time) int {
	o.turn(now)
	return max(len(o.current), len(o.before))
}
