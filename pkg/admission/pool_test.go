package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func repeatableClass() *Class {
	c := Repeatable
	return &c
}

func config(slots int) Config {
	return Config{
		Slots: slots, ReserveShare: 20, RefuseFirst: repeatableClass(), QueueLimit: 4, MaxQueueWait: 100 * time.Millisecond,
		ForeignShare: 30, RampUp: time.Second, EjectAfterFailures: 2, EjectShare: 50, EjectionTime: time.Second, MaxRequestTime: 10 * time.Second,
	}
}

func targets(n int) []Target {
	var out []Target
	for i := range n {
		out = append(out, Target{Name: fmt.Sprintf("t%d", i)})
	}
	return out
}

// TestGrantsRequireSlotAndLease checks the invariants of the package for any numbers of slots and
// targets and any order of events, including false reports from targets and changes of the target
// list.
func TestGrantsRequireSlotAndLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool(rapid.Uint64().Draw(t, "seed"))
		now := start
		slots := rapid.IntRange(1, 5).Draw(t, "slots")
		n := rapid.IntRange(1, 4).Draw(t, "targets")
		draining := make(map[string]bool)
		leaseUntil := now
		leaseFor := func(d time.Duration) { leaseUntil = now.Add(d) }
		leaseFor(time.Hour)
		p.Handle(now, Configure{config(slots), targets(n)})
		p.Handle(now, SetLease{leaseUntil})
		onTarget := make(map[string]int)
		granted := make(map[uint64]string)
		foreign := make(map[uint64]bool)
		brokenOff := make(map[uint64]string)
		brokenOffAt := make(map[uint64]time.Time)
		pending := make(map[uint64]bool)
		var id uint64
		check := func(out Output) {
			for _, r := range out.Reclaimed {
				if _, ok := brokenOff[r]; !ok || now.Sub(brokenOffAt[r]) < config(slots).MaxRequestTime {
					t.Fatalf("the slot of request %d was reclaimed, though it was not broken off long ago", r)
				}
				onTarget[brokenOff[r]]--
				delete(brokenOff, r)
			}
			for _, g := range out.Grants {
				if !pending[g.ID] {
					t.Fatalf("request %d was already granted, refused or canceled", g.ID)
				}
				delete(pending, g.ID)
				granted[g.ID] = g.Target
				onTarget[g.Target]++
				if onTarget[g.Target] > slots {
					t.Fatalf("%s runs %d requests in %d slots", g.Target, onTarget[g.Target], slots)
				}
				if draining[g.Target] {
					t.Fatalf("%s is draining and got a request", g.Target)
				}
				if !now.Before(leaseUntil) {
					t.Fatal("granted a request without the lease")
				}
			}
			for _, r := range out.Refusals {
				if !pending[r.ID] || r.RetryAfter <= 0 {
					t.Fatalf("request %d was refused after it had ended, or without a RetryAfter", r.ID)
				}
				delete(pending, r.ID)
			}
		}
		name := func() string { return fmt.Sprintf("t%d", rapid.IntRange(0, n-1).Draw(t, "target")) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id++
				pending[id] = true
				foreign[id] = rapid.Bool().Draw(t, "foreign")
				check(p.Handle(now, Arrive{
					ID: id, Class: Class(rapid.IntRange(0, 1).Draw(t, "class")), Foreign: foreign[id],
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "deadline")) * time.Millisecond),
				}))
			},
			"finish": func(t *rapid.T) {
				for done, target := range granted {
					delete(granted, done)
					onTarget[target]--
					check(p.Handle(now, Finish{ID: done, Result: Result(rapid.IntRange(0, 3).Draw(t, "result")), Latency: time.Millisecond}))
					return
				}
			},
			"break off": func(t *rapid.T) {
				for id, target := range granted {
					delete(granted, id)
					brokenOff[id] = target
					brokenOffAt[id] = now
					check(p.Handle(now, BreakOff{ID: id, Result: Result(rapid.IntRange(0, 3).Draw(t, "result"))}))
					return
				}
			},
			"finish broken off": func(t *rapid.T) {
				for id, target := range brokenOff {
					delete(brokenOff, id)
					onTarget[target]--
					check(p.Handle(now, Finish{ID: id, Result: Result(rapid.IntRange(0, 3).Draw(t, "result"))}))
					return
				}
			},
			"cancel": func(*rapid.T) {
				for waits := range pending {
					delete(pending, waits)
					check(p.Handle(now, Cancel{waits}))
					return
				}
			},
			"measure": func(t *rapid.T) {
				check(p.Handle(now, HealthReport{
					Target: name(), Ready: rapid.Bool().Draw(t, "ready"), Cold: rapid.Bool().Draw(t, "cold"),
					Busy: rapid.IntRange(-1, 9).Draw(t, "busy"),
				}))
			},
			"drain": func(t *rapid.T) {
				list := targets(n)
				clear(draining)
				for i := range list {
					list[i].Draining = rapid.Bool().Draw(t, "draining")
					draining[list[i].Name] = list[i].Draining
				}
				check(p.Handle(now, Configure{config(slots), list}))
			},
			"lose": func(*rapid.T) {
				leaseFor(0)
				check(p.Handle(now, SetLease{leaseUntil}))
			},
			"hold": func(*rapid.T) {
				leaseFor(time.Minute)
				check(p.Handle(now, SetLease{leaseUntil}))
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				check(p.Handle(now, Tick{}))
			},
			"": func(t *rapid.T) {
				load := p.Load(now)
				if load.Busy != len(granted)+len(brokenOff) || load.BrokenOff != len(brokenOff) || load.Waiting != len(pending) {
					t.Fatalf("got %+v, want %d busy, %d broken off and %d waiting", load, len(granted)+len(brokenOff), len(brokenOff), len(pending))
				}
			},
		})
	})
}

