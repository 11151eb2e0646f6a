package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// targetPermitWait bounds how long a request waits for permits of targets that name
	// limits before it goes to others: a way between regions and back.
	targetPermitWait = 100 * time.Millisecond
	// maxSkippedLimited is how many rate-limited targets a request is kept from before it goes
	// to one that names no limit, or is refused if there is none: where a thousand are at their
	// limits, asking for each in turn would take the box's processor time. One about an object
	// is kept from its home alone: another rate-limited target does not know the object, takes
	// longer for it, and lacks the permit for objects of its own.
	maxSkippedLimited       = 4
	maxSkippedLimitedObject = 1
	// throttleTime is for how long a target gets nothing for which no permit came in time.
	throttleTime = 50 * time.Millisecond
	// minThrottleTime keeps a target from being asked for by each request in turn.
	minThrottleTime = 5 * time.Millisecond
	// updateRepeatTime is for how long each report carries an update: three of the longest
	// intervals between two, as reports may be lost and replicas start anew.
	updateRepeatTime = 6 * time.Second
	// minReportInterval is the least time between two reports for the sake of limits. Asks for permits
	// tell what is new besides.
	minReportInterval = 250 * time.Millisecond
	// maxReportedTargets bounds the targets in one report, of some 40 bytes each.
	maxReportedTargets = 256
)

// targetLimits is what a box knows of targets that name limits, and what it may send them.
type targetLimits struct {
	clock   *boottime.Clock
	permits *permits
	// limited is how many targets name limits: while there are none, answers without a limit
	// say nothing new.
	limited atomic.Int32

	mu       sync.Mutex
	registry *targetstatus.Registry
	fallback *quota.Alone
	// pending are changes that answers to this box brought, by incarnation, with the times
	// since which they are reported.
	pending map[string]time.Time
	// reportedAt is when a report was last asked for at once.
	reportedAt time.Time
}

func newTargetLimits(box string, c *boottime.Clock) *targetLimits {
	p := newPermits(c)
	p.cache = quota.NewTargetStock()
	l := &targetLimits{clock: c, permits: p, registry: targetstatus.NewRegistry(), fallback: quota.NewAlone(box), pending: make(map[string]time.Time)}
	p.buildRequest = l.buildRequest
	return l
}

// buildRequest is for permits; it carries what is known of the limits, as the replica
// may have started since.
func (l *targetLimits) buildRequest(asks []quota.Ask) *wire.PermitRequest {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &wire.PermitRequest{}
	for _, a := range asks {
		known := targetstatus.Messages(now, l.registry.Updates(a.Of))
		r.TargetAsks = append(r.TargetAsks, &wire.TargetPermitAsk{Limit: known[0], Further: known[1:], Count: uint32(a.Count)})
	}
	return r
}

// recordResponse takes what an answer to this box says.
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

// merge takes what another box reported. What this box knows better it reports in turn.
func (l *targetLimits) merge(u targetstatus.Update) (c targetstatus.Change, changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, changed = l.apply(u)
	if l.registry.Limit(u.Incarnation) != u.Limit || l.registry.IsLeaving(u.Incarnation) && !u.Leaving {
		l.pending[u.Incarnation] = l.clock.Now()
	}
	return c, changed
}

// allowReport reports whether a report may be asked for at once, and counts that.
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
	c, changed := l.registry.Take(u)
	if changed {
		l.limited.Store(int32(l.registry.Limited()))
	}
	return c, changed
}

// limit returns a target's limit.
func (l *targetLimits) limit(target string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Limit(target)
}

// isLeaving reports whether a target reported that it leaves.
func (l *targetLimits) isLeaving(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.IsLeaving(target)
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
	lives := slices.SortedFunc(maps.Keys(l.pending), func(a, b string) int { return l.pending[b].Compare(l.pending[a]) })
	var out []*wire.TargetLimit
	for _, life := range lives[:min(len(lives), maxReportedTargets)] {
		out = append(out, targetstatus.Messages(now, l.registry.Updates(life))...)
	}
	return out
}

func (l *targetLimits) setBoxes(names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fallback.SetBoxes(names)
}

