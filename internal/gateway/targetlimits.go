package gateway

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// targetPermitWait bounds how long a request waits for permits of rate-limited targets before
	// it goes to others: a round trip between regions.
	targetPermitWait = 100 * time.Millisecond
	// maxSkippedLimited is how many rate-limited targets without a permit a request skips before
	// only targets without a rate limit are considered: where a thousand targets are at their
	// limits, requesting permits of each in turn would use up the box's CPU time. A request with an
	// affinity key skips its home target only: another rate-limited target does not have the object
	// cached, takes longer for it, and needs its permits for objects of its own.
	maxSkippedLimited        = 4
	maxSkippedLimitedWithKey = 1
	// throttleTime is how long a target gets no requests after no permit arrived in time.
	throttleTime = 50 * time.Millisecond
	// minThrottleTime keeps each request in turn from requesting a permit of the same target.
	minThrottleTime = 5 * time.Millisecond
	// updateRepeatTime is how long reports repeat an update: three of the longest report intervals,
	// as reports may be lost and replicas may restart.
	updateRepeatTime = 6 * time.Second
	// minReportInterval is the minimum time between two reports that are triggered by rate limits.
	// Permit requests carry new updates as well.
	minReportInterval = 250 * time.Millisecond
	// maxReportedTargets bounds the targets in one report, at about 40 bytes each.
	maxReportedTargets = 256
)

// targetLimits tracks rate-limited targets and the permits to send to them.
type targetLimits struct {
	clock   *boottime.Clock
	permits *permits
	// limited is the number of rate-limited targets. While there are none, a response without a
	// limit carries no new information.
	limited atomic.Int32

	mu lockorder.Mutex
	// registry holds what targets reported, to this box or another.
	registry *targetstatus.Registry
	// fallback issues permits while no replica answers.
	fallback *quota.Fallback
	// pending are updates from responses to this box, by incarnation, with the time since which
	// they are reported.
	pending map[string]time.Time
	// reportedAt is when a report was last triggered.
	reportedAt time.Time
}

func newTargetLimits(box string, c *boottime.Clock) *targetLimits {
	p := newPermits(c)
	p.cache = quota.NewTargetPermitCache()
	l := &targetLimits{clock: c, permits: p, registry: targetstatus.NewRegistry(), fallback: quota.NewFallback(box), pending: make(map[string]time.Time)}
	p.buildRequest = l.buildRequest
	return l
}

// buildRequest returns the message of permit requests. It carries the known limits, as the replica
// may have restarted since.
func (l *targetLimits) buildRequest(asks []quota.SubjectRequest) *wire.PermitRequest {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &wire.PermitRequest{}
	for _, a := range asks {
		updates := targetstatus.Messages(now, l.registry.Updates(a.Subject))
		r.TargetAsks = append(r.TargetAsks, &wire.TargetPermitAsk{Limit: updates[0], Further: updates[1:], Count: uint32(a.Count)})
	}
	return r
}

// recordResponse applies what a response to this box reports.
func (l *targetLimits) recordResponse(u targetstatus.Update) (c targetstatus.Change, changed bool) {
	if !u.HasLimit() && !u.Leaving && l.limited.Load() == 0 {
		return c, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c, changed = l.apply(u)
	if changed {
		l.pending[u.Incarnation] = u.Received
	}
	return c, changed
}

// merge applies the update of another box. If this box has newer information, it reports that.
func (l *targetLimits) merge(u targetstatus.Update) (c targetstatus.Change, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, changed = l.apply(u)
	if l.registry.Limit(u.Incarnation) != u.Limit || l.registry.IsLeaving(u.Incarnation) && !u.Leaving {
		l.pending[u.Incarnation] = l.clock.Now()
	}
	return c, changed
}

// allowReport reports whether a report may be triggered now, and counts it.
func (l *targetLimits) allowReport() bool {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.reportedAt) < minReportInterval {
		return false
	}
	l.reportedAt = now
	return true
}

