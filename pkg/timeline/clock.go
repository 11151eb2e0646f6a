// Package timeline orders the events of many processes. Each process stamps
// its events by a hybrid logical clock, keeps the latest in a bounded ring and
// hands them out; Merge puts the events of all processes into one order and
// shows where some were lost.
//
// The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): it is
// never behind the wall clock and never behind a stamp that it has seen.
package timeline

import (
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxAhead bounds how far a received stamp may push the clock ahead of the
// wall clock, so that one process with a wrong clock can't carry all others
// off.
const maxAhead = time.Minute

// Clock is a hybrid logical clock that is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	now     func() time.Time
	wall    int64
	logical uint32
}

// NewClock returns a clock over a wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Stamp returns a reading that is later than all earlier readings.
func (c *Clock) Stamp() *wire.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.now().UnixMilli())
	return &wire.Clock{WallUnixMilli: c.wall, Logical: c.logical}
}

// Observe makes later readings later than a received one.
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
	c.advance(wall)
}

func (c *Clock) advance(wall int64) {
	if wall > c.wall {
		c.wall = wall
		c.logical = 0
		return
	}
	c.logical++
}

// Before reports whether a was read before b, as far as the clock can tell.
func Before(a, b *wire.Clock) bool {
	if a.GetWallUnixMilli() != b.GetWallUnixMilli() {
		return a.GetWallUnixMilli() < b.GetWallUnixMilli()
	}
	return a.GetLogical() < b.GetLogical()
}
