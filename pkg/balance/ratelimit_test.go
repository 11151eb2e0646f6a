package balance

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

var anyRequest = Request{Service: "s", Route: "r", AffinityKey: "a", Objective: time.Second, Remaining: time.Second}

// Guards against a cold target that loses its token when no permit is granted. It must receive the
// next request as soon as a permit is available.
func TestThrottledColdTargetKeepsItsToken(t *testing.T) {
	b := New(Config{Box: "box", Zone: "z", Region: "r"})
	b.SetBoxes([]Box{{"box", "r"}})
	b.SetColdLimit("s", ColdLimit{Time: time.Hour, Rate: 0.1})
	now := time.Unix(0, 0)
	b.SetTargets(now, []Target{{ID: "t", Service: "s", Zone: "z", Region: "r", Slots: 4, Cold: true, ColdRemaining: time.Hour}})
	b.SetLimited("t", true)
	now = now.Add(time.Minute)
	choice, err := b.Choose(now, anyRequest)
	if err != nil || !choice.Limited {
		t.Fatalf("got %+v, %v", choice, err)
	}
	b.ThrottleUntil(now, "t", now.Add(time.Second))
	var none *NoTargetError
	if _, err := b.Choose(now, anyRequest); !errors.As(err, &none) || none.Reason != ReasonLimited || none.RetryAfter < time.Second {
		t.Errorf("while the target is throttled: %v", err)
	}
	now = now.Add(time.Second)
	if choice, err := b.Choose(now, anyRequest); err != nil || choice.Load > 0 {
		t.Errorf("after the throttling: %+v, %v", choice, err)
	}
}

// Guards against a Retry-After that promises capacity at rate-limited targets that cannot be used
// for another reason.
func TestEvacuatedTargetsAreNotReportedAsLimited(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{Box: "box", Zone: "z", Region: "r"})
	b.SetTargets(now, []Target{{ID: "t", Service: "s", Zone: "z", Region: "r", Slots: 4}, {ID: "u", Service: "s", Zone: "z", Region: "r", Slots: 4, Draining: true}})
	for _, id := range []string{"t", "u"} {
		b.SetLimited(id, true)
		b.ThrottleUntil(now, id, now.Add(time.Minute))
	}
	b.SetEvacuated(now, []string{"z"})
	var none *NoTargetError
	if _, err := b.Choose(now, anyRequest); !errors.As(err, &none) || none.Reason != ReasonNone {
		t.Errorf("in an evacuated zone: %v", err)
	}
}

// BenchmarkChooseWithLimitedTargets measures one choice and its report while a third of 3,000
// targets is throttled for lack of permits.
func BenchmarkChooseWithLimitedTargets(b *testing.B) {
	balancer := New(Config{Box: "box0", Zone: "z0", Region: "r0"})
	var all []Target
	for i := range 3000 {
		all = append(all, Target{ID: fmt.Sprint("i", i), Service: "s", Zone: fmt.Sprint("z", i%9), Region: fmt.Sprint("r", i%3), Slots: 9})
	}
	now := time.Unix(0, 0)
	balancer.SetTargets(now, all)
	for i := 0; i < len(all); i += 3 {
		balancer.SetLimited(all[i].ID, true)
		balancer.ThrottleUntil(now, all[i].ID, now.Add(time.Hour))
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		c, err := balancer.Choose(now, Request{Service: "s", Route: "r", AffinityKey: fmt.Sprint(i % 900), Objective: time.Second, Remaining: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		balancer.Done(now, Report{TargetID: c.Target.ID, Route: "r", Outcome: Answered, Took: 500 * time.Millisecond})
	}
}

// A request that excludes rate-limited targets goes straight to one without a limit. If there is
// none, the error gives the limits as the reason.
func TestExcludeLimitedSkipsLimitedTargets(t *testing.T) {
	now := time.Unix(0, 0)
	b := New(Config{Box: "box", Zone: "z", Region: "r"})
	var all []Target
	for i := range 20 {
		all = append(all, Target{ID: fmt.Sprint("t", i), Service: "s", Zone: "z", Region: "r", Slots: 4})
	}
	b.SetTargets(now, all)
	for _, given := range all[1:] {
		b.SetLimited(given.ID, true)
	}
	r := anyRequest
	r.ExcludeLimited = true
	if choice, err := b.Choose(now, r); err != nil || choice.Target.ID != "t0" || choice.Limited {
		t.Errorf("got %+v, %v", choice, err)
	}
	b.SetLimited("t0", true)
	var none *NoTargetError
	if _, err := b.Choose(now, r); !errors.As(err, &none) || none.Reason != ReasonLimited {
		t.Errorf("when all targets have rate limits: %v", err)
	}
}
