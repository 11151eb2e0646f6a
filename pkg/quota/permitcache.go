package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// unresponsivePause is how long an issuer that did not answer is not called. A call
	// without an answer costs waiting requests hedgeDelay.
	unresponsivePause = 500 * time.Millisecond
	// stalePause is how long an issuer with an older document than the box is not
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
	// fifth of the quota window in production, so a fifth of a limit becomes available in it.
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
	state := c.state(subject)
	state.demand = state.currentDemand(now) + 1/demandWindow.Seconds()
	state.demandUpdatedAt = now
}

func (state *subjectState) currentDemand(now time.Time) float64 {
	age := min(max(now.Sub(state.demandUpdatedAt), 0), demandWindow)
	return state.demand * (1 - age.Seconds()/demandWindow.Seconds())
}

// Take takes a permit and returns the time until which it may be used.
func (c *PermitCache) Take(now time.Time, subject string) (until time.Time, ok bool) {
	state := c.state(subject)
	state.dropExpired(now)
	c.toRefill[subject] = state
	if len(state.batches) == 0 {
		return time.Time{}, false
	}
	until = state.batches[0].expiresAt
	state.batches[0].count--
	if state.batches[0].count == 0 {
		state.batches = state.batches[1:]
	}
	return until, true
}

// PutBack returns an unused permit.
func (c *PermitCache) PutBack(subject string, until time.Time) { c.state(subject).add(batch{1, until}) }

// AddWaiter counts a request that waits for a permit until RemoveWaiter.
func (c *PermitCache) AddWaiter(subject string) {
	state := c.state(subject)
	state.waiters++
	c.toRefill[subject] = state
}

// RemoveWaiter reverts AddWaiter.
func (c *PermitCache) RemoveWaiter(subject string) { c.state(subject).waiters-- }

// HasWaiters reports whether requests wait for permits that may still have to be
// requested.
func (c *PermitCache) HasWaiters() bool {
	for _, state := range c.toRefill {
		if state.waiters > 0 {
			return true
		}
	}
	return false
}

// Refusal returns why a request can't get a permit now: an OverLimitError if each
// issuer that responds has reported that it is empty, a NoIssuerError if none responds,
// nil if one can be called or a call is pending.
func (c *PermitCache) Refusal(now time.Time, subject string) error {
	state := c.state(subject)
	if state.hasPendingRequest(now) {
		return nil
	}
	var soonest, nextRetry time.Time
	for _, i := range c.issuersFor(subject) {
		if now.Before(i.unresponsiveUntil) {
			nextRetry = earlier(nextRetry, i.unresponsiveUntil)
			continue
		}
		empty := state.emptyUntil[i.address]
		if now.Before(i.staleUntil) || !now.Before(empty) {
			return nil
		}
		soonest = earlier(soonest, empty)
	}
	if soonest.IsZero() {
		return &NoIssuerError{Subject: subject, RetryAfter: max(nextRetry.Sub(now), 0)}
	}
	return &OverLimitError{Subject: subject, AvailableIn: soonest.Sub(now), RetryAfter: state.nextRetryAfter(now, soonest)}
}

// nextRetryAfter spreads refused callers over retrySpread, from the time at which a
// permit may be available.
func (state *subjectState) nextRetryAfter(now, soonest time.Time) time.Duration {
	_, state.retryPhase = math.Modf(state.retryPhase + goldenRatioStep)
	return soonest.Sub(now) + time.Duration(state.retryPhase*float64(retrySpread))
}

// StartCalls returns the calls to make now, for waiting requests and to fill the cache.
func (c *PermitCache) StartCalls(now time.Time) []IssuerCall {
	var out []IssuerCall
	for name, state := range c.toRefill {
		count := state.deficit(now)
		if count <= 0 {
			delete(c.toRefill, name)
			continue
		}
		for _, i := range c.selectIssuers(now, name, state) {
			state.pending = append(state.pending, pendingRequest{i.address, count, now})
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
func (state *subjectState) deficit(now time.Time) int {
	state.dropExpired(now)
	available := 0
	for _, b := range state.batches {
		available += b.count
	}
	for _, p := range state.pending {
		if now.Sub(p.sentAt) < hedgeDelay {
			available += p.count
		}
	}
	target := int(state.currentDemand(now)*prefetchShare*state.ttl.Seconds() + prefetchRounding)
	if state.waiters <= available && available > target/2 {
		return 0
	}
	return state.waiters + target - available
}

// selectIssuers returns the issuers to call: of those that respond and are not empty,
// the one with the lowest latency. If that one is remote, all of them are called in
// parallel, because calling one after the other would take longer than the request can
// wait; surplus permits stay in the cache. An issuer with an overdue call for the subject
// is not called again.
func (c *PermitCache) selectIssuers(now time.Time, subject string, state *subjectState) []*issuerState {
	var all []*issuerState
	var best *issuerState
	for _, i := range c.issuersFor(subject) {
		if now.Before(i.unresponsiveUntil) || now.Before(i.staleUntil) || now.Before(state.emptyUntil[i.address]) {
			continue
		}
		if slices.ContainsFunc(state.pending, func(p pendingRequest) bool { return p.address == i.address && now.Sub(p.sentAt) >= hedgeDelay }) {
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
		state := c.state(g.Subject)
		if g.Count == 0 {
			state.emptyUntil[call.Address] = now.Add(g.RetryAfter)
			continue
		}
		state.ttl = g.TTL
		// The lifetime starts when the call was sent, because the box does not know when the
		// issuer processed it.
		state.add(batch{g.Count, call.SentAt.Add(g.TTL)})
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
		state := c.state(request.Subject)
		c.toRefill[request.Subject] = state
		state.pending = slices.DeleteFunc(state.pending, func(p pendingRequest) bool { return p.address == call.Address && p.sentAt.Equal(call.SentAt) })
	}
}

// RemoveIdle removes subjects that had no request for idleTimeout and returns how many
// are left.
func (c *PermitCache) RemoveIdle(now time.Time) int {
	for name, state := range c.subjects {
		if state.waiters == 0 && len(state.pending) == 0 && now.Sub(state.demandUpdatedAt) > idleTimeout {
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
	state := c.subjects[subject]
	if state == nil {
		state = &subjectState{emptyUntil: make(map[string]time.Time)}
		c.subjects[subject] = state
	}
	return state
}

// hasPendingRequest reports whether an answer may still come before hedgeDelay.
func (state *subjectState) hasPendingRequest(now time.Time) bool {
	return slices.ContainsFunc(state.pending, func(p pendingRequest) bool { return now.Sub(p.sentAt) < hedgeDelay })
}

// add inserts a batch in order of expiry.
func (state *subjectState) add(b batch) {
	i := slices.IndexFunc(state.batches, func(k batch) bool { return k.expiresAt.After(b.expiresAt) })
	if i < 0 {
		i = len(state.batches)
	}
	state.batches = slices.Insert(state.batches, i, b)
}

// dropExpired removes expired permits.
func (state *subjectState) dropExpired(now time.Time) {
	state.batches = slices.DeleteFunc(state.batches, func(b batch) bool { return !now.Before(b.expiresAt) })
}

// earlier returns the earlier of two times; a zero a is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
