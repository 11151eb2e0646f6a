package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/pkg/admission"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/retry"
)

// attemptEnd is how one attempt of a request has ended.
type attemptEnd struct {
	number int
	end    retry.AttemptResult
	answer *answer
	target string
}

// execution runs one request on the targets of a pool that this box holds.
type execution struct {
	box     *Daemon
	pool    *pool
	request *request
	plan    *retry.Plan
	ends    chan attemptEnd
	cancels map[int]context.CancelFunc
	exclude []string
	last    *answer
}

// runHere runs a request on this box's own pool and returns its final answer.
func (d *Daemon) runHere(ctx context.Context, p *pool, r *request, v poolView) *answer {
	attempts := v.values.RetryAttempts
	if admissionIsBaseline(v) {
		attempts = 1
	}
	e := &execution{
		box:     d,
		pool:    p,
		request: r,
		ends:    make(chan attemptEnd, attempts),
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

// run hosts the plan until it is final.
func (e *execution) run(ctx context.Context) *answer {
	out := e.begin()
	timer := time.NewTimer(e.box.clock.Until(out.NextTick))
	defer timer.Stop()
	for {
		if out.Launch > 0 {
			e.launch(ctx, out.Launch)
		}
		if out.Final != 0 {
			return e.final(ctx, out)
		}
		if !out.NextTick.IsZero() {
			timer.Reset(e.box.clock.Until(out.NextTick))
		}
		out = e.next(ctx, timer)
	}
}

func (e *execution) begin() retry.Output {
	e.box.budgets.Lock()
	defer e.box.budgets.Unlock()
	return e.plan.Begin(e.box.clock.Now())
}

// next waits for the next event of the plan.
func (e *execution) next(ctx context.Context, timer *time.Timer) retry.Output {
	select {
	case <-ctx.Done():
		return e.plan.Abandon()
	case <-timer.C:
		e.box.budgets.Lock()
		defer e.box.budgets.Unlock()
		return e.plan.Tick(e.box.clock.Now())
	case end := <-e.ends:
		e.keep(end.answer)
		if end.target != "" {
			e.exclude = append(e.exclude, end.target)
		}
		e.box.budgets.Lock()
		defer e.box.budgets.Unlock()
		return e.plan.HandleResult(e.box.clock.Now(), end.number, end.end)
	}
}

// keep keeps the answer that is given if no better one comes. A refusal takes
// nothing from an answer that a target gave: the caller would be told less than is
// known.
func (e *execution) keep(a *answer) {
	if a == nil {
		return
	}
	if e.last != nil && e.last.outcome != caller.NotRun && a.outcome == caller.NotRun {
		a.discard()
		return
	}
	e.last.discard()
	e.last = a
}

func (e *execution) launch(ctx context.Context, number int) {
	if number > 1 {
		e.box.retries.WithLabelValues(e.request.service).Inc()
	}
	ctx, cancel := e.box.clock.WithDeadline(ctx, e.request.deadline)
	e.cancels[number] = cancel
	exclude := append([]string(nil), e.exclude...)
	go func() { e.ends <- e.attempt(ctx, cancel, number, exclude) }()
}

// final cancels what is no longer wanted and returns the answer. Attempts that
// still run give their slots back when they have ended.
func (e *execution) final(ctx context.Context, out retry.Output) *answer {
	for _, n := range out.Cancel {
		e.cancels[n]()
	}
	if len(out.Cancel) > 0 {
		go e.discardLate(len(out.Cancel))
	}
	switch out.Final {
	case retry.Ran:
		return e.last
	case retry.DidNotRun:
		if e.last != nil && e.last.outcome == caller.NotRun {
			return e.last
		}
		return refusal("deadline", minRetryAfter)
	default:
		if e.last != nil && e.last.outcome != caller.NotRun {
			return e.last
		}
		if ctx.Err() != nil {
			return unknown("the caller left")
		}
		return unknown("the deadline passed before an answer came")
	}
}

const minRetryAfter = 50 * time.Millisecond

func (e *execution) discardLate(attempts int) {
	for range attempts {
		end := <-e.ends
		end.answer.discard()
	}
}

// attempt takes a slot, sends the request to its target and reads the answer. A panic ends it
// as one that may have run, and gives its slot back.
func (e *execution) attempt(ctx context.Context, cancel context.CancelFunc, number int, exclude []string) (end attemptEnd) {
	id := e.box.nextID.Add(1)
	defer func() {
		if p := recover(); p != nil {
			e.box.process.RecordPanic("attempt", e.request.id, p)
			cancel()
			e.pool.abandon(id)
			end = attemptEnd{number: number, end: retry.Failed, answer: unknown("the entry box failed while the request may run")}
		}
	}()
	return e.tryTarget(ctx, cancel, id, number, exclude)
}

func (e *execution) tryTarget(ctx context.Context, cancel context.CancelFunc, id uint64, number int, exclude []string) attemptEnd {
	got, err := e.pool.admit(ctx, admission.Arrive{
		ID:       id,
		Class:    e.request.class(),
		Deadline: e.request.deadline,
		Foreign:  e.request.foreign,
		Exclude:  exclude,
		NoWait:   e.request.noWait,
	})
	if err != nil {
		cancel()
		return attemptEnd{number: number, end: retry.Refused, answer: refusal("deadline", minRetryAfter)}
	}
	if got.refused != nil {
		cancel()
		return attemptEnd{number: number, end: retry.Refused, answer: refusal(string(got.refused.Reason), got.refused.RetryAfter)}
	}
	slot := &slot{pool: e.pool, id: id, target: got.target, began: e.box.clock.Now(), cancel: cancel}
	a, end, result := e.box.askTarget(ctx, e.request, got.address, slot)
	switch {
	case end == retry.Failed && a != nil && a.outcome == caller.Unknown:
		e.broke(ctx, slot, got.target, got.address)
	case end == retry.Answered && a.stream == nil:
		e.whole()
	}
	if a != nil {
		a.target = got.target
	}
	if a == nil || a.stream == nil {
		slot.free(result)
	}
	return attemptEnd{number: number, end: end, answer: a, target: got.target}
}

// slot is a granted slot, to be freed once.
type slot struct {
	pool   *pool
	id     uint64
	target string
	began  time.Time
	cancel context.CancelFunc
	once   sync.Once
}

func (s *slot) free(r admission.Result) {
	s.once.Do(func() {
		s.cancel()
		s.pool.finish(admission.Finish{ID: s.id, Result: r, Latency: s.pool.clock.Since(s.began)})
	})
}

// slotStream is the rest of an answer; closing it frees the slot.
type slotStream struct {
	io.ReadCloser
	slot   *slot
	failed bool
}

// Read implements io.Reader.
func (s *slotStream) Read(b []byte) (int, error) {
	n, err := s.ReadCloser.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		s.failed = true
	}
	return n, err
}

// Close implements io.Closer.
func (s *slotStream) Close() error {
	err := s.ReadCloser.Close()
	result := admission.Succeeded
	if s.failed {
		result = admission.Failed
	}
	s.slot.free(result)
	return err
}

// askTarget sends the request to a target. What it returns besides the answer
// are the attempt's end for the plan and the result for admission.
func (d *Daemon) askTarget(ctx context.Context, r *request, address string, s *slot) (*answer, retry.AttemptResult, admission.Result) {
	h, err := r.toTarget(d.clock.Now(), address)
	if err != nil {
		return invalid(err), retry.Refused, admission.Canceled
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx = context.WithValue(ctx, slotKey{}, s)
	response, err := d.toTargets.RoundTrip(h.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return failedAttempt(ctx, err, connected.Load())
	}
	status := s.pool.observe(s.target, response, s.began)
	if shed(response) {
		_ = response.Body.Close()
		return refusal("the target refused it", retryAfterOf(response, status)), retry.NotRun, admission.Shed
	}
	return readAnswer(response, s, r.repeatable)
}

// failedAttempt classifies an attempt without an answer. Only one that never
// had a connection surely did not run.
func failedAttempt(ctx context.Context, err error, connected bool) (*answer, retry.AttemptResult, admission.Result) {
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

// shed reports whether a target refused a request unrun: 429, or 503 with
// Retry-After.
func shed(response *http.Response) bool {
	if response.StatusCode == http.StatusTooManyRequests {
		return true
	}
	return response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
}

// readAnswer reads a small answer whole, and the beginning of a large one.
func readAnswer(response *http.Response, s *slot, repeatable bool) (*answer, retry.AttemptResult, admission.Result) {
	a := &answer{outcome: caller.Ran, status: response.StatusCode, header: response.Header}
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, response.Body, smallAnswer+1)
	switch {
	case errors.Is(err, io.EOF):
		_ = response.Body.Close()
		a.body = buffer.Bytes()
		if a.status >= http.StatusInternalServerError {
			return serverError(a, repeatable)
		}
		return a, retry.Answered, admission.Succeeded
	case err != nil:
		_ = response.Body.Close()
		return unknown(fmt.Sprintf("the answer broke off: %v", err)), retry.Failed, admission.Failed
	}
	rest := io.MultiReader(&buffer, response.Body)
	a.stream = &slotStream{ReadCloser: readCloser{rest, response.Body}, slot: s}
	return a, retry.Answered, admission.Succeeded
}

// serverError lets a repeatable request that met a server error be tried
// elsewhere; if it is not, the error is the answer. Of one that may not be
// repeated nobody knows what it has done.
func serverError(a *answer, repeatable bool) (*answer, retry.AttemptResult, admission.Result) {
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
