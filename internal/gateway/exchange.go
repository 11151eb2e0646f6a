package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// wholeAnswer is the largest answer that is read to its end before the
	// caller gets any of it, so that a broken one can be repeated.
	wholeAnswer = 256 << 10
	// collectTime is for how long an answer is collected: one that takes
	// longer, on a narrow link, is passed on as it comes.
	collectTime = 40 * time.Millisecond
	// maxSkipped bounds the answers to earlier requests that are passed over.
	maxSkipped = 4
)

// answer is what a target answered.
type answer struct {
	status int
	header http.Header
	// targetStatus is what its head says of the target.
	targetStatus targetstatus.Status
	// body is the whole body, or its beginning if rest is not nil.
	body []byte
	rest io.Reader
	// length is that of the whole body, below zero if it is not known.
	length int64
	// finish must be called once rest has been read; whole tells whether it
	// was read to its end.
	finish func(whole bool)
}

// drop ends an answer that is not passed on.
func (o *answer) drop() {
	if o.rest != nil {
		o.finish(false)
	}
}

// attemptError says how an attempt at a target failed.
type attemptError struct {
	outcome balance.Outcome
	// sent tells that the target may have got the request.
	sent bool
	err  error
}

// Error implements error.
func (e *attemptError) Error() string { return fmt.Sprintf("%s: %v", e.outcome, e.err) }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// wrongAnswerError says that an answer does not belong to the request.
type wrongAnswerError struct{ got, want string }

// Error implements error.
func (e *wrongAnswerError) Error() string {
	return fmt.Sprintf("the answer is to request %q, not to %q", e.got, e.want)
}

// attempt is one request to one target.
type attempt struct {
	gateway *Daemon
	request *http.Request
	id      string
	body    *requestBody
	target  balance.Target
	// began is when the target was chosen.
	began time.Time
	// workspace is the name of the one whose request it is; empty for none.
	workspace string
	// ends is when the request's time is over, and permitEnds when the permit of this run
	// is, zero if it needs none.
	ends       time.Time
	permitEnds time.Time
	// connect is how long a new connection took; zero if it was not new.
	connect time.Duration
	// connection is what the request was sent on, nil before.
	connection *connection
}

// panicError says that an attempt panicked.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// logPanic logs a panic of the attempt, ends its connection and returns its failure.
func (a *attempt) logPanic(value any) *attemptError {
	a.gateway.process.CountPanic("attempt")
	if a.gateway.otherLines.Allow(a.gateway.clock.Now()) {
		a.gateway.log.Error().Str("kind", "panic").Str("request", a.id).Str("target", a.target.ID).
			Str("panic", fmt.Sprint(value)).Bytes("stack", process.Stack()).Msg("an attempt panicked")
	}
	if a.connection != nil {
		_ = a.connection.Close() // what is under way on it is of no use
	}
	return &attemptError{outcome: balance.Broken, sent: true, err: &panicError{value}}
}

