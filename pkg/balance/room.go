package balance

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// roomCut is by what the part of a target's room that is used is multiplied when it
	// rejects a request all the same, as other boxes sent more than was known, and
	// roomGrowth by how much that part grows back each second.
	roomCut    = 0.7
	roomGrowth = 0.02
)

// targetRoom is how many requests a target bears, those that wait included, as its rejections
// taught. A rejection costs the target for the whole back-off that it asks for, so that
// requests are refused, or sent elsewhere, before its queue is filled to the end. The zero
// value is that of a target that has rejected nothing for want of room.
type targetRoom struct {
	// requests is what it had when it rejected one; zero for no bound.
	requests float64
	// part is the part of it that is used, as of a time.
	part float64
	at   time.Time
}

// withRejection returns what is known after a rejection of a target with slots, whose load
// was estimated and is the reported one, if there is one.
func (r targetRoom) withRejection(now time.Time, slots int, estimated float64, reported *targetstatus.Load) targetRoom {
	bears := estimated
	if reported != nil {
		bears = float64(reported.Running + reported.Waiting)
	}
	if bears < float64(max(slots, 1)) {
		return r // it had room: it rejects for another reason
	}
	if r.requests == 0 {
		return targetRoom{requests: bears, part: 1, at: now}
	}
	least := float64(max(slots, 1)) / bears
	return targetRoom{requests: bears, part: max(r.partAt(now)*roomCut, least), at: now}
}

// withLoad returns what is known after an answer reported a load.
func (r targetRoom) withLoad(reported targetstatus.Load) targetRoom {
	if has := float64(reported.Running + reported.Waiting); r.requests > 0 && has > r.requests {
		r.requests = has
	}
	return r
}

func (r targetRoom) partAt(now time.Time) float64 {
	return min(r.part+roomGrowth*now.Sub(r.at).Seconds(), 1)
}

// allows reports whether one more request fits beside a load.
func (r targetRoom) allows(now time.Time, load float64) bool {
	return r.requests == 0 || load+1 <= r.requests*r.partAt(now)
}
