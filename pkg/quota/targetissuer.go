package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// All boxes together send a target with a limit of L requests per second, in any span
// of W seconds, at most
//
//	L*(W + targetPermitTTL) + issuers + L*targetBurstTime   with permits,
//	fallbackShare*L*W + 1                                   without control,
//
// which is 5.8*L + 4 for W = 4 s. Below minTargetRate the total is at most 5, because
// each issuer and the one fallback box hand out whole permits only. Each permit is used
// once, within targetPermitTTL of its request. A bucket starts empty, so that an issuer
// that restarts adds nothing, and a permit that is lost or late is not used. A replica that
// was removed and does not know it adds a third of the first line.
const (
	// targetIssuers is how many control replicas issue permits for one target. The loss of
	// one leaves two thirds of the limit, and a box has an issuer in its region more often
	// than with fewer. Each issuer keeps a permit ready, so that more of them would add to
	// bursts.
	targetIssuers = 3
	// targetPermitTTL is the lifetime of a permit. It covers two one-way trips between
	// regions.
	targetPermitTTL = 500 * time.Millisecond
	// targetBurstTime bounds for how long unclaimed permits accumulate, beyond one at each
	// issuer. They absorb bursts of requests.
	targetBurstTime = 500 * time.Millisecond
	// minTargetRate is the lowest limit that is enforced, in requests per second: a target
	// that gets no requests has no response in which to withdraw its limit.
	minTargetRate = 0.5
)

// TargetIssuers returns the replicas, out of a list, that issue permits for a target.
func TargetIssuers(incarnation string, replicas []string) []string {
	return topRanked(incarnation, replicas, targetIssuers)
}

// topRanked returns the names that rank highest for a target by rendezvous hashing.
func topRanked(incarnation string, names []string, count int) []string {
	if len(names) <= count {
		return names
	}
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, 0, len(names))
	for _, name := range names {
		all = append(all, ranked{name, xxhash.Sum64String(incarnation + "\x00" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]string, 0, count)
	for _, r := range all[:count] {
		out = append(out, r.name)
	}
	return out
}

// targetBucketConfig divides a target's limit among its issuers.
func targetBucketConfig(perSecond float64, issuers int) bucketConfig {
	rate := max(perSecond, minTargetRate) / float64(issuers)
	return bucketConfig{rate: rate, burst: 1 + rate*targetBurstTime.Seconds(), ttl: targetPermitTTL}
}

// TargetIssuer issues, at one control replica, permits for targets that report rate
// limits. It is not safe for concurrent use.
type TargetIssuer struct {
	address  string
	replicas []string
	registry *targetstatus.Registry
	buckets  map[string]*bucket
	counters map[string]*TargetCounters
}

// TargetCounters counts the permits that a replica issued for one target, and the
// requests for permits that got none.
type TargetCounters struct {
	Issued  uint64
	Refused uint64
}

// NewTargetIssuer returns the issuer of the replica with the given address.
func NewTargetIssuer(address string) *TargetIssuer {
	return &TargetIssuer{address: address, registry: targetstatus.NewRegistry(), buckets: make(map[string]*bucket), counters: make(map[string]*TargetCounters)}
}

// Targets returns the registry of what targets reported.
func (i *TargetIssuer) Targets() *targetstatus.Registry { return i.registry }

// SetReplicas sets the addresses of all replicas.
func (i *TargetIssuer) SetReplicas(now time.Time, addresses []string) {
	if slices.Equal(addresses, i.replicas) {
		return
	}
	i.replicas = slices.Clone(addresses)
	for incarnation := range i.buckets {
		i.resize(now, incarnation)
	}
}

// Apply applies an update of a target and reports whether it changed anything.
func (i *TargetIssuer) Apply(now time.Time, u targetstatus.Update) (c targetstatus.Change, changed bool) {
	c, changed = i.registry.Apply(u)
	if changed {
		i.resize(now, u.Incarnation)
	}
	return c, changed
}

// resize adapts a target's bucket to its limit and its issuers.
func (i *TargetIssuer) resize(now time.Time, incarnation string) {
	issuers := TargetIssuers(incarnation, i.replicas)
	if !i.registry.HasLimit(incarnation) || !slices.Contains(issuers, i.address) {
		delete(i.buckets, incarnation)
		return
	}
	config := targetBucketConfig(i.registry.Limit(incarnation), len(issuers))
	if b := i.buckets[incarnation]; b != nil {
		b.resize(now, config)
		return
	}
	i.buckets[incarnation] = &bucket{bucketConfig: config, refilledAt: now}
}

// Issue answers a box's requests for permits of targets.
func (i *TargetIssuer) Issue(now time.Time, requests []SubjectRequest) []Grant {
	out := make([]Grant, 0, len(requests))
	for _, r := range requests {
		g := i.grant(now, r)
		i.recordGrant(g)
		out = append(out, g)
	}
	return out
}

func (i *TargetIssuer) grant(now time.Time, r SubjectRequest) Grant {
	if b := i.buckets[r.Subject]; b != nil {
		return b.grant(now, r)
	}
	if i.registry.HasLimit(r.Subject) {
		return Grant{Subject: r.Subject, RetryAfter: maxRetryAfter} // other replicas issue its permits
	}
	return Grant{Subject: r.Subject, Count: r.Count, TTL: targetPermitTTL}
}

func (i *TargetIssuer) recordGrant(g Grant) {
	t := i.counters[g.Subject]
	if t == nil {
		t = &TargetCounters{}
		i.counters[g.Subject] = t
	}
	if g.Count == 0 {
		t.Refused++
		return
	}
	t.Issued += uint64(g.Count)
}

// Counters returns the counters of a target since it first reported a limit.
func (i *TargetIssuer) Counters(incarnation string) TargetCounters {
	if t := i.counters[incarnation]; t != nil {
		return *t
	}
	return TargetCounters{}
}

// Prune removes targets that are no longer registered.
func (i *TargetIssuer) Prune(now time.Time, isRegistered func(incarnation string) bool) {
	i.registry.Prune(now, isRegistered)
	for incarnation := range i.counters {
		if !isRegistered(incarnation) {
			delete(i.counters, incarnation)
			delete(i.buckets, incarnation)
		}
	}
}
