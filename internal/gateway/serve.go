package gateway

import (
	"net/http"
	"strconv"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quarantine"
)

const (
	// defaultDeadline is for callers that name none.
	defaultDeadline = 10 * time.Second
	// maxDials is how many targets are tried for a connection.
	maxDials = 4
	// leastLeft is the shortest time with which an attempt is begun.
	leastLeft = 10 * time.Millisecond
)

// call is one request of a caller on its way to an answer.
type call struct {
	gateway *Daemon
	request *http.Request
	writer  http.ResponseWriter
	began   time.Time
	// ends is when the caller or the route's time-out gives up.
	ends  time.Time
	id    string
	rules *inForce
	route catalog.Route
	// workspace is the one whose key the request carries, nil for none, and
	// regions are those that may serve it; all if it is empty.
	workspace *catalog.Workspace
	regions   []string
	// permits are what the request holds of its workspace's limit, possibleRuns is how
	// many targets may have run it, and permitWait when the first permit was there.
	permits      []time.Time
	possibleRuns int
	permitWait   time.Duration
	// skippedLimited are rate-limited targets for which there was no permit, and skippedFor is
	// why for the last one; targetPermitWait is how long was waited for such permits.
	skippedLimited   []string
	skippedFor       error
	targetPermitWait time.Duration
	body             *requestBody
	// service is the destination that the request is for.
	service string
	tried   []string
	// sent counts the targets that may have got the request; mayHaveRun tells
	// that one of them may have run it.
	sent       int
	dials      int
	mayHaveRun bool
	// retry tells that the next target takes a retry from the budget.
	retry bool
	last  attemptRecord
	// pending are the attempts that have not ended; their ends come on ended.
	pending []*pendingAttempt
	ended   chan attemptEnd
	// alarm rings when another target is to be sought beside them.
	alarm  *time.Timer
	hedges hedgeRecord
	// booked is what the answer was given of the link.
	booked *booking
	// records are those of all attempts that have ended, and fallback is an
	// answer that is given if no better one comes.
	records  []attemptRecord
	fallback *answer
	// none is why no target was found, and told what the caller of a refused
	// request was told to wait.
	none *balance.NoTargetError
	told time.Duration
	// known is what the request is known by when it comes again, nil until it is needed.
	// probation tells that it may run at one target only, and verdict why it was kept
	// from targets.
	known     *identity
	probation bool
	verdict   *quarantine.Verdict
}

// attemptRecord is what the log tells of the last attempt.
type attemptRecord struct {
	target  balance.Target
	choice  balance.Choice
	outcome balance.Outcome
	fresh   bool
	took    time.Duration
	err     error
}

// hedgeRecord is what the log tells of hedged attempts.
type hedgeRecord struct {
	count int
	// after is how long the first had been waited for when the last one began.
	after time.Duration
	// none is why no target was found when one was sought last.
	none error
}

// ServeHTTP takes a request of a caller.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{gateway: d, request: r, writer: w, began: d.clock.Now(), rules: d.rules.Load()}
	c.id = d.config.Protocol.requestID(r)
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	c.serve()
}

// requestID returns the id of a request, which is given one if it has none and
// the protocol allows that.
func (p Protocol) requestID(r *http.Request) string {
	id := r.Header.Get(p.RequestID)
	if id == "" && p.NewRequestID != nil {
		id = p.NewRequestID()
		r.Header.Set(p.RequestID, id)
	}
	return id
}

func (c *call) serve() {
	if c.rules == nil {
		c.refuse("noRoutes", c.gateway.untilRoutes())
		return
	}
	route, ok := c.rules.table.Match(c.request.Host, c.request.URL.EscapedPath())
	if !ok {
		c.deny(http.StatusNotFound, "noRoute")
		return
	}
	c.route = route
	if !c.identify() {
		return
	}
	if limit := c.rules.document.Limits.BodyBytes; limit > 0 && c.request.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "bodyTooLarge", nil)
		return
	}
	c.ends = c.began.Add(min(c.deadline(), route.Timeout))
	ctx, cancel := c.gateway.clock.WithDeadline(c.request.Context(), c.ends)
	defer cancel()
	if !c.passQuarantine() {
		return
	}
	defer c.leaveQuarantine()
	if !c.obtainPermit(ctx) {
		return
	}
	defer c.returnPermits()
	if !c.takeBody() {
		return
	}
	booked, wait, ok := c.gateway.longAnswers.admit(c.began, route.Name, route.Objective)
	if !ok {
		c.refuse("linkFull", wait)
		return
	}
	c.booked = booked
	defer func() { booked.settle(c.gateway.clock.Now(), 0) }()
	if !c.renewPermit(ctx) {
		return
	}
	c.service = c.gateway.destination(route)
	c.gateway.countFirst(c.service)
	c.attempts(ctx)
}

// deadline is how long the caller will wait.
func (c *call) deadline() time.Duration {
	text := c.request.Header.Get(c.gateway.config.Protocol.Deadline)
	if millis, err := strconv.Atoi(text); err == nil && millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	return defaultDeadline
}
