package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/quota"
)

// Reasons of answers to requests for which there is no permit.
const (
	reasonOverLimit    = "overLimit"
	reasonLimitUnknown = "limitUnknown"
)

// permitRetryAfter is told where no replica could be asked in time: one that was
// killed is back, or another one known to be silent, within that time.
const permitRetryAfter = 250 * time.Millisecond

// limited reports whether the request needs permits.
func (c *call) limited() bool { return c.workspace != nil && !c.workspace.Limit.IsUnlimited() }

// obtainPermit gets the permit without which no target may run the request. It
// reports whether the request may go on; if not, it has been answered.
func (c *call) obtainPermit(ctx context.Context) bool {
	if !c.limited() {
		return true
	}
	until, err := c.gateway.permits.take(ctx, c.workspace.Name)
	c.permitWait = c.gateway.clock.Since(c.began)
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
		c.refuse(reasonLimitUnknown, max(silent.RetryAfter, leastRoutesWait))
	default:
		c.refuse(reasonLimitUnknown, permitRetryAfter)
	}
	return false
}

// permitEnds is when the permit of the next run ends; zero if it needs none.
func (c *call) permitEnds() time.Time {
	if i := c.possibleRuns + len(c.pending); i < len(c.permits) {
		return c.permits[i]
	}
	return time.Time{}
}

// renewPermit gets another permit for the next run where the one at hand is over: the
// body took its time, or the machine was frozen or suspended. It reports whether the
// request may go on; if not, it has been answered.
func (c *call) renewPermit(ctx context.Context) bool {
	ends := c.permitEnds()
	if ends.IsZero() || c.gateway.clock.Now().Before(ends) {
		return true
	}
	i := c.possibleRuns + len(c.pending)
	c.permits = slices.Delete(c.permits, i, i+1)
	return c.obtainPermit(ctx)
}

// permitsAnother reports whether one more target may run the request. Each that
// may have run it or may be running it takes a permit; one that is not in stock is
// not waited for.
func (c *call) permitsAnother() bool {
	if !c.limited() || c.possibleRuns+len(c.pending) < len(c.permits) {
		return true
	}
	until, ok := c.gateway.permits.takeNow(c.workspace.Name)
	if ok {
		c.permits = append(c.permits, until)
	}
	return ok
}

// returnPermits gives back the permits that no target can have used.
func (c *call) returnPermits() {
	for _, until := range c.permits[min(c.possibleRuns, len(c.permits)):] {
		c.gateway.permits.putBack(c.workspace.Name, until)
	}
}
