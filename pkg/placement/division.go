// Package placement divides the objects of a service between the targets of a region and those of
// the other regions, so that the region's callers have as many objects near them as its targets can
// serve. A Division is a state machine without I/O; all boxes of a region reach nearly the same
// division without communication.
package placement

import (
	"math"
	"time"
)

const (
	// headroom is the share of a region's slots that the region's own callers may take. The most
	// popular objects load their targets about twice as much as the mean.
	headroom = 0.6
	// maxRise and maxFall bound how fast the local share moves, per second. A rise is slow because each
	// object that moves runs slowly at its new home at first, a fall is faster because targets with queues
	// serve no object well. Of a region's requests at most 0.15 may change the region within 2 s, which
	// leaves 0.09 for overflow and chance.
	maxRise = 0.005
	maxFall = 0.03
	// maxOverflow is the share of requests that may run in another region than their object's home
	// because they start sooner there, maxUrgentOverflow that of those and of the requests that the
	// home can't serve in time.
	maxOverflow       = 0.06
	maxUrgentOverflow = 0.1
	// demandHalfLife is the half-life of the observed demand. Demand moves by waves of tens of
	// seconds, and a box sees only a few requests per second.
	demandHalfLife = 6 * time.Second
	// maxLocalLoad is the mean load of the region's targets, in requests per slot, above which they get
	// fewer objects. It is above 1 because busy targets respond more often than others.
	maxLocalLoad = 1.5
	// spareLocalLoad is the mean load below which the region's targets may get more objects.
	spareLocalLoad = 0.5
	// localLoadWeight is the weight of one response in the mean load of the region's targets.
	localLoadWeight = 0.03
	// minSpareSlots is the share of its equal part of all slots that a region must have to serve
	// callers of other regions.
	minSpareSlots = 0.5
	// maxSlotsLeft is the part of the region's slots below which a loss of slots lowers the share at once.
	maxSlotsLeft = 0.75
	// minObservation is how long demand is observed before it is used.
	minObservation = 3 * time.Second
	// overflowHalfLife is the half-life of the share of requests that overflow: the time within which
	// the share of requests that change the region is bounded.
	overflowHalfLife = 2 * time.Second
)

// Capacity is what a service has for the callers of a region.
type Capacity struct {
	// LocalSlots are the slots of the region's targets in service, AllSlots those of all regions.
	LocalSlots, AllSlots int
	// Regions is the number of regions that have boxes, Boxes the number of boxes of this region.
	Regions, Boxes int
}

// Division divides the objects of one service at one box. It is not safe for concurrent use.
type Division struct {
	share     float64
	updatedAt time.Time
	startedAt time.Time
	// slots is the number of local slots that the share was adapted to.
	slots int
	// busy is the target time that this box's requests have taken, decaying, as of observedAt.
	busy       float64
	observedAt time.Time
	// localLoad is the mean load that targets of the region report, in requests per slot.
	localLoad float64
	// overflowed and chosen are decaying counts of requests.
	overflowed, chosen float64
	countedAt          time.Time
}

// Share returns the share of the objects whose home is among the region's own targets.
func (d *Division) Share() float64 { return d.share }

// IsLocal reports whether the home of the object with a key hash is among the region's own targets.
func (d *Division) IsLocal(key uint64) bool { return position(key) < d.share }

// position maps a key hash to a number from 0 to 1 that does not depend on its rank at targets.
func position(key uint64) float64 {
	const golden, mantissa = 0x9e3779b97f4a7c15, 1 << 53
	x := key * golden
	x ^= x >> 32
	x *= golden
	return float64(x>>11) / mantissa
}

// Update moves the local share towards what the capacity allows.
func (d *Division) Update(now time.Time, c Capacity) {
	if c.AllSlots == 0 || c.LocalSlots == 0 {
		return
	}
	if d.startedAt.IsZero() {
		d.startedAt = now
		d.updatedAt = now
		d.share = initialShare(c)
		d.slots = c.LocalSlots
		return
	}
	d.followLoss(c)
	elapsed := now.Sub(d.updatedAt).Seconds()
	d.updatedAt = now
	d.share += min(max(d.aim(now, c)-d.share, -maxFall*elapsed), maxRise*elapsed)
}