func (l *targetLimits) apply(u targetstatus.Update) (targetstatus.Change, bool) {
	c, changed := l.registry.Apply(u)
	if changed {
		l.limited.Store(int32(l.registry.LimitedCount()))
	}
	return c, changed
}

// limit returns a target's rate limit.
func (l *targetLimits) limit(target string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Limit(target)
}

// isLeaving reports whether a target reported that it is shutting down.
func (l *targetLimits) isLeaving(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.IsLeaving(target)
}

// leavingSince returns when a target reported that it is shutting down, and false if it did not.
func (l *targetLimits) leavingSince(target string) (since time.Time, leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.LeavingSince(target)
}

func (l *targetLimits) hasLimit(target string) bool { return l.limit(target) < targetstatus.NoLimit }

// pendingReports returns the updates of the next report.
func (l *targetLimits) pendingReports() []*wire.TargetLimit {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.pending, func(_ string, since time.Time) bool { return now.Sub(since) > updateRepeatTime })
	if len(l.pending) == 0 {
		return nil
	}
	incarnations := slices.SortedFunc(maps.Keys(l.pending), func(a, b string) int { return l.pending[b].Compare(l.pending[a]) })
	var out []*wire.TargetLimit
	for _, incarnation := range incarnations[:min(len(incarnations), maxReportedTargets)] {
		out = append(out, targetstatus.Messages(now, l.registry.Updates(incarnation))...)
	}
	return out
}

func (l *targetLimits) setBoxes(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fallback.SetBoxes(names)
}

// prune drops targets whose incarnations have ended. It calls registered without its lock.
func (l *targetLimits) prune(now time.Time, registered func(incarnation string) bool) {
	l.permits.prune(now)
	ended := unregistered(l.incarnations(), registered)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registry.Prune(now, func(incarnation string) bool { return !ended[incarnation] })
	maps.DeleteFunc(l.pending, func(incarnation string, _ time.Time) bool { return ended[incarnation] })
	l.fallback.Prune(func(incarnation string) bool { return l.registry.HasLimit(incarnation) })
	l.limited.Store(int32(l.registry.LimitedCount()))
}

// incarnations returns the targets that have reported a limit or that they are shutting down.
func (l *targetLimits) incarnations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.AppendSeq(l.registry.Incarnations(), maps.Keys(l.pending))
}

// unregistered returns those of the targets that are not registered.
func unregistered(targets []string, registered func(target string) bool) map[string]bool {
	out := make(map[string]bool)
	for _, target := range targets {
		if !registered(target) {
			out[target] = true
		}
	}
	return out
}

// acquirePermit returns a permit to send a request to a target and may wait for one. The error
// tells why there is none.
func (l *targetLimits) acquirePermit(ctx context.Context, incarnation string, wait time.Duration) (until time.Time, err error) {
	if wait <= 0 {
		if until, ok := l.permits.tryAcquire(incarnation); ok {
			return until, nil
		}
		return until, errPermitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if until, err = l.permits.acquire(ctx, incarnation); err == nil {
		return until, nil
	}
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		return until, over
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if until, ok := l.fallback.Take(l.clock.Now(), incarnation, l.registry.Limit(incarnation)); ok {
		return until, nil
	}
	return time.Time{}, err
}

// throttleTimeAfter returns how long a target gets no requests after a permit was denied or did not
// arrive.
func throttleTimeAfter(err error) time.Duration {
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		return max(over.AvailableIn, minThrottleTime)
	}
	return throttleTime
}

// permittedChoice is the choice of a target, with the expiry of its permit; zero if it needs none.
type permittedChoice struct {
	balance.Choice
	permitExpiry time.Time
}

// choosePermittedTarget chooses a target. A rate-limited target is skipped unless a permit of it
// arrives within the wait time.
func (c *callerRequest) choosePermittedTarget(ctx context.Context, wait time.Duration) (permittedChoice, error) {
	deadline := c.gateway.permitWaitDeadline(wait)
	for {
		request := c.balanceRequest()
		request.ExcludeLimited = len(c.skippedLimited) >= maxSkippedFor(request)
		choice, err := c.gateway.choose(request)
		if err != nil || !choice.Limited {
			return permittedChoice{Choice: choice}, err
		}
		began := c.gateway.clock.Now()
		until, err := c.gateway.targetLimits.acquirePermit(ctx, choice.Target.ID, deadline.Sub(began))
		c.targetPermitWait += c.gateway.clock.Since(began)
		if err == nil {
			c.gateway.metrics.targetPermits.Inc()
			return permittedChoice{choice, until}, nil
		}
		c.skipLimitedTarget(choice, err)
	}
}

