// Package lease grants one process at a time the exclusive use of a pool of targets, by
// a majority of a few voters that store nothing on disk.
//
// A Voter grants a pool to one holder for a limited time. It forgets its grants when it
// restarts, so after a start it grants nothing until the longest possible lease has
// expired. A Holder counts its lease from before it sent the request and ends it a
// margin early, so that it has stopped before the voters' grants expire. Both are state
// machines without I/O.
package lease

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// MaxDuration is the longest lease that a holder may request, and so the longest time
// for which a voter grants nothing after its start.
const MaxDuration = time.Minute

// maxPools limits the memory of a voter.
const maxPools = 100_000

// marginDivisor sets the part of a lease that a holder gives up early, a tenth, since
// clocks may run at different speeds.
const marginDivisor = 10

type grant struct {
	holder      string
	incarnation string
	ballot      uint64
	until       time.Time
}

func (g grant) isHeldBy(m *wire.LeaseRequest) bool {
	return g.holder == m.Holder && g.incarnation == m.Incarnation
}

// Voter grants leases on the pools of its availability zone.
type Voter struct {
	name        string
	refuseUntil time.Time
	maxDuration time.Duration
	grants      map[string]grant
}

// NewVoter returns a voter that starts at now. No process may ever have requested a
// lease longer than maxDuration from an earlier incarnation of this voter.
func NewVoter(now time.Time, name string, maxDuration time.Duration) *Voter {
	return &Voter{name: name, refuseUntil: now.Add(maxDuration), maxDuration: maxDuration, grants: make(map[string]grant)}
}

// Handle answers a request received at now.
func (v *Voter) Handle(now time.Time, m *wire.LeaseRequest) *wire.LeaseAnswer {
	held, ok := v.grants[m.Pool]
	if ok && !now.Before(held.until) {
		delete(v.grants, m.Pool)
		ok = false
	}
	if m.Release {
		if ok && held.isHeldBy(m) && held.ballot <= m.Ballot {
			delete(v.grants, m.Pool)
		}
		return &wire.LeaseAnswer{Pool: m.Pool, Voter: v.name, Ballot: m.Ballot}
	}
	if ok && !held.isHeldBy(m) {
		return v.refuse(m, held, held.until.Sub(now))
	}
	if now.Before(v.refuseUntil) {
		return v.refuse(m, grant{}, v.refuseUntil.Sub(now))
	}
	duration := time.Duration(m.DurationMilli) * time.Millisecond
	if duration <= 0 || duration > v.maxDuration || len(v.grants) >= maxPools {
		return v.refuse(m, grant{}, 0)
	}
	v.grants[m.Pool] = grant{
		holder:      m.Holder,
		incarnation: m.Incarnation,
		ballot:      max(m.Ballot, held.ballot),
		until:       latest(held.until, now.Add(duration)),
	}
	return &wire.LeaseAnswer{Pool: m.Pool, Voter: v.name, Ballot: m.Ballot, Granted: true, Holder: m.Holder, Incarnation: m.Incarnation}
}

func (v *Voter) refuse(m *wire.LeaseRequest, held grant, remaining time.Duration) *wire.LeaseAnswer {
	return &wire.LeaseAnswer{
		Pool:           m.Pool,
		Voter:          v.name,
		Ballot:         m.Ballot,
		Holder:         held.holder,
		Incarnation:    held.incarnation,
		RemainingMilli: remaining.Milliseconds(),
	}
}

// Holder returns the holder of a pool that this voter knows of.
func (v *Voter) Holder(now time.Time, pool string) (name string, ok bool) {
	g, ok := v.grants[pool]
	if !ok || !now.Before(g.until) {
		return "", false
	}
	return g.holder, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