func newLeasedPool(slots, n int) *Pool {
	p := NewPool(1)
	p.Handle(start, Configure{config(slots), targets(n)})
	p.Handle(start, SetLease{start.Add(time.Hour)})
	return p
}

func arrive(p *Pool, now time.Time, id uint64, c Class) Output {
	return p.Handle(now, Arrive{ID: id, Class: c, Deadline: now.Add(time.Second)})
}

func TestReserveIsForTheClassRefusedLast(t *testing.T) {
	p := newLeasedPool(5, 1)
	for id := uint64(1); id <= 4; id++ {
		if len(arrive(p, start, id, Repeatable).Grants) != 1 {
			t.Fatalf("repeatable request %d got no slot", id)
		}
	}
	if len(arrive(p, start, 5, Repeatable).Grants) != 0 {
		t.Error("a repeatable request got a reserved slot")
	}
	if len(arrive(p, start, 6, Unrepeatable).Grants) != 1 {
		t.Error("an unrepeatable request did not get a reserved slot")
	}
}

func TestFullQueueDisplacesRepeatableRequests(t *testing.T) {
	p := newLeasedPool(1, 1)
	arrive(p, start, 1, Unrepeatable)
	for id := uint64(2); id <= 5; id++ {
		arrive(p, start, id, Repeatable)
	}
	out := arrive(p, start, 6, Unrepeatable)
	if len(out.Refusals) != 1 || out.Refusals[0].Reason != Displaced || out.Refusals[0].ID != 5 {
		t.Fatalf("got %+v, want request 5 displaced", out.Refusals)
	}
	out = p.Handle(start, Finish{ID: 1, Result: Succeeded, Latency: time.Millisecond})
	if len(out.Grants) != 1 || out.Grants[0].ID != 6 {
		t.Errorf("got %+v, want request 6 granted first", out.Grants)
	}
}

func TestFailingTargetIsEjectedAndReadmitted(t *testing.T) {
	p := newLeasedPool(2, 2)
	now := start
	var id uint64
	for range 40 {
		if p.Load(now).InService < 2 {
			break
		}
		now = now.Add(100 * time.Millisecond)
		id++
		g := arrive(p, now, id, Unrepeatable).Grants[0]
		result := Succeeded
		if g.Target == "t0" {
			result = Failed
		}
		p.Handle(now, Finish{ID: id, Result: result, Latency: time.Millisecond})
	}
	if load := p.Load(now); load.InService != 1 {
		t.Fatalf("%d targets in service, want 1", load.InService)
	}
	now = now.Add(1100 * time.Millisecond)
	if load := p.Load(now); load.Capacity != 3 {
		t.Errorf("capacity %d after the ejection, want 3: the target gets one slot for a trial request", load.Capacity)
	}
}

func TestEjectionIsLimitedToAShareOfTargets(t *testing.T) {
	p := newLeasedPool(1, 3)
	now := start
	for id := uint64(1); id <= 30; id++ {
		out := arrive(p, now, id, Unrepeatable)
		if len(out.Grants) == 0 {
			t.Fatal("all targets are ejected")
		}
		p.Handle(now, Finish{ID: id, Result: Failed, Latency: time.Millisecond})
	}
	if load := p.Load(now); load.InService < 2 {
		t.Errorf("%d of 3 targets in service, want at least 2 when at most half may be ejected", load.InService)
	}
}

func TestHealthReportOnlyLowersCapacity(t *testing.T) {
	p := newLeasedPool(3, 1)
	p.Handle(start, HealthReport{Target: "t0", Ready: true, Busy: 2})
	if load := p.Load(start); load.Capacity != 1 {
		t.Errorf("capacity %d with two requests of an earlier lease holder, want 1", load.Capacity)
	}
	p.Handle(start, HealthReport{Target: "t0", Ready: true, Busy: -5})
	if load := p.Load(start); load.Capacity != 1 {
		t.Errorf("capacity %d after a report without a number, want 1", load.Capacity)
	}
	p.Handle(start, HealthReport{Target: "t0", Ready: true, Busy: 0})
	if load := p.Load(start); load.Capacity != 3 {
		t.Errorf("capacity %d after the earlier requests have ended, want 3", load.Capacity)
	}
}

