package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// world is a balancer with targets in two regions and a clock.
type world struct {
	t        *testing.T
	now      time.Time
	balancer *Balancer
	targets  []Target
}

func newWorld(t *testing.T, near, far int) *world {
	w := &world{t: t, now: time.Unix(0, 0)}
	w.balancer = New(Config{Box: "box1", Zone: "near-a", Region: "near"})
	w.balancer.SetBoxes([]Box{{"box1", "near"}, {"box2", "far"}})
	for i := range near {
		w.add(fmt.Sprintf("near%d", i), "near")
	}
	for i := range far {
		w.add(fmt.Sprintf("far%d", i), "far")
	}
	return w
}

func (w *world) add(id, region string) {
	w.targets = append(w.targets, Target{ID: id, Service: "s", Zone: region + "-a", Region: region, Slots: 4})
	w.balancer.SetTargets(w.now, w.targets)
}

func (w *world) request(key string) Request {
	return Request{Service: "s", Route: "r", AffinityKey: key, Objective: 400 * time.Millisecond, Remaining: 400 * time.Millisecond}
}

func (w *world) choose(r Request) Choice {
	w.t.Helper()
	c, err := w.balancer.Choose(w.now, r)
	if err != nil {
		w.t.Fatal(err)
	}
	return c
}

func (w *world) done(c Choice, o Outcome) {
	w.balancer.Done(w.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: 100 * time.Millisecond})
}

// A request that another region must serve says nothing about the others, and
// no load that a region can bear moves requests to another region.
func TestRequestsKeepTheirRegion(t *testing.T) {
	w := newWorld(t, 4, 4)
	regionOf := make(map[string]string)
	for i := range 200 {
		w.now = w.now.Add(10 * time.Millisecond)
		key := fmt.Sprint(i % 50)
		bound := w.request(key)
		bound.Regions = []string{"far"}
		w.done(w.choose(bound), Answered)
		c := w.choose(w.request(key))
		if at, ok := regionOf[key]; ok && at != c.Target.Region {
			t.Fatalf("object %s moved from %s to %s", key, at, c.Target.Region)
		}
		regionOf[key] = c.Target.Region
		w.done(c, Answered)
	}
}

// Large answers, and requests whose objective leaves no time for the way,
// stay in the region while it has a target.
func TestFarRegionIsTheLastResort(t *testing.T) {
	w := newWorld(t, 1, 8)
	large := w.request("a")
	large.PreferLocal = true
	hasty := w.request("a")
	hasty.Objective = 100 * time.Millisecond
	w.balancer.Done(w.now, Report{TargetID: "far0", Route: "r", Outcome: Answered, Took: 100 * time.Millisecond, Connect: 70 * time.Millisecond})
	for _, r := range []Request{large, hasty} {
		c := w.choose(r)
		if c.Remote {
			t.Fatalf("%+v left the region", r)
		}
		w.done(c, Answered)
	}
	w.targets[0].Draining = true
	w.balancer.SetTargets(w.now, w.targets)
	if c := w.choose(large); !c.Remote {
		t.Fatal("the region has no target left")
	}
}

func TestSameObjectGoesToTheSameTarget(t *testing.T) {
	w := newWorld(t, 6, 0)
	for i := range 40 {
		w.done(w.choose(w.request(fmt.Sprint(i))), Answered)
	}
	first := w.choose(w.request("a"))
	w.done(first, Answered)
	for range 20 {
		c := w.choose(w.request("a"))
		if c.Target.ID != first.Target.ID {
			t.Fatalf("sent to %s after %s", c.Target.ID, first.Target.ID)
		}
		w.done(c, Answered)
	}
}

func TestFullTargetsRefuseWithATimeToComeBack(t *testing.T) {
	w := newWorld(t, 1, 0)
	var refused *NoTargetError
	for range 40 {
		if _, err := w.balancer.Choose(w.now, w.request("a")); err != nil {
			if !errors.As(err, &refused) || refused.Reason != ReasonFull || refused.RetryAfter <= 0 {
				t.Fatalf("got %v", err)
			}
			return
		}
	}
	t.Fatal("a target with 4 slots took 40 requests")
}

