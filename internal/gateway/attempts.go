package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// sendToTargets tries targets until one gives a final response or no further one may be tried.
func (c *callerRequest) sendToTargets(ctx context.Context) {
	c.ended = make(chan attemptEnd)
	c.hedgeTimer = time.NewTimer(c.gateway.clock.Until(c.deadline))
	defer c.hedgeTimer.Stop()
	c.second.timer = newStoppedTimer()
	defer c.finishSecondAttempt()
	defer c.dropFallback()
	for {
		choice, err := c.chooseTarget(ctx)
		if err != nil {
			c.answerWithoutTarget(err)
			return
		}
		c.startAttempt(ctx, choice)
		if c.awaitAttempts(ctx) {
			return
		}
	}
}

// chooseTarget chooses a target, for a retry only if the retry budget allows one.
func (c *callerRequest) chooseTarget(ctx context.Context) (permittedChoice, error) {
	if c.nextIsRetry {
		return c.chooseRetryTarget(ctx, targetPermitWait)
	}
	return c.choosePermittedTarget(ctx, targetPermitWait)
}

// chooseRetryTarget chooses a target for a retry. A retry is taken from the budget only if there is
// a target, and a target is counted as chosen only if there is a retry left.
func (c *callerRequest) chooseRetryTarget(ctx context.Context, permitWait time.Duration) (permittedChoice, error) {
	if !c.gateway.allowsRetry(c.service) {
		return permittedChoice{}, errRetryBudgetExhausted
	}
	choice, err := c.choosePermittedTarget(ctx, permitWait)
	if err != nil {
		return permittedChoice{}, err
	}
	if !c.gateway.takeRetry(c.service) {
		c.release(choice)
		return permittedChoice{}, errRetryBudgetExhausted
	}
	return choice, nil
}

// release undoes a choice after which nothing was sent.
func (c *callerRequest) release(choice permittedChoice) {
	c.gateway.returnPermit(choice)
	c.gateway.balancing.Lock()
	defer c.gateway.balancing.Unlock()
	c.gateway.balancing.balancer.Release(choice.Target.ID)
}

// awaitAttempts handles the results of pending attempts and reports whether the caller has been
// answered. If not, another target may be tried.
func (c *callerRequest) awaitAttempts(ctx context.Context) bool {
	lost := c.gateway.connections.paths.nextLoss()
	for len(c.pending) > 0 {
		select {
		case <-lost:
			lost = c.gateway.connections.paths.nextLoss()
			c.hedgeLost(ctx)
		case e := <-c.ended:
			if c.handleAttemptEnd(ctx, e) {
				return true
			}
		case <-c.hedgeTimer.C:
			c.hedge(ctx)
		case <-c.second.timer.C:
			c.startSecondAttempt(ctx)
		}
	}
	return false
}

// handleAttemptEnd handles the result of an attempt and reports whether the caller has been
// answered.
func (c *callerRequest) handleAttemptEnd(ctx context.Context, e attemptEnd) bool {
	c.recordAttempt(e)
	if len(c.pending) > 0 && !c.isFinal(e) {
		c.keepFallback(e)
		c.armHedgeTimer()
		return false
	}
	if e.failure != nil {
		return c.handleFailure(ctx, e.failure)
	}
	if len(c.pending) == 0 && c.shouldRetryResponse(e.out) {
		c.keepFallback(e)
		return false
	}
	c.second.won = e.isSecond
	c.cancelPending()
	c.sendResponse(e.out)
	return true
}

// handleFailure handles the failure of the last pending attempt.
func (c *callerRequest) handleFailure(ctx context.Context, failure *attemptError) bool {
	if ctx.Err() == nil && c.canRetry(failure) {
		return false
	}
	c.answerWithoutTarget(failure)
	return true
}

// answerWithoutTarget answers a request for which no further target may be tried.
func (c *callerRequest) answerWithoutTarget(cause error) {
	if c.hasFallback() && c.request.Context().Err() == nil {
		c.sendFallback()
		return
	}
	c.giveUp(cause)
}

// isFinal reports whether an attempt gave a response that is sent without waiting for the pending
// attempts, which may give a better one.
func (c *callerRequest) isFinal(e attemptEnd) bool {
	return e.failure == nil && !c.notRun(e.out) && e.out.status < http.StatusInternalServerError
}

// balanceRequest describes the request to the balancer.
func (c *callerRequest) balanceRequest() balance.Request {
	remaining, waitShare := c.admission.Remaining-c.gateway.clock.Since(c.startedAt), c.admission.WaitShare
	if c.sent+len(c.pending) > 0 {
		remaining, waitShare = c.gateway.clock.Until(c.deadline), 0 // a late response is better than none
	}
	return balance.Request{
		Service:     c.service,
		Route:       c.route.Name,
		AffinityKey: c.affinityKey(),
		Regions:     c.regions,
		PreferLocal: c.route.Repeat == catalog.Download,
		Objective:   c.route.Objective,
		Remaining:   remaining,
		WaitShare:   waitShare,
		Tried:       c.tried,
		Reached:     c.reachedTargets(),
	}
}

