package gateway

import (
	"net/http"
	"strconv"
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/overload"
	"ledgesill.dev/ledgesill/pkg/quarantine"
)

const (
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 10 * time.Second
	// maxDials bounds how many targets are dialed for one request.
	maxDials = 4
	// minAttemptTime is the least time before the deadline with which an attempt is started.
	minAttemptTime = 10 * time.Millisecond
)

// callerRequest is one request of a caller, from its arrival to its response.
type callerRequest struct {
	gateway   *Daemon
	request   *http.Request
	writer    http.ResponseWriter
	startedAt time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline  time.Time
	requestID string
	// pipelined is how many requests of its connection were before it when it arrived.
	pipelined int
	routing   *routing
	route     catalog.Route
	// workspace is the owner of the key that the request carries, nil if there is none. regions are
	// the regions that may serve the request; empty means all.
	workspace *catalog.Workspace
	regions   []string
	// permits are the expiry times of the permits that the request holds of its workspace's rate
	// limit, possibleRuns is how many targets may have run it, and permitWait how long after the
	// start of the request its permit was granted or refused.
	permits      []time.Time
	possibleRuns int
	permitWait   time.Duration
	// skippedLimited are the rate-limited targets that granted no permit, skipCause is why the last
	// of them did not, and targetPermitWait the total time spent waiting for such permits.
	skippedLimited   []string
	skipCause        error
	targetPermitWait time.Duration
	body             *requestBody
	// served tells that serve has returned, and not panicked.
	served bool
	// service is the destination that the request is routed to.
	service string
	// admission is how long the request may wait for a slot.
	admission overload.Verdict
	tried     []string
	// sent counts the targets that may have received the request; mayHaveRun is set once one of
	// them may have run it.
	sent       int
	dials      int
	mayHaveRun bool
	// nextIsRetry tells that the next attempt must be paid for from the retry budget.
	nextIsRetry bool
	lastAttempt attemptRecord
	// pending are the attempts in flight; their results arrive on ended.
	pending []*pendingAttempt
	ended   chan attemptEnd
	// hedgeTimer fires when a hedged attempt is due beside the pending ones.
	hedgeTimer *time.Timer
	hedges     hedgeRecord
	second     secondAttempt
	// reservation is the link capacity reserved for the response.
	reservation *reservation
	// endedAttempts are the records of all attempts that have ended. fallback is a response that is
	// sent if no better one arrives.
	endedAttempts []attemptRecord
	fallback      *targetResponse
	// noTarget is why no target was found, and sentRetryAfter the Retry-After of a refusal.
	noTarget       *balance.NoTargetError
	sentRetryAfter time.Duration
	// cachedFingerprint is nil until a fingerprint is needed. onProbation tells that the request
	// may run at one target only, and verdict why the quarantine kept it from all targets.
	cachedFingerprint *fingerprint
	onProbation       bool
	verdict           *quarantine.Verdict
}

// attemptRecord is what the log reports of an attempt.
type attemptRecord struct {
	target        balance.Target
	choice        balance.Choice
	outcome       balance.Outcome
	newConnection bool
	// peer is the box that the connection led through; empty for none.
	peer string
	// sent tells that the target may have received the request, sentAfter after it was chosen.
	sent      bool
	sentAfter time.Duration
	// leaving tells that the response reported that the target is shutting down.
	leaving bool
	took    time.Duration
	err     error
}

// hedgeRecord is what the log reports of hedged attempts.
type hedgeRecord struct {
	count int
	// delay is the time between the start of the oldest pending attempt and of the last hedged one.
	delay time.Duration
	// lastError is why the last search for a further target that failed did so.
	lastError error
}

// ServeHTTP serves one request of a caller, or sends the response if the request was started before
// the server reached it.
func (d *Daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stopping := d.stopping.Load() // read first: none starts behind this request afterwards
	conn := callerConnOf(r)
	reached, early := conn.begin(r)
	defer conn.end()
	if stopping && !reached.StartedBehind {
		w.Header().Set("Connection", "close")
	}
	if early != nil {
		early.deliver(w, r)
		return
	}
	d.serveRequest(w, r, reached.Position)
}

// serveRequest serves a request that arrived behind a number of others of its connection.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, pipelined int) {
	c := &callerRequest{gateway: d, request: r, writer: w, startedAt: d.clock.Now(), routing: d.routing.Load(), pipelined: pipelined}
	c.requestID = d.config.Protocol.requestID(r)
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	defer func() { c.body.release() }()
	defer c.finishBody()
	c.serve()
	c.served = true
}

// requestID returns the id of a request. A request without one gets one if the protocol allows
// that.
func (p Protocol) requestID(r *http.Request) string {
	id := r.Header.Get(p.RequestID)
	if id == "" && p.NewRequestID != nil {
		id = p.NewRequestID()
		r.Header.Set(p.RequestID, id)
	}
	return id
}

// serve checks the request against the routes, its workspace, the quarantine, the rate limit and
// the link, then sends it to targets.
func (c *callerRequest) serve() {
	if c.routing == nil {
		c.refuse("noRoutes", c.gateway.routesRetryAfter())
		return
	}
	route, ok := c.routing.table.Match(c.request.Host, c.request.URL.EscapedPath())
	if !ok {
		c.deny(http.StatusNotFound, "noRoute")
		return
	}
	c.route = route
	if !c.authorizeWorkspace() {
		return
	}
	if limit := c.routing.document.Limits.BodyBytes; limit > 0 && c.request.ContentLength > limit {
		c.fail(http.StatusRequestEntityTooLarge, "bodyTooLarge", nil)
		return
	}
	c.deadline = c.startedAt.Add(min(c.callerTimeout(), route.Timeout))
	if end := c.gateway.stopEnd.Load(); end != nil {
		c.deadline = earlier(c.deadline, end.Add(-answerReserve)) // the target is told how much time is left
	}
	ctx, cancel := c.gateway.clock.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	if !c.checkQuarantine() {
		return
	}
	defer c.finishProbation()
	if !c.obtainPermit(ctx) {
		return
	}
	defer c.returnPermits()
	if !c.bufferBody() {
		return
	}
	reserved, wait, ok := c.gateway.linkQueue.admit(c.startedAt, route.Name, route.Objective)
	if !ok {
		c.refuse("linkFull", wait)
		return
	}
	c.reservation = reserved
	defer func() { reserved.settle(c.gateway.clock.Now(), 0) }()
	if !c.replaceExpiredPermit(ctx) {
		return
	}
	c.service = c.gateway.destination(route)
	c.admission = c.admit()
	c.gateway.recordFirstAttempt(c.service)
	c.gateway.secondAttempts.recordRequest(c.service)
	c.sendToTargets(ctx)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// callerTimeout returns how long the caller waits for its response.
func (c *callerRequest) callerTimeout() time.Duration {
	if stated := c.statedTimeout(); stated > 0 {
		return stated
	}
	return defaultDeadline
}

// statedTimeout returns how long the caller says that it waits; zero if it does not.
func (c *callerRequest) statedTimeout() time.Duration {
	text := c.request.Header.Get(c.gateway.config.Protocol.Deadline)
	if millis, err := strconv.Atoi(text); err == nil && millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	return 0
}
