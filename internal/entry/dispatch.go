package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/routing"
	"ledgesill.dev/ledgesill/pkg/settings"
)

type admissionReason = admission.Reason

// dispatch runs a request where it can run: on this box if it holds the pool
// of the service in its zone, else on the box that does, else in another zone.
// A place that surely did not run it lets the next one have it.
func (d *Daemon) dispatch(ctx context.Context, r *request) *answer {
	f := d.current.Load()
	if !f.table.HasService(r.service) {
		return &answer{outcome: caller.NotRun, status: http.StatusNotFound, reason: "there is no service " + r.service}
	}
	d.markForeign(f, r)
	places := d.places(f, r)
	if len(places) == 0 {
		return refusal(string(admission.NoTarget), retryWithoutPool)
	}
	d.budgets.Lock()
	budget := d.budgets.byService[r.service]
	d.budgets.Unlock()
	config := routing.Config{
		Pools:      len(places),
		AtOrigin:   r.hops == 0,
		Repeatable: r.repeatable,
		Deadline:   r.deadline,
	}
	failover := routing.NewFailover(config, budget)
	var kept *answer
	for i, place := range places {
		visit := *r
		visit.noWait = r.noWait || config.NoWait(i, len(places) > 1 && places[1].region == d.config.Region)
		a := place.run(ctx, &visit)
		decision := d.placeEnded(failover, a.result())
		if decision.KeepResult {
			kept.discard()
			kept = a
		}
		if !decision.TryNext {
			break
		}
	}
	return kept
}

// placeEnded tells a failover how a request has ended at a place.
func (d *Daemon) placeEnded(f *routing.Failover, r routing.Result) routing.Decision {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return f.HandleResult(d.clock.Now(), r)
}

const retryWithoutPool = 500 * time.Millisecond

// result is what the answer of a place means for the next place.
func (a *answer) result() routing.Result {
	r := routing.Result{RetryAfter: a.retryAfter, Final: a.status != http.StatusServiceUnavailable}
	switch a.outcome {
	case caller.Ran:
		r.Verdict = retry.Ran
	case caller.NotRun:
		r.Verdict = retry.DidNotRun
	default:
		r.Verdict = retry.Unknown
	}
	return r
}

// place is where a request may run.
type place struct {
	region string
	run    func(ctx context.Context, r *request) *answer
}

// places lists where a request may run, best first.
func (d *Daemon) places(f *inForce, r *request) []place {
	var out []place
	if p := d.pool(r.service); p != nil && hasTargets(f, r.service) {
		out = append(out, place{d.config.Region, func(ctx context.Context, r *request) *answer { return d.inZone(ctx, p, r) }})
	}
	if r.hops >= maxHops-1 || (r.hops > 0 && len(out) > 0) {
		return out
	}
	for _, c := range f.table.Choose(r.service, d.homeOf(r), r.block, routing.MaxPools+1, d.usable) {
		if c.Zone == d.config.Zone {
			continue
		}
		b := c.Boxes[0]
		out = append(out, place{c.Region, func(ctx context.Context, r *request) *answer { return d.forward(ctx, b, r) }})
	}
	return out
}

func hasTargets(f *inForce, service string) bool {
	s, ok := f.table.Service(service, f.zone.Name)
	return ok && len(s.Targets) > 0
}

// inZone runs a request on the pool of this box's zone, here or at the holder.
func (d *Daemon) inZone(ctx context.Context, p *pool, r *request) *answer {
	v, err := p.look(ctx)
	if err != nil {
		return refusal("deadline", minRetryAfter)
	}
	if v.held {
		return d.runUnlessHeld(ctx, p, r, v)
	}
	b, ok := d.holder(r.service)
	if !ok || b.Name == d.config.Name || r.hops >= maxHops {
		return refusal(string(admission.NoLease), retryWithoutPool)
	}
	return d.forward(ctx, b, r)
}

func (d *Daemon) homeOf(r *request) string {
	if r.home == "" {
		return d.config.Region
	}
	return r.home
}

// markForeign notes whether the request's caller is assigned to another region
// than the one whose box takes it.
func (d *Daemon) markForeign(f *inForce, r *request) {
	if r.foreignSet {
		return
	}
	r.foreignSet = true
	r.foreign = f.table.AssignedRegion(r.service, d.homeOf(r), r.block) != d.config.Region
}

// forward passes a request to another entry box and returns its answer.
func (d *Daemon) forward(ctx context.Context, b settings.Box, r *request) *answer {
	next := *r
	if b.Region != d.config.Region {
		next.foreign = d.current.Load().table.AssignedRegion(r.service, d.homeOf(r), r.block) != b.Region
	}
	h, err := next.toPeer(d.clock.Now())
	if err != nil {
		return invalid(err)
	}
	h.URL.Host = b.PeerAddress
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := d.clock.WithDeadline(ctx, r.deadline)
	response, err := d.toPeers.RoundTrip(h.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel()
		return d.forwardFailed(b, err, connected.Load())
	}
	return readForwarded(response, cancel)
}

func (d *Daemon) forwardFailed(b settings.Box, err error, connected bool) *answer {
	d.peers.failed(b.Name)
	if !connected {
		return refusal(fmt.Sprintf("entry box %s can't be reached", b.Name), minRetryAfter)
	}
	return unknown(fmt.Sprintf("no answer from entry box %s: %v", b.Name, err))
}

// readForwarded reads the answer of another entry box: a small one whole, the
// rest of a large one as a stream.
func readForwarded(response *http.Response, cancel context.CancelFunc) *answer {
	a := &answer{
		outcome: caller.Outcome(response.Header.Get(caller.HeaderOutcome)),
		reason:  response.Header.Get(caller.HeaderReason),
		target:  response.Header.Get(caller.HeaderTarget),
		status:  response.StatusCode,
		header:  response.Header,
	}
	if a.outcome == "" {
		cancel()
		return unknown("an entry box answered without an outcome")
	}
	if wait, err := time.ParseDuration(response.Header.Get(caller.HeaderRetryAfter) + "ms"); err == nil {
		a.retryAfter = wait
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, smallAnswer+1))
	if err != nil {
		cancel()
		_ = response.Body.Close()
		return unknown(fmt.Sprintf("the answer of an entry box broke off: %v", err))
	}
	a.body = body
	if len(body) <= smallAnswer {
		cancel()
		_ = response.Body.Close()
		return a
	}
	a.stream = &forwardedStream{response.Body, cancel}
	return a
}

type forwardedStream struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (s *forwardedStream) Close() error {
	s.cancel()
	return s.ReadCloser.Close()
}

// usable reports whether callers and requests may be sent to a box: not to one
// that is stopping or was found dead a moment ago.
func (d *Daemon) usable(b settings.Box) bool {
	if b.Name == d.config.Name {
		return !d.stop.begun()
	}
	return d.peers.usable(b.Name)
}

var errNoAddress = errors.New("the entry box is not in the settings")
