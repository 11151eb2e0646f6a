package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// statusHeaders are the headers in which targets report their status.
var statusHeaders = targetstatus.Headers{Limit: caller.HeaderLimit, Leaving: caller.HeaderLeaving}

// recordStatus passes the status that a response reports to the pool. The request was sent at
// sentAt.
func (p *pool) recordStatus(target string, response *http.Response, sentAt time.Time) targetstatus.Status {
	status := statusHeaders.Decode(response.StatusCode, response.Header, time.Now) // time of day: a Retry-After may be a date
	status.NotRun = isRejection(response)
	p.reportStatus(target, status, sentAt)
	return status
}

// recordHealthStatus passes the status that a health check's response reports to the pool. A
// response without a limit does not withdraw an earlier one, since another part of the target
// may answer health checks.
func (p *pool) recordHealthStatus(target string, response *http.Response, sentAt time.Time) {
	status := statusHeaders.Decode(response.StatusCode, response.Header, time.Now) // time of day: a Retry-After may be a date
	status.NotRun = true
	p.reportStatus(target, status, sentAt)
}

func (p *pool) reportStatus(target string, status targetstatus.Status, sentAt time.Time) {
	if len(status.Unparsed) > 0 && p.onUnparsed != nil {
		p.onUnparsed(target, status.Unparsed)
	}
	if status.BackOff > 0 {
		if now := p.clock.Now(); p.backOffs.extend(now, target, now.Add(status.BackOff)) && p.onBackOff != nil {
			p.onBackOff(target, status.BackOff)
		}
		p.inbox <- poolEvent{admission.BackOff{Target: target, Wait: status.BackOff}}
	}
	if !status.HasLimit && !status.Leaving && !(status.ReportsLimit() && p.hasLimitedTarget.Load()) {
		return // nothing new
	}
	u := status.Update(target, sentAt, p.clock.Now())
	p.inbox <- poolEvent{admission.TargetUpdate{Target: target, Update: u}}
}

// slotKey is the context key of a request's slot.
type slotKey struct{}

// BackedOffError is returned for a request that was not sent because its target asked for a
// back-off.
type BackedOffError struct{ Target string }

// Error implements error.
func (e *BackedOffError) Error() string {
	return "not sent: " + e.Target + " has asked for a back-off meanwhile"
}

// dialForSlot connects to the target of a slot. The target's back-off is checked again after
// the connection is established, since it may have started in the meantime.
func (d *Daemon) dialForSlot(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.dialTarget(ctx, network, address)
	if err != nil {
		return nil, err
	}
	s, ok := ctx.Value(slotKey{}).(*slot)
	if ok && s.pool.backOffs.isActive(d.clock.Now(), s.target) {
		_ = conn.Close() // nothing was sent on it
		return nil, &BackedOffError{s.target}
	}
	return newTargetConn(conn), nil
}

// backOffs holds, by target name, when the back-offs end that targets asked this box for.
type backOffs struct {
	mu    lockorder.Mutex
	until map[string]time.Time
}

// extend adds or extends a back-off. It reports whether the target was not backed off before.
func (b *backOffs) extend(now time.Time, target string, until time.Time) (started bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[string]time.Time)
	}
	started = !now.Before(b.until[target])
	if until.After(b.until[target]) {
		b.until[target] = until
	}
	return started
}

func (b *backOffs) isActive(now time.Time, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[target])
}

func (b *backOffs) countActive(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, until := range b.until {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// backedOffTargets returns the number of targets to which this box sends nothing because they
// asked for a back-off.
func (d *Daemon) backedOffTargets() float64 {
	n := 0
	for _, p := range d.poolList() {
		n += p.backOffs.countActive(d.clock.Now())
	}
	return float64(n)
}

// callerRetryAfter returns when the caller of a rejected request may retry: after the target's
// Retry-After, or soon if only this box was asked to back off, since another target may have
// capacity.
func callerRetryAfter(response *http.Response, status targetstatus.Status) time.Duration {
	if status.BackOff > 0 {
		return minRetryAfter
	}
	wait, ok := targetstatus.ParseRetryAfter(response.Header, time.Now) // time of day: a Retry-After may be a date
	if !ok || wait <= 0 {
		return minRetryAfter
	}
	return wait
}
