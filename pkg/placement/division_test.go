package placement

import (
	"fmt"
	"hash/fnv"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func keyOf(i int) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, i) // writing to a hash never fails
	return h.Sum64()
}

func localObjects(d *Division, n int) int {
	count := 0
	for i := range n {
		if d.IsLocal(keyOf(i)) {
			count++
		}
	}
	return count
}

// run feeds a division a steady demand of a box, in slots, for a time.
func run(d *Division, now time.Time, length time.Duration, slots float64, c Capacity) time.Time {
	const step = 100 * time.Millisecond
	for end := now.Add(length); now.Before(end); now = now.Add(step) {
		d.ObserveRun(now, time.Duration(slots*float64(step)))
		d.Update(now, c)
	}
	return now
}

var smallRegion = Capacity{LocalSlots: 64, AllSlots: 624, Regions: 3, Boxes: 22}

// Guards against a region with a tenth of the targets and a third of the callers that starts with
// more objects than its targets can serve while they know none: they never got out of their queues.
func TestSmallRegionStartsWithItsPartOfTheSlots(t *testing.T) {
	var d Division
	d.Update(time.Unix(0, 0), smallRegion)
	if want := 64.0 / 624; d.Share() != want {
		t.Errorf("share %v, want %v", d.Share(), want)
	}
	var large Division
	large.Update(time.Unix(0, 0), Capacity{LocalSlots: 256, AllSlots: 624, Regions: 3, Boxes: 22})
	if large.Share() != 1 {
		t.Errorf("a region with more slots than its part starts with %v, want 1", large.Share())
	}
}

// Guards against objects that stay in other regions although the region's slots carry their requests.
func TestShareGrowsWithinDemand(t *testing.T) {
	var d Division
	run(&d, time.Unix(0, 0), 100*time.Second, 6, smallRegion) // 132 slots in the region
	if want := headroom * 64 / 132; math.Abs(d.Share()-want) > 0.05 {
		t.Errorf("share %v, want about %v", d.Share(), want)
	}
}

// Guards against a wave of demand that moves objects although the targets carry it: each object that
// moves runs slowly at its new home.
func TestShareStaysWhileTargetsCarryTheDemand(t *testing.T) {
	var d Division
	now := run(&d, time.Unix(0, 0), 120*time.Second, 3, smallRegion)
	before := d.Share()
	for range 200 {
		d.ObserveLocalLoad(0.65)
		now = run(&d, now, 100*time.Millisecond, 6, smallRegion)
	}
	if d.Share() != before {
		t.Errorf("the share moved from %v to %v without queues", before, d.Share())
	}
}

// Guards against boxes of one region that disagree on the home of many objects because each of them
// sees other requests.
func TestBoxesAgreeOnMostObjects(t *testing.T) {
	var a, b Division
	run(&a, time.Unix(0, 0), 40*time.Second, 3.8, smallRegion)
	run(&b, time.Unix(0, 0), 40*time.Second, 4.2, smallRegion)
	differ := 0
	for i := range 10000 {
		if a.IsLocal(keyOf(i)) != b.IsLocal(keyOf(i)) {
			differ++
		}
	}
	if differ > 600 {
		t.Errorf("%d of 10000 objects have two homes at a tenth more demand, want at most 600", differ)
	}
}

// Guards against a division that does not match its share.
func TestDivisionMatchesShare(t *testing.T) {
	for _, share := range []float64{0, 0.1, 0.5, 0.9, 1} {
		d := &Division{share: share}
		if got := float64(localObjects(d, 10000)) / 10000; math.Abs(got-share) > 0.02 {
			t.Errorf("%v of the objects are local at a share of %v", got, share)
		}
	}
}

// Guards against more requests that change their region within 2 s than the bound, whatever the
// demand, the loads and the slots do while targets stay.
func TestShareMovesSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Division
		now := time.Unix(0, 0)
		d.Update(now, smallRegion)
		var history []float64
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			d.ObserveRun(now, time.Duration(rapid.IntRange(0, 5000).Draw(t, "millis"))*time.Millisecond)
			d.ObserveLocalLoad(float64(rapid.IntRange(0, 5).Draw(t, "load")))
			d.Update(now, smallRegion)
			history = append(history, d.Share())
			if n := len(history); n > 20 && math.Abs(history[n-1]-history[n-21]) > 2*maxFall+1e-9 {
				t.Fatalf("the share moved from %v to %v within 2 s", history[n-21], history[n-1])
			}
		}
	})
}

// Guards against a region whose targets stay in their queues because its demand looks low while
// requests are refused: the load that targets report takes objects away.
func TestLoadOfTargetsLowersShare(t *testing.T) {
	var d Division
	now := run(&d, time.Unix(0, 0), 100*time.Second, 1, smallRegion)
	before := d.Share()
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		d.ObserveLocalLoad(3)
		d.Update(now, smallRegion)
	}
	if d.Share() > before-0.2 {
		t.Errorf("share %v after 10 s of queues at the region's targets, %v before", d.Share(), before)
	}
	if least := 64.0 / 624; d.Share() < least {
		t.Errorf("share %v is below the region's part of the slots, %v", d.Share(), least)
	}
}

// Guards against a burst that sends most requests of a region to another one at once.
func TestOverflowIsBounded(t *testing.T) {
	var d Division
	now := time.Unix(0, 0)
	overflowed := 0
	for i := range 1000 {
		now = now.Add(20 * time.Millisecond)
		allowed := d.AllowsOverflow(now, i%2 == 0)
		d.RecordChoice(now, allowed)
		if allowed {
			overflowed++
		}
	}
	if share := float64(overflowed) / 1000; share > maxUrgentOverflow+0.01 || share < maxOverflow/2 {
		t.Errorf("%v of the requests overflowed, want at most %v and not next to none", share, maxUrgentOverflow)
	}
}

// Guards against a region with few targets that gets the requests of large ones.
func TestHasSpare(t *testing.T) {
	for slots, want := range map[int]bool{64: false, 104: true, 256: true} {
		if got := smallRegion.HasSpare(slots); got != want {
			t.Errorf("HasSpare(%d) = %v, want %v", slots, got, want)
		}
	}
}

// Guards against an evacuated zone whose objects all move to the other zone of its region, where the
// targets forget their own.
func TestLostZoneLowersShareAtOnce(t *testing.T) {
	c := Capacity{LocalSlots: 304, AllSlots: 624, Regions: 3, Boxes: 22}
	var d Division
	now := run(&d, time.Unix(0, 0), 5*time.Second, 2, c)
	c.LocalSlots, c.AllSlots = 152, 472
	d.Update(now, c)
	if math.Abs(d.Share()-0.5) > 0.01 {
		t.Errorf("share %v after half of the region's slots have left, want 0.5", d.Share())
	}
	d.Update(now.Add(100*time.Millisecond), c)
	if d.Share() > 0.51 {
		t.Errorf("share %v, want it to grow slowly", d.Share())
	}
}
