package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// statusHeaders are the headers in which targets say how they are.
var statusHeaders = targetstatus.Headers{Limit: caller.HeaderLimit, Leaving: caller.HeaderLeaving}

// observe tells the pool what an answer says of its target; began is when the request was
// sent.
func (p *pool) observe(target string, response *http.Response, began time.Time) targetstatus.Status {
	status := statusHeaders.Decode(response.StatusCode, response.Header, time.Now) // time of day: a Retry-After may be a date
	status.NotRun = shed(response)
	p.report(target, status, began)
	return status
}

// observeHealth tells the pool what the answer to a check of its health says of a target. One
// without a limit does not take a limit back: it may come from elsewhere in the target.
func (p *pool) observeHealth(target string, response *http.Response, began time.Time) {
	status := statusHeaders.Decode(response.StatusCode, response.Header, time.Now) // time of day: a Retry-After may be a date
	status.NotRun = true
	p.report(target, status, began)
}

func (p *pool) report(target string, status targetstatus.Status, began time.Time) {
	if len(status.Unparsed) > 0 && p.unread != nil {
		p.unread(target, status.Unparsed)
	}
	if status.BackOff > 0 {
		if now := p.clock.Now(); p.backOffs.add(now, target, now.Add(status.BackOff)) && p.backedOff != nil {
			p.backedOff(target, status.BackOff)
		}
		p.inbox <- poolEvent{admission.BackOff{Target: target, Wait: status.BackOff}}
	}
	if !status.HasLimit && !status.Leaving && !(status.ReportsLimit() && p.limited.Load()) {
		return // says nothing new
	}
	u := status.Update(target, began, p.clock.Now())
	p.inbox <- poolEvent{admission.TargetUpdate{Target: target, Update: u}}
}

// slotKey is the key of a request's slot in its context.
type slotKey struct{}

// BackedOffError says that a request was not sent to the target that was chosen for it.
type BackedOffError struct{ Target string }

// Error implements error.
func (e *BackedOffError) Error() string {
	return "not sent: " + e.Target + " has asked for a back-off meanwhile"
}

// dialForSlot connects to the target of a slot. The choice is made again once the connection
// is there: the target may have asked for a back-off since.
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
	return conn, nil
}

// backOffs are the ends of the back-offs that targets asked this box for, by their names.
type backOffs struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add reports whether the target was not backed off before.
func (b *backOffs) add(now time.Time, target string, until time.Time) (began bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.until == nil {
		b.until = make(map[string]time.Time)
	}
	began = !now.Before(b.until[target])
	if until.After(b.until[target]) {
		b.until[target] = until
	}
	return began
}

func (b *backOffs) isActive(now time.Time, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until[target])
}

func (b *backOffs) active(now time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, until := range b.until {
		if now.Before(until) {
			n++
		}
	}
	return n
}

// backedOffTargets returns how many targets this box sends nothing at their request.
func (d *Daemon) backedOffTargets() float64 {
	n := 0
	for _, p := range d.poolList() {
		n += p.backOffs.active(d.clock.Now())
	}
	return float64(n)
}

// retryAfterOf is when the caller of a rejected request may come back: when the target
// says so, or at once where that was about the box, as another target may have room.
func retryAfterOf(response *http.Response, status targetstatus.Status) time.Duration {
	if status.BackOff > 0 {
		return minRetryAfter
	}
	wait, ok := targetstatus.ParseRetryAfter(response.Header, time.Now) // time of day: a Retry-After may be a date
	if !ok || wait <= 0 {
		return minRetryAfter
	}
	return wait
}
