package admission

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// leavingTimeout is how long a target counts as leaving after the last response that reported it.
// Its next incarnation has the same name and may have started between two health checks.
const leavingTimeout = time.Minute

func (t *target) observeLeaving(u targetstatus.Update) {
	if u.Leaving && u.Received.After(t.leavingReportedAt) {
		t.leavingReportedAt = u.Received
	}
}

func (t *target) isLeaving(now time.Time) bool {
	return !t.leavingReportedAt.IsZero() && now.Sub(t.leavingReportedAt) < leavingTimeout
}

// backOffWait returns how long it takes until the first back-off ends if all serving targets are
// backed off, and zero otherwise.
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

// refuseUnservable refuses the waiting requests whose wait ends before any target's back-off does.
func (p *Pool) refuseUnservable(now time.Time) {
	wait := p.backOffWait(now)
	if wait == 0 {
		return
	}
	for _, w := range p.queue.expired(now.Add(wait)) {
		p.refuse(now, w.arrive.ID, Overloaded)
	}
}