// prune forgets targets whose lives are over.
func (l *targetLimits) prune(now time.Time, lives func(life string) bool) {
	l.permits.prune(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registry.Keep(now, lives)
	maps.DeleteFunc(l.pending, func(life string, _ time.Time) bool { return !lives(life) })
	l.fallback.Keep(func(life string) bool { return l.registry.HasLimit(life) })
	l.limited.Store(int32(l.registry.Limited()))
}

// acquirePermit returns a acquirePermit to send a request to a target, for which it may wait. The error
// tells why there is none.
func (l *targetLimits) acquirePermit(ctx context.Context, life string, wait time.Duration) (until time.Time, err error) {
	if wait <= 0 {
		if until, ok := l.permits.tryAcquire(life); ok {
			return until, nil
		}
		return until, errPermitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if until, err = l.permits.acquire(ctx, life); err == nil {
		return until, nil
	}
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		return until, over
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if until, ok := l.fallback.Take(l.clock.Now(), life, l.registry.Limit(life)); ok {
		return until, nil
	}
	return time.Time{}, err
}

// throttleTimeAfter is for how long a target gets nothing for which there was no permit.
func throttleTimeAfter(err error) time.Duration {
	var over *quota.OverLimitError
	if errors.As(err, &over) {
		return max(over.Room, minThrottleTime)
	}
	return throttleTime
}

// permittedChoice is a target that a request is to be sent to, and until when its permit may be
// used; zero if it needs none.
type permittedChoice struct {
	balance.Choice
	permitExpiry time.Time
}

// choosePermittedTarget chooses a target. A rate-limited one is skipped without a permit,
// for which it waits no longer than a time.
func (c *callerRequest) choosePermittedTarget(ctx context.Context, wait time.Duration) (permittedChoice, error) {
	waitEnds := c.gateway.permitWaitDeadline(wait)
	for {
		wanted := c.balanceRequest()
		wanted.Unlimited = len(c.skippedLimited) >= maxSkippedFor(wanted)
		choice, err := c.gateway.choose(wanted)
		if err != nil || !choice.Limited {
			return permittedChoice{Choice: choice}, err
		}
		began := c.gateway.clock.Now()
		until, err := c.gateway.targetLimits.acquirePermit(ctx, choice.Target.ID, waitEnds.Sub(began))
		c.targetPermitWait += c.gateway.clock.Since(began)
		if err == nil {
			c.gateway.metrics.targetPermits.Inc()
			return permittedChoice{choice, until}, nil
		}
		c.skipLimitedTarget(choice, err)
	}
}

func maxSkippedFor(r balance.Request) int {
	if r.Key != "" {
		return maxSkippedLimitedObject
	}
	return maxSkippedLimited
}

// returnPermit gives a permit back with which nothing was sent.
func (d *Daemon) returnPermit(choice permittedChoice) {
	if !choice.permitExpiry.IsZero() {
		d.targetLimits.permits.release(choice.Target.ID, choice.permitExpiry)
	}
}

func (d *Daemon) permitWaitDeadline(wait time.Duration) time.Time {
	if d.targetLimits.limited.Load() == 0 {
		return time.Time{} // the usual request needs no time
	}
	return d.clock.Now().Add(wait)
}

// skipLimitedTarget takes a choice back for which there is no permit.
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

// mergeUpdates takes what targets said to other boxes.
func (d *Daemon) mergeUpdates(list []*wire.TargetLimit) {
	now := d.clock.Now()
	for _, m := range list {
		if change, changed := d.targetLimits.merge(targetstatus.UpdateOf(now, m)); changed {
			d.applyChange(change, "")
		}
	}
}

// applyChange has the balancer use what became known of a target; request is the id of the
// request whose answer said so, empty where it was another box's.
func (d *Daemon) applyChange(c targetstatus.Change, request string) {
	d.balancing.Lock()
	// Another change may have been reported meanwhile: what is known now counts.
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
	if !d.otherLineLimit.Take(d.clock.Now()) {
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
	line.Msg("target reports no rate limit any more")
}

func (d *Daemon) logLeaving(c targetstatus.Change, request string) {
	d.metrics.targetsLeaving.Inc()
	if !d.otherLineLimit.Take(d.clock.Now()) {
		return
	}
	line := d.log.Info().Str("kind", "targetLeaving").Str("target", c.Incarnation)
	if request != "" {
		line = line.Str("request", request)
	}
	line.Msg("target reported that it leaves")
}
