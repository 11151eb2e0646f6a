package admission

import (
	"slices"
	"time"
)

// waiting is a request waiting for a slot.
type waiting struct {
	arrive       Arrive
	waitUntil    time.Time
	refusedFirst bool
}

// queue holds the waiting requests in the order in which they are served: those of the class that
// is refused first come last; within a class the earliest deadline comes first.
type queue struct{ items []waiting }

func compareOrder(a, b waiting) int {
	if a.refusedFirst != b.refusedFirst {
		if a.refusedFirst {
			return 1
		}
		return -1
	}
	if c := a.arrive.Deadline.Compare(b.arrive.Deadline); c != 0 {
		return c
	}
	return int(int64(a.arrive.ID) - int64(b.arrive.ID))
}

func (q *queue) add(w waiting) {
	i, _ := slices.BinarySearchFunc(q.items, w, compareOrder)
	q.items = slices.Insert(q.items, i, w)
}

// displace removes and returns the last waiting request of the class that is refused first.
func (q *queue) displace() (waiting, bool) {
	last := len(q.items) - 1
	if last < 0 || !q.items[last].refusedFirst {
		return waiting{}, false
	}
	w := q.items[last]
	q.items = q.items[:last]
	return w, true
}

func (q *queue) remove(id uint64) bool {
	before := len(q.items)
	q.items = slices.DeleteFunc(q.items, func(w waiting) bool { return w.arrive.ID == id })
	return len(q.items) < before
}

// expired removes and returns the requests whose wait has ended by now.
func (q *queue) expired(now time.Time) []waiting {
	var out []waiting
	q.items = slices.DeleteFunc(q.items, func(w waiting) bool {
		over := !now.Before(w.waitUntil)
		if over {
			out = append(out, w)
		}
		return over
	})
	return out
}

// nextExpiry returns the earliest time at which a wait ends, or zero if no request is waiting.
func (q *queue) nextExpiry() time.Time {
	var next time.Time
	for _, w := range q.items {
		if next.IsZero() || w.waitUntil.Before(next) {
			next = w.waitUntil
		}
	}
	return next
}
