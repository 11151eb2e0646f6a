package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// regionsFixture is a balancer with targets in two regions and a clock.
type regionsFixture struct {
	t        *testing.T
	now      time.Time
	balancer *Balancer
	targets  []Target
}

func newRegionsFixture(t *testing.T, near, far int) *regionsFixture {
	f := &regionsFixture{t: t, now: time.Unix(0, 0)}
	f.balancer = New(Config{Box: "box1", Zone: "near-a", Region: "near"})
	f.balancer.SetBoxes([]Box{{"box1", "near"}, {"box2", "far"}})
	for i := range near {
		f.add(fmt.Sprintf("near%d", i), "near")
	}
	for i := range far {
		f.add(fmt.Sprintf("far%d", i), "far")
	}
	return f
}

func (f *regionsFixture) add(id, region string) {
	f.targets = append(f.targets, Target{ID: id, Service: "s", Zone: region + "-a", Region: region, Slots: 4})
	f.balancer.SetTargets(f.now, f.targets)
}

func (f *regionsFixture) request(key string) Request {
	return Request{Service: "s", Route: "r", AffinityKey: key, Objective: 400 * time.Millisecond, Remaining: 400 * time.Millisecond}
}

func (f *regionsFixture) choose(r Request) Choice {
	f.t.Helper()
	c, err := f.balancer.Choose(f.now, r)
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

func (f *regionsFixture) done(c Choice, o Outcome) {
	f.balancer.Done(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: 100 * time.Millisecond})
}

// Guards against requests that change region because of requests bound to another region, or
// because of a load that the region's targets can bear.
func TestRequestsKeepTheirRegion(t *testing.T) {
	f := newRegionsFixture(t, 4, 4)
	regionOf := make(map[string]string)
	for i := range 200 {
		f.now = f.now.Add(10 * time.Millisecond)
		key := fmt.Sprint(i % 50)
		bound := f.request(key)
		bound.Regions = []string{"far"}
		f.done(f.choose(bound), Answered)
		c := f.choose(f.request(key))
		if at, ok := regionOf[key]; ok && at != c.Target.Region {
			t.Fatalf("requests with affinity key %s moved from region %s to %s", key, at, c.Target.Region)
		}
		regionOf[key] = c.Target.Region
		f.done(c, Answered)
	}
}

// Large responses, and requests whose objective is too short for the round trip, stay in the box's
// region while it has a usable target.
func TestFarRegionIsUsedOnlyAsFallback(t *testing.T) {
	f := newRegionsFixture(t, 1, 8)
	large := f.request("a")
	large.PreferLocal = true
	urgent := f.request("a")
	urgent.Objective = 100 * time.Millisecond
	f.balancer.Done(f.now, Report{TargetID: "far0", Route: "r", Outcome: Answered, Took: 100 * time.Millisecond, Connect: 70 * time.Millisecond})
	for _, r := range []Request{large, urgent} {
		c := f.choose(r)
		if c.Remote {
			t.Fatalf("%+v left the region", r)
		}
		f.done(c, Answered)
	}
	f.targets[0].Draining = true
	f.balancer.SetTargets(f.now, f.targets)
	if c := f.choose(large); !c.Remote {
		t.Fatal("the request stayed in a region without a target in service")
	}
}

func TestSameAffinityKeyGoesToTheSameTarget(t *testing.T) {
	f := newRegionsFixture(t, 6, 0)
	for i := range 40 {
		f.done(f.choose(f.request(fmt.Sprint(i))), Answered)
	}
	first := f.choose(f.request("a"))
	f.done(first, Answered)
	for range 20 {
		c := f.choose(f.request("a"))
		if c.Target.ID != first.Target.ID {
			t.Fatalf("sent to %s, earlier to %s", c.Target.ID, first.Target.ID)
		}
		f.done(c, Answered)
	}
}

func TestRequestIsRefusedWithRetryAfterWhenTargetIsFull(t *testing.T) {
	f := newRegionsFixture(t, 1, 0)
	var refused *NoTargetError
	for range 40 {
		if _, err := f.balancer.Choose(f.now, f.request("a")); err != nil {
			if !errors.As(err, &refused) || refused.Reason != ReasonFull || refused.RetryAfter <= 0 {
				t.Fatalf("got %v", err)
			}
			return
		}
	}
	t.Fatal("a target with 4 slots accepted 40 requests")
}

