package balance

import (
	"fmt"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/rollout"
)

// Request describes a request that a target is to be chosen for.
type Request struct {
	Service string
	// Route is the name of the route. Service times are learned per route.
	Route string
	// AffinityKey identifies the object that the request is about. It is empty if any target serves
	// the request equally well.
	AffinityKey string
	// Regions restricts the request to targets of these regions; empty allows all.
	Regions []string
	// PreferLocal prefers targets of the box's zone, then of its region. It is set for large
	// responses.
	PreferLocal bool
	// Objective is the latency objective of the request, and Remaining the time left until it.
	Objective time.Duration
	Remaining time.Duration
	// WaitShare is the share of the request's spare time that it may wait for a slot: zero for the
	// usual 0.75, negative if it must not wait.
	WaitShare float64
	// ExcludeLimited excludes targets that report a rate limit.
	ExcludeLimited bool
	// Tried holds the IDs of targets that were tried before.
	Tried []string
	// Reached holds the names of targets that may have received the request. They are excluded in
	// all incarnations: a box learns of a restart only after the new incarnation has begun to
	// receive what is sent to the previous one.
	Reached []string
	// versions restricts the request to targets of some versions during a roll-out.
	versions rollout.Versions
}

// Choice is the target to send a request to. It must be followed by Done, Release or ThrottleUntil.
type Choice struct {
	Target Target
	// Limited is set if the target reports a rate limit. Without a permit for it, the choice must
	// be taken back with ThrottleUntil.
	Limited bool
	// Remote is set if the target is in another region.
	Remote bool
	// Home is set if the request has an affinity key, no target was tried before, and the target is its
	// home, which has probably cached the object.
	Home bool
	// ExpectedWait is how long the request is expected to wait for a slot.
	ExpectedWait time.Duration
	// HedgeDelay is how long to wait for a response before the request is hedged to another target,
	// because this one may be stuck.
	HedgeDelay time.Duration
	// Load is the target's estimated load before this request.
	Load float64
	// Version is the version of the state that the choice was based on.
	Version uint64
	// LocalShare is the share of the service's objects whose home is in the box's own region; zero if
	// the objects are not divided between regions. Overflowed is set if the request runs in another
	// region than its object's home because that is full.
	LocalShare float64
	Overflowed bool
	// Skipped is the ID of the target that would have been chosen if it had not asked this box for
	// a back-off; empty for none.
	Skipped string
}

// NoTargetError reports why no target can run a request in time.
type NoTargetError struct {
	Service string
	Reason  string
	// RetryAfter is when a target may be usable again.
	RetryAfter time.Duration
	// Registered is the number of registered targets of the service.
	Registered int
	// BackedOff is the number of targets that this box is backing off from.
	BackedOff int
	// Target is the usable target with the shortest wait, or else the one that may be usable first.
	// Load is its estimated load, ExpectedWait how long one more request would wait there, and
	// MaxWait how long it may.
	Target       string
	Load         float64
	Slots        int
	ExpectedWait time.Duration
	MaxWait      time.Duration
	// ServiceLoad is the mean load of the service's targets, in requests per slot.
	ServiceLoad float64
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("no target of %s: %s; try again in %s", e.Service, e.Reason, e.RetryAfter)
}

// The reasons of a NoTargetError.
const (
	ReasonNone = "none can be used"
	ReasonFull = "all are full"
	// ReasonLimited: the targets that could be used have rate limits, which are used up.
	ReasonLimited = "all are at their limits"
	// ReasonBackedOff: the targets that could be used asked this box for a back-off.
	ReasonBackedOff = "all asked for a back-off"
)

// allows reports whether the request may be sent to a target at all.
func (r Request) allows(t *targetState) bool {
	if r.ExcludeLimited && t.limited || !r.versions.Contains(t.Software) {
		return false
	}
	if len(r.Regions) > 0 && !slices.Contains(r.Regions, t.Region) {
		return false
	}
	return !slices.Contains(r.Tried, t.ID) && !slices.Contains(r.Reached, t.Name)
}