// reachedTargets returns the names of the targets that may have received the request.
func (c *callerRequest) reachedTargets() []string {
	var out []string
	for _, p := range c.pending {
		out = append(out, p.choice.Target.Name)
	}
	for _, a := range c.endedAttempts {
		if a.sent {
			out = append(out, a.target.Name)
		}
	}
	return out
}

// affinityKey returns the key by which a home target is chosen; empty on routes without affinity.
func (c *callerRequest) affinityKey() string {
	if !c.route.Affinity {
		return ""
	}
	return c.request.Header.Get(c.gateway.config.Protocol.AffinityKey)
}

// releaseAfterExchange ends the attempt's context once the response has been read and the request has
// been sent.
func (c *callerRequest) releaseAfterExchange(out *targetResponse, release func()) {
	if !out.open {
		release()
		return
	}
	finish := out.finish
	out.finish = func(whole bool) {
		finish(whole)
		release()
	}
}

// recordEvidence tells the quarantine how an attempt ended: with a complete response, or with a
// connection that broke while the target may have been running the request.
func (c *callerRequest) recordEvidence(e attemptEnd) {
	switch {
	case e.failure != nil:
		if c.lastAttempt.outcome == balance.Broken {
			c.recordBrokenConnection(e)
		}
	case c.notRun(e.out):
	case e.out.rest == nil:
		c.recordCompleteResponse()
	default:
		c.recordEvidenceAfterStream(e)
	}
}

// recordEvidenceAfterStream tells the quarantine how a streamed response has ended.
func (c *callerRequest) recordEvidenceAfterStream(e attemptEnd) {
	finish := e.out.finish
	e.out.finish = func(whole bool) {
		stillWanted := c.request.Context().Err() == nil && e.ctx.Err() == nil
		finish(whole)
		switch {
		case whole:
			c.recordCompleteResponse()
		case stillWanted:
			c.recordBrokenConnection(e)
		}
	}
}

// classifyFailure returns the outcome of a failed attempt for its target. An attempt that was
// canceled after its hedge delay counts as stuck, whoever canceled it: otherwise a target that
// stopped responding would never be noticed.
func (c *callerRequest) classifyFailure(e attemptEnd) balance.Outcome {
	if !e.failure.sent {
		if !errors.Is(e.failure, errWithdrawn) {
			c.dials++
		}
		return e.failure.outcome
	}
	c.sent++
	c.mayHaveRun = true
	c.possibleRuns++
	expired := errors.Is(context.Cause(e.ctx), context.DeadlineExceeded)
	late := e.overdue || (expired && e.took > e.choice.HedgeDelay)
	if e.failure.outcome == balance.Dropped && late {
		if c.gateway.connections.paths.wasLostSince(e.choice.Target.Zone, e.startedAt) {
			return balance.NoPath
		}
		return balance.Stuck
	}
	return e.failure.outcome
}

// classifyResponse returns the outcome of a response: TurnedAway if the target did not run the
// request, else Answered.
func (c *callerRequest) classifyResponse(out *targetResponse) balance.Outcome {
	c.sent++
	if c.notRun(out) {
		return balance.TurnedAway
	}
	c.mayHaveRun = true
	c.possibleRuns++
	return balance.Answered
}

// notRun reports whether the target says that it did not run the request.
func (c *callerRequest) notRun(out *targetResponse) bool {
	return out.targetStatus.NotRun
}

// shouldRetryResponse reports whether another target should be tried, because this one did not run
// the request or failed one that may be repeated.
func (c *callerRequest) shouldRetryResponse(out *targetResponse) bool {
	if c.notRun(out) {
		return out.status != http.StatusBadRequest && c.canRetry(nil)
	}
	return out.status >= http.StatusInternalServerError && c.route.Repeat != catalog.Unrepeatable && c.canRetry(nil)
}

// canRetry reports whether another target may be tried, and notes whether that attempt must be paid
// for from the retry budget.
func (c *callerRequest) canRetry(failure *attemptError) bool {
	if c.mayHaveRun && c.route.Repeat == catalog.Unrepeatable {
		return false
	}
	if c.gateway.clock.Until(c.deadline) < minAttemptTime || !c.body.repeatable() || !c.quarantineAllowsRepeat() {
		return false
	}
	c.nextIsRetry = failure == nil || failure.sent
	if !c.nextIsRetry {
		return c.dials < maxDials
	}
	return c.sent < c.route.MaxAttempts && c.gateway.allowsRetry(c.service) && c.obtainPermitForAnother()
}
