// Package routing decides how a request goes from place to place: the pool of
// its own availability zone, then other zones, best first. A Failover is a state
// machine without I/O.
package routing

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/retry"
)

// MaxPools bounds the places that one request is offered to.
const MaxPools = 3

// Config is what is known of a request when it begins.
type Config struct {
	// Pools is how many places there are.
	Pools int
	// AtOrigin is true at the box that took the request from its caller; only
	// there does it go on to another place.
	AtOrigin   bool
	Repeatable bool
	Deadline   time.Time
}

// NoWait reports whether the first place is to be asked for a slot without
// waiting: at the box that took the request from its caller, when the next
// place is another zone of the same region, which is near and may have a slot
// free. There the request may wait.
func (c Config) NoWait(place int, nextIsNear bool) bool {
	return c.AtOrigin && place == 0 && c.Pools > 1 && nextIsNear
}

// Result is what a place made of the request.
type Result struct {
	Verdict retry.Verdict
	// RetryAfter is when the place would have the caller come back.
	RetryAfter time.Duration
	// Final marks a refusal that every other place would repeat.
	Final bool
}

// Decision is what to do after a place has answered.
type Decision struct {
	// TryNext is true if the following place is to be tried.
	TryNext bool
	// KeepResult is true if the new answer takes the place of the one before.
	KeepResult bool
}

// Failover takes one request from place to place.
type Failover struct {
	config Config
	budget *retry.Budget
	tried  int
	last   Result
}

// NewFailover returns the failover of a request that is sent to its first place.
func NewFailover(c Config, b *retry.Budget) *Failover { return &Failover{config: c, budget: b} }

// HandleResult takes the answer of the present place. A place that surely did not run
// the request lets the next one have it; one that may have run it does so only
// if the request is repeatable and the retry budget allows it.
func (f *Failover) HandleResult(now time.Time, r Result) Decision {
	first := f.tried == 0
	f.tried++
	keep := first || !f.worse(r)
	if keep {
		f.last = r
	}
	return Decision{TryNext: f.canRetry(now, r), KeepResult: keep}
}

// worse reports whether the answer before is to be kept: one that says that the
// request may have run, which a later refusal can't undo, or of two refusals
// the one that lets the caller come back sooner.
func (f *Failover) worse(r Result) bool {
	if f.last.Verdict == retry.Unknown && r.Verdict == retry.DidNotRun {
		return true
	}
	bothRefused := f.last.Verdict == retry.DidNotRun && r.Verdict == retry.DidNotRun
	return bothRefused && f.last.RetryAfter > 0 && f.last.RetryAfter < r.RetryAfter
}

func (f *Failover) canRetry(now time.Time, r Result) bool {
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