func TestNoWaitIsRefusedAtOnce(t *testing.T) {
	p := newLeasedPool(1, 1)
	arrive(p, start, 1, Unrepeatable)
	out := p.Handle(start, Arrive{ID: 2, Deadline: start.Add(time.Second), NoWait: true})
	if len(out.Refusals) != 1 || p.Load(start).Waiting != 0 {
		t.Errorf("got %+v, want a refusal", out)
	}
}

// Guards against a target that gets more requests than it has slots because it has not stopped one
// that was broken off.
func TestSlotOfBrokenOffRequestStaysTaken(t *testing.T) {
	p := newLeasedPool(1, 1)
	arrive(p, start, 1, Unrepeatable)
	p.Handle(start, BreakOff{ID: 1, Result: Canceled})
	if out := arrive(p, start, 2, Unrepeatable); len(out.Grants) != 0 {
		t.Errorf("got %+v while the target may still run the first request", out)
	}
	if out := p.Handle(start, Finish{ID: 1}); len(out.Grants) != 1 || out.Grants[0].ID != 2 {
		t.Errorf("got %+v, want request 2 granted once the target has stopped", out)
	}
}

// Guards against slots that are lost forever at a target that never stops.
func TestSlotOfBrokenOffRequestIsReclaimed(t *testing.T) {
	p := newLeasedPool(1, 1)
	arrive(p, start, 1, Unrepeatable)
	out := p.Handle(start, BreakOff{ID: 1, Result: Failed})
	reclaimAt := start.Add(config(1).MaxRequestTime)
	if !out.NextTick.Equal(reclaimAt) {
		t.Errorf("next tick at %v, want %v", out.NextTick, reclaimAt)
	}
	if out := p.Handle(reclaimAt.Add(-1), Tick{}); len(out.Reclaimed) != 0 {
		t.Errorf("got %+v before the time", out)
	}
	if out := p.Handle(reclaimAt, Tick{}); len(out.Reclaimed) != 1 || p.InFlight("t0") != 0 {
		t.Errorf("got %+v, want the slot of request 1 reclaimed", out)
	}
	p.Handle(reclaimAt, Finish{ID: 1})
	if n := p.InFlight("t0"); n != 0 {
		t.Errorf("%d requests in flight after the late end, want 0", n)
	}
}

// Guards against a failing target that is not ejected because its requests have not ended.
func TestBrokenOffRequestCountsAtOnce(t *testing.T) {
	p := newLeasedPool(2, 2)
	for id := uint64(1); id <= 2; id++ {
		p.Handle(start, Arrive{ID: id, Deadline: start.Add(time.Second), Exclude: []string{"t1"}})
	}
	for id := uint64(1); id <= 2; id++ {
		p.Handle(start, BreakOff{ID: id, Result: Failed})
	}
	if load := p.Load(start); load.InService != 1 {
		t.Errorf("%d targets in service, want 1 after two failures", load.InService)
	}
}

func TestRoundRobinHasNoQueue(t *testing.T) {
	p := NewPool(1)
	c := config(1)
	c.RoundRobin, c.ReserveShare = true, 0
	p.Handle(start, Configure{c, targets(2)})
	p.Handle(start, SetLease{start.Add(time.Hour)})
	first, second, third := arrive(p, start, 1, Repeatable), arrive(p, start, 2, Repeatable), arrive(p, start, 3, Repeatable)
	if first.Grants[0].Target == second.Grants[0].Target || len(third.Refusals) != 1 {
		t.Errorf("got %+v, %+v, %+v", first, second, third)
	}
}

// ExamplePool admits a request and ends it.
func ExamplePool() {
	p := NewPool(1)
	now := time.Unix(0, 0)
	p.Handle(now, Configure{Config{Slots: 1, MaxQueueWait: time.Second}, []Target{{Name: "t"}}})
	p.Handle(now, SetLease{Until: now.Add(time.Minute)})
	out := p.Handle(now, Arrive{ID: 7, Deadline: now.Add(time.Second)})
	fmt.Println(out.Grants)
	p.Handle(now, Finish{ID: 7, Result: Succeeded, Latency: time.Millisecond})
	fmt.Println(p.Load(now).Busy)
	// Output:
	// [{7 t}]
	// 0
}

// BenchmarkAdmit measures one admission and its end, for pools of several sizes.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := newLeasedPool(9, n)
			var id uint64
			for b.Loop() {
				id++
				arrive(p, start, id, Unrepeatable)
				p.Handle(start, Finish{ID: id, Result: Succeeded, Latency: time.Millisecond})
			}
		})
	}
}
