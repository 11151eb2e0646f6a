package balance

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// A further rejection within the estimate means that other boxes sent more than this box knew
	// of. It multiplies the usable share by usableShareDecrease; the share recovers by
	// usableShareRecovery per second.
	usableShareDecrease = 0.7
	usableShareRecovery = 0.02
)

// capacityEstimate estimates how many requests, running and queued, a target holds before it
// rejects. A rejection blocks the target for the whole back-off that it asks for, so requests are
// refused or sent elsewhere before its queue is full. The zero value belongs to a target that has
// not rejected a request while all its slots were taken.
type capacityEstimate struct {
	// requests is the number that the target held when it rejected one; zero for no limit.
	requests float64
	// usableShare is the share of requests that may be used, as of updatedAt.
	usableShare float64
	updatedAt   time.Time
}

// withRejection returns the estimate after a target with the given slots rejected a request. It
// goes by the reported load, or by the estimated one if none was reported.
func (e capacityEstimate) withRejection(now time.Time, slots int, estimated float64, reported *targetstatus.Load) capacityEstimate {
	held := estimated
	if reported != nil {
		held = float64(reported.Running + reported.Waiting)
	}
	if held < float64(max(slots, 1)) {
		return e // it had a free slot, so it rejected for another reason
	}
	if e.requests == 0 {
		return capacityEstimate{requests: held, usableShare: 1, updatedAt: now}
	}
	minShare := float64(max(slots, 1)) / held
	return capacityEstimate{requests: held, usableShare: max(e.usableShareAt(now)*usableShareDecrease, minShare), updatedAt: now}
}

// withLoad returns the estimate after a response reported a load.
func (e capacityEstimate) withLoad(reported targetstatus.Load) capacityEstimate {
	if held := float64(reported.Running + reported.Waiting); e.requests > 0 && held > e.requests {
		e.requests = held
	}
	return e
}

func (e capacityEstimate) usableShareAt(now time.Time) float64 {
	return min(e.usableShare+usableShareRecovery*now.Sub(e.updatedAt).Seconds(), 1)
}

// allows reports whether one more request fits on top of the load.
func (e capacityEstimate) allows(now time.Time, load float64) bool {
	return e.requests == 0 || load+1 <= e.requests*e.usableShareAt(now)
}