func TestDrainingAndEvacuatedTargetsGetNothing(t *testing.T) {
	w := newWorld(t, 2, 0)
	w.targets[0].Draining = true
	w.balancer.SetTargets(w.now, w.targets)
	for i := range 20 {
		c := w.choose(w.request(fmt.Sprint(i)))
		if c.Target.ID == "near0" {
			t.Fatal("a draining target was chosen")
		}
		w.done(c, Answered)
	}
	w.balancer.SetEvacuated(w.now, []string{"near-a"})
	if _, err := w.balancer.Choose(w.now, w.request("a")); err == nil {
		t.Fatal("a target of an evacuated zone was chosen")
	}
}

// The boxes that share a cold target send it, in any second, no more than its
// rate and one request ahead for each of them.
func TestColdTargetGetsItsRate(t *testing.T) {
	const boxes, rate = 9, 14.0
	var names []Box
	for i := range boxes {
		names = append(names, Box{fmt.Sprintf("box%d", i), "near"})
	}
	now := time.Unix(0, 0)
	sent := 0
	for _, box := range names {
		b := New(Config{Box: box.Name, Zone: "near-a", Region: "near"})
		b.SetBoxes(names)
		b.SetColdLimit("s", ColdLimit{Time: 3 * time.Second, Rate: rate})
		b.SetTargets(now, []Target{{ID: "cold", Service: "s", Zone: "near-a", Region: "near", Slots: 9, Cold: true, ColdRemaining: 3 * time.Second}})
		for i := range 1000 {
			at := now.Add(time.Duration(i) * time.Millisecond)
			c, err := b.Choose(at, Request{Service: "s", Route: "r", AffinityKey: "a", Objective: time.Second, Remaining: time.Second})
			if err == nil {
				sent++
				b.Done(at, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Took: time.Millisecond})
			}
		}
	}
	if sent == 0 || float64(sent) > rate+coldBoxes {
		t.Fatalf("%d requests in a second, the target bears %v", sent, rate)
	}
}

// A target that takes requests and breaks every one of them is left out like
// one that can't be reached, and tried again later.
func TestTargetThatBreaksEveryAnswerIsLeftOut(t *testing.T) {
	w := newWorld(t, 2, 0)
	bad := w.choose(w.request("a")).Target.ID
	w.done(Choice{Target: Target{ID: bad}}, Answered)
	broken := 0
	for range 20 {
		c := w.choose(w.request("a"))
		outcome := Answered
		if c.Target.ID == bad {
			outcome = Broken
			broken++
		}
		w.done(c, outcome)
	}
	if broken != maxBroken {
		t.Fatalf("%d requests were broken in a row, %d are enough", broken, maxBroken)
	}
	w.now = w.now.Add(longestEjection)
	if c := w.choose(w.request("a")); c.Target.ID != bad {
		t.Fatal("it is not tried again")
	}
}

// fill takes all slots of the home of an object and returns the home.
func (w *world) fill(key string) string {
	w.t.Helper()
	home := w.choose(w.request(key)).Target
	for range home.Slots - 1 {
		if got := w.choose(w.request(key)).Target.ID; got != home.ID {
			w.t.Fatalf("the object went to %s while its home %s had slots", got, home.ID)
		}
	}
	return home.ID
}

// tell has targets answer with a load, long enough ago to be forgotten of each
// of them.
func (w *world) tell(l targetstatus.Load) {
	for range 200 {
		for _, t := range w.targets {
			w.balancer.Done(w.now, Report{TargetID: t.ID, Route: "r", Outcome: Answered, Took: 100 * time.Millisecond, Load: l, HasLoad: true})
		}
	}
	w.now = w.now.Add(time.Minute)
}

