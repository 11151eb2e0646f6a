// Package lease gives one process at a time the right to use a pool of
// targets, by majority of a few voters that keep nothing on disk.
//
// A Voter promises a pool to one holder for a time and forgets the promise
// when it restarts; it therefore grants nothing until the longest lease has
// passed since its start. A Holder counts its lease from before it asked and
// gives it up a margin early, so that it has stopped when the voters' promises
// end. Both are state machines without I/O.
package lease

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// MaxDuration is the longest lease that may be asked for. A voter that has
// just started grants nothing for this long.
const MaxDuration = time.Minute

// maxPools bounds the memory of a voter.
const maxPools = 100_000

// drift is the part of a lease that a holder gives up early, against clocks
// that run at different speeds.
const drift = 10

type grant struct {
	holder      string
	incarnation string
	ballot      uint64
	until       time.Time
}

func (g grant) isFor(m *wire.LeaseRequest) bool {
	return g.holder == m.Holder && g.incarnation == m.Incarnation
}

// Voter is one voter on the leases of its availability zone.
type Voter struct {
	name    string
	quietTo time.Time
	longest time.Duration
	grants  map[string]grant
}

// NewVoter returns a voter that starts at now. No process may ever have asked
// this voter's predecessor for a lease longer than longest.
func NewVoter(now time.Time, name string, longest time.Duration) *Voter {
	return &Voter{name: name, quietTo: now.Add(longest), longest: longest, grants: make(map[string]grant)}
}

// Handle answers a request that has arrived at now.
func (v *Voter) Handle(now time.Time, m *wire.LeaseRequest) *wire.LeaseAnswer {
	held, ok := v.grants[m.Pool]
	if ok && !now.Before(held.until) {
		delete(v.grants, m.Pool)
		ok = false
	}
	if m.Release {
		if ok && held.isFor(m) && held.ballot <= m.Ballot {
			delete(v.grants, m.Pool)
		}
		return &wire.LeaseAnswer{Pool: m.Pool, Voter: v.name, Ballot: m.Ballot}
	}
	if ok && !held.isFor(m) {
		return v.refuse(m, held, held.until.Sub(now))
	}
	if now.Before(v.quietTo) {
		return v.refuse(m, grant{}, v.quietTo.Sub(now))
	}
	duration := time.Duration(m.DurationMilli) * time.Millisecond
	if duration <= 0 || duration > v.longest || len(v.grants) >= maxPools {
		return v.refuse(m, grant{}, 0)
	}
	v.grants[m.Pool] = grant{
		holder:      m.Holder,
		incarnation: m.Incarnation,
		ballot:      max(m.Ballot, held.ballot),
		until:       later(held.until, now.Add(duration)),
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

// Holder returns who holds a pool as far as this voter knows.
func (v *Voter) Holder(now time.Time, pool string) (name string, ok bool) {
	g, ok := v.grants[pool]
	if !ok || !now.Before(g.until) {
		return "", false
	}
	return g.holder, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
