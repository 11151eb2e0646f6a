package distribution

import (
	"strings"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	testStaleAfter = 1600 * time.Millisecond
	testStep       = 100 * time.Millisecond
)

// testFollower drives a Follower that has two sources, a and b.
type testFollower struct {
	*Follower
	now     time.Time
	attempt uint64
	bytes   uint64
	notices []string
}

func newTestFollower() *testFollower {
	now := time.Unix(1000, 0)
	f := &testFollower{Follower: NewFollower(now, 1), now: now}
	f.SetStaleAfter(testStaleAfter)
	f.handle(SetSources{[]Source{{Name: "a"}, {Name: "b"}}})
	return f
}

// handle passes on an event and reports whether the follower left its upstream.
func (f *testFollower) handle(e Event) (left bool) {
	out := f.Handle(f.now, e)
	if out.Notice != "" {
		f.notices = append(f.notices, out.Notice)
	}
	if out.Subscribe != nil {
		f.attempt = out.Subscribe.Attempt
		f.bytes = 0
	}
	_, follows := f.Upstream()
	return out.Subscribe != nil || (!follows && !f.pending)
}

// openSubscription opens the current subscription and delivers its first update.
func (f *testFollower) openSubscription() {
	f.handle(Opened{f.attempt})
	f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate()})
}

func (f *testFollower) emptyUpdate() *wire.Update {
	v := f.State().Version()
	return &wire.Update{FromVersion: v, Version: v}
}

// receiveBytes delivers bytes of an update at each step until the given time has passed
// or the follower leaves its upstream, and returns the time until then.
func (f *testFollower) receiveBytes(length time.Duration, bytesPerStep uint64) (after time.Duration, left bool) {
	for after < length {
		f.now = f.now.Add(testStep)
		after += testStep
		f.bytes += bytesPerStep
		if f.handle(Progress{f.attempt, f.bytes}) || f.handle(Tick{}) {
			return after, true
		}
	}
	return after, false
}

// TestUpstreamIsKeptDuringTransfer guards against a follower that leaves its
// upstream in the middle of a long update.
func TestUpstreamIsKeptDuringTransfer(t *testing.T) {
	f := newTestFollower()
	f.openSubscription()
	if after, left := f.receiveBytes(10*time.Second, 50_000); left {
		t.Fatalf("left its upstream in the middle of an update, after %v", after)
	}
	if age := f.ControlAge(f.now); age < 10*time.Second {
		t.Errorf("control age is %v, but there was no contact for 10 s", age)
	}
	if f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate()}) {
		t.Error("left its upstream at the end of the update")
	}
	if age := f.ControlAge(f.now); age < 9*time.Second {
		t.Errorf("control age is %v, but the update was made 10 s ago", age)
	}
	f.now = f.now.Add(testStep)
	if f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate()}) || f.ControlAge(f.now) > testStep {
		t.Errorf("left its upstream, or control age is %v after a heartbeat", f.ControlAge(f.now))
	}
}

func TestFirstUpdateMayExceedConnectTimeout(t *testing.T) {
	f := newTestFollower()
	if after, left := f.receiveBytes(10*time.Second, 50_000); left {
		t.Fatalf("left its upstream in the middle of the first update, after %v", after)
	}
	f.openSubscription()
	if s, ok := f.Upstream(); !ok || s.Name != "a" {
		t.Errorf("follows %v, %v after the first update", s, ok)
	}
}

// A follower does not return from its second choice to the first in the middle of an
// update.
func TestSecondChoiceIsKeptDuringTransfer(t *testing.T) {
	f := newTestFollower()
	f.handle(Lost{Attempt: f.attempt})
	f.openSubscription()
	if after, left := f.receiveBytes(2*minReturnDelay, 50_000); left {
		t.Fatalf("left its upstream in the middle of an update, after %v", after)
	}
}

// A silent upstream is left after the usual timeout, counted from its last activity.
func TestSilentUpstreamIsLeft(t *testing.T) {
	f := newTestFollower()
	if after, left := f.receiveBytes(2*connectTimeout, 0); !left || after > connectTimeout {
		t.Errorf("a source that sends nothing at all: left %v, after %v", left, after)
	}
	f.openSubscription()
	if after, left := f.receiveBytes(2*testStaleAfter, 0); !left || after > testStaleAfter+testStep {
		t.Errorf("an upstream that became silent: left %v, after %v", left, after)
	}
	f.openSubscription()
	f.receiveBytes(2*time.Second, 50_000)
	if after, left := f.receiveBytes(2*testStaleAfter, 0); !left || after > testStaleAfter+testStep {
		t.Errorf("an upstream that became silent in the middle of an update: left %v, after %v", left, after)
	}
	if last := f.notices[len(f.notices)-1]; !strings.Contains(last, "1000000 bytes") {
		t.Errorf("the notice does not say how many bytes were received: %s", last)
	}
}

// A slow transfer is abandoned after the timeout, and the next source gets twice as
// long. An update that is received completely resets the timeout.
func TestSlowTransferTimesOut(t *testing.T) {
	f := newTestFollower()
	f.openSubscription()
	for _, limit := range []time.Duration{minTransferTimeout, 2 * minTransferTimeout, 4 * minTransferTimeout} {
		before := f.attempt
		after, left := f.receiveBytes(2*limit, 1)
		if !left || after > limit+3*testStep {
			t.Fatalf("slow transfer: left %v, after %v, the timeout is %v", left, after, limit)
		}
		for f.attempt == before || !f.pending {
			f.now = f.now.Add(testStep)
			f.handle(Tick{})
		}
	}
	f.openSubscription()
	f.receiveBytes(testStep, 1)
	f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate()})
	if after, left := f.receiveBytes(2*minTransferTimeout, 1); !left || after > minTransferTimeout+3*testStep {
		t.Errorf("slow transfer after a complete update: left %v, after %v", left, after)
	}
}

// The control age of an update counts from its arrival, or from the start of its
// transfer if that was seen, however long it was queued. A queued update is no reason
// to judge the upstream silent, because more updates may be queued behind it.
func TestControlAgeCountsFromArrival(t *testing.T) {
	f := newTestFollower()
	f.openSubscription()
	arrivedAt := f.now.Add(testStep)
	f.now = f.now.Add(3 * testStaleAfter)
	if f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate(), At: arrivedAt}) {
		t.Error("left its upstream on a queued update, before the updates behind it were handled")
	}
	if age, want := f.ControlAge(f.now), f.now.Sub(arrivedAt); age != want {
		t.Errorf("control age is %v, but the update arrived %v ago", age, want)
	}
	if !f.handle(Tick{}) {
		t.Error("stays with an upstream that has been silent since")
	}
	f.openSubscription()
	f.receiveBytes(time.Second, 50_000)
	startedAt := f.incoming.startedAt
	f.handle(Received{Attempt: f.attempt, Update: f.emptyUpdate(), At: f.now})
	if age, want := f.ControlAge(f.now), f.now.Sub(startedAt); age != want {
		t.Errorf("control age is %v, but the transfer started %v ago", age, want)
	}
}