func TestDrainingAndEvacuatedTargetsGetNothing(t *testing.T) {
	f := newRegionsFixture(t, 2, 0)
	f.targets[0].Draining = true
	f.balancer.SetTargets(f.now, f.targets)
	for i := range 20 {
		c := f.choose(f.request(fmt.Sprint(i)))
		if c.Target.ID == "near0" {
			t.Fatal("a draining target was chosen")
		}
		f.done(c, Answered)
	}
	f.balancer.SetEvacuated(f.now, []string{"near-a"})
	if _, err := f.balancer.Choose(f.now, f.request("a")); err == nil {
		t.Fatal("a target of an evacuated zone was chosen")
	}
}

// Within a second, the boxes that share a cold target send it at most its rate plus one request
// for each of them.
func TestColdTargetRateIsNotExceeded(t *testing.T) {
	const boxes, rate = 9, 14.0
	var boxList []Box
	for i := range boxes {
		boxList = append(boxList, Box{fmt.Sprintf("box%d", i), "near"})
	}
	now := time.Unix(0, 0)
	sent := 0
	for _, box := range boxList {
		b := New(Config{Box: box.Name, Zone: "near-a", Region: "near"})
		b.SetBoxes(boxList)
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
	if sent == 0 || float64(sent) > rate+maxColdSharers {
		t.Fatalf("%d requests in a second exceed the cold target's rate of %v", sent, rate)
	}
}

// A target that accepts requests and breaks every response is ejected like an unreachable one, and
// tried again later.
func TestTargetIsEjectedAfterRepeatedBrokenResponses(t *testing.T) {
	f := newRegionsFixture(t, 2, 0)
	bad := f.choose(f.request("a")).Target.ID
	f.done(Choice{Target: Target{ID: bad}}, Answered)
	broken := 0
	for range 20 {
		c := f.choose(f.request("a"))
		outcome := Answered
		if c.Target.ID == bad {
			outcome = Broken
			broken++
		}
		f.done(c, outcome)
	}
	if broken != maxBrokenAnswers {
		t.Fatalf("%d responses broke in a row, want the target ejected after %d", broken, maxBrokenAnswers)
	}
	f.now = f.now.Add(maxEjection)
	if c := f.choose(f.request("a")); c.Target.ID != bad {
		t.Fatal("the target was not tried again after its ejection")
	}
}

// fillHome uses all slots of an affinity key's home target and returns its ID.
func (f *regionsFixture) fillHome(key string) string {
	f.t.Helper()
	home := f.choose(f.request(key)).Target
	for range home.Slots - 1 {
		if got := f.choose(f.request(key)).Target.ID; got != home.ID {
			f.t.Fatalf("the request went to %s while its home target %s had free slots", got, home.ID)
		}
	}
	return home.ID
}

// reportLoad has every target respond with a load, then lets enough time pass for the load from
// other boxes to decay.
func (f *regionsFixture) reportLoad(l targetstatus.Load) {
	for range 200 {
		for _, t := range f.targets {
			f.balancer.Done(f.now, Report{TargetID: t.ID, Route: "r", Outcome: Answered, Took: 100 * time.Millisecond, Load: l, HasLoad: true})
		}
	}
	f.now = f.now.Add(time.Minute)
}

// A request whose home target has no free slot waits there for as long as that is faster than a
// target that has not cached the object.
func TestRequestWaitsAtHomeTargetWhileThatIsFaster(t *testing.T) {
	f := newRegionsFixture(t, 4, 0)
	f.reportLoad(targetstatus.Load{Running: 1, Slots: 4})
	home := f.fillHome("a")
	r := f.request("a")
	times := f.balancer.timesOfRoute(r)
	waitBound := times.maxHomeWait(r, maxWait(r, times))
	atHome := 0
	for {
		wait := f.balancer.byID[home].expectedWait(f.now, times.overall)
		got := f.choose(r)
		if got.Target.ID != home {
			if wait <= waitBound {
				t.Errorf("the request left its home target at a wait of %v, want it to stay up to %v", wait, waitBound)
			}
			break
		}
		if atHome++; wait > waitBound {
			t.Fatalf("the request waits %v at %s while others have free slots, want at most %v", wait, home, waitBound)
		}
	}
	if atHome == 0 {
		t.Error("no request waited at its home target")
	}
}

// A request that would wait too long at its home target goes to another one only while targets have
// no queues. In a saturated service it is refused, because a target that has not cached the object
// would need a slot for longer.
func TestSaturatedServiceKeepsRequestsAtHomeTarget(t *testing.T) {
	f := newRegionsFixture(t, 4, 0)
	f.reportLoad(targetstatus.Load{Running: 1, Slots: 4})
	home := f.fillHome("a")
	urgent := f.request("a")
	urgent.Remaining = 0 // cannot wait
	if got := f.choose(urgent).Target.ID; got == home {
		t.Errorf("the request waits at %s while others have free slots", home)
	}

	f = newRegionsFixture(t, 4, 0)
	f.reportLoad(targetstatus.Load{Running: 4, Waiting: 3, Slots: 4})
	f.fillHome("a")
	r := f.request("a")
	r.Remaining = 0 // cannot wait
	_, err := f.balancer.Choose(f.now, r)
	var refused *NoTargetError
	if !errors.As(err, &refused) || refused.Reason != ReasonFull {
		t.Errorf("got %v, want a NoTargetError with ReasonFull", err)
	}
}

// For a target that reports no load, every box is assumed to send as much as this one.
func TestLoadPerSlotWithoutReportedLoad(t *testing.T) {
	f := newRegionsFixture(t, 1, 1)
	target := f.balancer.byID["near0"]
	target.inFlight = 3
	answered := Report{TargetID: "near0", Outcome: Answered}
	if got := f.balancer.loadPerSlot(target, answered); got != 1.5 {
		t.Errorf("the load per slot is %g with 3 requests from each of 2 boxes at 4 slots, want 1.5", got)
	}
	if got := f.balancer.loadPerSlot(target, Report{TargetID: "near0", Outcome: TurnedAway}); got != rejectedLoad {
		t.Errorf("the load per slot of a target that rejected a request is %g, want %g", got, rejectedLoad)
	}
}

// A target that rejected a request although it had free slots may be retried after minRetryAfter;
// one with a queue only when a slot is expected to be free.
func TestRetryAfterFollowsTheTargetsLoad(t *testing.T) {
	f := newRegionsFixture(t, 1, 0)
	turnAway := func(l targetstatus.Load) time.Duration {
		c := f.choose(f.request("a"))
		f.balancer.Done(f.now, Report{TargetID: c.Target.ID, Route: "r", Outcome: TurnedAway, Load: l, HasLoad: true})
		return f.balancer.RetryAfter(f.now, c.Target.ID, "r")
	}
	if got := turnAway(targetstatus.Load{Running: 1, Slots: 4}); got != minRetryAfter {
		t.Errorf("RetryAfter with free slots is %v", got)
	}
	full := turnAway(targetstatus.Load{Running: 4, Waiting: 4, Slots: 4})
	if want := f.balancer.byID["near0"].expectedWait(f.now, 200*time.Millisecond); full != want || full <= minRetryAfter {
		t.Errorf("RetryAfter with 4 requests waiting for 4 slots is %v, a slot is free after %v", full, want)
	}
	if got := f.balancer.RetryAfter(f.now, "gone", "r"); got != minRetryAfter {
		t.Errorf("RetryAfter for an unregistered target is %v", got)
	}
}

// A refusal reports the values that it was based on.
func TestRefusalReportsItsInputs(t *testing.T) {
	f := newRegionsFixture(t, 1, 0)
	f.reportLoad(targetstatus.Load{Running: 4, Waiting: 2, Slots: 4})
	f.fillHome("a")
	r := f.request("a")
	r.Remaining = 0
	_, err := f.balancer.Choose(f.now, r)
	var refused *NoTargetError
	if !errors.As(err, &refused) {
		t.Fatalf("got %v", err)
	}
	if refused.Target != "near0" || refused.Registered != 1 || refused.Slots != 4 || refused.Load < 4 || refused.ExpectedWait <= refused.MaxWait || refused.ServiceLoad < 1 {
		t.Errorf("got %+v", refused)
	}
}

// A single lost response does not eject a target that has responded to other requests since.
func TestRespondingTargetIsNotEjectedForOneFailure(t *testing.T) {
	for _, o := range []Outcome{Stuck, Unreachable} {
		f := newRegionsFixture(t, 2, 0)
		lost := f.choose(f.request("a"))
		id := lost.Target.ID
		report := Report{TargetID: id, Route: "r", Outcome: o, Took: time.Second}

		f.now = f.now.Add(500 * time.Millisecond)
		f.done(f.choose(f.request("a")), Answered)
		f.now = f.now.Add(500 * time.Millisecond)
		if got := f.balancer.Done(f.now, report); got != Unchanged {
			t.Errorf("%v: a target that has just responded was ejected", o)
		}
		c := f.choose(f.request("a"))
		if c.Target.ID != id {
			t.Errorf("%v: the request goes to %s", o, c.Target.ID)
		}
		f.now = f.now.Add(2 * time.Second)
		if got := f.balancer.Done(f.now, report); got != Ejected {
			t.Errorf("%v: a target that has not responded since was not ejected", o)
		}
	}
}

// An overdue request counts against its target until it ends, whatever its outcome and whatever
// happened to the target in between.
func TestOverdueRequestCountsAsLoadUntilItEnds(t *testing.T) {
	for _, o := range []Outcome{Answered, TurnedAway, Stuck, Broken, Dropped} {
		f := newRegionsFixture(t, 1, 0)
		c := f.choose(f.request("a"))
		r := Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: time.Second}
		f.balancer.MarkOverdue(f.now, r)
		if got := f.balancer.byID["near0"].load(f.now); got != 1 {
			t.Errorf("%v: with an overdue request the load is %g", o, got)
		}
		f.now = f.now.Add(minEjection)
		r.MarkedOverdue = true
		f.balancer.Done(f.now, r)
		f.now = f.now.Add(time.Minute)
		if got := f.choose(f.request("a")); got.Load > 0.01 {
			t.Errorf("%v: with no request the load is %g", o, got.Load)
		}
	}
}

