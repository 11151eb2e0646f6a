package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

const (
	// minSearchInterval and maxSearchInterval bound the pause before the next search for a target
	// after one that found none. A shorter pause would ask again before any slot can have become
	// free; a longer one would miss a target that is readmitted after the shortest ejection.
	minSearchInterval = 50 * time.Millisecond
	maxSearchInterval = 250 * time.Millisecond
)

// errOtherResponded is the cause of a context that was canceled because another target responded.
var errOtherResponded = errors.New("another target responded")

// errNoPermit says that the workspace's rate limit allows no further attempt.
var errNoPermit = errors.New("the workspace has no cached permit")

// pendingAttempt is an attempt in flight.
type pendingAttempt struct {
	attempt   *attempt
	choice    permittedChoice
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelCauseFunc
	// overdue tells that the hedge delay passed without a response.
	overdue bool
	// isSecond marks an attempt that was started early by startSecondAttempt.
	isSecond bool
}

// attemptEnd is the result of an attempt.
type attemptEnd struct {
	*pendingAttempt
	out     *targetResponse
	failure *attemptError
	took    time.Duration
}

// startAttempt starts an attempt, whose result arrives on c.ended.
func (c *callerRequest) startAttempt(ctx context.Context, choice permittedChoice) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		gateway: c.gateway, chosenAt: c.gateway.clock.Now(), request: c.request, requestID: c.requestID, body: c.body, target: choice.Target,
		workspace: c.workspaceName(), regions: c.regions, deadline: c.deadline, permitExpiry: earliest(c.nextPermitExpiry(), choice.permitExpiry),
	}
	p := &pendingAttempt{attempt: a, choice: choice, startedAt: a.chosenAt, ctx: ctx, cancel: cancel}
	c.tried = append(c.tried, choice.Target.ID)
	c.pending = append(c.pending, p)
	go func() { c.ended <- p.run() }()
	c.armHedgeTimer()
	c.armSecondTimer()
}

// earliest returns the earlier of two times; a zero time stands for none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// run runs the attempt. A panic counts as a failure of a target that may have run the request:
// net/http recovers panics in its own goroutines only, so otherwise one panic would end the box
// with all its requests.
func (p *pendingAttempt) run() (e attemptEnd) {
	defer func() {
		e.took = p.attempt.gateway.clock.Since(p.startedAt)
		if value := recover(); value != nil {
			e.out, e.failure = nil, p.attempt.logPanic(value)
		}
	}()
	e.pendingAttempt = p
	e.out, e.failure = p.attempt.run(p.ctx)
	return e
}

// armHedgeTimer sets the hedge timer to when the attempt that was started last becomes overdue. A
// second attempt that was started early does not postpone that.
func (c *callerRequest) armHedgeTimer() {
	last := c.lastToBeOverdue()
	if last == nil {
		c.hedgeTimer.Stop()
		return
	}
	c.hedgeTimer.Reset(max(c.gateway.clock.Until(last.startedAt.Add(last.choice.HedgeDelay)), minSearchInterval))
}

// lastToBeOverdue returns the attempt whose hedge delay the hedge timer runs for; nil for none. If a
// second attempt was the last that the route allows, the attempts before it still become overdue.
func (c *callerRequest) lastToBeOverdue() *pendingAttempt {
	canHedge := c.canHedge()
	for _, p := range slices.Backward(c.pending) {
		if !p.isSecond && (canHedge || c.second.started && !p.overdue) {
			return p
		}
	}
	if canHedge && len(c.pending) > 0 {
		return c.pending[len(c.pending)-1]
	}
	return nil
}

// canHedge reports whether the request may go to a further target while another may be running it.
func (c *callerRequest) canHedge() bool {
	if c.route.Repeat == catalog.Unrepeatable || !c.body.isBuffered() {
		return false
	}
	if c.gateway.clock.Until(c.deadline) < minAttemptTime || c.dials >= maxDials || !c.quarantineAllowsRepeat() {
		return false
	}
	return c.sent+len(c.pending) < c.route.MaxAttempts
}

// hedge starts an attempt at another target beside the overdue ones. Those continue whether a
// target is found or not: a target that is slow because its queue is long responds in the end, and
// where all targets have queues no other one is faster.
func (c *callerRequest) hedge(ctx context.Context) {
	for _, p := range c.pending {
		if !p.isSecond || c.gateway.clock.Since(p.startedAt) >= p.choice.HedgeDelay {
			c.recordOverdue(p)
		}
	}
	if !c.canHedge() {
		c.armHedgeTimer()
		return
	}
	c.startHedge(ctx)
}

// hedgeLost starts an attempt at another target beside those whose connections may have gone silent,
// as this box has lost its path to their zones.
func (c *callerRequest) hedgeLost(ctx context.Context) {
	for _, p := range c.pending {
		if cutOff, _ := c.gateway.connections.paths.stateOf(p.choice.Target.Zone); cutOff && p.attempt.usesOwnConnection() {
			c.startHedge(ctx)
			return
		}
	}
}

