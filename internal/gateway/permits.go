package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// permitCallTimeout bounds a call for permits: two of the longest round trips
	// between regions and some turns of a busy replica.
	permitCallTimeout = 250 * time.Millisecond
	// permitTick is how often it is looked again, while requests wait, whether
	// another replica can be asked.
	permitTick = 30 * time.Millisecond
	// longestPermitWait bounds how long a request waits for a permit. It covers a
	// replica that is silent, and one in another region that is asked after it.
	longestPermitWait = 400 * time.Millisecond
)

// permits are what this box may send for workspaces, or to targets, with limits.
type permits struct {
	// call asks a replica.
	call func(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error)
	// replicas are the addresses of those that can be asked.
	replicas func() []string
	// request returns the message of asks.
	request func(asks []quota.SubjectRequest) *wire.PermitRequest
	// answered is told how an ask has ended.
	answered func(a quota.IssuerCall, err error)

	clock *boottime.Clock
	mu    sync.Mutex
	stock *quota.PermitCache
	// changed is closed and replaced when waiting requests may look again.
	changed chan struct{}
	// due holds a token when there may be something to ask.
	due chan struct{}
}

func newPermits(c *boottime.Clock) *permits {
	return &permits{clock: c, stock: quota.NewPermitCache(), changed: make(chan struct{}), due: make(chan struct{}, 1)}
}

// take returns a permit of a workspace, for which it may wait. The error is an
// OverLimitError or SilentError of package quota, or the context's.
func (p *permits) take(ctx context.Context, workspace string) (until time.Time, err error) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock.RecordRequest(now, workspace)
	if until, ok := p.stock.Take(now, workspace); ok {
		p.wake()
		return until, nil
	}
	p.stock.SetIssuers(p.replicas())
	latest := time.NewTimer(longestPermitWait)
	defer latest.Stop()
	p.stock.AddWaiter(workspace)
	defer p.stock.RemoveWaiter(workspace)
	for {
		if err := p.stock.Refusal(p.clock.Now(), workspace); err != nil {
			return time.Time{}, err
		}
		p.wake()
		if err := p.await(ctx, latest.C); err != nil {
			return time.Time{}, errors.CombineErrors(p.stock.Refusal(p.clock.Now(), workspace), err)
		}
		if until, ok := p.stock.Take(p.clock.Now(), workspace); ok {
			return until, nil
		}
	}
}

// errNoPermitInTime says that a request has waited for a permit for too long.
var errNoPermitInTime = errors.New("no control replica answered in time whether the limit leaves room")

// await waits, without the lock, until it is worth while to look again.
func (p *permits) await(ctx context.Context, latest <-chan time.Time) error {
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-latest:
		return errNoPermitInTime
	}
}

// takeNow takes a permit if there is one in stock.
func (p *permits) takeNow(workspace string) (until time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stock.Take(p.clock.Now(), workspace)
}

// putBack returns a permit that was not used.
func (p *permits) putBack(workspace string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock.PutBack(workspace, until)
}

func (p *permits) wake() {
	select {
	case p.due <- struct{}{}:
	default:
	}
}

// endedAsk is how an ask has ended.
type endedAsk struct {
	asks   quota.IssuerCall
	answer *wire.PermitAnswer
	err    error
}

// run asks replicas for permits until the context ends.
func (p *permits) run(ctx context.Context) error {
	ended := make(chan endedAsk)
	var running sync.WaitGroup
	defer running.Wait()
	var tick *time.Ticker
	var ticks <-chan time.Time
	for {
		for _, a := range p.plan() {
			running.Go(func() {
				end := p.ask(ctx, a)
				select {
				case ended <- end:
				case <-ctx.Done():
				}
			})
		}
		switch waits := p.waiting(); {
		case waits && tick == nil:
			tick = time.NewTicker(permitTick)
			ticks = tick.C
		case !waits && tick != nil:
			tick.Stop()
			tick, ticks = nil, nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.due:
		case <-ticks:
			p.tell()
		case e := <-ended:
			p.settle(e)
		}
	}
}

// plan returns what is to be asked now.
func (p *permits) plan() []quota.IssuerCall {
	replicas := p.replicas()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock.SetIssuers(replicas)
	return p.stock.StartCalls(p.clock.Now())
}

func (p *permits) waiting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stock.HasWaiters()
}

func (p *permits) ask(ctx context.Context, a quota.IssuerCall) endedAsk {
	ctx, cancel := context.WithTimeout(ctx, permitCallTimeout)
	defer cancel()
	answer, err := p.call(ctx, a.Address, p.request(a.Requests))
	return endedAsk{a, answer, err}
}

// workspaceRequest is the message of asks for permits of workspaces.
func (d *Daemon) workspaceRequest(asks []quota.SubjectRequest) *wire.PermitRequest {
	r := &wire.PermitRequest{Number: d.documentNumber()}
	for _, one := range asks {
		r.Asks = append(r.Asks, &wire.PermitAsk{Workspace: one.Subject, Count: uint32(one.Count)})
	}
	return r
}

func (p *permits) settle(e endedAsk) {
	p.answered(e.asks, e.err)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.tellLocked()
	if e.err != nil {
		p.stock.HandleFailure(p.clock.Now(), e.asks)
		return
	}
	if e.answer.GetBehind() {
		p.stock.HandleStale(p.clock.Now(), e.asks)
		return
	}
	grants := make([]quota.Grant, 0, len(e.answer.GetGrants()))
	for _, g := range e.answer.GetGrants() {
		grants = append(grants, quota.Grant{
			Subject: g.Workspace, Count: int(g.Count),
			TTL: time.Duration(g.LifeMilli) * time.Millisecond, RetryAfter: time.Duration(g.WaitMilli) * time.Millisecond,
		})
	}
	p.stock.HandleGrants(p.clock.Now(), e.asks, grants)
}

// tell has waiting requests look again.
func (p *permits) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tellLocked()
}

func (p *permits) tellLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// forget drops what is known of workspaces without requests.
func (p *permits) forget(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stock.RemoveIdle(now)
}

func (d *Daemon) documentNumber() uint64 {
	if rules := d.rules.Load(); rules != nil {
		return rules.document.Number
	}
	return 0
}

// recordPermits counts an ask that has ended. Why it was not answered is told once,
// until the replica answers again.
func (d *Daemon) recordPermits(a quota.IssuerCall, err error) {
	d.metrics.permitAsks.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	if !d.permitWord.note(a.Address, err == nil) {
		return
	}
	if err != nil {
		d.log.Warn().Str("kind", "permits").Str("address", a.Address).Err(err).Msg("a control replica issues no permits")
		return
	}
	d.log.Info().Str("kind", "permits").Str("address", a.Address).Msg("a control replica issues permits again")
}
