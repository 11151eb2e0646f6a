package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/responsehead"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// maxBufferedResponse bounds the responses that are read completely before any of it is sent to
	// the caller, so that a request whose response breaks can be repeated.
	maxBufferedResponse = 256 << 10
	// maxBufferTime bounds how long a response is buffered. One that takes longer, on a narrow
	// link, is streamed.
	maxBufferTime = 40 * time.Millisecond
	// maxStaleResponses bounds how many responses to earlier requests are skipped, and
	// maxStaleBody the length of the body of each.
	maxStaleResponses = 4
	maxStaleBody      = maxBufferedResponse
)

// targetResponse is the response of a target.
type targetResponse struct {
	status int
	header http.Header
	// targetStatus is what the header reports of the target.
	targetStatus targetstatus.Status
	// body is the whole body, or its beginning if rest is not nil. memory is what it takes.
	body   []byte
	memory bufferMemory
	rest   io.Reader
	// length is the length of the whole body, below zero if unknown.
	length int64
	// upload is the sending of the request, which may go on after the response.
	upload *upload
	// open tells that the exchange has not ended: rest has to be read, or the target has not got the
	// whole request. If so, finish must be called once it has; whole tells whether rest was read to
	// its end.
	open   bool
	finish func(whole bool)
}

// dropBody gives up the buffered part of the body, which has been written or is not needed.
func (o *targetResponse) dropBody() {
	o.body = nil
	o.memory.release()
}

// discard ends a response that is not forwarded.
func (o *targetResponse) discard() {
	o.dropBody()
	if o.open {
		o.finish(false)
	}
}

// attemptError is the failure of an attempt.
type attemptError struct {
	outcome balance.Outcome
	// sent tells that the target may have received the request.
	sent bool
	err  error
}

// Error implements error.
func (e *attemptError) Error() string { return fmt.Sprintf("%s: %v", e.outcome, e.err) }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.err }

// mismatchedResponseError says that a response has the id of another request.
type mismatchedResponseError struct{ got, want string }

// Error implements error.
func (e *mismatchedResponseError) Error() string {
	return fmt.Sprintf("response belongs to request %q, want %q", e.got, e.want)
}

// attempt is one request to one target.
type attempt struct {
	gateway   *Daemon
	request   *http.Request
	requestID string
	body      *requestBody
	target    balance.Target
	// chosenAt is when the target was chosen.
	chosenAt time.Time
	// workspace is the name of the request's workspace; empty for none.
	workspace string
	// regions are the regions that the request must not leave; empty for none.
	regions []string
	// peer is the name of the box that the connection leads through, nil before there is one.
	peer atomic.Pointer[string]
	// deadline is that of the request. permitExpiry is when the permit of this attempt expires;
	// zero if it needs none.
	deadline     time.Time
	permitExpiry time.Time
	// connectTime is how long a new connection of this box itself took; zero for others.
	connectTime time.Duration
	// sentAfter is the time from the choice of the target until the request was sent.
	sentAfter time.Duration
	// connection is the one on which the request was sent; nil before.
	connection *connection
}

// panicError says that an attempt panicked.
type panicError struct{ value any }

// Error implements error.
func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// logPanic logs a panic of the attempt, closes its connection and returns the failure.
func (a *attempt) logPanic(value any) *attemptError {
	a.gateway.process.CountPanic("attempt")
	if a.gateway.otherLineLimit.Allow(a.gateway.clock.Now()) {
		a.gateway.log.Error().Str("kind", "panic").Str("request", a.requestID).Str("target", a.target.ID).
			Str("panic", fmt.Sprint(value)).Bytes("stack", process.Stack()).Msg("an attempt panicked")
	}
	if a.connection != nil {
		_ = a.connection.Close() // the state of the exchange on it is unknown
	}
	return &attemptError{outcome: balance.Broken, sent: true, err: &panicError{value}}
}

