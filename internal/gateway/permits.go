package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// permitCallTimeout bounds a permit call: two of the longest round trips between regions and
	// some scheduling delay of a busy replica.
	permitCallTimeout = 250 * time.Millisecond
	// issuerRecheckInterval is how often waiting requests check whether another replica can be
	// asked.
	issuerRecheckInterval = 30 * time.Millisecond
	// maxPermitWait bounds how long a request waits for a permit. It is enough for an unresponsive
	// replica and a second call to one in another region.
	maxPermitWait = 400 * time.Millisecond
)

// permits holds the permits of this box, either of workspaces or of targets with rate limits.
type permits struct {
	// call sends a permit request to a replica.
	call func(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error)
	// replicas returns the addresses of the replicas that can be asked.
	replicas func() []string
	// buildRequest returns the message of permit requests.
	buildRequest func(asks []quota.SubjectRequest) *wire.PermitRequest
	// onResult is called with the result of each issuer call.
	onResult func(a quota.IssuerCall, err error)

	clock *boottime.Clock
	mu    lockorder.Mutex
	cache *quota.PermitCache
	// changed is closed and replaced when waiting requests should check again.
	changed chan struct{}
	// requestDue holds a token when permits may have to be requested.
	requestDue chan struct{}
}

func newPermits(c *boottime.Clock) *permits {
	return &permits{mu: lockorder.Mutex{Rank: lockorder.Permits}, clock: c, cache: quota.NewPermitCache(), changed: make(chan struct{}), requestDue: make(chan struct{}, 1)}
}

// acquire returns a permit of a workspace or target and may wait for one. The error is an
// OverLimitError or NoIssuerError of package quota, errPermitTimeout or the context's.
func (p *permits) acquire(ctx context.Context, subject string) (until time.Time, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.RecordRequest(now, subject)
	if until, ok := p.cache.Take(now, subject); ok {
		p.triggerRequests()
		return until, nil
	}
	p.cache.SetIssuers(p.replicas())
	timeout := time.NewTimer(maxPermitWait)
	defer timeout.Stop()
	p.cache.AddWaiter(subject)
	defer p.cache.RemoveWaiter(subject)
	for {
		if err := p.cache.Refusal(p.clock.Now(), subject); err != nil {
			return time.Time{}, err
		}
		p.triggerRequests()
		if err := p.await(ctx, timeout.C); err != nil {
			return time.Time{}, errors.CombineErrors(p.cache.Refusal(p.clock.Now(), subject), err)
		}
		if until, ok := p.cache.Take(p.clock.Now(), subject); ok {
			return until, nil
		}
	}
}

// errPermitTimeout says that a request has waited too long for a permit.
var errPermitTimeout = errors.New("no control replica answered the permit request in time")

// await waits, with the lock released, until it is worth checking again.
func (p *permits) await(ctx context.Context, timeout <-chan time.Time) error {
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-timeout:
		return errPermitTimeout
	}
}

// tryAcquire takes a permit if one is cached.
func (p *permits) tryAcquire(subject string) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Take(p.clock.Now(), subject)
}

// release returns a permit that was not used.
func (p *permits) release(subject string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.PutBack(subject, until)
}

func (p *permits) triggerRequests() {
	select {
	case p.requestDue <- struct{}{}:
	default:
	}
}

// issuerResult is the result of an issuer call.
type issuerResult struct {
	asks   quota.IssuerCall
	answer *wire.PermitAnswer
	err    error
}

// run requests permits from replicas until the context ends.
func (p *permits) run(ctx context.Context) error {
	ended := make(chan issuerResult)
	var running sync.WaitGroup
	defer running.Wait()
	var tick *time.Ticker
	var ticks <-chan time.Time
	for {
		for _, a := range p.pendingCalls() {
			running.Go(func() {
				end := p.callIssuer(ctx, a)
				select {
				case ended <- end:
				case <-ctx.Done():
				}
			})
		}
		switch waits := p.waiting(); {
		case waits && tick == nil:
			tick = time.NewTicker(issuerRecheckInterval)
			ticks = tick.C
		case !waits && tick != nil:
			tick.Stop()
			tick, ticks = nil, nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.requestDue:
		case <-ticks:
			p.notifyWaiters()
		case e := <-ended:
			p.handleResult(e)
		}
	}
}

// pendingCalls returns the issuer calls that are due.
func (p *permits) pendingCalls() []quota.IssuerCall {
	addresses := p.replicas()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.SetIssuers(addresses)
	return p.cache.StartCalls(p.clock.Now())
}

func (p *permits) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.HasWaiters()
}

// callIssuer sends a permit request to one replica.
func (p *permits) callIssuer(ctx context.Context, a quota.IssuerCall) issuerResult {
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	answer, err := p.call(ctx, a.Address, p.buildRequest(a.Requests))
	return issuerResult{a, answer, err}
}

// workspaceRequest returns the message of permit requests for workspaces.
func (d *Daemon) workspaceRequest(asks []quota.SubjectRequest) *wire.PermitRequest {
	r := &wire.PermitRequest{Number: d.documentNumber()}
	for _, one := range asks {
		r.Asks = append(r.Asks, &wire.PermitAsk{Workspace: one.Subject, Count: uint32(one.Count)})
	}
	return r
}

// handleResult adds the granted permits to the cache and wakes the waiting requests.
func (p *permits) handleResult(e issuerResult) {
	p.onResult(e.asks, e.err)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.notifyWaitersLocked()
	if e.err != nil {
		p.cache.HandleFailure(p.clock.Now(), e.asks)
		return
	}
	if e.answer.GetBehind() {
		p.cache.HandleStale(p.clock.Now(), e.asks)
		return
	}
	grants := make([]quota.Grant, 0, len(e.answer.GetGrants()))
	for _, g := range e.answer.GetGrants() {
		grants = append(grants, quota.Grant{
			Subject: g.Workspace, Count: int(g.Count),
			TTL: time.Duration(g.LifeMilli) * time.Millisecond, RetryAfter: time.Duration(g.WaitMilli) * time.Millisecond,
		})
	}
	p.cache.HandleGrants(p.clock.Now(), e.asks, grants)
}

// notifyWaiters wakes the waiting requests.
func (p *permits) notifyWaiters() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyWaitersLocked()
}

func (p *permits) notifyWaitersLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// prune drops workspaces and targets without recent requests.
func (p *permits) prune(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.RemoveIdle(now)
}

// documentNumber returns the number of the active routes document, zero for none.
func (d *Daemon) documentNumber() uint64 {
	if routing := d.routing.Load(); routing != nil {
		return routing.document.Number
	}
	return 0
}

// recordPermitCall counts an issuer call that has ended. A failure is logged once, until the
// replica answers again.
func (d *Daemon) recordPermitCall(a quota.IssuerCall, err error) {
	d.metrics.permitCalls.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	if !d.permitReachability.record(a.Address, err == nil) {
		return
	}
	if err != nil {
		d.log.Warn().Str("kind", "permits").Str("address", a.Address).Err(err).Msg("control replica issues no permits")
		return
	}
	d.log.Info().Str("kind", "permits").Str("address", a.Address).Msg("control replica issues permits again")
}
