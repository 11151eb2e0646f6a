package admission

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

const (
	// grantShare is the share of a target's rate limit that its pool grants to requests, and
	// healthCheckShare the most that health checks may use.
	grantShare       = 0.9
	healthCheckShare = 0.1
	// burstInterval is the interval over which unused tokens accumulate, in addition to one token.
	burstInterval = 500 * time.Millisecond
	// minLimit is the lowest rate limit that is applied, in requests per second. A target that gets
	// no requests has no response in which to withdraw its limit.
	minLimit = 0.5
	// minHealthCheckInterval is the shortest time between two health checks of a rate-limited
	// target.
	minHealthCheckInterval = time.Second
)

// rateLimiter enforces the rate limit that a target reports for all boxes together. Since the
// pool's lease holder admits for all boxes, a token bucket of its own suffices: within any time T
// it grants at most limit * (grantShare+healthCheckShare) * (T+burstInterval) + 2 requests and
// health checks. A new lease holder starts with an empty bucket when the target reports its limit.
type rateLimiter struct {
	shared     targetstatus.SharedState
	tokens     float64
	refilledAt time.Time
	checkedAt  time.Time
}

func newRateLimiter(target string) rateLimiter {
	return rateLimiter{shared: targetstatus.SharedState{Incarnation: target}}
}

// apply applies an update of the target.
func (r *rateLimiter) apply(now time.Time, u targetstatus.Update) {
	had := r.hasLimit()
	r.shared = r.shared.With(u)
	if r.hasLimit() && !had {
		r.tokens = 0
		r.refilledAt = now
		r.checkedAt = now
	}
}

func (r *rateLimiter) hasLimit() bool { return r.shared.Limit() < targetstatus.NoLimit }

func (r *rateLimiter) perSecond() float64 { return max(r.shared.Limit(), minLimit) }

// available returns how many requests the limit allows now.
func (r *rateLimiter) available(now time.Time) int {
	refillRate := grantShare * r.perSecond()
	if now.After(r.refilledAt) {
		r.tokens = min(r.tokens+refillRate*now.Sub(r.refilledAt).Seconds(), 1+refillRate*burstInterval.Seconds())
		r.refilledAt = now
	}
	return int(r.tokens)
}

// consume counts a granted request.
func (r *rateLimiter) consume() {
	if r.hasLimit() {
		r.tokens--
	}
}

// takeHealthCheck reports whether the target's health may be checked now, and counts the check if
// so.
func (r *rateLimiter) takeHealthCheck(now time.Time) bool {
	if !r.hasLimit() {
		return true
	}
	interval := time.Duration(float64(time.Second) / (healthCheckShare * r.perSecond()))
	if now.Sub(r.checkedAt) < max(interval, minHealthCheckInterval) {
		return false
	}
	r.checkedAt = now
	return true
}

// DueHealthChecks returns the targets whose health may be checked now, and counts the checks of
// those with rate limits.
func (p *Pool) DueHealthChecks(now time.Time) (names []string) {
	for _, t := range p.targets {
		if !t.removed && !t.backOff.IsActive(now) && t.limiter.takeHealthCheck(now) {
			names = append(names, t.name)
		}
	}
	return names
}

// HasLimitedTarget reports whether any target has a rate limit.
func (p *Pool) HasLimitedTarget() bool {
	return slices.ContainsFunc(p.targets, func(t *target) bool { return t.limiter.hasLimit() })
}

// totalRateLimit returns how many requests per second the pool can grant if all targets in service
// have rate limits. ok is false if one has none.
func (p *Pool) totalRateLimit(now time.Time) (perSecond float64, ok bool) {
	for _, t := range p.targets {
		if !t.inService(now) {
			continue
		}
		if !t.limiter.hasLimit() {
			return 0, false
		}
		perSecond += grantShare * t.limiter.perSecond()
		ok = true
	}
	return perSecond, ok
}

// rateLimitWait returns how long the targets' rate limits delay the request at the given
// position, counted from 1, among the waiting ones.
func (p *Pool) rateLimitWait(now time.Time, position int) time.Duration {
	perSecond, ok := p.totalRateLimit(now)
	if !ok {
		return 0
	}
	return time.Duration(float64(position) / perSecond * float64(time.Second))
}
