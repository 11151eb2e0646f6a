// Package routing decides how a request fails over between pools: first the pool of its own
// availability zone, then those of other zones, best first. A Failover is a state machine without
// I/O.
package routing

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/retry"
)

// MaxPools is the maximum number of pools that one request is offered to.
const MaxPools = 3

// Config describes a request at its start.
type Config struct {
	// Pools is the number of pools that the request may be offered to.
	Pools int
	// AtOrigin is set at the box that received the request from its caller. Only there does the
	// request fail over to another pool.
	AtOrigin   bool
	Repeatable bool
	Deadline   time.Time
}

// NoWait reports whether a pool is to be asked for a slot without waiting. That is the case for the
// first pool at the box that received the request from its caller, if the next pool is in another
// zone of the same region: it is nearby and may have a free slot. The request may wait at that next
// pool.
func (c Config) NoWait(pool int, nextInSameRegion bool) bool {
	return c.AtOrigin && pool == 0 && c.Pools > 1 && nextInSameRegion
}

// Result is the result of a request at a pool.
type Result struct {
	Verdict retry.Verdict
	// RetryAfter is when the caller may retry according to the pool.
	RetryAfter time.Duration
	// Final marks a refusal that every other pool would repeat.
	Final bool
}

// Decision tells what to do after a result.
type Decision struct {
	// TryNext is set if the request is to be sent to the next pool.
	TryNext bool
	// KeepResult is set if the new result replaces the one kept so far.
	KeepResult bool
}

// Failover carries one request through its pools.
type Failover struct {
	config Config
	budget *retry.Budget
	tried  int
	last   Result
}

// NewFailover returns the failover of a request that is sent to its first pool.
func NewFailover(c Config, b *retry.Budget) *Failover { return &Failover{config: c, budget: b} }

// HandleResult processes the result of the current pool. If the request certainly did not run
// there, it goes on to the next pool. If it may have run, it does so only if it is repeatable and
// the retry budget allows it.
func (f *Failover) HandleResult(now time.Time, r Result) Decision {
	first := f.tried == 0
	f.tried++
	keep := first || !f.keepsPrevious(r)
	if keep {
		f.last = r
	}
	return Decision{TryNext: f.mayTryNext(now, r), KeepResult: keep}
}

// keepsPrevious reports whether the previous result is better than r. That is the case if it says
// that the request may have run, which a later refusal cannot undo, and for the one of two refusals
// that lets the caller retry sooner.
func (f *Failover) keepsPrevious(r Result) bool {
	if f.last.Verdict == retry.Unknown && r.Verdict == retry.DidNotRun {
		return true
	}
	bothRefused := f.last.Verdict == retry.DidNotRun && r.Verdict == retry.DidNotRun
	return bothRefused && f.last.RetryAfter > 0 && f.last.RetryAfter < r.RetryAfter
}

func (f *Failover) mayTryNext(now time.Time, r Result) bool {
	if !f.config.AtOrigin || f.tried >= min(f.config.Pools, MaxPools) || !now.Before(f.config.Deadline) {
		return false
	}
	switch r.Verdict {
	case retry.DidNotRun:
		return !r.Final
	case retry.Unknown:
		return f.config.Repeatable && f.budget != nil && f.budget.Take()
	}
	return false
}
