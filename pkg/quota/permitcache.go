package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// unresponsivePause is for how long an issuer that did not answer is not called. A call
	// without an answer costs waiting requests hedgeDelay.
	unresponsivePause = 500 * time.Millisecond
	// stalePause is for how long an issuer with an older document than the box is not
	// called: a document reaches all replicas within about the longest one-way delay.
	stalePause = 40 * time.Millisecond
	// hedgeDelay is how long a call may stay unanswered before the next issuer is called as
	// well. A round trip between regions takes 70 ms.
	hedgeDelay = 90 * time.Millisecond
	// demandWindow is the time over which a subject's request rate is averaged.
	demandWindow = 2 * time.Second
	// prefetchShare is the fraction of a permit's lifetime for which a box caches permits in
	// advance, and prefetchRounding the rounding of the result: a box caches one permit from
	// 1.2 requests per lifetime on, and 0.3 of these expire unused. Requests that find no
	// cached permit wait for an answer.
	prefetchShare    = 0.6
	prefetchRounding = 0.3
	// remoteLatency is the average latency from which an issuer counts as remote: half of
	// the round trip between regions.
	remoteLatency = 35 * time.Millisecond
	// latencyWeight is the weight of one sample in an issuer's moving average latency.
	latencyWeight = 0.2
	// retrySpread is the time over which the retries of refused callers are spread. It is a
	// fifth of the quota window in production, in which a fifth of a limit becomes available.
	retrySpread = time.Second
	// goldenRatioStep distributes any number of retry times evenly: each falls into the
	// widest gap.
	goldenRatioStep = 0.6180339887
	// idleTimeout is the time without requests after which a subject is removed.
	idleTimeout = 30 * time.Second
)

// PermitCache holds the permits of one entry box and decides which issuers to call for
// more. Its subjects are workspaces or incarnations of targets. It is not safe for
// concurrent use.
type PermitCache struct {
	issuers []*issuerState
	// perTarget is true if only the issuers selected by TargetIssuers issue permits for a
	// subject.
	perTarget bool
	subjects  map[string]*subjectState
	// toRefill holds the subjects that may need more permits.
	toRefill map[string]*subjectState
}

// issuerState is the box's view of one issuer.
type issuerState struct {
	address string
	latency time.Duration
	// The issuer is not called before unresponsiveUntil, because it did not answer, and
	// staleUntil, because its document was older.
	unresponsiveUntil time.Time
	staleUntil        time.Time
}

// subjectState is what the box holds for one subject.
type subjectState struct {
	batches []batch
	// waiters is how many requests wait for a permit.
	waiters int
	// pending are the requests for permits that have not been answered.
	pending []pendingRequest
	// emptyUntil is the time until which each issuer has no permits, according to its
	// last answer.
	emptyUntil map[string]time.Time
	// demand is the average number of requests per second as of demandUpdatedAt.
	demand          float64
	demandUpdatedAt time.Time
	ttl             time.Duration
	// retryPhase is the position of the last refused caller within retrySpread.
	retryPhase float64
}

// batch is a number of permits that expire at the same time.
type batch struct {
	count     int
	expiresAt time.Time
}

type pendingRequest struct {
	address string
	count   int
	sentAt  time.Time
}

// IssuerCall is a call to one issuer. It must be completed by HandleGrants,
// HandleFailure or HandleStale.
type IssuerCall struct {
	Address  string
	SentAt   time.Time
	Requests []SubjectRequest
}

// NewPermitCache returns an empty cache of workspace permits, without issuers.
func NewPermitCache() *PermitCache {
	return &PermitCache{subjects: make(map[string]*subjectState), toRefill: make(map[string]*subjectState)}
}

// NewTargetPermitCache returns an empty cache of target permits, without issuers. Its
// subjects are incarnations of targets.
func NewTargetPermitCache() *PermitCache {
	c := NewPermitCache()
	c.perTarget = true
	return c
}

// issuersFor returns the issuers of permits for a subject.
func (c *PermitCache) issuersFor(subject string) []*issuerState {
	if !c.perTarget {
		return c.issuers
	}
	addresses := make([]string, 0, len(c.issuers))
	for _, i := range c.issuers {
		addresses = append(addresses, i.address)
	}
	out := make([]*issuerState, 0, targetIssuers)
	for _, a := range TargetIssuers(subject, addresses) {
		out = append(out, c.issuer(a))
	}
	return out
}

// SetIssuers sets the addresses of the issuers. The state of those that remain is kept.
func (c *PermitCache) SetIssuers(addresses []string) {
	next := make([]*issuerState, 0, len(addresses))
	for _, a := range addresses {
		i := slices.IndexFunc(c.issuers, func(k *issuerState) bool { return k.address == a })
		if i >= 0 {
			next = append(next, c.issuers[i])
			continue
		}
		next = append(next, &issuerState{address: a})
	}
	c.issuers = next
}

