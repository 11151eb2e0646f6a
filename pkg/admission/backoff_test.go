package admission

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against a pool that uses a target before its back-off ends, checks its health
// meanwhile, or ends the longer of two back-offs with the shorter one.
func TestPoolBacksOff(t *testing.T) {
	l := newLimitedPool(2)
	l.handle(BackOff{Target: "t0", Wait: 3 * time.Second})
	l.handle(BackOff{Target: "t0", Wait: time.Second})
	for range 299 {
		l.load(10 * time.Millisecond)
		if names := l.pool.DueHealthChecks(l.now); len(names) != 1 || names[0] != "t1" {
			t.Fatalf("checked: %v", names)
		}
	}
	if l.granted["t0"] > 0 || len(l.refused) > 0 || l.pool.Load(l.now).Capacity != 5 {
		t.Errorf("granted %v, %d refused, capacity %d", l.granted, len(l.refused), l.pool.Load(l.now).Capacity)
	}
	l.load(10 * time.Second)
	if got := l.granted["t0"]; got < 100 {
		t.Errorf("after its back-off it got %d of 1000 requests", got)
	}
}

// Guards against requests that wait for the end of a back-off beyond their own time, and
// callers that are told to come back before it.
func TestPoolOfBackedOffTargetsRefusesAtOnce(t *testing.T) {
	l := newLimitedPool(2)
	for _, target := range []string{"t0", "t1"} {
		for range 5 { // all slots are taken
			l.id++
			l.pool.Handle(l.now, Arrive{ID: l.id, Class: Unrepeatable, Deadline: l.now.Add(time.Minute)})
		}
		_ = target
	}
	l.id++
	l.handle(Arrive{ID: l.id, Class: Unrepeatable, Deadline: l.now.Add(time.Minute)}) // waits
	if len(l.refused) > 0 {
		t.Fatal("refused before the back-offs")
	}
	l.handle(BackOff{Target: "t0", Wait: 30 * time.Second})
	l.handle(BackOff{Target: "t1", Wait: 20 * time.Second})
	if len(l.refused) != 1 {
		t.Fatalf("%d requests were refused, one waited", len(l.refused))
	}
	l.id++
	l.handle(Arrive{ID: l.id, Class: Unrepeatable, Deadline: l.now.Add(time.Minute)})
	if len(l.refused) != 2 {
		t.Fatalf("%d requests were refused", len(l.refused))
	}
	for _, after := range l.refused {
		if after < 20*time.Second || after > 42*time.Second {
			t.Errorf("told to come back after %s", after)
		}
	}
}

// Guards against a target that leaves and is used, and against its next incarnation, which
// has the same name, being left out.
func TestPoolUsesTheNextIncarnationOfATargetThatLeft(t *testing.T) {
	leaves := func(l *limitedPool) {
		l.handle(TargetUpdate{"t0", targetstatus.Update{Incarnation: "t0", Leaving: true, Received: l.now}.WithoutLimit()})
		l.load(time.Second)
		if l.granted["t0"] > 0 {
			t.Fatalf("it got %d requests", l.granted["t0"])
		}
	}
	returns := map[string]func(l *limitedPool){
		"was not ready": func(l *limitedPool) {
			l.handle(HealthReport{Target: "t0", Busy: -1})
			l.handle(HealthReport{Target: "t0", Ready: true, Busy: -1})
		},
		"drained": func(l *limitedPool) {
			l.handle(HealthReport{Target: "t0", Ready: true, Draining: true, Busy: -1})
			l.handle(HealthReport{Target: "t0", Ready: true, Busy: -1})
		},
		"is silent on it": func(l *limitedPool) { l.now = l.now.Add(leavingMemory) },
	}
	for name, back := range returns {
		l := newLimitedPool(2)
		leaves(l)
		l.handle(HealthReport{Target: "t0", Ready: true, Busy: -1}) // a check of before
		l.load(time.Second)
		if l.granted["t0"] > 0 {
			t.Errorf("%s: it got %d requests too soon", name, l.granted["t0"])
		}
		back(l)
		l.load(10 * time.Second)
		if l.granted["t0"] < 100 {
			t.Errorf("%s: it got %d requests", name, l.granted["t0"])
		}
	}
}

// Guards against a target that gets as many requests as it has slots at the moment at which
// its back-off ends.
func TestPoolReturnsToATargetGently(t *testing.T) {
	l := newLimitedPool(1)
	l.handle(BackOff{Target: "t0", Wait: time.Second})
	l.now = l.now.Add(2 * time.Second)
	if got := l.pool.Load(l.now); got.Capacity != 1 || got.InService != 1 {
		t.Errorf("after its back-off: %+v", got)
	}
	l.handle(BackOff{Target: "t0", Wait: time.Second})
	if got := l.pool.Load(l.now); got.Capacity != 0 || got.InService != 0 {
		t.Errorf("in its back-off: %+v", got)
	}
}
