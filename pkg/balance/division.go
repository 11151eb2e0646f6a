package balance

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/placement"
)

const (
	// minLocalTargets is the number of targets that a region needs for objects of its own: fewer
	// don't average the demand of its callers.
	minLocalTargets = 4
	// divisionInterval is how often the division of a service is updated.
	divisionInterval = 100 * time.Millisecond
)

// regionHome is the usable target of a region that ranks highest for an object. A region's own
// callers use it as the object's home, so it most likely knows the object.
type regionHome struct {
	region string
	ranked
	// backedOff is the backed-off target that ranks highest.
	backedOff ranked
}

// maxHomeRegions bounds the regions that are considered for one object.
const maxHomeRegions = 8

// homes holds the home of an object in each region.
type homes struct {
	list  [maxHomeRegions]regionHome
	count int
}

// of returns the entry of a region, nil if there are too many regions.
func (h *homes) of(region string) *regionHome {
	for i := range h.list[:h.count] {
		if h.list[i].region == region {
			return &h.list[i]
		}
	}
	if h.count == maxHomeRegions {
		return nil
	}
	h.list[h.count].region = region
	h.count++
	return &h.list[h.count-1]
}

// dividesObjects reports whether the objects of the request's service are divided between the
// regions.
func (b *Balancer) dividesObjects(s *service, r Request) bool {
	return s.divides && r.AffinityKey != "" && !r.PreferLocal && s.splitter == nil && s.localTargets >= minLocalTargets && len(b.boxes) > 0 && b.isTripCostly(r)
}

// updateDivision updates the division of a service if divisionInterval has passed.
func (b *Balancer) updateDivision(now time.Time, s *service) {
	if now.Sub(s.divisionAt) < divisionInterval {
		return
	}
	s.divisionAt = now
	s.divides = b.config.DividesObjects != nil && b.config.DividesObjects(s.name)
	if !s.divides {
		s.localTargets = 0
		return
	}
	var capacity placement.Capacity
	slots := make(map[string]int)
	s.localTargets = 0
	for _, t := range s.targets {
		if t.isLeaving() || !b.isInService(t) || t.isCold(now) {
			continue
		}
		capacity.AllSlots += t.Slots
		slots[t.Region] += t.Slots
		if t.Region == b.config.Region {
			s.localTargets++
		}
	}
	capacity.LocalSlots = slots[b.config.Region]
	capacity.Boxes, capacity.Regions = b.boxesOfRegion()
	s.division.Update(now, capacity)
	s.spareRegions = s.spareRegions[:0]
	for region, n := range slots {
		if region != b.config.Region && capacity.HasSpare(n) {
			s.spareRegions = append(s.spareRegions, region)
		}
	}
}

// boxesOfRegion returns the number of boxes of this box's region, and of regions with boxes.
func (b *Balancer) boxesOfRegion() (boxes, regions int) {
	if b.countedRevision != b.boxesRevision {
		seen := make(map[string]int)
		for _, box := range b.boxes {
			seen[box.Region]++
		}
		b.regionBoxes = seen[b.config.Region]
		b.regionCount = len(seen)
		b.countedRevision = b.boxesRevision
	}
	return b.regionBoxes, b.regionCount
}

// homesOf returns the homes of a request's object in the regions within reach.
func (b *Balancer) homesOf(now time.Time, s *service, r Request, key uint64) *homes {
	var out homes
	for _, t := range s.targets {
		if t.Region != b.config.Region && !b.isWithinReach(t, r) {
			continue
		}
		h := out.of(t.Region)
		if h == nil {
			continue
		}
		if t.isBackedOff(now) {
			if c := b.rank(t, r, key); b.isAvailable(now, t) && r.allows(t) && (h.backedOff.target == nil || c.ranksAbove(h.backedOff)) {
				h.backedOff = c
			}
			continue
		}
		if !b.mayReceive(now, s, t, r) {
			continue
		}
		if c := b.rank(t, r, key); h.target == nil || c.ranksAbove(h.ranked) {
			h.ranked = c
		}
	}
	return &out
}

// preferred returns the home that the division gives the object: that of the box's own region, or the
// highest-ranked one of the others. It is nil if no target is usable.
func (h *homes) preferred(own string, isLocal bool, spare []string) *regionHome {
	var local, remote *regionHome
	for i := range h.list[:h.count] {
		c := &h.list[i]
		switch {
		case c.target == nil:
		case c.region == own:
			local = c
		case len(spare) > 0 && !slices.Contains(spare, c.region):
		case remote == nil || c.ranksAbove(remote.ranked):
			remote = c
		}
	}
	if local == nil || !isLocal && remote != nil {
		return remote
	}
	return local
}

