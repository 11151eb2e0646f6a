package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// attempts sends the request to targets until one gives an answer that is final
// or no further one may be tried.
func (c *call) attempts(ctx context.Context) {
	c.ended = make(chan attemptEnd)
	c.alarm = time.NewTimer(c.gateway.clock.Until(c.ends))
	defer c.alarm.Stop()
	defer c.dropFallback()
	for {
		choice, err := c.choose(ctx)
		if err != nil {
			c.conclude(err)
			return
		}
		c.launch(ctx, choice)
		if c.await(ctx) {
			return
		}
	}
}

// choose chooses a target. A retry is taken from the budget only if there is one.
func (c *call) choose(ctx context.Context) (chosen, error) {
	if c.retry {
		return c.chooseRetry(ctx, targetPermitWait)
	}
	return c.choosePermitted(ctx, targetPermitWait)
}

// chooseRetry chooses a target for a retry. The retry is taken only if there is one, and a
// target is counted only if there is a retry.
func (c *call) chooseRetry(ctx context.Context, permitWait time.Duration) (chosen, error) {
	if !c.gateway.allowsRetry(c.service) {
		return chosen{}, errNoRetries
	}
	choice, err := c.choosePermitted(ctx, permitWait)
	if err != nil {
		return chosen{}, err
	}
	if !c.gateway.takeRetry(c.service) {
		c.release(choice)
		return chosen{}, errNoRetries
	}
	return choice, nil
}

// release takes a choice back to which nothing was sent.
func (c *call) release(choice chosen) {
	c.gateway.returnPermit(choice)
	c.gateway.balancing.Lock()
	defer c.gateway.balancing.Unlock()
	c.gateway.balancing.balancer.Release(choice.Target.ID)
}

// await takes the ends of the attempts that are under way and reports whether
// the caller has been answered; if not, another target may be tried.
func (c *call) await(ctx context.Context) bool {
	for len(c.pending) > 0 {
		select {
		case e := <-c.ended:
			if c.take(ctx, e) {
				return true
			}
		case <-c.alarm.C:
			c.hedge(ctx)
		}
	}
	return false
}

// take takes the end of an attempt and reports whether the caller has been
// answered.
func (c *call) take(ctx context.Context, e attemptEnd) bool {
	c.settle(e)
	if len(c.pending) > 0 && !c.isFinal(e) {
		c.stash(e)
		c.watch()
		return false
	}
	if e.failure != nil {
		return c.takeFailure(ctx, e.failure)
	}
	if len(c.pending) == 0 && c.worthAnother(e.out) {
		c.stash(e)
		return false
	}
	c.endOthers()
	c.pass(e.out)
	return true
}

// takeFailure takes the failure of the last attempt that was under way.
func (c *call) takeFailure(ctx context.Context, failure *attemptError) bool {
	if ctx.Err() == nil && c.canRetry(failure) {
		return false
	}
	c.conclude(failure)
	return true
}

// conclude answers a request for which no further target may be tried.
func (c *call) conclude(cause error) {
	if c.hasFallback() && c.request.Context().Err() == nil {
		c.passFallback()
		return
	}
	c.giveUp(cause)
}

// isFinal reports whether an attempt gave the answer to the request, while
// another is under way that may give a better one.
func (c *call) isFinal(e attemptEnd) bool {
	return e.failure == nil && !c.notRun(e.out) && e.out.status < http.StatusInternalServerError
}

// wanted is what a target is sought for.
func (c *call) wanted() balance.Request {
	left := c.route.Objective - c.gateway.clock.Since(c.began)
	if c.sent+len(c.pending) > 0 {
		left = c.gateway.clock.Until(c.ends) // late is better than not at all
	}
	return balance.Request{
		Service:   c.service,
		Route:     c.route.Name,
		Key:       c.key(),
		Regions:   c.regions,
		Near:      c.route.Repeat == catalog.Download,
		Objective: c.route.Objective,
		Left:      left,
		Tried:     c.tried,
	}
}

func (c *call) key() string {
	if !c.route.Affinity {
		return ""
	}
	return c.request.Header.Get(c.gateway.config.Protocol.AffinityKey)
}

// releaseWhenRead ends the attempt's context once its answer has been read.
func (c *call) releaseWhenRead(out *answer, release func()) {
	if out.rest == nil {
		release()
		return
	}
	finish := out.finish
	out.finish = func(whole bool) {
		finish(whole)
		release()
	}
}

// observeRun notes what the end of an attempt says of the request: a whole answer, or a
// connection that broke while a target may have run it.
func (c *call) observeRun(e attemptEnd) {
	switch {
	case e.failure != nil:
		if c.last.outcome == balance.Broken {
			c.recordBroken(e)
		}
	case c.notRun(e.out):
	case e.out.rest == nil:
		c.recordAnswer()
	default:
		c.observeStream(e)
	}
}

// observeStream notes how an answer that is passed on as it comes has ended.
func (c *call) observeStream(e attemptEnd) {
	finish := e.out.finish
	e.out.finish = func(whole bool) {
		wanted := c.request.Context().Err() == nil && e.ctx.Err() == nil
		finish(whole)
		switch {
		case whole:
			c.recordAnswer()
		case wanted:
			c.recordBroken(e)
		}
	}
}

// judgeFailure tells what a failed attempt says of its target. One that was ended
// after its patience had run out counts as stuck, whoever ended it: that is how a
// target is noticed that has gone silent.
func (c *call) judgeFailure(e attemptEnd) balance.Outcome {
	if !e.failure.sent {
		if e.failure.outcome != balance.Withdrawn {
			c.dials++
		}
		return e.failure.outcome
	}
	c.sent++
	c.mayHaveRun = true
	c.possibleRuns++
	expired := errors.Is(context.Cause(e.ctx), context.DeadlineExceeded)
	late := e.overdue || (expired && e.took > e.choice.Patience)
	if e.failure.outcome == balance.Dropped && late {
		return balance.Stuck
	}
	return e.failure.outcome
}

// judgeAnswer tells an answer from a target that did not run the request.
func (c *call) judgeAnswer(out *answer) balance.Outcome {
	c.sent++
	if c.notRun(out) {
		return balance.TurnedAway
	}
	c.mayHaveRun = true
	c.possibleRuns++
	return balance.Answered
}

func (c *call) notRun(out *answer) bool {
	return out.targetStatus.NotRun
}

// worthAnother reports whether an answer should be sought elsewhere, because
// the target did not run the request or failed one that may be repeated.
func (c *call) worthAnother(out *answer) bool {
	if c.notRun(out) {
		return out.status != http.StatusBadRequest && c.canRetry(nil)
	}
	return out.status >= http.StatusInternalServerError && c.route.Repeat != catalog.Unrepeatable && c.canRetry(nil)
}

// canRetry reports whether another target may be tried, and notes whether that
// takes a retry from the budget.
func (c *call) canRetry(failure *attemptError) bool {
	if c.mayHaveRun && c.route.Repeat == catalog.Unrepeatable {
		return false
	}
	if c.gateway.clock.Until(c.ends) < leastLeft || !c.body.repeatable() || !c.canRepeat() {
		return false
	}
	c.retry = failure == nil || failure.sent
	if !c.retry {
		return c.dials < maxDials
	}
	return c.sent < c.route.MaxAttempts && c.gateway.allowsRetry(c.service) && c.permitsAnother()
}
