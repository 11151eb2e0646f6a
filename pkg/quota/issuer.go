package quota

import (
	"fmt"
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// SubjectRequest is how many permits an entry box wants. Of names the workspace, or the life of the
// target, that they are of.
type SubjectRequest struct {
	Subject string
	Count   int
}

// Grant answers an Ask. Life is how long its permits may be used; Wait is when to
// ask again if there were none.
type Grant struct {
	Subject    string
	Count      int
	TTL        time.Duration
	RetryAfter time.Duration
}

// StaleLimitsError says that an issuer does not have the document of routes by which a
// box asks: its limits may be older and higher.
type StaleLimitsError struct{ Requested, Current uint64 }

// Error implements error.
func (e *StaleLimitsError) Error() string {
	return fmt.Sprintf("permits are asked by document %d, this replica has %d", e.Requested, e.Current)
}

const (
	// longestWait bounds what a box is told to wait before it asks again, so that
	// it hears soon of a limit that was raised.
	longestWait = time.Second
	// unlimitedLife is that of permits of a workspace that has no limit any more.
	unlimitedLife = time.Second
)

// Issuer issues the permits of one control replica. It is not safe for concurrent
// use.
type Issuer struct {
	bound   Bound
	parts   int
	number  uint64
	limits  map[string]catalog.RateLimit
	buckets map[string]*bucket
	tallies map[string]*tally
}

// bucket is an issuer's part of a limit. It starts empty: what a process before
// this one issued is not known.
type bucket struct {
	part
	tokens float64
	at     time.Time
	// served is until when boxes that got nothing have been told to wait.
	served time.Time
}

// NewIssuer returns the issuer of one of a number of replicas. It has no limits yet.
func NewIssuer(b Bound, parts int) *Issuer {
	return &Issuer{
		bound: b, parts: parts,
		limits: make(map[string]catalog.RateLimit), buckets: make(map[string]*bucket), tallies: make(map[string]*tally),
	}
}

// SetReplicaCount tells how many replicas there are. It never becomes fewer: one that the
// others have let go may not know it.
func (i *Issuer) SetReplicaCount(now time.Time, parts int) {
	if parts <= i.parts {
		return
	}
	i.parts = parts
	for name, b := range i.buckets {
		b.resize(now, i.bound.partOf(i.limits[name], i.parts))
	}
}

// SetLimits takes the workspaces of a document; number is the document's.
func (i *Issuer) SetLimits(now time.Time, number uint64, workspaces []catalog.Workspace) {
	i.number = number
	known := make(map[string]bool, len(workspaces))
	for _, w := range workspaces {
		known[w.Name] = true
		i.limits[w.Name] = w.Limit
		if w.Limit.None() {
			delete(i.buckets, w.Name)
			continue
		}
		p := i.bound.partOf(w.Limit, i.parts)
		if b := i.buckets[w.Name]; b != nil {
			b.resize(now, p)
			continue
		}
		i.buckets[w.Name] = &bucket{part: p, at: now}
	}
	for name := range i.limits {
		if !known[name] {
			delete(i.limits, name)
			delete(i.buckets, name)
			delete(i.tallies, name)
		}
	}
}

// DocumentNumber is that of the document whose limits are kept.
func (i *Issuer) DocumentNumber() uint64 { return i.number }

// Issue answers what a box asks by the document of a number. The error is a
// StaleLimitsError.
func (i *Issuer) Issue(now time.Time, number uint64, asks []SubjectRequest) ([]Grant, error) {
	if number > i.number {
		return nil, &StaleLimitsError{Requested: number, Current: i.number}
	}
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		g := i.grant(now, a)
		if _, known := i.limits[a.Subject]; known {
			i.count(now, g)
		}
		out = append(out, g)
	}
	return out, nil
}

func (i *Issuer) grant(now time.Time, a SubjectRequest) Grant {
	limit, known := i.limits[a.Subject]
	if known && limit.None() {
		return Grant{Subject: a.Subject, Count: a.Count, TTL: unlimitedLife}
	}
	b := i.buckets[a.Subject]
	if b == nil {
		return Grant{Subject: a.Subject, RetryAfter: longestWait}
	}
	return b.grant(now, a)
}

// grant answers an ask as far as there are permits.
func (b *bucket) grant(now time.Time, a SubjectRequest) Grant {
	b.fill(now)
	count := min(max(a.Count, 0), int(b.tokens))
	b.tokens -= float64(count)
	if count > 0 {
		return Grant{Subject: a.Subject, Count: count, TTL: b.life}
	}
	return Grant{Subject: a.Subject, RetryAfter: b.nextWait(now)}
}

func (b *bucket) fill(now time.Time) {
	if now.After(b.at) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), b.depth)
		b.at = now
	}
}

func (b *bucket) resize(now time.Time, p part) {
	b.fill(now)
	b.part = p
	b.tokens = min(b.tokens, b.depth)
}

// nextWait is when a box that got nothing may ask again. Each is told another
// time, as far apart as permits come, so that boxes of a workspace beyond its
// limit ask no more often than there is something to get.
func (b *bucket) nextWait(now time.Time) time.Duration {
	first := now.Add(seconds((math.Floor(b.tokens) + 1 - b.tokens) / b.rate))
	if b.served.Before(first) {
		b.served = first
	} else {
		b.served = b.served.Add(seconds(1 / b.rate))
	}
	wait := b.served.Sub(now)
	if wait > longestWait {
		b.served = now.Add(longestWait)
		return longestWait
	}
	return wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