// A request whose home has no slot waits there as long as that is sooner than a
// run at a target that does not know the object.
func TestObjectWaitsAtHomeWhereThatIsSooner(t *testing.T) {
	w := newWorld(t, 4, 0)
	w.tell(targetstatus.Load{Running: 1, Slots: 4})
	home := w.fill("a")
	r := w.request("a")
	learned := w.balancer.timesOf(r)
	detour := learned.detour(r, longestWait(r, learned))
	atHome := 0
	for {
		wait := w.balancer.byID[home].wait(w.now, learned.mixed)
		got := w.choose(r)
		if got.Target.ID != home {
			if wait <= detour {
				t.Errorf("the request left its home for a wait of %v, a detour costs %v", wait, detour)
			}
			break
		}
		if atHome++; wait > detour {
			t.Fatalf("the request waits %v at %s while others have free slots, a detour costs %v", wait, home, detour)
		}
	}
	if atHome == 0 {
		t.Error("no request waited at its home")
	}
}

// A request whose home would let it wait too long goes to another target only
// while targets have no queues: a crowded service would lose slots to objects
// that are not known.
func TestCrowdedServiceKeepsObjectsAtHome(t *testing.T) {
	w := newWorld(t, 4, 0)
	w.tell(targetstatus.Load{Running: 1, Slots: 4})
	home := w.fill("a")
	hasty := w.request("a")
	hasty.Remaining = 0 // it can't wait
	if got := w.choose(hasty).Target.ID; got == home {
		t.Errorf("the request waits at %s while others have free slots", home)
	}

	w = newWorld(t, 4, 0)
	w.tell(targetstatus.Load{Running: 4, Waiting: 3, Slots: 4})
	w.fill("a")
	r := w.request("a")
	r.Remaining = 0 // it can't wait
	_, err := w.balancer.Choose(w.now, r)
	var none *NoTargetError
	if !errors.As(err, &none) || none.Reason != ReasonFull {
		t.Errorf("got %v, want a refusal", err)
	}
}

// Targets that do not tell their load are thought to have as much of each box.
func TestCrowdWithoutWordOfTargets(t *testing.T) {
	w := newWorld(t, 1, 1)
	target := w.balancer.byID["near0"]
	target.inFlight = 3
	answered := Report{TargetID: "near0", Outcome: Answered}
	if got := w.balancer.crowdLoad(target, answered); got != 1.5 {
		t.Errorf("3 requests of one of 2 boxes at 4 slots are a load of %g, want 1.5", got)
	}
	if got := w.balancer.crowdLoad(target, Report{TargetID: "near0", Outcome: TurnedAway}); got != fullLoad {
		t.Errorf("a target that turned a request away has a load of %g, want %g", got, fullLoad)
	}
}

// A target that turned a request away with slots free is worth another try at
// once; one with a queue when the queue has gone.
func TestRetryAfterFollowsTheTargetsLoad(t *testing.T) {
	w := newWorld(t, 1, 0)
	turnAway := func(l targetstatus.Load) time.Duration {
		c := w.choose(w.request("a"))
		w.balancer.Done(w.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: TurnedAway, Load: l, HasLoad: true})
		return w.balancer.RetryAfter(w.now, c.Target.ID, "r")
	}
	if got := turnAway(targetstatus.Load{Running: 1, Slots: 4}); got != leastRetryAfter {
		t.Errorf("with slots free the caller is told to wait %v", got)
	}
	full := turnAway(targetstatus.Load{Running: 4, Waiting: 4, Slots: 4})
	if want := w.balancer.byID["near0"].wait(w.now, 200*time.Millisecond); full != want || full <= leastRetryAfter {
		t.Errorf("with 4 requests waiting for 4 slots the caller is told to wait %v, a slot is free after %v", full, want)
	}
	if got := w.balancer.RetryAfter(w.now, "gone", "r"); got != leastRetryAfter {
		t.Errorf("for a target that is gone the caller is told to wait %v", got)
	}
}

// A refusal names what decided it.
func TestRefusalNamesItsInputs(t *testing.T) {
	w := newWorld(t, 1, 0)
	w.tell(targetstatus.Load{Running: 4, Waiting: 2, Slots: 4})
	w.fill("a")
	r := w.request("a")
	r.Remaining = 0
	_, err := w.balancer.Choose(w.now, r)
	var none *NoTargetError
	if !errors.As(err, &none) {
		t.Fatalf("got %v", err)
	}
	if none.Target != "near0" || none.Registered != 1 || none.Slots != 4 || none.Load < 4 || none.ExpectedWait <= none.MaxWait || none.ServiceLoad < 1 {
		t.Errorf("the refusal says %+v", none)
	}
}

