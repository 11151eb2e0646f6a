package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// attempts sends the request to one target after the other until one answers
// or no further one may be tried.
func (c *call) attempts(ctx context.Context) {
	for {
		choice, err := c.choose()
		if err != nil {
			c.giveUp(err)
			return
		}
		out, failure := c.attempt(ctx, choice)
		if failure != nil {
			c.last.err = failure
			if ctx.Err() != nil || !c.mayGoOn(failure) {
				c.giveUp(failure)
				return
			}
			continue
		}
		if !c.worthAnother(out) {
			c.pass(out)
			return
		}
		if out.rest != nil {
			out.finish(false)
		}
	}
}

func (c *call) choose() (balance.Choice, error) {
	left := c.route.Objective - time.Since(c.began)
	if c.sent > 0 {
		left = time.Until(c.ends) // late is better than not at all
	}
	return c.gateway.choose(balance.Request{
		Service:   c.service,
		Route:     c.route.Name,
		Key:       c.key(),
		Regions:   c.route.Regions,
		Near:      c.route.Repeat == catalog.Download,
		Objective: c.route.Objective,
		Left:      left,
		Tried:     c.tried,
	})
}

func (c *call) key() string {
	if !c.route.Affinity {
		return ""
	}
	return c.request.Header.Get(c.gateway.config.Protocol.ObjectKey)
}

// attempt sends the request to the chosen target.
func (c *call) attempt(ctx context.Context, choice balance.Choice) (*answer, *attemptError) {
	ctx, cancel := context.WithCancelCause(ctx)
	began := time.Now()
	if c.route.Repeat != catalog.Unrepeatable && c.sent+1 < c.route.MaxAttempts {
		impatience := time.AfterFunc(choice.Patience, func() { cancel(errStuck) })
		defer impatience.Stop()
	}
	a := &attempt{gateway: c.gateway, request: c.request, id: c.id, body: c.body, target: choice.Target, left: time.Until(c.ends)}
	out, failure := a.run(ctx)
	took := time.Since(began)
	c.tried = append(c.tried, choice.Target.ID)
	c.last = attemptRecord{target: choice.Target, choice: choice, fresh: a.connect > 0, took: took}
	report := balance.Report{TargetID: choice.Target.ID, Route: c.route.Name, Took: took, Connect: a.connect}
	if failure != nil {
		cancel(nil)
		report.Outcome = c.judgeFailure(ctx, failure, took, choice)
	} else {
		report.Outcome = c.judgeAnswer(out)
		c.readWord(out, &report)
		c.releaseWhenRead(out, func() { cancel(nil) })
	}
	c.last.outcome = report.Outcome
	c.gateway.done(report)
	return out, failure
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

func (c *call) judgeFailure(ctx context.Context, failure *attemptError, took time.Duration, choice balance.Choice) balance.Outcome {
	if !failure.sent {
		c.dials++
		return failure.outcome
	}
	c.sent++
	c.mayHaveRun = true
	expired := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	if failure.outcome == balance.Dropped && expired && took > choice.Patience {
		return balance.Stuck
	}
	return failure.outcome
}

// judgeAnswer tells an answer from a target that did not run the request.
func (c *call) judgeAnswer(out *answer) balance.Outcome {
	c.sent++
	if c.notRun(out) {
		return balance.TurnedAway
	}
	c.mayHaveRun = true
	return balance.Answered
}

func (c *call) notRun(out *answer) bool {
	return out.status == http.StatusMisdirectedRequest || out.header.Get(c.gateway.config.Protocol.NotExecuted) != ""
}

// readWord takes what the target says of itself.
func (c *call) readWord(out *answer, report *balance.Report) {
	p := c.gateway.config.Protocol
	if text := out.header.Get(p.Load); text != "" {
		report.Load, report.HasLoad = p.ParseLoad(text)
	}
	if text := out.header.Get(p.ColdLeft); text != "" {
		if left, ok := p.ParseCold(text); ok {
			c.gateway.noteCold(report.TargetID, left)
		}
	}
}

// worthAnother reports whether an answer should be sought elsewhere, because
// the target did not run the request or failed one that may be repeated.
func (c *call) worthAnother(out *answer) bool {
	if c.notRun(out) {
		return out.status != http.StatusBadRequest && c.mayGoOn(nil)
	}
	return out.status >= http.StatusInternalServerError && c.route.Repeat != catalog.Unrepeatable && c.mayGoOn(nil)
}

// mayGoOn reports whether another target may be tried; it takes a retry from
// the budget if so.
func (c *call) mayGoOn(failure *attemptError) bool {
	if c.mayHaveRun && c.route.Repeat == catalog.Unrepeatable {
		return false
	}
	if time.Until(c.ends) < leastLeft || !c.body.repeatable() {
		return false
	}
	if failure != nil && !failure.sent {
		return c.dials < maxDials
	}
	return c.sent < c.route.MaxAttempts && c.gateway.takeRetry(c.service)
}
