// Package timeline collects and orders the events of many processes. Each
// process stamps its events with a hybrid logical clock and keeps the latest
// ones in a ring buffer. Merge sorts the events of all processes and marks
// where some are missing.
//
// The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): it is
// never behind the wall clock or a timestamp that it has observed.
package timeline

import (
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxAhead bounds how far a received timestamp may push the clock ahead of the wall
// clock, so that one process with a wrong clock can't advance the clocks of all others.
const maxAhead = time.Minute

// Clock is a hybrid logical clock that is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	now     func() time.Time
	wall    int64
	logical uint32
}

// NewClock returns a clock that reads the wall clock through now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Stamp returns a timestamp later than all earlier ones.
func (c *Clock) Stamp() *wire.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tick(c.now().UnixMilli())
	return &wire.Clock{WallUnixMilli: c.wall, Logical: c.logical}
}

// Observe makes later timestamps of this clock later than a received one. A timestamp
// more than maxAhead in the future is ignored.
func (c *Clock) Observe(seen *wire.Clock) {
	if seen == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixMilli()
	if seen.WallUnixMilli > wall+maxAhead.Milliseconds() {
		return
	}
	if seen.WallUnixMilli > c.wall || (seen.WallUnixMilli == c.wall && seen.Logical > c.logical) {
		c.wall = seen.WallUnixMilli
		c.logical = seen.Logical
	}
	c.tick(wall)
}

// tick advances the clock to the wall time, or increments the logical part if the clock
// is already there or ahead.
func (c *Clock) tick(wall int64) {
	if wall > c.wall {
		c.wall = wall
		c.logical = 0
		return
	}
	c.logical++
}

// Before reports whether timestamp a sorts before b, an order that is consistent with
// causality.
func Before(a, b *wire.Clock) bool {
	if a.GetWallUnixMilli() != b.GetWallUnixMilli() {
		return a.GetWallUnixMilli() < b.GetWallUnixMilli()
	}
	return a.GetLogical() < b.GetLogical()
}