// Guards against a target that stays ejected because of an overdue request: after the ejection it
// gets one trial request, even if an overdue one is in flight, and no second one.
func TestOverdueRequestDoesNotBlockTrialAfterEjection(t *testing.T) {
	f := newRegionsFixture(t, 1, 0)
	overdue := f.choose(f.request("a"))
	report := Report{TargetID: overdue.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second}
	f.now = f.now.Add(500 * time.Millisecond)
	f.done(f.choose(f.request("a")), Answered)
	f.now = f.now.Add(500 * time.Millisecond)
	if got := f.balancer.MarkOverdue(f.now, report); got != Unchanged {
		t.Error("a target that has just responded was ejected")
	}
	lost := f.choose(f.request("a"))
	f.now = f.now.Add(time.Second)
	f.done(lost, Unreachable)
	if _, err := f.balancer.Choose(f.now, f.request("a")); err == nil {
		t.Error("an unreachable target was not ejected")
	}
	f.now = f.now.Add(minEjection)
	f.choose(f.request("a"))
	if _, err := f.balancer.Choose(f.now, f.request("a")); err == nil {
		t.Error("an ejected target was tried by two requests at once")
	}
	report.MarkedOverdue = true
	f.balancer.Done(f.now, report)
	if _, err := f.balancer.Choose(f.now, f.request("a")); err == nil {
		t.Error("the overdue request still counts after its end")
	}
}