// RecordRequest counts a request for a subject. The request rate determines how many
// permits are cached.
func (c *PermitCache) RecordRequest(now time.Time, subject string) {
	h := c.state(subject)
	h.demand = h.currentDemand(now) + 1/demandWindow.Seconds()
	h.demandUpdatedAt = now
}

func (h *subjectState) currentDemand(now time.Time) float64 {
	age := min(max(now.Sub(h.demandUpdatedAt), 0), demandWindow)
	return h.demand * (1 - age.Seconds()/demandWindow.Seconds())
}

// Take takes a permit and returns the time until which it may be used.
func (c *PermitCache) Take(now time.Time, subject string) (until time.Time, ok bool) {
	h := c.state(subject)
	h.dropExpired(now)
	c.toRefill[subject] = h
	if len(h.batches) == 0 {
		return time.Time{}, false
	}
	until = h.batches[0].expiresAt
	h.batches[0].count--
	if h.batches[0].count == 0 {
		h.batches = h.batches[1:]
	}
	return until, true
}

// PutBack returns an unused permit.
func (c *PermitCache) PutBack(subject string, until time.Time) { c.state(subject).add(batch{1, until}) }

// AddWaiter counts a request that waits for a permit until RemoveWaiter.
func (c *PermitCache) AddWaiter(subject string) {
	h := c.state(subject)
	h.waiters++
	c.toRefill[subject] = h
}

// RemoveWaiter reverts AddWaiter.
func (c *PermitCache) RemoveWaiter(subject string) { c.state(subject).waiters-- }

// HasWaiters reports whether requests wait for permits that may still have to be
// requested.
func (c *PermitCache) HasWaiters() bool {
	for _, h := range c.toRefill {
		if h.waiters > 0 {
			return true
		}
	}
	return false
}

// Refusal returns why a request can't get a permit now: an OverLimitError if each
// issuer that responds has reported that it is empty, a NoIssuerError if none responds,
// nil if one can be called or a call is pending.
func (c *PermitCache) Refusal(now time.Time, subject string) error {
	h := c.state(subject)
	if h.hasPendingRequest(now) {
		return nil
	}
	var soonest, nextRetry time.Time
	for _, i := range c.issuersFor(subject) {
		if now.Before(i.unresponsiveUntil) {
			nextRetry = earlier(nextRetry, i.unresponsiveUntil)
			continue
		}
		empty := h.emptyUntil[i.address]
		if now.Before(i.staleUntil) || !now.Before(empty) {
			return nil
		}
		soonest = earlier(soonest, empty)
	}
	if soonest.IsZero() {
		return &NoIssuerError{Subject: subject, RetryAfter: max(nextRetry.Sub(now), 0)}
	}
	return &OverLimitError{Subject: subject, AvailableIn: soonest.Sub(now), RetryAfter: h.nextRetryAfter(now, soonest)}
}

// nextRetryAfter spreads refused callers over retrySpread, from the time at which a
// permit may be available.
func (h *subjectState) nextRetryAfter(now, soonest time.Time) time.Duration {
	_, h.retryPhase = math.Modf(h.retryPhase + goldenRatioStep)
	return soonest.Sub(now) + time.Duration(h.retryPhase*float64(retrySpread))
}

// StartCalls returns the calls to make now, for waiting requests and to fill the cache.
func (c *PermitCache) StartCalls(now time.Time) []IssuerCall {
	var out []IssuerCall
	for name, h := range c.toRefill {
		count := h.deficit(now)
		if count <= 0 {
			delete(c.toRefill, name)
			continue
		}
		for _, i := range c.selectIssuers(now, name, h) {
			h.pending = append(h.pending, pendingRequest{i.address, count, now})
			at := slices.IndexFunc(out, func(call IssuerCall) bool { return call.Address == i.address })
			if at < 0 {
				at = len(out)
				out = append(out, IssuerCall{Address: i.address, SentAt: now})
			}
			out[at].Requests = append(out[at].Requests, SubjectRequest{name, count})
		}
	}
	return out
}

// deficit returns how many permits to request.
func (h *subjectState) deficit(now time.Time) int {
	h.dropExpired(now)
	available := 0
	for _, l := range h.batches {
		available += l.count
	}
	for _, p := range h.pending {
		if now.Sub(p.sentAt) < hedgeDelay {
			available += p.count
		}
	}
	target := int(h.currentDemand(now)*prefetchShare*h.ttl.Seconds() + prefetchRounding)
	if h.waiters <= available && available > target/2 {
		return 0
	}
	return h.waiters + target - available
}