// maxSkippedFor returns how many rate-limited targets the request may skip.
func maxSkippedFor(r balance.Request) int {
	if r.AffinityKey != "" {
		return maxSkippedLimitedWithKey
	}
	return maxSkippedLimited
}

// returnPermit returns a permit with which nothing was sent.
func (d *Daemon) returnPermit(choice permittedChoice) {
	if !choice.permitExpiry.IsZero() {
		d.targetLimits.permits.release(choice.Target.ID, choice.permitExpiry)
	}
}

// permitWaitDeadline returns when to stop waiting for permits of targets, zero if none is
// rate-limited.
func (d *Daemon) permitWaitDeadline(wait time.Duration) time.Time {
	if d.targetLimits.limited.Load() == 0 {
		return time.Time{} // saves reading the clock for most requests
	}
	return d.clock.Now().Add(wait)
}

// skipLimitedTarget undoes the choice of a target that granted no permit.
func (c *callerRequest) skipLimitedTarget(choice balance.Choice, cause error) {
	d := c.gateway
	d.metrics.skippedLimited.Inc()
	c.skippedLimited = append(c.skippedLimited, choice.Target.ID)
	c.skipCause = cause
	d.balancing.Lock()
	defer d.balancing.Unlock()
	now := c.gateway.clock.Now()
	d.balancing.balancer.ThrottleUntil(now, choice.Target.ID, now.Add(throttleTimeAfter(cause)))
}

// mergeUpdates applies what targets reported to other boxes.
func (d *Daemon) mergeUpdates(list []*wire.TargetLimit) {
	now := d.clock.Now()
	for _, m := range list {
		if change, changed := d.targetLimits.merge(targetstatus.UpdateOf(now, m)); changed {
			d.applyChange(change, "")
		}
	}
}

// applyChange applies a change of a target's status to the balancer. request is the id of the
// request whose response reported it, empty if another box did.
func (d *Daemon) applyChange(c targetstatus.Change, request string) {
	d.balancing.Lock()
	// Another change may have been reported meanwhile: use the latest limit.
	d.balancing.balancer.SetLimited(c.Incarnation, d.targetLimits.hasLimit(c.Incarnation))
	if c.Leaving {
		d.balancing.balancer.SetLeaving(d.clock.Now(), c.Incarnation)
	}
	d.balancing.Unlock()
	d.metrics.targetLimits.Set(float64(d.targetLimits.limited.Load()))
	if c.LimitChanged() {
		d.logLimit(c, request)
	}
	if c.Leaving {
		d.logLeaving(c, request)
	}
}

func (d *Daemon) logLimit(c targetstatus.Change, request string) {
	if !d.otherLineLimit.Allow(d.clock.Now()) {
		return
	}
	line := d.log.Warn().Str("kind", "targetLimit").Str("target", c.Incarnation)
	if c.Before < targetstatus.NoLimit {
		line = line.Float64("before", c.Before)
	}
	if request != "" {
		line = line.Str("request", request)
	}
	if c.After < targetstatus.NoLimit {
		line.Float64("perSecond", c.After).Msg("target reported a rate limit")
		return
	}
	line.Msg("target withdrew its rate limit")
}

func (d *Daemon) logLeaving(c targetstatus.Change, request string) {
	d.metrics.targetsLeaving.Inc()
	if !d.otherLineLimit.Allow(d.clock.Now()) {
		return
	}
	line := d.log.Info().Str("kind", "targetLeaving").Str("target", c.Incarnation)
	if request != "" {
		line = line.Str("request", request)
	}
	line.Msg("target reported that it is shutting down")
}
