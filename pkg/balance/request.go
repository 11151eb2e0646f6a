package balance

import (
	"fmt"
	"slices"
	"time"
)

// Request is what a target is sought for.
type Request struct {
	Service string
	// Route names the route, whose service times are learned.
	Route string
	// AffinityKey is the object that the request is about; empty if it does not matter
	// which target has seen it.
	AffinityKey string
	// Regions are the only ones that may serve it; all if it is empty.
	Regions []string
	// PreferLocal prefers targets of the box's zone, for answers that are large.
	PreferLocal bool
	// Objective is the latency at which the answer is still on time, and Left
	// what remains of it.
	Objective time.Duration
	Remaining time.Duration
	// ExcludeLimited leaves out targets that name limits.
	ExcludeLimited bool
	// Tried are the targets that it was sent to before.
	Tried []string
}

// Choice is the target that a request is to be sent to. Done must follow.
type Choice struct {
	Target Target
	// Limited tells that the target names a limit. Without a permit of it the choice must
	// be taken back by ThrottleUntil.
	Limited bool
	// Remote tells that the target is in another region.
	Remote bool
	// ExpectedWait is how long the request is thought to wait for a slot there.
	ExpectedWait time.Duration
	// HedgeDelay is how long to wait for the answer before another target is
	// sought beside this one, which may be stuck.
	HedgeDelay time.Duration
	// Load is what the target was thought to have.
	Load float64
	// Version is that of the state whose targets and evacuations the choice went by.
	Version uint64
	// Skipped is the target that would have been chosen, had it not asked this box for a
	// back-off; empty for none.
	Skipped string
}

// NoTargetError says why no target can run a request in time.
type NoTargetError struct {
	Service string
	Reason  string
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
	// Registered is how many targets the service has.
	Registered int
	// BackedOff is how many targets this box backs off from.
	BackedOff int
	// Target is the one with the shortest wait, if any can be used, or the one that can be
	// used first; Load is how
	// many requests it was thought to have, Wait for how long one more would wait
	// there, and Longest for how long it may.
	Target       string
	Load         float64
	Slots        int
	ExpectedWait time.Duration
	MaxWait      time.Duration
	// ServiceLoad is the mean load of the service's targets, in requests a slot.
	ServiceLoad float64
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of %s: %s; try again in %s", e.Service, e.Reason, e.RetryAfter)
}

// Reasons of a NoTargetError.
const (
	ReasonNone = "none can be used"
	ReasonFull = "all are full"
	// ReasonLimited: those that could be used name limits, which leave no room now.
	ReasonLimited = "all are at their limits"
	// ReasonBackedOff: those that could be used asked this box for a back-off.
	ReasonBackedOff = "all asked for a back-off"
)

// allows reports whether a target is one that the request may be sent to.
func (r Request) allows(t *targetState) bool {
	if r.ExcludeLimited && t.limited {
		return false
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, t.Region) {
		return false
	}
	return !slices.Contains(r.Tried, t.ID)
}