// One lost answer does not take a target out that answers others meanwhile.
func TestTargetThatAnswersOthersStays(t *testing.T) {
	for _, o := range []Outcome{Stuck, Unreachable} {
		w := newWorld(t, 2, 0)
		lost := w.choose(w.request("a"))
		id := lost.Target.ID
		report := Report{TargetID: id, Route: "r", Outcome: o, Took: time.Second}

		w.now = w.now.Add(500 * time.Millisecond)
		w.done(w.choose(w.request("a")), Answered)
		w.now = w.now.Add(500 * time.Millisecond)
		if got := w.balancer.Done(w.now, report); got != Unchanged {
			t.Errorf("%v: a target that has just answered is left out", o)
		}
		c := w.choose(w.request("a"))
		if c.Target.ID != id {
			t.Errorf("%v: the object goes to %s", o, c.Target.ID)
		}
		w.now = w.now.Add(2 * time.Second)
		if got := w.balancer.Done(w.now, report); got != Ejected {
			t.Errorf("%v: a target that has answered nothing since is kept", o)
		}
	}
}

// An overdue request holds its slot until it ends, however it ends and whatever the
// target did meanwhile.
func TestOverdueRequestHoldsItsSlot(t *testing.T) {
	for _, o := range []Outcome{Answered, TurnedAway, Stuck, Broken, Dropped} {
		w := newWorld(t, 1, 0)
		c := w.choose(w.request("a"))
		r := Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: time.Second}
		w.balancer.MarkOverdue(w.now, r)
		if got := w.balancer.byID["near0"].load(w.now); got != 1 {
			t.Errorf("%v: with an overdue request the load is %g", o, got)
		}
		w.now = w.now.Add(firstEjection)
		r.MarkedOverdue = true
		w.balancer.Done(w.now, r)
		w.now = w.now.Add(time.Minute)
		if got := w.choose(w.request("a")); got.Load > 0.01 {
			t.Errorf("%v: with no request the load is %g", o, got.Load)
		}
	}
}

// A request that was overdue while its target answered others does not keep the
// target out after another failure.
func TestOverdueRequestOfATargetThatAnswersOthers(t *testing.T) {
	w := newWorld(t, 1, 0)
	overdue := w.choose(w.request("a"))
	report := Report{TargetID: overdue.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second}
	w.now = w.now.Add(500 * time.Millisecond)
	w.done(w.choose(w.request("a")), Answered)
	w.now = w.now.Add(500 * time.Millisecond)
	if got := w.balancer.MarkOverdue(w.now, report); got != Unchanged {
		t.Error("a target that has just answered is left out")
	}
	lost := w.choose(w.request("a"))
	w.now = w.now.Add(time.Second)
	w.done(lost, Unreachable)
	if _, err := w.balancer.Choose(w.now, w.request("a")); err == nil {
		t.Error("a target that can't be reached is not left out")
	}
	w.now = w.now.Add(firstEjection)
	w.choose(w.request("a"))
	if _, err := w.balancer.Choose(w.now, w.request("a")); err == nil {
		t.Error("a target that was left out is tried by two requests at once")
	}
	report.MarkedOverdue = true
	w.balancer.Done(w.now, report)
	if _, err := w.balancer.Choose(w.now, w.request("a")); err == nil {
		t.Error("the overdue request counts after its end")
	}
}

// An overdue request that was sent before its target was registered anew counts
// neither as in flight nor as overdue there.
func TestOverdueRequestOfATargetRegisteredAnew(t *testing.T) {
	w := newWorld(t, 1, 0)
	old := w.choose(w.request("a"))
	w.balancer.SetTargets(w.now, nil)
	w.balancer.SetTargets(w.now, w.targets)
	report := Report{TargetID: old.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second}
	w.balancer.MarkOverdue(w.now, report)
	w.now = w.now.Add(firstEjection)
	w.choose(w.request("a"))
	if _, err := w.balancer.Choose(w.now, w.request("a")); err == nil {
		t.Error("a target that was left out is tried by two requests at once")
	}
}
