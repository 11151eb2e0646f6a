package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// leavingMemory is for how long a target counts as leaving after the last answer that reported
// it. Its next incarnation has the same name, and may have started between two checks of
// its health.
const leavingMemory = time.Minute

func (t *target) receiveLeaving(u targetstatus.Update) {
	if u.Leaving && u.Received.After(t.leavingAt) {
		t.leavingAt = u.Received
	}
}

func (t *target) isLeaving(now time.Time) bool {
	return !t.leavingAt.IsZero() && now.Sub(t.leavingAt) < leavingMemory
}

// backOffWait returns how long it takes until a target may be used, where all that serve
// are backed off.
func (p *Pool) backOffWait(now time.Time) (wait time.Duration) {
	found := false
	for _, t := range p.targets {
		if !t.isServing(now) {
			continue
		}
		left := t.backOff.Remaining(now)
		if left == 0 {
			return 0
		}
		if !found || left < wait {
			wait, found = left, true
		}
	}
	return wait
}

// refuseHopeless refuses the requests that wait and whose time ends before a target may be
// used.
func (p *Pool) refuseHopeless(now time.Time) {
	wait := p.backOffWait(now)
	if wait == 0 {
		return
	}
	for _, w := range p.queue.expired(now.Add(wait)) {
		p.refuse(now, w.arrive.ID, Overloaded)
	}
}
