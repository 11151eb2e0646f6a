package quota

import (
	"fmt"
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// SubjectRequest asks for Count permits. Subject is a workspace or the incarnation of a
// target.
type SubjectRequest struct {
	Subject string
	Count   int
}

// Grant answers a SubjectRequest. TTL is the lifetime of its permits. RetryAfter is the
// time after which to ask again if there were none.
type Grant struct {
	Subject    string
	Count      int
	TTL        time.Duration
	RetryAfter time.Duration
}

// StaleLimitsError reports that an issuer has an older routes document than the box
// that asks: its limits may be outdated and higher.
type StaleLimitsError struct{ Requested, Current uint64 }

// Error implements error.
func (e *StaleLimitsError) Error() string {
	return fmt.Sprintf("permits requested under document %d, this replica has document %d", e.Requested, e.Current)
}

const (
	// maxRetryAfter bounds how long a box is told to wait before it asks again, so that it
	// soon learns of a limit that was raised.
	maxRetryAfter = time.Second
	// unlimitedTTL is the lifetime of permits of a workspace whose limit was removed.
	unlimitedTTL = time.Second
)

// Issuer issues the permits of one control replica. It is not safe for concurrent
// use.
type Issuer struct {
	bound          Bound
	replicas       int
	documentNumber uint64
	limits         map[string]catalog.RateLimit
	buckets        map[string]*bucket
	counters       map[string]*workspaceCounters
}

// bucket is the token bucket for an issuer's share of a limit. It starts empty, because
// the issuer does not know what it issued before a restart.
type bucket struct {
	bucketConfig
	tokens     float64
	refilledAt time.Time
	// lastRetryAt is the latest time at which a box without permits was told to retry.
	lastRetryAt time.Time
}

// NewIssuer returns the issuer of one of several replicas. It has no limits yet.
func NewIssuer(b Bound, replicas int) *Issuer {
	return &Issuer{
		bound: b, replicas: replicas,
		limits: make(map[string]catalog.RateLimit), buckets: make(map[string]*bucket), counters: make(map[string]*workspaceCounters),
	}
}

// SetReplicaCount sets the number of replicas. The number never decreases: a replica
// that was removed may not know it and goes on issuing its share.
func (i *Issuer) SetReplicaCount(now time.Time, replicas int) {
	if replicas <= i.replicas {
		return
	}
	i.replicas = replicas
	for name, b := range i.buckets {
		b.resize(now, i.bound.bucketConfigFor(i.limits[name], i.replicas))
	}
}

// SetLimits sets the limits of the workspaces of the document with the given number.
func (i *Issuer) SetLimits(now time.Time, number uint64, workspaces []catalog.Workspace) {
	i.documentNumber = number
	known := make(map[string]bool, len(workspaces))
	for _, w := range workspaces {
		known[w.Name] = true
		i.limits[w.Name] = w.Limit
		if w.Limit.IsUnlimited() {
			delete(i.buckets, w.Name)
			continue
		}
		c := i.bound.bucketConfigFor(w.Limit, i.replicas)
		if b := i.buckets[w.Name]; b != nil {
			b.resize(now, c)
			continue
		}
		i.buckets[w.Name] = &bucket{bucketConfig: c, refilledAt: now}
	}
	for name := range i.limits {
		if !known[name] {
			delete(i.limits, name)
			delete(i.buckets, name)
			delete(i.counters, name)
		}
	}
}

// DocumentNumber returns the number of the document that the limits are from.
func (i *Issuer) DocumentNumber() uint64 { return i.documentNumber }

// Issue answers the requests of a box whose document has the given number. The error is
// a StaleLimitsError.
func (i *Issuer) Issue(now time.Time, number uint64, requests []SubjectRequest) ([]Grant, error) {
	if number > i.documentNumber {
		return nil, &StaleLimitsError{Requested: number, Current: i.documentNumber}
	}
	out := make([]Grant, 0, len(requests))
	for _, r := range requests {
		g := i.grant(now, r)
		if _, known := i.limits[r.Subject]; known {
			i.recordGrant(now, g)
		}
		out = append(out, g)
	}
	return out, nil
}

func (i *Issuer) grant(now time.Time, r SubjectRequest) Grant {
	limit, known := i.limits[r.Subject]
	if known && limit.IsUnlimited() {
		return Grant{Subject: r.Subject, Count: r.Count, TTL: unlimitedTTL}
	}
	b := i.buckets[r.Subject]
	if b == nil {
		return Grant{Subject: r.Subject, RetryAfter: maxRetryAfter}
	}
	return b.grant(now, r)
}

// grant grants as many of the requested permits as are available.
func (b *bucket) grant(now time.Time, r SubjectRequest) Grant {
	b.refill(now)
	count := min(max(r.Count, 0), int(b.tokens))
	b.tokens -= float64(count)
	if count > 0 {
		return Grant{Subject: r.Subject, Count: count, TTL: b.ttl}
	}
	return Grant{Subject: r.Subject, RetryAfter: b.nextRetryAfter(now)}
}

func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), b.burst)
		b.refilledAt = now
	}
}

func (b *bucket) resize(now time.Time, c bucketConfig) {
	b.refill(now)
	b.bucketConfig = c
	b.tokens = min(b.tokens, b.burst)
}

// nextRetryAfter returns when a box that got no permit may ask again. Each box gets a
// different time, at the interval at which permits become available, so that the boxes of
// a workspace over its limit do not ask more often than there are permits.
func (b *bucket) nextRetryAfter(now time.Time) time.Duration {
	first := now.Add(seconds((math.Floor(b.tokens) + 1 - b.tokens) / b.rate))
	if b.lastRetryAt.Before(first) {
		b.lastRetryAt = first
	} else {
		b.lastRetryAt = b.lastRetryAt.Add(seconds(1 / b.rate))
	}
	wait := b.lastRetryAt.Sub(now)
	if wait > maxRetryAfter {
		b.lastRetryAt = now.Add(maxRetryAfter)
		return maxRetryAfter
	}
	return wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