// followLoss lowers the share at once in proportion when the region has lost many of its slots, as by
// an evacuated zone: the others would get the objects of those that have left and forget their own.
func (d *Division) followLoss(c Capacity) {
	left := float64(c.LocalSlots) / float64(d.slots)
	if left < maxSlotsLeft {
		d.share = max(d.share*left, c.part())
	}
	if left < maxSlotsLeft || c.LocalSlots > d.slots {
		d.slots = c.LocalSlots
	}
}

// initialShare is the share before demand is known. Targets know no object yet, so runs take several
// times as long as later: a region with fewer slots than its part of the demand starts with its part
// of all slots.
func initialShare(c Capacity) float64 {
	if c.LocalSlots*c.Regions >= c.AllSlots {
		return 1
	}
	return c.part()
}

// part is the region's part of all slots.
func (c Capacity) part() float64 { return float64(c.LocalSlots) / float64(c.AllSlots) }

// HasSpare reports whether a region with the given slots can serve callers of other regions: one with
// far fewer slots than its equal part has none to spare.
func (c Capacity) HasSpare(slots int) bool {
	return float64(slots*c.Regions) >= minSpareSlots*float64(c.AllSlots)
}

// aim returns the share to move to: a larger one if the demand allows it, a smaller one if the
// region's targets report queues. In between it stays, because each object that moves runs slowly at
// its new home. It is at least the region's part of all slots: where they are scarce everywhere, the
// regions share them.
func (d *Division) aim(now time.Time, c Capacity) float64 {
	if now.Sub(d.startedAt) < minObservation {
		return d.share
	}
	if d.localLoad > maxLocalLoad {
		return max(d.share*maxLocalLoad/d.localLoad, c.part())
	}
	demand := d.demand(now) * float64(max(c.Boxes, 1))
	if demand <= 0 || d.localLoad > spareLocalLoad {
		return max(d.share, c.part())
	}
	return max(min(headroom*float64(c.LocalSlots)/demand, 1), d.share, c.part())
}

// ObserveLocalLoad records the load that a target of the region reported, in requests per slot.
func (d *Division) ObserveLocalLoad(perSlot float64) {
	d.localLoad += localLoadWeight * (perSlot - d.localLoad)
}

// ObserveRun records how long a request of this box took at its target.
func (d *Division) ObserveRun(now time.Time, took time.Duration) {
	d.busy = d.busy*decay(now.Sub(d.observedAt), demandHalfLife) + took.Seconds()
	d.observedAt = now
}

// demand returns the number of slots that this box's requests take on average.
func (d *Division) demand(now time.Time) float64 {
	busy := d.busy * decay(now.Sub(d.observedAt), demandHalfLife)
	// The decaying sum of a steady flow has its full size only after several half-lives.
	observed := now.Sub(d.startedAt)
	full := demandHalfLife.Seconds() / math.Ln2 * (1 - decay(observed, demandHalfLife))
	return busy / full
}

// AllowsOverflow reports whether a request may run in another region than its home's. It is urgent if
// the home can't serve it in time.
func (d *Division) AllowsOverflow(now time.Time, urgent bool) bool {
	d.count(now)
	most := maxOverflow
	if urgent {
		most = maxUrgentOverflow
	}
	return d.overflowed+1 <= most*max(d.chosen, 1/most)
}

// RecordChoice counts a request, and whether it runs in another region than its home's.
func (d *Division) RecordChoice(now time.Time, overflowed bool) {
	d.count(now)
	d.chosen++
	if overflowed {
		d.overflowed++
	}
}

func (d *Division) count(now time.Time) {
	factor := decay(now.Sub(d.countedAt), overflowHalfLife)
	d.chosen *= factor
	d.overflowed *= factor
	d.countedAt = now
}

func decay(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
