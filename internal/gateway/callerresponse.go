package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/balance"
)

// reasonCallerLeft is logged for a request whose caller closed its connection before the response.
// As a rule nobody reads that response.
const reasonCallerLeft = "callerLeft"

// giveUp sends the response to a request for which no target gave one.
func (c *callerRequest) giveUp(cause error) {
	var none *balance.NoTargetError
	var noPath *noPathError
	var broken *bodyError
	switch {
	case c.request.Context().Err() != nil && !c.mayHaveRun:
		c.refuse(reasonCallerLeft, c.retryAfter())
	case c.request.Context().Err() != nil:
		c.fail(http.StatusBadGateway, reasonCallerLeft, cause)
	case errors.As(cause, &broken):
		c.fail(http.StatusBadRequest, "bodyBroken", cause)
	case !c.mayHaveRun && errors.As(cause, &none):
		c.noTarget = none
		c.refuse(none.Reason, c.retryAfterRefusal(none))
	case !c.mayHaveRun && errors.As(cause, &noPath):
		c.refuse("noPath", max(noPath.RetryAfter, minRetryAfter))
	case !c.mayHaveRun:
		c.refuse("notRun", c.retryAfter())
	case !c.gateway.clock.Now().Before(c.deadline):
		c.fail(http.StatusGatewayTimeout, "timeOut", cause)
	default:
		c.fail(http.StatusBadGateway, "unknown", cause)
	}
}

// retryAfter returns when a request that its last target did not run may be sent again.
func (c *callerRequest) retryAfter() time.Duration {
	return c.gateway.retryAfter(c.lastAttempt.target.ID, c.route.Name)
}

// refuse responds that the request has not run and when to send it again.
func (c *callerRequest) refuse(reason string, after time.Duration) {
	c.refuseWith(http.StatusServiceUnavailable, reason, after)
}

func (c *callerRequest) refuseWith(status int, reason string, after time.Duration) {
	h := c.writer.Header()
	h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	c.sentRetryAfter = after
	c.reply(status, reason, nil)
}

// fail responds with an error that does not say that the request has not run.
func (c *callerRequest) fail(code int, reason string, err error) { c.reply(code, reason, err) }

// reply sends a response that the box itself generates.
func (c *callerRequest) reply(status int, reason string, cause error) {
	h := c.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	c.writer.WriteHeader(status)
	_, _ = io.WriteString(c.writer, reason+"\n") // on an error the caller sees a truncated response
	c.logRequest(status, reason, cause)
}

// sendResponse forwards a target's response to the caller.
func (c *callerRequest) sendResponse(out *targetResponse) {
	if c.notRun(out) && out.status != http.StatusBadRequest {
		out.discard()
		c.replyRejected()
		return
	}
	c.dropFallback()
	if out.length >= 0 {
		c.gateway.linkQueue.recordSize(c.route.Name, out.length)
		c.reservation.settle(c.gateway.clock.Now(), out.length)
	}
	c.writeHead(out)
	begun := int64(len(out.body))
	_, err := c.writer.Write(out.body)
	out.dropBody()
	if !out.open {
		c.logRequest(out.status, "", err)
		return
	}
	if err == nil && out.rest != nil {
		err = c.gateway.shaper.copy(c.request.Context(), c.writer, out.rest, out.length-begun)
	}
	if err := c.finishExchange(out, err); err != nil {
		// The caller must not take the truncated response for a complete one.
		if out.length < 0 && !c.request.ProtoAtLeast(1, 1) {
			callerConnOf(c.request).resetOnClose()
		}
		panic(http.ErrAbortHandler)
	}
}

// finishExchange logs a response and ends its exchange with the target; err is the error with which
// writing the response ended. A complete response reaches the caller before the upload has ended.
func (c *callerRequest) finishExchange(out *targetResponse, err error) error {
	if err != nil || out.upload.hasEnded() {
		out.finish(err == nil)
		c.logRequest(out.status, "", err)
		return err
	}
	err = c.endResponse(out)
	c.logRequest(out.status, "", err)
	c.awaitUpload(out.upload)
	out.finish(err == nil)
	return err
}

// replyRejected responds to a request that its last target rejected. If an earlier target may have run
// the request, the response must not say that it has not run.
func (c *callerRequest) replyRejected() {
	switch {
	case c.hasFallback():
		c.sendFallback()
	case c.mayHaveRun:
		c.fail(http.StatusBadGateway, "unknown", errRejected)
	default:
		c.refuse("turnedAway", c.retryAfter())
	}
}

// errRejected is logged if the last target rejected a request that an earlier one may have run.
var errRejected = errors.New("the last target rejected the request")

func (c *callerRequest) writeHead(out *targetResponse) {
	h := c.writer.Header()
	listed := connectionOptions(out.header)
	for name, values := range out.header {
		if isForwarded(name, listed) && name != "Content-Length" {
			h[name] = values
		}
	}
	if len(out.header["Content-Type"]) == 0 {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if out.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(out.length, 10))
	}
	if !out.upload.hasEnded() {
		h.Del("Connection") // a caller that is told to close the connection stops sending the body
	}
	c.writer.WriteHeader(out.status)
}