// selectIssuers returns the issuers to call: of those that respond and are not empty,
// the one with the lowest latency. If that one is remote, all of them are called in
// parallel, because calling one after the other would take longer than the request can
// wait; surplus permits stay in the cache. An issuer with an overdue call for the subject
// is not called again.
func (c *PermitCache) selectIssuers(now time.Time, subject string, h *subjectState) []*issuerState {
	var all []*issuerState
	var best *issuerState
	for _, i := range c.issuersFor(subject) {
		if now.Before(i.unresponsiveUntil) || now.Before(i.staleUntil) || now.Before(h.emptyUntil[i.address]) {
			continue
		}
		if slices.ContainsFunc(h.pending, func(p pendingRequest) bool { return p.address == i.address && now.Sub(p.sentAt) >= hedgeDelay }) {
			continue
		}
		all = append(all, i)
		if best == nil || i.latency < best.latency {
			best = i
		}
	}
	switch {
	case best == nil:
		return nil
	case best.latency < remoteLatency:
		return []*issuerState{best}
	}
	return all
}

// HandleGrants processes an issuer's answer.
func (c *PermitCache) HandleGrants(now time.Time, call IssuerCall, grants []Grant) {
	if i := c.issuer(call.Address); i != nil {
		elapsed := now.Sub(call.SentAt)
		if i.latency == 0 {
			i.latency = elapsed
		}
		i.latency += time.Duration(latencyWeight * float64(elapsed-i.latency))
	}
	c.removePending(call)
	for _, g := range grants {
		h := c.state(g.Subject)
		if g.Count == 0 {
			h.emptyUntil[call.Address] = now.Add(g.RetryAfter)
			continue
		}
		h.ttl = g.TTL
		// The lifetime starts when the call was sent, because the box does not know when the
		// issuer processed it.
		h.add(batch{g.Count, call.SentAt.Add(g.TTL)})
	}
}

// HandleStale records that an issuer has an older document than the box.
func (c *PermitCache) HandleStale(now time.Time, call IssuerCall) {
	if i := c.issuer(call.Address); i != nil {
		i.staleUntil = now.Add(stalePause)
	}
	c.removePending(call)
}

// HandleFailure records that an issuer did not answer.
func (c *PermitCache) HandleFailure(now time.Time, call IssuerCall) {
	if i := c.issuer(call.Address); i != nil {
		i.unresponsiveUntil = now.Add(unresponsivePause)
	}
	c.removePending(call)
}

func (c *PermitCache) removePending(call IssuerCall) {
	for _, request := range call.Requests {
		h := c.state(request.Subject)
		c.toRefill[request.Subject] = h
		h.pending = slices.DeleteFunc(h.pending, func(p pendingRequest) bool { return p.address == call.Address && p.sentAt.Equal(call.SentAt) })
	}
}

// RemoveIdle removes subjects that had no request for idleTimeout and returns how many
// are left.
func (c *PermitCache) RemoveIdle(now time.Time) int {
	for name, h := range c.subjects {
		if h.waiters == 0 && len(h.pending) == 0 && now.Sub(h.demandUpdatedAt) > idleTimeout {
			delete(c.subjects, name)
			delete(c.toRefill, name)
		}
	}
	return len(c.subjects)
}

func (c *PermitCache) issuer(address string) *issuerState {
	i := slices.IndexFunc(c.issuers, func(k *issuerState) bool { return k.address == address })
	if i < 0 {
		return nil
	}
	return c.issuers[i]
}

func (c *PermitCache) state(subject string) *subjectState {
	h := c.subjects[subject]
	if h == nil {
		h = &subjectState{emptyUntil: make(map[string]time.Time)}
		c.subjects[subject] = h
	}
	return h
}

// hasPendingRequest reports whether an answer may still come before hedgeDelay.
func (h *subjectState) hasPendingRequest(now time.Time) bool {
	return slices.ContainsFunc(h.pending, func(p pendingRequest) bool { return now.Sub(p.sentAt) < hedgeDelay })
}

// add inserts a batch in order of expiry.
func (h *subjectState) add(l batch) {
	i := slices.IndexFunc(h.batches, func(k batch) bool { return k.expiresAt.After(l.expiresAt) })
	if i < 0 {
		i = len(h.batches)
	}
	h.batches = slices.Insert(h.batches, i, l)
}

// dropExpired removes expired permits.
func (h *subjectState) dropExpired(now time.Time) {
	h.batches = slices.DeleteFunc(h.batches, func(l batch) bool { return !now.Before(l.expiresAt) })
}

// earlier returns the earlier of two times; a zero a is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