// An overdue request that was sent before its target was deregistered and registered again counts
// there neither as in flight nor as overdue.
func TestOverdueRequestIsNotCountedAfterReregistration(t *testing.T) {
	f := newRegionsFixture(t, 1, 0)
	old := f.choose(f.request("a"))
	f.balancer.SetTargets(f.now, nil)
	f.balancer.SetTargets(f.now, f.targets)
	report := Report{TargetID: old.Target.ID, Route: "r", Outcome: Stuck, Took: time.Second}
	f.balancer.MarkOverdue(f.now, report)
	f.now = f.now.Add(minEjection)
	f.choose(f.request("a"))
	if _, err := f.balancer.Choose(f.now, f.request("a")); err == nil {
		t.Error("an ejected target was tried by two requests at once")
	}
}

// Guards against targets that stay ejected for failures of this box: what fails without a path ejects no
// target, and a zone whose path was lost or is back is readmitted whole.
func TestLostPathEjectsNoTarget(t *testing.T) {
	b, _ := versionedBalancer(0.1)
	now := time.Unix(0, 0)
	for range 20 {
		c, err := b.Choose(now, rolloutRequest(""))
		if err != nil {
			t.Fatal(err)
		}
		if change := b.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: NoPath}); change != Unchanged {
			t.Fatal("a target was ejected")
		}
	}
	for range 8 {
		c, err := b.Choose(now, rolloutRequest(""))
		if err != nil {
			break
		}
		b.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Unreachable})
	}
	if _, err := b.Choose(now, rolloutRequest("")); err == nil {
		t.Fatal("targets that can't be reached are used")
	}
	b.ReadmitZone("z")
	if _, err := b.Choose(now, rolloutRequest("")); err != nil {
		t.Errorf("after the path is back: %v", err)
	}
}
