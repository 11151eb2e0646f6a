package entry

import (
	"bytes"
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
)

// attemptResult is the outcome of one attempt of a request.
type attemptResult struct {
	number int
	result retry.AttemptResult
	answer *answer
	target string
}

// execution runs one request on the targets of a pool whose lease this box holds.
type execution struct {
	box      *Daemon
	pool     *pool
	request  *request
	plan     *retry.Plan
	results  chan attemptResult
	cancels  map[int]context.CancelFunc
	excluded []string
	best     *answer
}

// runLocally runs a request on this box's own pool and returns its final answer.
func (d *Daemon) runLocally(ctx context.Context, p *pool, r *request, v poolView) *answer {
	attempts := v.values.RetryAttempts
	if isBaseline(v) {
		attempts = 1
	}
	e := &execution{
		box:     d,
		pool:    p,
		request: r,
		results: make(chan attemptResult, attempts),
		cancels: make(map[int]context.CancelFunc),
		plan: retry.NewPlan(retry.Config{
			Repeatable:  r.repeatable,
			MaxAttempts: attempts,
			HedgeAfter:  v.values.HedgeAfter,
			Deadline:    r.deadline,
		}, d.budgetOf(r.service, v.values.RetryBudgetShare)),
	}
	return e.run(ctx)
}

// run feeds events to the retry plan until it reaches a final verdict.
func (e *execution) run(ctx context.Context) *answer {
	out := e.begin()
	timer := time.NewTimer(e.box.clock.Until(out.NextTick))
	defer timer.Stop()
	for {
		if out.Launch > 0 {
			e.launch(ctx, out.Launch)
		}
		if out.Final != 0 {
			return e.finish(ctx, out)
		}
		if !out.NextTick.IsZero() {
			timer.Reset(e.box.clock.Until(out.NextTick))
		}
		out = e.handleNextEvent(ctx, timer)
	}
}

func (e *execution) begin() retry.Output {
	e.box.budgets.Lock()
	defer e.box.budgets.Unlock()
	return e.plan.Begin(e.box.clock.Now())
}

// handleNextEvent waits for the next event and passes it to the plan.
func (e *execution) handleNextEvent(ctx context.Context, timer *time.Timer) retry.Output {
	select {
	case <-ctx.Done():
		return e.plan.Abandon()
	case <-timer.C:
		e.box.budgets.Lock()
		defer e.box.budgets.Unlock()
		return e.plan.Tick(e.box.clock.Now())
	case r := <-e.results:
		e.keepBest(r.answer)
		if r.target != "" {
			e.excluded = append(e.excluded, r.target)
		}
		e.box.budgets.Lock()
		defer e.box.budgets.Unlock()
		return e.plan.HandleResult(e.box.clock.Now(), r.number, r.result)
	}
}

// keepBest keeps the best answer so far. A refusal never replaces an answer that came from a
// target, since the caller would then learn less than is known.
func (e *execution) keepBest(a *answer) {
	if a == nil {
		return
	}
	if e.best != nil && e.best.outcome != caller.NotRun && a.outcome == caller.NotRun {
		a.discard()
		return
	}
	e.best.discard()
	e.best = a
}

func (e *execution) launch(ctx context.Context, number int) {
	if number > 1 {
		e.box.retries.WithLabelValues(e.request.service).Inc()
	}
	ctx, cancel := e.box.clock.WithDeadline(ctx, e.request.deadline)
	e.cancels[number] = cancel
	exclude := append([]string(nil), e.excluded...)
	go func() { e.results <- e.attempt(ctx, cancel, number, exclude) }()
}

// finish cancels the attempts that are no longer needed and returns the answer. Attempts that
// are still running release their slots when their targets have stopped.
func (e *execution) finish(ctx context.Context, out retry.Output) *answer {
	for _, n := range out.Cancel {
		e.cancels[n]()
	}
	if len(out.Cancel) > 0 {
		go e.discardLateAnswers(len(out.Cancel))
	}
	switch out.Final {
	case retry.Ran:
		return e.best
	case retry.DidNotRun:
		if e.best != nil && e.best.outcome == caller.NotRun {
			return e.best
		}
		return refusal("deadline", minRetryAfter)
	default:
		if e.best != nil && e.best.outcome != caller.NotRun {
			return e.best
		}
		if ctx.Err() != nil {
			return unknown("the caller left")
		}
		return unknown("the deadline passed before an answer came")
	}
}

const minRetryAfter = 50 * time.Millisecond

func (e *execution) discardLateAnswers(attempts int) {
	for range attempts {
		r := <-e.results
		r.answer.discard()
	}
}

// attempt obtains a slot, sends the request to its target and reads the response. After a
// panic the slot is released, and the attempt counts as one that may have run.
func (e *execution) attempt(ctx context.Context, cancel context.CancelFunc, number int, exclude []string) (result attemptResult) {
	id := e.box.nextID.Add(1)
	defer func() {
		if p := recover(); p != nil {
			e.box.process.RecordPanic("attempt", e.request.id, p)
			cancel()
			e.pool.abandon(id)
			result = attemptResult{number: number, result: retry.Failed, answer: unknown("the entry box failed while the request may run")}
		}
	}()
	return e.tryTarget(ctx, cancel, id, number, exclude)
}

