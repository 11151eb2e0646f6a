package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

const (
	// minHedgePause and maxHedgePause bound when another target is sought again after none
	// was found: below the first a request would ask for room that nothing has
	// made, beyond the second one that is back after the shortest time for which
	// a target is left out would be missed.
	minHedgePause = 50 * time.Millisecond
	maxHedgePause = 250 * time.Millisecond
)

// errOtherAnswered is the cause of a context that ended because another target
// gave the answer.
var errOtherAnswered = errors.New("another target answered")

// errNoPermit says that the limit of the workspace leaves no further attempt.
var errNoPermit = errors.New("no permit of the workspace is in stock")

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	attempt *attempt
	choice  chosen
	began   time.Time
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// overdue tells that its answer had not come when the patience ran out.
	overdue bool
}

// attemptEnd is how an attempt has ended.
type attemptEnd struct {
	*pendingAttempt
	out     *answer
	failure *attemptError
	took    time.Duration
}

// launch begins an attempt, whose end comes on the channel of the call.
func (c *call) launch(ctx context.Context, choice chosen) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		gateway: c.gateway, began: c.gateway.clock.Now(), request: c.request, id: c.id, body: c.body, target: choice.Target,
		workspace: c.workspaceName(), ends: c.ends, permitEnds: firstOf(c.permitEnds(), choice.permitEnds),
	}
	u := &pendingAttempt{attempt: a, choice: choice, began: a.began, ctx: ctx, cancel: cancel}
	c.tried = append(c.tried, choice.Target.ID)
	c.pending = append(c.pending, u)
	go func() { c.ended <- u.run() }()
	c.watch()
}

// firstOf returns the earlier of two times, of which zero stands for none.
func firstOf(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// run runs the attempt. A panic ends it as one whose target may have run the
// request: net/http recovers those of its own goroutines only, and the box would end
// with all its requests.
func (u *pendingAttempt) run() (e attemptEnd) {
	defer func() {
		e.took = u.attempt.gateway.clock.Since(u.began)
		if p := recover(); p != nil {
			e.out, e.failure = nil, u.attempt.logPanic(p)
		}
	}()
	e.pendingAttempt = u
	e.out, e.failure = u.attempt.run(u.ctx)
	return e
}

// watch sets the alarm to when the attempt that began last is overdue.
func (c *call) watch() {
	if !c.canHedge() {
		c.alarm.Stop()
		return
	}
	last := c.pending[len(c.pending)-1]
	c.alarm.Reset(max(c.gateway.clock.Until(last.began.Add(last.choice.HedgeDelay)), minHedgePause))
}

// canHedge reports whether the request may go to a further target while one
// may be running it.
func (c *call) canHedge() bool {
	if c.route.Repeat == catalog.Unrepeatable || !c.body.whole() {
		return false
	}
	if c.gateway.clock.Until(c.ends) < leastLeft || c.dials >= maxDials || !c.canRepeat() {
		return false
	}
	return c.sent+len(c.pending) < c.route.MaxAttempts
}

// hedge starts an attempt at another target beside those that are overdue. They are kept whether
// there is one or not: a target that is slow because its queue is long answers
// in the end, and where all have queues there is no better one.
func (c *call) hedge(ctx context.Context) {
	for _, u := range c.pending {
		c.recordOverdue(u)
	}
	if ctx.Err() != nil || !c.canHedge() {
		return
	}
	if !c.permitsAnother() {
		c.hedges.none = errNoPermit
		c.alarm.Reset(maxHedgePause)
		return
	}
	choice, err := c.chooseRetry(ctx, 0)
	if err != nil {
		c.hedges.none = err
		c.alarm.Reset(untilNextHedge(err))
		return
	}
	c.hedges.count++
	c.hedges.after = c.gateway.clock.Since(c.pending[0].began)
	c.gateway.metrics.hedges.Inc()
	c.launch(ctx, choice)
}

// recordOverdue tells the balancer of a target whose answer is overdue: one that has
// gone silent would get further requests until this one has waited for all its time.
func (c *call) recordOverdue(u *pendingAttempt) {
	if u.overdue {
		return
	}
	u.overdue = true
	c.gateway.overdue(balance.Report{TargetID: u.choice.Target.ID, Route: c.route.Name, Outcome: balance.Stuck, Took: c.gateway.clock.Since(u.began)})
}

// untilNextHedge is when another target may be sought again.
func untilNextHedge(err error) time.Duration {
	var none *balance.NoTargetError
	if !errors.As(err, &none) {
		return maxHedgePause
	}
	return min(max(none.RetryAfter, minHedgePause), maxHedgePause)
}

// settle takes the end of an attempt: it is counted, judged and reported.
func (c *call) settle(e attemptEnd) {
	c.pending = slices.DeleteFunc(c.pending, func(u *pendingAttempt) bool { return u == e.pendingAttempt })
	c.last = attemptRecord{target: e.choice.Target, choice: e.choice.Choice, fresh: e.attempt.connect > 0, took: e.took}
	report := balance.Report{
		TargetID: e.choice.Target.ID, Route: c.route.Name, Took: e.took, Connect: e.attempt.connect, MarkedOverdue: e.overdue,
	}
	if e.failure != nil {
		e.cancel(nil)
		report.Outcome = c.judgeFailure(e)
		c.last.err = e.failure
		if !e.failure.sent {
			c.gateway.returnPermit(e.choice)
		}
	} else {
		report.Outcome = c.judgeAnswer(e.out)
		report.Load, report.HasLoad = e.out.targetStatus.Load, e.out.targetStatus.HasLoad
		c.releaseWhenRead(e.out, func() { e.cancel(nil) })
	}
	c.last.outcome = report.Outcome
	c.records = append(c.records, c.last)
	c.observeRun(e)
	c.gateway.done(report)
}

// stash takes an answer that a better one is sought for. A failure that its
// target told is kept for the case that none comes, one that is not read to its end
// with its connection.
func (c *call) stash(e attemptEnd) {
	if e.out == nil {
		return
	}
	if c.notRun(e.out) {
		e.out.drop()
		return
	}
	c.dropFallback()
	c.fallback = e.out
}

// hasFallback reports whether there is an answer in place of a better one. What is
// left of it to be read can't be had once the time is over.
func (c *call) hasFallback() bool {
	return c.fallback != nil && (c.fallback.rest == nil || c.gateway.clock.Now().Before(c.ends))
}

// passFallback hands the caller the answer that was put aside.
func (c *call) passFallback() {
	out := c.fallback
	c.fallback = nil
	c.pass(out)
}

// dropFallback ends an answer that was put aside and is not passed on.
func (c *call) dropFallback() {
	if c.fallback != nil {
		c.fallback.drop()
		c.fallback = nil
	}
}

// endOthers ends the attempts that are no longer wanted and waits for that, so
// that each is reported and none goes on behind the answer.
func (c *call) endOthers() {
	won := c.last
	for _, u := range c.pending {
		u.cancel(errOtherAnswered)
	}
	for len(c.pending) > 0 {
		e := <-c.ended
		c.settle(e)
		if e.out != nil {
			e.out.drop()
		}
	}
	c.last = won
}
