// Package quota keeps the limits of workspaces over all entry boxes together. It
// is made of state machines without I/O.
//
// Each control replica is an Issuer of permits and holds a fixed part of every
// workspace's limit, the same for all replicas, as a bucket of its own. It needs
// no word of the others: parts never move, so no cut, restart or loss of a leader
// can make two of them spend the same. An entry box keeps a Stock of permits, asks
// the nearest issuer when it has none and the others when that one is empty, and
// sends no request of a limited workspace without one. Permits end soon, so that
// those that were issued earlier can't add to a window much.
package quota

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Bound is what all boxes together may send for a workspace in any Window: what
// its limit allows in it, Excess of that more, and Slack requests more.
type Bound struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

const (
	// slackShare is the part of what may be exceeded that is used; the rest is for
	// replicas that learn of a further one a little late.
	slackShare = 0.9
	// lifeShare is the part of that which permits use that were issued before a
	// window. The rest makes the buckets deeper, which is what bears the chance of
	// requests that come together.
	lifeShare = 0.7
	// longestLife bounds the life of a permit: what a box does not use is missing
	// elsewhere for that long.
	longestLife = time.Second
)

// part is what one issuer may issue of a limit: permits a second, how many at
// once, and how long each may be used.
type part struct {
	rate  float64
	depth float64
	life  time.Duration
}

// partOf divides a limit. In a window at most rate*(Window+life)+depth permits of
// each of the parts are used, which together is what the bound allows.
func (b Bound) partOf(l catalog.RateLimit, parts int) part {
	window := b.Window.Seconds()
	slack := slackShare * (b.Excess*(l.PerSecond*window+l.Burst) + b.Slack)
	life := min(lifeShare*slack/l.PerSecond, longestLife.Seconds())
	extra := slack - life*l.PerSecond
	return part{
		rate:  l.PerSecond / float64(parts),
		depth: (l.Burst + extra) / float64(parts),
		life:  time.Duration(life * float64(time.Second)),
	}
}