func (e *execution) tryTarget(ctx context.Context, cancel context.CancelFunc, id uint64, number int, exclude []string) attemptResult {
	admitted, err := e.pool.admit(ctx, admission.Arrive{
		ID:       id,
		Class:    e.request.class(),
		Deadline: e.request.deadline,
		Foreign:  e.request.foreign,
		Exclude:  exclude,
		NoWait:   e.request.noWait,
	})
	if err != nil {
		cancel()
		return attemptResult{number: number, result: retry.Refused, answer: refusal("deadline", minRetryAfter)}
	}
	if admitted.refusal != nil {
		cancel()
		return attemptResult{number: number, result: retry.Refused, answer: refusal(string(admitted.refusal.Reason), admitted.refusal.RetryAfter)}
	}
	slot := &slot{pool: e.pool, id: id, request: e.request.id, target: admitted.target, startedAt: e.box.clock.Now(), cancel: cancel}
	a, result, admissionResult := e.box.sendToTarget(ctx, e.request, admitted.address, slot)
	switch {
	case result == retry.Failed && a != nil && a.outcome == caller.Unknown:
		e.reportBrokenRun(ctx, slot, admitted.target, admitted.address)
	case result == retry.Answered && a.stream == nil:
		e.reportAnswered()
	}
	if a != nil {
		a.target = admitted.target
	}
	if a == nil || a.stream == nil {
		slot.release(admissionResult)
	}
	return attemptResult{number: number, result: result, answer: a, target: admitted.target}
}

// sendToTarget sends the request to a target. It returns the answer, the result of the
// attempt for the retry plan, and the result for admission.
func (d *Daemon) sendToTarget(ctx context.Context, r *request, address string, s *slot) (*answer, retry.AttemptResult, admission.Result) {
	h, err := r.targetRequest(d.clock.Now(), address)
	if err != nil {
		return invalid(err), retry.Refused, admission.Canceled
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		connected.Store(true)
		s.useConn(i.Conn)
	}}
	ctx = context.WithValue(ctx, slotKey{}, s)
	response, err := d.targetTransport.RoundTrip(h.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return classifyFailure(ctx, err, connected.Load())
	}
	status := s.pool.recordStatus(s.target, response, s.startedAt)
	if isRejection(response) {
		s.setComplete() // nothing runs, whatever the rest of the response
		_ = response.Body.Close()
		return refusal("the target refused it", callerRetryAfter(response, status)), retry.NotRun, admission.Shed
	}
	return readAnswer(ctx, response, s, r.repeatable)
}

// classifyFailure classifies an attempt that got no response. Only an attempt that never had
// a connection certainly did not run.
func classifyFailure(ctx context.Context, err error, connected bool) (*answer, retry.AttemptResult, admission.Result) {
	result := admission.Failed
	var backedOff *BackedOffError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &backedOff) {
		result = admission.Canceled
	}
	if !connected {
		return refusal("the target can't be reached", minRetryAfter), retry.NotRun, result
	}
	return unknown(fmt.Sprintf("no answer from the target: %v", err)), retry.Failed, result
}

// isRejection reports whether a target rejected a request without running it: status 429, or
// 503 with Retry-After.
func isRejection(response *http.Response) bool {
	if response.StatusCode == http.StatusTooManyRequests {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

// readAnswer reads a small response completely, and the beginning of a large one.
func readAnswer(ctx context.Context, response *http.Response, s *slot, repeatable bool) (*answer, retry.AttemptResult, admission.Result) {
	a := &answer{outcome: caller.Ran, status: response.StatusCode, header: response.Header}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, response.Body, maxBufferedAnswer+1)
	switch {
	case errors.Is(err, io.EOF):
		s.setComplete()
		_ = response.Body.Close()
		a.body = buffer.Bytes()
		if a.status >= http.StatusInternalServerError {
			return classifyServerError(a, repeatable)
		}
		return a, retry.Answered, admission.Succeeded
	case err != nil:
		_ = response.Body.Close()
		return unknown(fmt.Sprintf("the answer broke off: %v", err)), retry.Failed, admission.Failed
	}
	rest := io.MultiReader(&buffer, response.Body)
	a.stream = &slotStream{ReadCloser: readCloser{rest, response.Body}, slot: s, ctx: ctx}
	return a, retry.Answered, admission.Succeeded
}

// classifyServerError classifies a 5xx response. A repeatable request is retried on another
// target; if no attempt succeeds, the error is the answer. The outcome of an unrepeatable
// request is unknown, since the target may have run any part of it.
func classifyServerError(a *answer, repeatable bool) (*answer, retry.AttemptResult, admission.Result) {
	if repeatable {
		return a, retry.Failed, admission.Failed
	}
	a.outcome = caller.Unknown
	a.reason = "the target answered with an error"
	return a, retry.Answered, admission.Failed
}

type readCloser struct {
	io.Reader
	io.Closer
}
