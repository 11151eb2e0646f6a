// Package quota enforces rate limits over all entry boxes together: the limits of
// workspaces, and those that targets report for themselves. It consists of state
// machines without I/O.
//
// Each control replica is an Issuer of permits. It holds a fixed share of every
// workspace's limit, the same for all replicas, in a token bucket of its own. Issuers
// do not coordinate: shares never move, so that no partition, restart or loss of a
// leader can make two replicas spend the same share. An entry box keeps a PermitCache.
// When it has no permit it asks the nearest issuer, and the others when that one is
// empty, and it sends no request of a limited workspace without a permit. Permits
// expire soon, so that those issued before a window add little to its requests.
package quota

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Bound is how many requests all boxes together may send for a workspace in any
// Window: what its limit allows, plus the fraction Excess of that, plus Slack requests.
type Bound struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// slackShare is the fraction of the permitted excess that is used. The rest covers
	// replicas that learn of an additional one a little late.
	slackShare = 0.9
	// ttlShare is the fraction of the used excess reserved for permits that were issued
	// before a window. The rest makes the buckets deeper, which absorbs random bursts of
	// requests.
	ttlShare = 0.7
	// maxPermitTTL bounds the lifetime of a permit: an unused permit is unavailable to
	// other boxes for that long.
	maxPermitTTL = time.Second
)

// bucketConfig holds the parameters of one issuer's token bucket: permits per second,
// bucket size and permit lifetime.
type bucketConfig struct {
	rate  float64
	burst float64
	ttl   time.Duration
}

// bucketConfigFor divides a limit among replicas. In a window at most
// rate*(Window+ttl)+burst permits of each replica are used, which add up to what the
// bound allows.
func (b Bound) bucketConfigFor(l catalog.RateLimit, replicas int) bucketConfig {
	window := b.Window.Seconds()
	slack := slackShare * (b.Excess*(l.PerSecond*window+l.Burst) + b.Slack)
	ttl := min(ttlShare*slack/l.PerSecond, maxPermitTTL.Seconds())
	extra := slack - ttl*l.PerSecond
	return bucketConfig{
		rate:  l.PerSecond / float64(replicas),
		burst: (l.Burst + extra) / float64(replicas),
		ttl:   time.Duration(ttl * float64(time.Second)),
	}
}
