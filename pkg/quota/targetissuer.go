package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// What all boxes together send to a target that names a limit L, in any span of W:
//
//	L*(W + targetLife) + issuers + L*targetDepth   with permits,
//	aloneShare*L*W + 1                             without control,
//
// which for W = 4 s is 5.8*L + 4. Of a limit below leastTargetRate it is at most 5, as only
// whole permits come of each of the issuers and of the one box. Each permit is used once,
// within targetLife from its ask on; a bucket starts empty, so that an issuer that starts
// anew adds nothing; a permit that is lost or late is not used. A replica that was let go and
// does not know it adds a third of the first line.
const (
	// targetIssuers is how many control replicas issue for one target: the loss of one
	// leaves two thirds of its limit, and a box of a region has one near more often than
	// with fewer. Each holds a permit ready, so that more of them would add to bursts.
	targetIssuers = 3
	// targetLife is how long a permit may be used. It bears two ways between regions.
	targetLife = 500 * time.Millisecond
	// targetDepth is for how long permits gather that nobody asks for, beyond one at each
	// issuer. They bear requests that come together.
	targetDepth = 500 * time.Millisecond
	// leastTargetRate is the least limit that is gone by, in requests a second: a target
	// that gets nothing has no answer in which to take its limit back.
	leastTargetRate = 0.5
)

// TargetIssuers returns those of a list of replicas that issue the permits of a target.
func TargetIssuers(life string, replicas []string) []string {
	return topRanked(life, replicas, targetIssuers)
}

// topRanked returns the names that rank highest for a target by rendezvous hashing.
func topRanked(life string, names []string, count int) []string {
	if len(names) <= count {
		return names
	}
	type ranked struct {
		name string
		rank uint64
	}
	all := make([]ranked, 0, len(names))
	for _, name := range names {
		all = append(all, ranked{name, xxhash.Sum64String(life + "\x00" + name)})
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	out := make([]string, 0, count)
	for _, r := range all[:count] {
		out = append(out, r.name)
	}
	return out
}

// partOfTarget is what one of a number of issuers may issue of a target's limit.
func partOfTarget(perSecond float64, issuers int) part {
	rate := max(perSecond, leastTargetRate) / float64(issuers)
	return part{rate: rate, depth: 1 + rate*targetDepth.Seconds(), life: targetLife}
}

// TargetIssuer issues, at one control replica, permits of targets that name limits. It is
// not safe for concurrent use.
type TargetIssuer struct {
	own      string
	replicas []string
	known    *targetstatus.Registry
	buckets  map[string]*bucket
	tallies  map[string]*TargetCounters
}

// TargetCounters counts the permits of one target that a replica issued, and the asks that
// got none.
type TargetCounters struct {
	Issued  uint64
	Refused uint64
}

// NewTargetIssuer returns the issuer of a replica that other processes know by an address.
func NewTargetIssuer(own string) *TargetIssuer {
	return &TargetIssuer{own: own, known: targetstatus.NewRegistry(), buckets: make(map[string]*bucket), tallies: make(map[string]*TargetCounters)}
}

// Targets is what the replica knows of targets.
func (i *TargetIssuer) Targets() *targetstatus.Registry { return i.known }

// SetReplicas takes the addresses of all replicas.
func (i *TargetIssuer) SetReplicas(now time.Time, addresses []string) {
	if slices.Equal(addresses, i.replicas) {
		return
	}
	i.replicas = slices.Clone(addresses)
	for life := range i.buckets {
		i.resize(now, life)
	}
}

// Apply takes an update of a target and reports whether it changed what is known.
func (i *TargetIssuer) Apply(now time.Time, u targetstatus.Update) (c targetstatus.Change, changed bool) {
	c, changed = i.known.Take(u)
	if changed {
		i.resize(now, u.Incarnation)
	}
	return c, changed
}

// resize has a target's bucket follow its limit and the issuers.
func (i *TargetIssuer) resize(now time.Time, life string) {
	issuers := TargetIssuers(life, i.replicas)
	if !i.known.HasLimit(life) || !slices.Contains(issuers, i.own) {
		delete(i.buckets, life)
		return
	}
	p := partOfTarget(i.known.Limit(life), len(issuers))
	if b := i.buckets[life]; b != nil {
		b.resize(now, p)
		return
	}
	i.buckets[life] = &bucket{part: p, at: now}
}

// Issue answers what a box asks for targets.
func (i *TargetIssuer) Issue(now time.Time, asks []SubjectRequest) []Grant {
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		g := i.grant(now, a)
		i.count(g)
		out = append(out, g)
	}
	return out
}

func (i *TargetIssuer) grant(now time.Time, a SubjectRequest) Grant {
	if b := i.buckets[a.Subject]; b != nil {
		return b.grant(now, a)
	}
	if i.known.HasLimit(a.Subject) {
		return Grant{Subject: a.Subject, RetryAfter: longestWait} // others issue its permits
	}
	return Grant{Subject: a.Subject, Count: a.Count, TTL: targetLife}
}

func (i *TargetIssuer) count(g Grant) {
	t := i.tallies[g.Subject]
	if t == nil {
		t = &TargetCounters{}
		i.tallies[g.Subject] = t
	}
	if g.Count == 0 {
		t.Refused++
		return
	}
	t.Issued += uint64(g.Count)
}

// Counters returns what was issued of a target's permits since it first named a limit.
func (i *TargetIssuer) Counters(life string) TargetCounters {
	if t := i.tallies[life]; t != nil {
		return *t
	}
	return TargetCounters{}
}

// Prune forgets targets whose lives are over.
func (i *TargetIssuer) Prune(now time.Time, lives func(life string) bool) {
	i.known.Keep(now, lives)
	for life := range i.tallies {
		if !lives(life) {
			delete(i.tallies, life)
			delete(i.buckets, life)
		}
	}
}