// skip counts the request as skipped at a backed-off target that ranks above the home, and returns it.
func (h *regionHome) skip() *targetState {
	if h.backedOff.target == nil || !h.backedOff.ranksAbove(h.ranked) {
		return nil
	}
	h.backedOff.target.skipped++
	return h.backedOff.target
}

// chooseDivided is chooseAmong for a service whose objects are divided between the regions. A request
// whose home is full runs at the object's home in another region, which most likely knows the object,
// as long as few requests do so. ok is false if there is no home.
func (b *Balancer) chooseDivided(now time.Time, s *service, r Request, key uint64, times *serviceTimes) (choice Choice, ok bool, err error) {
	all := b.homesOf(now, s, r, key)
	first := all.preferred(b.config.Region, s.division.IsLocal(key), s.spareRegions)
	if first == nil {
		return Choice{}, false, nil
	}
	chosen := first.target
	wait := chosen.expectedWait(now, times.overall)
	waitLimit := maxWait(r, times)
	overflows := false
	if other, otherWait := b.bestOverflow(now, s, all, first, times); other != nil {
		gain := wait - otherWait - (b.roundTrip(other) - b.roundTrip(chosen))
		urgent := wait > waitLimit
		if gain > minOverflowGain && otherWait <= waitLimit && s.division.AllowsOverflow(now, urgent) {
			chosen, wait, overflows = other, otherWait, true
		}
	}
	if !overflows && wait > times.maxHomeWait(r, waitLimit) && !s.load.isSaturated() {
		next, nextWait := b.preferredTargets(now, s, r, key, b.isWithinReach(chosen, r)).pick(now, times.overall)
		if next != nil && nextWait < wait {
			chosen, wait = next, nextWait
		}
	}
	if wait > waitLimit {
		return Choice{}, true, allFullError(now, s, chosen, wait, waitLimit)
	}
	s.division.RecordChoice(now, overflows)
	choice = b.assign(now, chosen, wait, times)
	choice.LocalShare = s.division.Share()
	choice.Overflowed = overflows
	choice.Home = chosen == first.target && len(r.Tried) == 0
	if skipped := first.skip(); skipped != nil {
		choice.Skipped = skipped.ID
	}
	return choice, true, nil
}

// minOverflowGain is how much sooner a request must start in another region for it to go there: what
// the box knows of loads is some hundred milliseconds old.
const minOverflowGain = 50 * time.Millisecond

// bestOverflow returns the home of another region at which a request starts soonest.
func (b *Balancer) bestOverflow(now time.Time, s *service, all *homes, first *regionHome, times *serviceTimes) (*targetState, time.Duration) {
	var best *targetState
	var bestWait time.Duration
	for i := range all.list[:all.count] {
		c := &all.list[i]
		if c == first || c.target == nil || c.region != b.config.Region && !slices.Contains(s.spareRegions, c.region) {
			continue
		}
		wait := c.target.expectedWait(now, times.overall)
		if best == nil || wait+b.roundTrip(c.target) < bestWait+b.roundTrip(best) {
			best, bestWait = c.target, wait
		}
	}
	return best, bestWait
}

// roundTrip returns the round trip to the region of a target.
func (b *Balancer) roundTrip(t *targetState) time.Duration {
	if t.Region == b.config.Region {
		return 0
	}
	return b.roundTrips[t.Region]
}

// LocalShares returns, by service, the share of the objects whose home is in the box's own region, for
// services whose objects are divided between regions.
func (b *Balancer) LocalShares() map[string]float64 {
	out := make(map[string]float64)
	for name, s := range b.services {
		if s.localTargets >= minLocalTargets {
			out[name] = s.division.Share()
		}
	}
	return out
}

// minTripShare is the share of a route's objective that a round trip to another region takes at least
// for the division to matter to callers.
const minTripShare = 0.1

// isTripCostly reports whether the round trip to another region takes much of the request's objective.
func (b *Balancer) isTripCostly(r Request) bool {
	for region, trip := range b.roundTrips {
		if region != b.config.Region && float64(trip) >= minTripShare*float64(r.Objective) {
			return true
		}
	}
	return false
}
