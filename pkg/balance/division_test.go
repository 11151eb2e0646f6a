package balance

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// newDistantFixture has targets in two regions with a round trip of 70 ms between them, of an
// objective of 400 ms.
func newDistantFixture(t *testing.T, near, far int) *regionsFixture {
	f := newRegionsFixture(t, near, far)
	f.balancer.config.DividesObjects = func(string) bool { return true }
	f.balancer.observeRoundTrip("far", 70*time.Millisecond)
	f.balancer.observeRoundTrip("near", 70*time.Millisecond)
	return f
}

// newUnevenFixture is a box in a region with a fifth of the targets and half of the boxes.
func newUnevenFixture(t *testing.T) *regionsFixture { return newDistantFixture(t, 4, 16) }

// answer reports a response of a target with a load.
func (f *regionsFixture) answer(c Choice, l targetstatus.Load) {
	f.balancer.Done(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Took: 100 * time.Millisecond, Load: l, HasLoad: true})
}

// Guards against a region with few targets that serves the objects of a region with many: its targets
// forget their own objects and their queues never end.
func TestFewTargetsServeNoOtherRegion(t *testing.T) {
	f := newDistantFixture(t, 16, 4)
	for i := range 300 {
		c := f.choose(f.request(fmt.Sprint(i)))
		if c.Target.Region != "near" {
			t.Fatalf("object %d runs at %s", i, c.Target.ID)
		}
		f.answer(c, targetstatus.Load{Running: 1, Slots: 4})
	}
}

// Guards against objects whose home in another region depends on the box, and against homes there that
// the other region's own callers don't use.
func TestRemoteHomeIsThatOfItsRegion(t *testing.T) {
	here := newUnevenFixture(t)
	there := newUnevenFixture(t)
	there.balancer = New(Config{Box: "box2", Zone: "far-a", Region: "far", DividesObjects: here.balancer.config.DividesObjects})
	there.balancer.SetBoxes([]Box{{"box1", "near"}, {"box2", "far"}})
	there.balancer.SetTargets(there.now, there.targets)
	there.balancer.observeRoundTrip("near", 70*time.Millisecond)
	remote := 0
	for i := range 300 {
		key := fmt.Sprint(i)
		c := here.choose(here.request(key))
		here.answer(c, targetstatus.Load{Slots: 4})
		if c.Target.Region == "near" {
			continue
		}
		remote++
		o := there.choose(there.request(key))
		there.answer(o, targetstatus.Load{Slots: 4})
		if o.Target.ID != c.Target.ID {
			t.Fatalf("object %s runs at %s for callers there and at %s for callers here", key, o.Target.ID, c.Target.ID)
		}
	}
	if remote < 200 {
		t.Errorf("%d of 300 objects have their home in the other region, want about four fifths", remote)
	}
}

// Guards against refusals while the object's home in another region has free slots, and against more
// of these than the bound on changes of region bears.
func TestFullHomeOverflows(t *testing.T) {
	f := newDistantFixture(t, 8, 8)
	home := f.choose(f.request("hot"))
	if home.Target.Region != "near" {
		t.Fatalf("the home is %s", home.Target.ID)
	}
	overflowed, refused := 0, 0
	for i := range 200 {
		f.now = f.now.Add(10 * time.Millisecond)
		key := fmt.Sprint(i)
		if i%5 == 0 {
			key = "hot"
			f.balancer.byID[home.Target.ID].observeLoad(f.now, targetstatus.Load{Running: 4, Waiting: 12, Slots: 4})
			for range 30 { // the service as a whole is saturated: no other target of the region is tried
				f.balancer.service("s").load.observe(4)
			}
		}
		c, err := f.balancer.Choose(f.now, f.request(key))
		switch {
		case err != nil:
			refused++
		case c.Target.Region == "far":
			overflowed++
		}
		if err == nil {
			f.balancer.Release(c.Target.ID)
		}
	}
	if overflowed == 0 || overflowed > 25 {
		t.Errorf("%d of 200 requests ran in the other region and %d were refused, want 1 to 25 there", overflowed, refused)
	}
}

// Guards against targets that take 2.5 times as long for some hundred milliseconds and are chosen as if
// they were as fast as usual.
func TestExpectedWaitCountsSlowTargets(t *testing.T) {
	now := time.Unix(0, 0)
	target := newTargetState(Target{ID: "t", Slots: 4})
	busy := targetstatus.Load{Running: 4, Waiting: 3, Slots: 4}
	target.observeLoad(now, busy)
	usual := target.expectedWait(now, time.Second)
	busy.WorkTime = 250
	target.observeLoad(now, busy)
	if got := target.expectedWait(now, time.Second); got != usual*5/2 {
		t.Errorf("expected wait %v while work takes 2.5 times as long, want %v", got, usual*5/2)
	}
	if got := target.expectedSlowdown(now.Add(3 * time.Second)); got > 1.01 {
		t.Errorf("expected slowdown %v after 3 s, want 1", got)
	}
}

// Guards against routes whose objective a trip to another region hardly matters for, and which would
// run cold whenever the division moves.
func TestLongObjectivesAreNotDivided(t *testing.T) {
	f := newDistantFixture(t, 8, 8)
	r := f.request("o")
	r.Objective = 1500 * time.Millisecond
	f.balancer.updateDivision(f.now, f.balancer.service("s"))
	if f.balancer.dividesObjects(f.balancer.service("s"), r) {
		t.Error("a route with an objective of 1.5 s is divided at a round trip of 70 ms")
	}
}

// Guards against a change of where requests run in a service whose settings don't ask for it.
func TestObjectsAreDividedOnlyWhereSettingsSaySo(t *testing.T) {
	f := newDistantFixture(t, 8, 8)
	f.balancer.config.DividesObjects = func(service string) bool { return service != "s" }
	f.choose(f.request("o"))
	if f.balancer.dividesObjects(f.balancer.service("s"), f.request("o")) || len(f.balancer.LocalShares()) > 0 {
		t.Error("the objects are divided")
	}
}
