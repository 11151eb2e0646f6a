package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/quota"
)

// Reasons of refusals for lack of a permit.
const (
	reasonOverLimit    = "overLimit"
	reasonLimitUnknown = "limitUnknown"
)

// permitRetryAfter is the Retry-After sent when no replica could be asked in time. Within that time
// a replica that was killed is back, or another one is known to be unresponsive.
const permitRetryAfter = 250 * time.Millisecond

// hasRateLimit reports whether the request needs permits of its workspace.
func (c *callerRequest) hasRateLimit() bool {
	return c.workspace != nil && !c.workspace.Limit.IsUnlimited()
}

// obtainPermit gets the permit without which no target may run the request. It reports whether the
// request may proceed; if not, it has been answered.
func (c *callerRequest) obtainPermit(ctx context.Context) bool {
	if !c.hasRateLimit() {
		return true
	}
	until, err := c.gateway.permits.acquire(ctx, c.workspace.Name)
	c.permitWait = c.gateway.clock.Since(c.startedAt)
	if err == nil {
		c.permits = append(c.permits, until)
		return true
	}
	var over *quota.OverLimitError
	var silent *quota.NoIssuerError
	switch {
	case c.request.Context().Err() != nil:
		c.refuse(reasonCallerLeft, permitRetryAfter)
	case errors.As(err, &over):
		c.refuseWith(http.StatusTooManyRequests, reasonOverLimit, over.RetryAfter)
	case errors.As(err, &silent):
		c.refuse(reasonLimitUnknown, max(silent.RetryAfter, minRetryAfter))
	default:
		c.refuse(reasonLimitUnknown, permitRetryAfter)
	}
	return false
}

// nextPermitExpiry returns when the permit of the next attempt expires; zero if it needs none.
func (c *callerRequest) nextPermitExpiry() time.Time {
	if i := c.possibleRuns + len(c.pending); i < len(c.permits) {
		return c.permits[i]
	}
	return time.Time{}
}

// replaceExpiredPermit gets a new permit for the next attempt if its permit has expired, because
// the body arrived slowly or the machine was frozen or suspended. It reports whether the request
// may proceed; if not, it has been answered.
func (c *callerRequest) replaceExpiredPermit(ctx context.Context) bool {
	expiry := c.nextPermitExpiry()
	if expiry.IsZero() || c.gateway.clock.Now().Before(expiry) {
		return true
	}
	i := c.possibleRuns + len(c.pending)
	c.permits = slices.Delete(c.permits, i, i+1)
	return c.obtainPermit(ctx)
}

// obtainPermitForAnother reports whether one more target may run the request. Each target that may
// have run it or may be running it uses up one permit. The request does not wait for a permit that
// is not cached.
func (c *callerRequest) obtainPermitForAnother() bool {
	if !c.hasRateLimit() || c.possibleRuns+len(c.pending) < len(c.permits) {
		return true
	}
	until, ok := c.gateway.permits.tryAcquire(c.workspace.Name)
	if ok {
		c.permits = append(c.permits, until)
	}
	return ok
}

// returnPermits returns the permits that no target can have used.
func (c *callerRequest) returnPermits() {
	for _, until := range c.permits[min(c.possibleRuns, len(c.permits)):] {
		c.gateway.permits.release(c.workspace.Name, until)
	}
}
