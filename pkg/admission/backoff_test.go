package admission

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
)

// Guards against a pool that uses a target or checks its health during a back-off, or that ends the
// longer of two back-offs with the shorter one.
func TestBackedOffTargetGetsNoRequestsOrHealthChecks(t *testing.T) {
	f := newLoadFixture(2)
	f.handle(BackOff{Target: "t0", Wait: 3 * time.Second})
	f.handle(BackOff{Target: "t0", Wait: time.Second})
	for range 299 {
		f.sendRequests(10 * time.Millisecond)
		if names := f.pool.DueHealthChecks(f.now); len(names) != 1 || names[0] != "t1" {
			t.Fatalf("health checks are due for %v, want only t1", names)
		}
	}
	if f.granted["t0"] > 0 || len(f.refused) > 0 || f.pool.Load(f.now).Capacity != 5 {
		t.Errorf("granted %v, %d refused, capacity %d", f.granted, len(f.refused), f.pool.Load(f.now).Capacity)
	}
	f.sendRequests(10 * time.Second)
	if got := f.granted["t0"]; got < 100 {
		t.Errorf("t0 got %d of 1000 requests after its back-off, want at least 100", got)
	}
}

// Guards against requests that wait for the end of a back-off beyond their own deadline, and
// against a Retry-After that ends before the back-off.
func TestPoolOfBackedOffTargetsRefusesAtOnce(t *testing.T) {
	f := newLoadFixture(2)
	for _, target := range []string{"t0", "t1"} {
		for range 5 { // take all slots
			f.id++
			f.pool.Handle(f.now, Arrive{ID: f.id, Class: Unrepeatable, Deadline: f.now.Add(time.Minute)})
		}
		_ = target
	}
	f.id++
	f.handle(Arrive{ID: f.id, Class: Unrepeatable, Deadline: f.now.Add(time.Minute)}) // waits
	if len(f.refused) > 0 {
		t.Fatal("a request was refused before the back-offs")
	}
	f.handle(BackOff{Target: "t0", Wait: 30 * time.Second})
	f.handle(BackOff{Target: "t1", Wait: 20 * time.Second})
	if len(f.refused) != 1 {
		t.Fatalf("%d requests were refused, want the one that waited", len(f.refused))
	}
	f.id++
	f.handle(Arrive{ID: f.id, Class: Unrepeatable, Deadline: f.now.Add(time.Minute)})
	if len(f.refused) != 2 {
		t.Fatalf("%d requests were refused, want 2", len(f.refused))
	}
	for _, after := range f.refused {
		if after < 20*time.Second || after > 42*time.Second {
			t.Errorf("RetryAfter is %s", after)
		}
	}
}

// Guards against using a leaving target, and against not using its next incarnation, which has the
// same name.
func TestPoolUsesTheNextIncarnationOfALeavingTarget(t *testing.T) {
	leaves := func(f *loadFixture) {
		f.handle(TargetUpdate{"t0", targetstatus.Update{Incarnation: "t0", Leaving: true, Received: f.now}.WithoutLimit()})
		f.sendRequests(time.Second)
		if f.granted["t0"] > 0 {
			t.Fatalf("t0 got %d requests while leaving", f.granted["t0"])
		}
	}
	returns := map[string]func(f *loadFixture){
		"was not ready": func(f *loadFixture) {
			f.handle(HealthReport{Target: "t0", Busy: -1})
			f.handle(HealthReport{Target: "t0", Ready: true, Busy: -1})
		},
		"drained": func(f *loadFixture) {
			f.handle(HealthReport{Target: "t0", Ready: true, Draining: true, Busy: -1})
			f.handle(HealthReport{Target: "t0", Ready: true, Busy: -1})
		},
		"leaving report expired": func(f *loadFixture) { f.now = f.now.Add(leavingTimeout) },
	}
	for name, back := range returns {
		f := newLoadFixture(2)
		leaves(f)
		f.handle(HealthReport{Target: "t0", Ready: true, Busy: -1}) // the old incarnation still passes its health check
		f.sendRequests(time.Second)
		if f.granted["t0"] > 0 {
			t.Errorf("%s: t0 got %d requests too early", name, f.granted["t0"])
		}
		back(f)
		f.sendRequests(10 * time.Second)
		if f.granted["t0"] < 100 {
			t.Errorf("%s: t0 got %d of 1000 requests, want at least 100", name, f.granted["t0"])
		}
	}
}

// Guards against a target that gets as many requests as it has slots at the moment its back-off
// ends.
func TestPoolRecoversGraduallyAfterBackOff(t *testing.T) {
	f := newLoadFixture(1)
	f.handle(BackOff{Target: "t0", Wait: time.Second})
	f.now = f.now.Add(2 * time.Second)
	if got := f.pool.Load(f.now); got.Capacity != 1 || got.InService != 1 {
		t.Errorf("after its back-off: %+v", got)
	}
	f.handle(BackOff{Target: "t0", Wait: time.Second})
	if got := f.pool.Load(f.now); got.Capacity != 0 || got.InService != 0 {
		t.Errorf("during its back-off: %+v", got)
	}
}
