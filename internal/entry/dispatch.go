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

// dispatch runs a request on this box if it holds the lease on the pool of the service in its
// zone, else on the box that holds it, else in another zone. If the request certainly did not
// run at one candidate, the next one is tried.
func (d *Daemon) dispatch(ctx context.Context, r *request) *answer {
	active := d.current.Load()
	if !active.table.HasService(r.service) {
		return &answer{outcome: caller.NotRun, status: http.StatusNotFound, reason: "there is no service " + r.service}
	}
	d.markForeign(active, r)
	candidates := d.candidates(active, r)
	if len(candidates) == 0 {
		return refusal(string(admission.NoTarget), retryWithoutPool)
	}
	d.budgets.Lock()
	budget := d.budgets.byService[r.service]
	d.budgets.Unlock()
	config := routing.Config{
		Pools:      len(candidates),
		AtOrigin:   r.hops == 0,
		Repeatable: r.repeatable,
		Deadline:   r.deadline,
	}
	failover := routing.NewFailover(config, budget)
	var kept *answer
	for i, c := range candidates {
		attempt := *r
		attempt.noWait = r.noWait || config.NoWait(i, len(candidates) > 1 && candidates[1].region == d.config.Region)
		a := c.run(ctx, &attempt)
		decision := d.recordResult(failover, a.routingResult())
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

// recordResult passes the result at one candidate to the failover.
func (d *Daemon) recordResult(f *routing.Failover, r routing.Result) routing.Decision {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	return f.HandleResult(d.clock.Now(), r)
}

const retryWithoutPool = 500 * time.Millisecond

// routingResult converts the answer of one candidate for the failover.
func (a *answer) routingResult() routing.Result {
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

// candidate is a pool that a request may run on.
type candidate struct {
	region string
	run    func(ctx context.Context, r *request) *answer
}

// candidates returns the pools that a request may run on, best first.
func (d *Daemon) candidates(active *activeState, r *request) []candidate {
	var out []candidate
	if p := d.pool(r.service); p != nil && hasTargets(active, r.service) {
		out = append(out, candidate{d.config.Region, func(ctx context.Context, r *request) *answer { return d.runInOwnZone(ctx, p, r) }})
	}
	if r.hops >= maxHops-1 || (r.hops > 0 && len(out) > 0) {
		return out
	}
	for _, c := range active.table.Choose(r.service, d.homeRegion(r), r.block, routing.MaxPools+1, d.usable) {
		if c.Zone == d.config.Zone {
			continue
		}
		b := c.Boxes[0]
		out = append(out, candidate{c.Region, func(ctx context.Context, r *request) *answer { return d.forward(ctx, b, r) }})
	}
	return out
}

func hasTargets(active *activeState, service string) bool {
	s, ok := active.table.Service(service, active.zone.Name)
	return ok && len(s.Targets) > 0
}

// runInOwnZone runs a request on the pool of this box's zone, on this box or on the holder of
// the pool's lease.
func (d *Daemon) runInOwnZone(ctx context.Context, p *pool, r *request) *answer {
	v, err := p.view(ctx)
	if err != nil {
		return refusal("deadline", minRetryAfter)
	}
	if v.held {
		return d.runUnlessQuarantined(ctx, p, r, v)
	}
	b, ok := d.holder(r.service)
	if !ok || b.Name == d.config.Name || r.hops >= maxHops {
		return refusal(string(admission.NoLease), retryWithoutPool)
	}
	return d.forward(ctx, b, r)
}

func (d *Daemon) homeRegion(r *request) string {
	if r.home == "" {
		return d.config.Region
	}
	return r.home
}

// markForeign records whether the request's caller is assigned to another region than the
// one of the box that received the request.
func (d *Daemon) markForeign(active *activeState, r *request) {
	if r.foreignSet {
		return
	}
	r.foreignSet = true
	r.foreign = active.table.AssignedRegion(r.service, d.homeRegion(r), r.block) != d.config.Region
}

// forward sends a request to another entry box and returns its answer.
func (d *Daemon) forward(ctx context.Context, b settings.Box, r *request) *answer {
	next := *r
	if b.Region != d.config.Region {
		next.foreign = d.current.Load().table.AssignedRegion(r.service, d.homeRegion(r), r.block) != b.Region
	}
	h, err := next.peerRequest(d.clock.Now())
	if err != nil {
		return invalid(err)
	}
	h.URL.Host = b.PeerAddress
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx, cancel := d.clock.WithDeadline(ctx, r.deadline)
	response, err := d.peerTransport.RoundTrip(h.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		cancel()
		return d.forwardFailed(b, err, connected.Load())
	}
	return readForwarded(response, cancel)
}

func (d *Daemon) forwardFailed(b settings.Box, err error, connected bool) *answer {
	d.peers.recordFailure(b.Name)
	if !connected {
		return refusal(fmt.Sprintf("entry box %s can't be reached", b.Name), minRetryAfter)
	}
	return unknown(fmt.Sprintf("no answer from entry box %s: %v", b.Name, err))
}

// readForwarded reads the response of another entry box: a small one completely, and the rest
// of a large one as a stream.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedAnswer+1))
	if err != nil {
		cancel()
		_ = response.Body.Close()
		return unknown(fmt.Sprintf("the answer of an entry box broke off: %v", err))
	}
	a.body = body
	if len(body) <= maxBufferedAnswer {
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

// usable reports whether callers and requests may be sent to a box. A box that is stopping or
// that has recently been unreachable is not usable.
func (d *Daemon) usable(b settings.Box) bool {
	if b.Name == d.config.Name {
		return !d.stop.begun()
	}
	return d.peers.usable(b.Name)
}

var errUnknownBox = errors.New("the entry box is not in the settings")
