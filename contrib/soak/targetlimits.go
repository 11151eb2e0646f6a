package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Rate-limited targets report a limit: how many requests a second they accept from all
// boxes together.
const (
	// targetLimitExcess (a factor) and targetLimitSlack (requests) are the tolerance over the
	// limit in each targetLimitWindow.
	targetLimitWindow = 4 * time.Second
	targetLimitExcess = 1.5
	targetLimitSlack  = 5
	// minLimitedTime and maxLimitedTime bound how long a fault keeps a target rate-limited.
	minLimitedTime = targetLimitWindow + propagationBound
	maxLimitedTime = 2 * minLimitedTime
	// severalLimited is how many targets are rate-limited at once if the seed is a multiple
	// of it; otherwise one is.
	severalLimited = 3
	// targetPollInterval is how often the running targets are looked up, for instance to
	// replace a rate-limited one that has stopped.
	targetPollInterval = 200 * time.Millisecond
)

// limitPeriod is a time span in which a target reported one limit.
type limitPeriod struct {
	target   *standin.PlatformTarget
	limit    float64
	from, to time.Time
}

// claimTarget reserves a target for one kind of fault. It reports false if the target is
// reserved already.
func (h *harness) claimTarget(t *standin.PlatformTarget) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claimedTargets[t.ID] {
		return false
	}
	h.claimedTargets[t.ID] = true
	return true
}

// startLimit makes a target report a limit. The returned function records the end of the
// period.
func (h *harness) startLimit(t *standin.PlatformTarget, perSecond float64) (end func()) {
	n := limitPeriod{target: t, limit: perSecond, from: time.Now()}
	t.SetLimit(fmt.Sprint(perSecond))
	return func() {
		n.to = time.Now()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.limitPeriods = append(h.limitPeriods, n)
	}
}

// rateLimitTarget makes a target report a limit for a while, lower it, and withdraw it.
func (h *harness) rateLimitTarget(r *rand.Rand) {
	h.mu.Lock()
	t := pick(r, h.targets)
	h.mu.Unlock()
	if !h.claimTarget(t) {
		return
	}
	for _, limit := range []float64{12, 3} {
		end := h.startLimit(t, limit)
		time.Sleep(randomDuration(r, minLimitedTime, maxLimitedTime))
		end()
	}
	t.SetLimit("")
}

// keepRateLimited keeps one target, or severalLimited, rate-limited until the context ends.
// A target that drains or stops is replaced by another.
func (h *harness) keepRateLimited(ctx context.Context) {
	count := 1
	if h.seed%severalLimited == 0 {
		count = severalLimited
	}
	active := make(map[*standin.PlatformTarget]func())
	for ctx.Err() == nil {
		for t, end := range active {
			if !t.IsServing() {
				end()
				delete(active, t)
			}
		}
		for _, t := range h.servingTargets() {
			if len(active) < count && h.claimTarget(t) {
				active[t] = h.startLimit(t, 6)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(targetPollInterval):
		}
	}
	for _, end := range active {
		end()
	}
}

func (h *harness) servingTargets() (out []*standin.PlatformTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.targets {
		if t.IsServing() {
			out = append(out, t)
		}
	}
	return out
}

// checkTargetLimits checks how many requests reached rate-limited targets, starting
// propagationBound after they first reported the limit.
func (h *harness) checkTargetLimits() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.limitPeriods {
		var arrivals []time.Time
		for _, a := range n.target.Arrivals() {
			if a.At.After(n.from.Add(propagationBound)) && a.At.Before(n.to) {
				arrivals = append(arrivals, a.At)
			}
		}
		allowed := int(targetLimitExcess*n.limit*(targetLimitWindow+maxHoldTime).Seconds() + targetLimitSlack)
		first := 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) > targetLimitWindow {
				first++
			}
			if got := i - first + 1; got > allowed {
				h.violations.add("%s reported a limit of %v requests a second and got %d in %s, allowed are %d", n.target.ID, n.limit, got, targetLimitWindow, allowed)
				break
			}
		}
	}
}