// startHedge starts an attempt at another target beside the pending ones if that is possible now.
func (c *callerRequest) startHedge(ctx context.Context) {
	if ctx.Err() != nil || !c.canHedge() {
		return
	}
	if !c.obtainPermitForAnother() {
		c.hedges.lastError = errNoPermit
		c.hedgeTimer.Reset(maxSearchInterval)
		return
	}
	choice, err := c.chooseRetryTarget(ctx, 0)
	if err != nil {
		c.hedges.lastError = err
		c.hedgeTimer.Reset(nextSearchDelay(err))
		return
	}
	c.hedges.count++
	c.hedges.delay = c.gateway.clock.Since(c.pending[0].startedAt)
	c.gateway.metrics.hedges.Inc()
	c.startAttempt(ctx, choice)
}

// recordOverdue reports an overdue target to the balancer. Otherwise a target that stopped
// responding would get further requests until the request reaches its deadline.
func (c *callerRequest) recordOverdue(p *pendingAttempt) {
	if p.overdue {
		return
	}
	p.overdue = true
	c.gateway.checkPath(p)
	c.gateway.reportOverdue(balance.Report{TargetID: p.choice.Target.ID, Route: c.route.Name, Outcome: balance.Stuck, Took: c.gateway.clock.Since(p.startedAt)})
}

// checkPath checks whether a response is overdue because of its path: a box that its connection leads
// through is skipped for a while if it has passed on no response since, and if this box has heard
// nothing from the target's zone itself, it tries to connect.
func (d *Daemon) checkPath(p *pendingAttempt) {
	if peer := p.attempt.peerName(); peer != "" {
		d.connections.paths.recordPeerOverdue(d.clock.Now(), peer, p.startedAt)
		return
	}
	if !d.connections.paths.heardSince(p.choice.Target.Zone, p.startedAt) && d.connections.paths.peerCount() > 0 {
		d.connections.probe(context.WithoutCancel(p.ctx), p.choice.Target)
	}
}

// nextSearchDelay returns the time until the next search for a target.
func nextSearchDelay(err error) time.Duration {
	var none *balance.NoTargetError
	if !errors.As(err, &none) {
		return maxSearchInterval
	}
	return min(max(none.RetryAfter, minSearchInterval), maxSearchInterval)
}

// recordAttempt records the result of an attempt and reports its outcome to the balancer.
func (c *callerRequest) recordAttempt(e attemptEnd) {
	c.pending = slices.DeleteFunc(c.pending, func(p *pendingAttempt) bool { return p == e.pendingAttempt })
	c.lastAttempt = attemptRecord{peer: e.attempt.peerName(), target: e.choice.Target, choice: e.choice.Choice, newConnection: e.attempt.connectTime > 0, took: e.took, sent: e.failure == nil || e.failure.sent, sentAfter: e.attempt.sentAfter}
	report := balance.Report{
		TargetID: e.choice.Target.ID, Route: c.route.Name, Took: e.took, Connect: e.attempt.connectTime, MarkedOverdue: e.overdue,
		AffinityKey: c.affinityKey(),
	}
	if e.failure != nil {
		e.cancel(nil)
		report.Outcome = c.classifyFailure(e)
		c.lastAttempt.err = e.failure
		if !e.failure.sent {
			c.gateway.returnPermit(e.choice)
		}
	} else {
		report.Outcome = c.classifyResponse(e.out)
		report.Failed = report.Outcome == balance.Answered && e.out.status >= http.StatusInternalServerError
		report.Load, report.HasLoad = e.out.targetStatus.Load, e.out.targetStatus.HasLoad
		c.lastAttempt.leaving = e.out.targetStatus.Leaving
		c.releaseAfterExchange(e.out, func() { e.cancel(nil) })
	}
	c.lastAttempt.outcome = report.Outcome
	c.endedAttempts = append(c.endedAttempts, c.lastAttempt)
	c.recordEvidence(e)
	c.observeRun(e, report)
	c.gateway.recordOutcome(report)
}

// keepFallback keeps a failure that a target reported, in case no better response arrives. One that
// has not been read to its end keeps its connection. A rejection is discarded.
func (c *callerRequest) keepFallback(e attemptEnd) {
	if e.out == nil {
		return
	}
	if c.notRun(e.out) {
		e.out.discard()
		return
	}
	c.dropFallback()
	c.fallback = e.out
}

// hasFallback reports whether a fallback can be sent. A fallback that has not been read to its end
// can't be read after the deadline.
func (c *callerRequest) hasFallback() bool {
	return c.fallback != nil && (c.fallback.rest == nil || c.gateway.clock.Now().Before(c.deadline))
}

// sendFallback sends the fallback to the caller.
func (c *callerRequest) sendFallback() {
	out := c.fallback
	c.fallback = nil
	c.sendResponse(out)
}

// dropFallback discards a fallback that is not sent.
func (c *callerRequest) dropFallback() {
	if c.fallback != nil {
		c.fallback.discard()
		c.fallback = nil
	}
}

// cancelPending cancels the pending attempts and waits for them, so that each is reported and none
// outlives the response.
func (c *callerRequest) cancelPending() {
	final := c.lastAttempt
	for _, p := range c.pending {
		p.cancel(errOtherResponded)
	}
	for len(c.pending) > 0 {
		e := <-c.ended
		c.recordAttempt(e)
		if e.out != nil {
			e.out.discard()
		}
	}
	c.lastAttempt = final
}
