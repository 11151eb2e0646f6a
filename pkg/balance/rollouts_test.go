package balance

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// versionedBalancer returns a balancer with targets of two versions and a running roll-out to v2.
func versionedBalancer(share float64) (*Balancer, *wire.Rollout) {
	b := New(Config{Box: "b", Zone: "z", Region: "r"})
	now := time.Unix(0, 0)
	var targets []Target
	for i := range 4 {
		for _, v := range []string{"v1", "v2"} {
			name := fmt.Sprint(v, "-", i)
			targets = append(targets, Target{ID: name, Name: name, Service: "s", Software: v, Zone: "z", Region: "r", Slots: 2})
		}
	}
	r := &wire.Rollout{Service: "s", TargetVersion: "v2", Number: 1, Share: share, DurationMilli: 12_000, PreviousVersions: []string{"v1"}}
	b.SetRollouts(now, []*wire.Rollout{r})
	b.SetTargets(now, targets)
	return b, r
}

func rolloutRequest(key string) Request {
	return Request{Service: "s", Route: "r", AffinityKey: key, Objective: time.Second, Remaining: time.Second}
}

// serveVersion sends a request and returns the version that responded.
func serveVersion(t *testing.T, b *Balancer, now time.Time, r Request) string {
	t.Helper()
	c, err := b.Choose(now, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Done(now, Report{TargetID: c.Target.ID, Route: r.Route, AffinityKey: r.AffinityKey, Outcome: Answered, Took: 100 * time.Millisecond})
	return c.Target.Software
}

// Guards against a box that gives a version more than its share, or moves objects that stay with the
// previous version.
func TestRolloutDividesRequests(t *testing.T) {
	b, _ := versionedBalancer(0.1)
	now := time.Unix(0, 0)
	count := make(map[string]int)
	for i := range 1000 {
		now = now.Add(10 * time.Millisecond)
		count[serveVersion(t, b, now, rolloutRequest(fmt.Sprint("key", i%300)))]++
		if all := count["v1"] + count["v2"]; float64(count["v2"]) > 0.1*float64(all) {
			t.Fatalf("%d of %d requests went to the version", count["v2"], all)
		}
	}
	if count["v2"] < 50 {
		t.Errorf("got %v", count)
	}
}

// Guards against slots of the other version that are not used while those of one are full.
func TestBothVersionsAreCapacity(t *testing.T) {
	b, _ := versionedBalancer(1)
	now := time.Unix(0, 0)
	for i := range 40 {
		serveVersion(t, b, now.Add(time.Duration(i)*time.Millisecond), rolloutRequest(""))
	}
	for _, t := range b.byID {
		t.Draining = t.Software == "v1"
	}
	if v := serveVersion(t, b, now.Add(time.Second), rolloutRequest("")); v != "v2" {
		t.Errorf("the request went to %s", v)
	}
}

// Guards against a request whose target was chosen before a step and that is sent there after it.
func TestChoiceOfClosedVersionIsWithdrawn(t *testing.T) {
	b, r := versionedBalancer(0.1)
	now := time.Unix(0, 0)
	c, err := b.Choose(now, rolloutRequest("a"))
	if err != nil || c.Target.Software != "v1" {
		t.Fatalf("got %v, %v", c, err)
	}
	closed := &wire.Rollout{Service: "s", TargetVersion: "v2", Number: 1, Step: r.Step + 1, Share: 1, PreviousClosed: true, DurationMilli: 12_000}
	b.SetRollouts(now, []*wire.Rollout{closed})
	if b.CanSend(now, c.Target.ID) {
		t.Error("the request may still be sent to the previous version")
	}
	if reports := b.RolloutReports(); len(reports) != 1 || reports[0].PreviousInFlight != 1 || reports[0].Step != 1 {
		t.Errorf("got %v", reports)
	}
	b.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Withdrawn})
	if reports := b.RolloutReports(); reports[0].PreviousInFlight != 0 {
		t.Errorf("got %v", reports)
	}
	if v := serveVersion(t, b, now, rolloutRequest("a")); v != "v2" {
		t.Errorf("the next request went to %s", v)
	}
}

// Guards against lost connections, rejections and callers that leave counting against a version.
func TestOnlyResponsesAreEvidence(t *testing.T) {
	b, _ := versionedBalancer(1)
	now := time.Unix(0, 0)
	for range 40 {
		serveVersion(t, b, now, rolloutRequest(""))
	}
	counts := func() (out uint64) {
		for _, r := range b.RolloutReports()[0].Routes {
			out += r.Bad + r.PreviousBad
		}
		return out
	}
	for _, o := range []Outcome{TurnedAway, Unreachable, Broken, Dropped, Withdrawn, NoPath} {
		c, err := b.Choose(now, rolloutRequest(""))
		if err != nil {
			t.Fatal(err)
		}
		b.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: o, Took: time.Minute})
		if n := counts(); n != 0 {
			t.Errorf("%s counts as bad", o)
		}
		now = now.Add(10 * time.Second)
	}
	c, err := b.Choose(now, rolloutRequest(""))
	if err != nil {
		t.Fatal(err)
	}
	b.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Failed: true})
	if n := counts(); n != 1 {
		t.Errorf("%d bad responses after a failure, want 1", n)
	}
}