// run sends the request and reads the answer. The context ends when the caller
// leaves, the time is over or another target has answered.
func (a *attempt) run(ctx context.Context) (*answer, *attemptError) {
	began := a.gateway.clock.Now()
	c, err := a.gateway.connections.get(ctx, a.target.ID, a.target.Address)
	if err != nil {
		return nil, &attemptError{outcome: a.unless(ctx, balance.Unreachable), err: err}
	}
	if err := a.tooLate(a.gateway.clock.Now()); err != nil {
		_ = c.Close() // nothing was sent on it
		return nil, &attemptError{outcome: balance.Dropped, err: err}
	}
	if !a.gateway.canSend(a.target.ID) {
		_ = c.Close() // nothing was sent on it
		return nil, &attemptError{outcome: balance.Withdrawn, err: errWithdrawn}
	}
	a.connection = c
	if !c.used {
		a.connect = a.gateway.clock.Since(began)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	out, err := a.exchange(c)
	if err != nil {
		stop()
		_ = c.Close() // what is under way on it is of no use
		return nil, &attemptError{outcome: a.unless(ctx, balance.Broken), sent: true, err: err}
	}
	finish := out.finish
	out.finish = func(whole bool) {
		if !stop() {
			whole = false // the deadline may have been set on it
		}
		finish(whole)
	}
	if out.rest == nil {
		out.finish(true)
	}
	return out, nil
}

// tooLateError says that a request was not sent, as its time or that of its permit was
// over when a connection was had.
type tooLateError struct{ of string }

// Error implements error.
func (e *tooLateError) Error() string { return "not sent: the time of the " + e.of + " is over" }

// tooLate looks once more before a request is sent: a connection may take its time, and
// the machine may have been frozen or suspended since the target was chosen.
func (a *attempt) tooLate(now time.Time) error {
	switch {
	case a.ends.Sub(now) < leastLeft:
		return &tooLateError{"request"}
	case !a.permitEnds.IsZero() && !now.Before(a.permitEnds):
		return &tooLateError{"permit"}
	}
	return nil
}

// unless returns the outcome of a failure, which is another one if the context
// has ended.
func (a *attempt) unless(ctx context.Context, o balance.Outcome) balance.Outcome {
	if ctx.Err() != nil {
		return balance.Dropped
	}
	return o
}

func (a *attempt) exchange(c *connection) (*answer, error) {
	words := headWords{target: a.target.Name, workspace: a.workspace, left: a.gateway.clock.Until(a.ends), length: a.body.length}
	sent := a.body.send(c, a.gateway.config.Protocol.requestHead(a.request, words))
	for range maxSkipped {
		response, err := readFinal(c, a.request)
		if err != nil {
			if s := sent.failure(); s != nil {
				err = errors.WithSecondaryError(s, err)
			}
			return nil, errors.Wrap(err, "reading the answer")
		}
		got := response.Header.Get(a.gateway.config.Protocol.RequestID)
		if got == a.id {
			return a.read(c, response, a.observe(response), sent)
		}
		if got == "" || response.Close {
			return nil, &wrongAnswerError{got, a.id}
		}
		// An answer to an earlier request: ours may follow it.
		a.gateway.log.Debug().Str("kind", "skippedAnswer").Str("request", a.id).Str("target", a.target.ID).Str("of", got).Msg("passed over an answer to another request")
		c.doubtful = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, errors.Wrap(err, "passing over an answer to another request")
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// readFinal reads a response that is not an interim one.
func readFinal(c *connection, r *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switches protocols")
		}
	}
}

// read takes the body of the answer, at least its beginning.
func (a *attempt) read(c *connection, response *http.Response, status targetstatus.Status, sent *sending) (*answer, error) {
	out := &answer{status: response.StatusCode, header: response.Header, targetStatus: status, length: response.ContentLength}
	idle := idleTime(response.Header.Get("Keep-Alive"))
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	out.finish = func(whole bool) {
		if whole && framed && !response.Close && !c.doubtful && sent.done() && c.reader.Buffered() == 0 {
			a.gateway.connections.put(a.target.ID, c, idle)
			return
		}
		_ = c.Close()
	}
	began := a.gateway.clock.Now()
	slow := func() bool { return a.gateway.clock.Since(began) > collectTime }
	body, more, err := readUpTo(response.Body, response.ContentLength, wholeAnswer, slow)
	if err != nil {
		return nil, errors.Wrap(err, "reading the body of the answer")
	}
	out.body = body
	if more {
		out.rest = response.Body
		return out, nil
	}
	out.length = int64(len(body))
	if a.request.Method == http.MethodHead {
		out.length = response.ContentLength
	}
	return out, nil
}

// readUpTo reads a body to its end, or its first limit bytes, or what has come
// when enough says so.
func readUpTo(body io.Reader, length int64, limit int, enough func() bool) (data []byte, more bool, err error) {
	const first = 512
	size := first
	if length >= 0 {
		size = int(min(length, int64(limit))) + 1
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			data = append(data, 0)[:len(data)]
		}
		n, err := body.Read(data[len(data):min(cap(data), limit+1)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, false, nil
		}
		if err != nil {
			return nil, false, err
		}
		if len(data) >= limit || enough() {
			return data, true, nil
		}
	}
}