// run sends the request and reads the response. The context ends when the caller disconnects, the
// deadline passes or another target has responded.
func (a *attempt) run(ctx context.Context) (*targetResponse, *attemptError) {
	began := a.gateway.clock.Now()
	c, err := a.gateway.connections.get(ctx, a.target, a.regions)
	if err != nil {
		return nil, &attemptError{outcome: a.failureOutcome(ctx, connectOutcome(err)), err: err}
	}
	if err := a.checkDeadlines(a.gateway.clock.Now()); err != nil {
		_ = c.Close() // nothing was sent on it
		return nil, &attemptError{outcome: balance.Dropped, err: err}
	}
	if !a.gateway.canSend(a.target.ID) {
		_ = c.Close() // nothing was sent on it
		return nil, &attemptError{outcome: balance.Withdrawn, err: errWithdrawn}
	}
	a.connection = c
	a.peer.Store(&c.peer.Name)
	if !c.used && c.isDirect() {
		a.connectTime = a.gateway.clock.Since(began)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a.sentAfter = a.gateway.clock.Since(a.chosenAt)
	out, err := a.exchange(c)
	if err != nil {
		stop()
		_ = c.Close() // the state of the exchange on it is unknown
		return nil, &attemptError{outcome: a.failureOutcome(ctx, a.exchangeOutcome(err)), sent: true, err: err}
	}
	uploading := !out.upload.hasEnded()
	if uploading && stop() {
		// The caller may disconnect when it has the response and has sent its body, which goes on.
		stop = context.AfterFunc(ctx, func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
	}
	finish := out.finish
	out.finish = func(whole bool) {
		if !stop() {
			whole = false // the end of the context may have set a deadline on it
		}
		finish(whole)
	}
	out.open = out.rest != nil || uploading
	if !out.open {
		out.finish(true)
	}
	return out, nil
}

// expiredError says that a request was not sent because its deadline, or the expiry of its permit,
// had passed by the time there was a connection.
type expiredError struct{ subject string }

// Error implements error.
func (e *expiredError) Error() string { return "not sent: the " + e.subject + " has expired" }

// checkDeadlines checks the request's deadline and its permit again right before sending:
// connecting takes time, and the machine may have been frozen or suspended since the target was
// chosen.
func (a *attempt) checkDeadlines(now time.Time) error {
	switch {
	case a.deadline.Sub(now) < minAttemptTime:
		return &expiredError{"request"}
	case !a.permitExpiry.IsZero() && !now.Before(a.permitExpiry):
		return &expiredError{"permit"}
	}
	return nil
}

// connectOutcome returns the outcome of a failed connection.
func connectOutcome(err error) balance.Outcome {
	var noPath *noPathError
	var withdrawn *withdrawnError
	switch {
	case errors.As(err, &noPath):
		return balance.NoPath
	case errors.As(err, &withdrawn):
		return balance.Withdrawn
	}
	return balance.Unreachable
}

// exchangeOutcome returns the outcome of an exchange that broke. It says nothing about the target if
// the caller has not sent its whole body, or if this box has lost its path to the target or to the box
// that the connection leads through.
func (a *attempt) exchangeOutcome(err error) balance.Outcome {
	var broken *bodyError
	if errors.As(err, &broken) {
		return balance.Dropped
	}
	var lost *tunnel.PeerLostError
	if errors.As(err, &lost) || a.connection.isDirect() && a.gateway.connections.paths.wasLostSince(a.target.Zone, a.chosenAt) {
		return balance.NoPath
	}
	return balance.Broken
}

// peerName returns the name of the box that the connection leads through; empty for none.
func (a *attempt) peerName() string {
	if name := a.peer.Load(); name != nil {
		return *name
	}
	return ""
}

// usesOwnConnection reports whether the request was sent on a connection of this box itself.
func (a *attempt) usesOwnConnection() bool {
	name := a.peer.Load()
	return name != nil && *name == ""
}

// failureOutcome returns the outcome of a failure, which is Dropped if the context has ended.
func (a *attempt) failureOutcome(ctx context.Context, o balance.Outcome) balance.Outcome {
	if ctx.Err() != nil {
		return balance.Dropped
	}
	return o
}

// exchange sends the request on a connection and reads the response.
func (a *attempt) exchange(c *connection) (*targetResponse, error) {
	headers := targetHeaders{target: a.target.Name, workspace: a.workspace, timeout: a.gateway.clock.Until(a.deadline), bodyLength: a.body.length}
	c.head.memory.limit = a.gateway.bufferMemory
	sent := a.body.send(c, a.gateway.config.Protocol.requestHead(a.request, headers))
	for range maxStaleResponses {
		response, err := readFinalResponse(c, a.request)
		if err != nil {
			if s := sent.failure(); s != nil {
				err = errors.WithSecondaryError(s, err)
			}
			return nil, errors.Wrap(err, "reading the response")
		}
		a.recordContact(c)
		got := response.Header.Get(a.gateway.config.Protocol.RequestID)
		if got == a.requestID {
			return a.readResponse(c, response, a.recordTargetStatus(response), sent)
		}
		if got == "" || response.Close {
			return nil, &mismatchedResponseError{got, a.requestID}
		}
		// A response to an earlier request: the one to this request may follow.
		a.gateway.log.Debug().Str("kind", "skippedAnswer").Str("request", a.requestID).Str("target", a.target.ID).Str("of", got).Msg("skipped a response to another request")
		c.outOfSync = true
		if err := skipBody(response.Body); err != nil {
			return nil, errors.Wrap(err, "skipping a response to another request")
		}
	}
	return nil, errors.New("too many responses to other requests")
}

// errStaleBodyTooLong says that a response to another request has a body that is too long to be
// skipped.
var errStaleBodyTooLong = errors.Newf("its body is longer than %d bytes", maxStaleBody)

// skipBody reads a body to its end, unless it is longer than maxStaleBody.
func skipBody(body io.Reader) error {
	_, err := io.CopyN(io.Discard, body, maxStaleBody+1)
	switch {
	case err == nil:
		return errStaleBodyTooLong
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

// recordContact records that a response has arrived on a connection.
func (a *attempt) recordContact(c *connection) {
	if c.isDirect() {
		a.gateway.targetContact.record()
	}
	a.gateway.connections.paths.recordResponse(a.gateway.clock.Now(), a.target.Zone, c.peer.Name)
}

// readFinalResponse reads a response, skipping interim ones. The error is a headTooLongError if their
// heads together are longer than maxResponseHead or than there is memory for, and an InvalidError of
// package responsehead if one of them is no head.
func readFinalResponse(c *connection, r *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // never fails for bytes that are buffered
	c.head.begin(buffered)
	defer c.head.end()
	for {
		response, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if err := responsehead.Check(c.head.next()); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols")
		}
	}
}

// checkedBody is the body of a response. It ends with an error if the fields behind it are invalid.
type checkedBody struct{ response *http.Response }

// Read implements io.Reader.
func (b checkedBody) Read(p []byte) (int, error) {
	n, err := b.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := responsehead.CheckFields(b.response.Trailer); invalid != nil {
			err = errors.Wrap(invalid, "reading the trailer")
		}
	}
	return n, err
}

// readResponse reads the body of the response, or its beginning.
func (a *attempt) readResponse(c *connection, response *http.Response, status targetstatus.Status, sent *upload) (*targetResponse, error) {
	out := &targetResponse{status: response.StatusCode, header: response.Header, targetStatus: status, length: response.ContentLength, upload: sent}
	out.memory.limit = a.gateway.bufferMemory
	idle := keepAliveTimeout(response.Header.Get("Keep-Alive"))
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	out.finish = func(whole bool) {
		if whole && framed && !response.Close && !c.outOfSync && sent.succeeded() && c.reader.Buffered() == 0 {
			a.gateway.connections.put(a.target, c, idle)
			return
		}
		_ = c.Close()
	}
	began := a.gateway.clock.Now()
	slow := func() bool { return a.gateway.clock.Since(began) > maxBufferTime }
	from := checkedBody{response}
	body, more, err := readUpTo(from, response.ContentLength, maxBufferedResponse, slow, &out.memory)
	if err != nil {
		out.memory.release()
		return nil, errors.Wrap(err, "reading the response body")
	}
	out.body = body
	if more {
		out.rest = from
		return out, nil
	}
	out.length = int64(len(body))
	if a.request.Method == http.MethodHead {
		out.length = response.ContentLength
	}
	return out, nil
}

// readUpTo reads a body until its end, until limit bytes have been read, until enough returns true after
// a read, or until there is no memory for more. The caller releases the memory.
func readUpTo(body io.Reader, length int64, limit int, enough func() bool, memory *bufferMemory) (data []byte, more bool, err error) {
	const first = 512
	size := first
	if length >= 0 {
		size = int(min(length, int64(limit))) + 1
	}
	if !memory.grow(size, unreservedBuffer) {
		size = unreservedBuffer
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			size = min(2*cap(data), limit+1)
			if !memory.grow(size, unreservedBuffer) {
				return data, true, nil
			}
			data = append(make([]byte, 0, size), data...)
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
