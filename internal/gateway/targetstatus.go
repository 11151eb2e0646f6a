package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// errWithdrawn says why a request was not sent to the target that was chosen for it.
var errWithdrawn = errors.New("not sent: the target asked for a back-off, drained, shut down or was evacuated after it was chosen")

// recordTargetStatus records what a response reports of its target as soon as the header has
// arrived, whatever happens to the body and the request.
func (a *attempt) recordTargetStatus(response *http.Response) targetstatus.Status {
	d := a.gateway
	status := d.config.Protocol.Status.Decode(response.StatusCode, response.Header, time.Now) // time of day: a Retry-After may be a date
	if len(status.Unparsed) > 0 {
		d.logUnparsedHeaders(a, status.Unparsed)
	}
	if status.WorkTimeUnusable && d.unusableWorkTimes.isNew(a.target.ID) {
		d.logUnusableWorkTime(a, response.Header.Get(d.config.Protocol.Status.Load))
	}
	if status.WarmupRemaining > 0 {
		d.setColdLeft(a.target.ID, status.WarmupRemaining)
	}
	if status.BackOff > 0 {
		d.backOff(a, status)
	}
	if status.ReportsLimit() || status.Leaving {
		d.shareTargetStatus(a, status)
	}
	return status
}

// shareTargetStatus records the status that concerns all boxes, and triggers a report if it is new.
func (d *Daemon) shareTargetStatus(a *attempt, status targetstatus.Status) {
	change, changed := d.targetLimits.recordResponse(status.Update(a.target.ID, a.chosenAt, d.clock.Now()))
	if !changed {
		return
	}
	d.applyChange(change, a.requestID)
	if d.targetLimits.allowReport() {
		d.triggerReport()
	}
}

// backOff stops this box from sending to a target for the time that it asked for.
func (d *Daemon) backOff(a *attempt, status targetstatus.Status) {
	now := d.clock.Now()
	d.balancing.Lock()
	began := d.balancing.balancer.BackOff(now, a.target.ID, status)
	d.balancing.Unlock()
	d.shareBackOff(a, status.BackOff)
	if !began {
		return
	}
	d.metrics.backOffs.Inc()
	if d.otherLineLimit.Allow(now) {
		d.log.Warn().Str("kind", "backOff").Str("target", a.target.ID).Str("targetZone", a.target.Zone).
			Str("request", a.requestID).Dur("retryAfter", status.BackOff).Msg("target asked for a back-off")
	}
}

// shareBackOff tells the box that the attempt's connection leads through, and those that this box
// connects to the target, that it asked for a back-off: it counts by the box that connects to it.
func (d *Daemon) shareBackOff(a *attempt, wait time.Duration) {
	d.tunnelServer.BackOff(a.target.ID, wait)
	if t, ok := a.connection.Conn.(*tunnel.Conn); ok {
		_ = t.SendBackOff(wait) // if the connection is lost, the exchange fails too
	}
}

// canSend reports whether a request may still be sent to the target that was chosen.
func (d *Daemon) canSend(target string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.CanSend(d.clock.Now(), target)
}

// logEndedBackOffs logs the back-offs that have ended.
func (d *Daemon) logEndedBackOffs() {
	now := d.clock.Now()
	d.balancing.Lock()
	ended := d.balancing.balancer.EndedBackOffs(now)
	d.balancing.Unlock()
	for _, e := range ended {
		d.metrics.backOffSkips.Add(float64(e.Skipped))
		if d.otherLineLimit.Allow(now) {
			d.log.Info().Str("kind", "backOff").Str("target", e.TargetID).Int("skipped", e.Skipped).Msg("back-off ended")
		}
	}
}

// backedOffTargets returns how many targets this box sends nothing to because they asked it to back
// off.
func (d *Daemon) backedOffTargets() float64 {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return float64(d.balancing.balancer.BackedOffCount(d.clock.Now()))
}

// logUnparsedHeaders logs status headers that could not be parsed; they are ignored.
func (d *Daemon) logUnparsedHeaders(a *attempt, headers []string) {
	if d.otherLineLimit.Allow(d.clock.Now()) {
		d.log.Warn().Str("kind", "unreadHeaders").Str("target", a.target.ID).Str("request", a.requestID).Strs("headers", headers).
			Msg("status headers of a target can't be parsed")
	}
}

// unusableWorkTimes holds the targets whose load had a work time that can't be used, so that each is
// logged once. It is safe for concurrent use.
type unusableWorkTimes struct {
	mu      lockorder.Mutex
	targets map[string]bool
}

// isNew records a target and reports whether it had not been recorded before.
func (u *unusableWorkTimes) isNew(target string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.targets[target] {
		return false
	}
	if u.targets == nil {
		u.targets = make(map[string]bool)
	}
	u.targets[target] = true
	return true
}

// prune drops targets that are no longer registered. It calls registered without its lock.
func (u *unusableWorkTimes) prune(registered func(target string) bool) {
	ended := unregistered(u.names(), registered)
	u.mu.Lock()
	defer u.mu.Unlock()
	maps.DeleteFunc(u.targets, func(target string, _ bool) bool { return ended[target] })
}

func (u *unusableWorkTimes) names() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Collect(maps.Keys(u.targets))
}

// logUnusableWorkTime logs that the work time of a target's load is ignored; the rest of it is used.
func (d *Daemon) logUnusableWorkTime(a *attempt, load string) {
	if d.otherLineLimit.Allow(d.clock.Now()) {
		d.log.Warn().Str("kind", "unreadHeaders").Str("target", a.target.ID).Str("request", a.requestID).Str("load", load[:min(len(load), maxLoggedLoad)]).
			Msg("work time in the load of a target can't be used; the target counts as running as usual")
	}
}

// maxLoggedLoad bounds the length of a load in a log line, in bytes.
const maxLoggedLoad = 64
