package distribution

import (
	"strings"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	testStale = 1600 * time.Millisecond
	testStep  = 100 * time.Millisecond
)

// following is a follower in the middle of a test, with two sources.
type following struct {
	*Follower
	now     time.Time
	attempt uint64
	bytes   uint64
	notices []string
}

func newTestFollowing() *following {
	now := time.Unix(1000, 0)
	f := &following{Follower: NewFollower(now, 1), now: now}
	f.SetStaleAfter(testStale)
	f.take(SetSources{[]Source{{Name: "a"}, {Name: "b"}}})
	return f
}

// take hands an event in and reports whether another upstream is sought.
func (f *following) take(e Event) (left bool) {
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

// open has the present subscription open and its first word of control come.
func (f *following) open() {
	f.take(Opened{f.attempt})
	f.take(Received{Attempt: f.attempt, Update: f.nothing()})
}

func (f *following) nothing() *wire.Update {
	v := f.State().Version()
	return &wire.Update{FromVersion: v, Version: v}
}

// arrive lets bytes arrive for a while and returns after what time another
// upstream is sought.
func (f *following) arrive(length time.Duration, bytesPerStep uint64) (after time.Duration, left bool) {
	for after < length {
		f.now = f.now.Add(testStep)
		after += testStep
		f.bytes += bytesPerStep
		if f.take(Progress{f.attempt, f.bytes}) || f.take(Tick{}) {
			return after, true
		}
	}
	return after, false
}

// Guards against a follower that leaves its upstream in the middle of a long update.
func TestUpstreamThatIsSendingAnUpdateIsKept(t *testing.T) {
	f := newTestFollowing()
	f.open()
	if after, left := f.arrive(10*time.Second, 50_000); left {
		t.Fatalf("left its upstream in the middle of an update, after %v", after)
	}
	if age := f.ControlAge(f.now); age < 10*time.Second {
		t.Errorf("the word of control counts as %v old though none has come for 10 s", age)
	}
	if f.take(Received{Attempt: f.attempt, Update: f.nothing()}) {
		t.Error("left its upstream with the end of the update")
	}
	if age := f.ControlAge(f.now); age < 9*time.Second {
		t.Errorf("the word of control counts as %v old: the update was made 10 s ago", age)
	}
	f.now = f.now.Add(testStep)
	if f.take(Received{Attempt: f.attempt, Update: f.nothing()}) || f.ControlAge(f.now) > testStep {
		t.Errorf("the word of control counts as %v old after a heartbeat", f.ControlAge(f.now))
	}
}

func TestFirstUpdateMayTakeLongerThanTheConnecting(t *testing.T) {
	f := newTestFollowing()
	if after, left := f.arrive(10*time.Second, 50_000); left {
		t.Fatalf("left its upstream in the middle of the first update, after %v", after)
	}
	f.open()
	if s, ok := f.Upstream(); !ok || s.Name != "a" {
		t.Errorf("follows %v, %v after the first update", s, ok)
	}
}

// A follower of its second choice does not go back to the first in the middle
// of an update.
func TestSecondChoiceIsKeptWhileItSendsAnUpdate(t *testing.T) {
	f := newTestFollowing()
	f.take(Lost{Attempt: f.attempt})
	f.open()
	if after, left := f.arrive(2*reconsiderAfter, 50_000); left {
		t.Fatalf("left its upstream in the middle of an update, after %v", after)
	}
}

// Silence is left as soon as before, counted from the last sign of life.
func TestSilentUpstreamIsLeftInTime(t *testing.T) {
	f := newTestFollowing()
	if after, left := f.arrive(2*connectTimeout, 0); !left || after > connectTimeout {
		t.Errorf("a source that sends nothing at all was left: %v, after %v", left, after)
	}
	f.open()
	if after, left := f.arrive(2*testStale, 0); !left || after > testStale+testStep {
		t.Errorf("an upstream that fell silent was left: %v, after %v", left, after)
	}
	f.open()
	f.arrive(2*time.Second, 50_000)
	if after, left := f.arrive(2*testStale, 0); !left || after > testStale+testStep {
		t.Errorf("an upstream that fell silent in the middle of an update was left: %v, after %v", left, after)
	}
	if last := f.notices[len(f.notices)-1]; !strings.Contains(last, "1000000 bytes") {
		t.Errorf("the line does not tell what had arrived: %s", last)
	}
}

// An update that trickles is given up after the limit and another source is
// tried, which gets twice as long; an update that came whole starts anew.
func TestTrickleIsBounded(t *testing.T) {
	f := newTestFollowing()
	f.open()
	for _, limit := range []time.Duration{transferLimit, 2 * transferLimit, 4 * transferLimit} {
		before := f.attempt
		after, left := f.arrive(2*limit, 1)
		if !left || after > limit+3*testStep {
			t.Fatalf("a trickle was left: %v, after %v, the limit is %v", left, after, limit)
		}
		for f.attempt == before || !f.pending {
			f.now = f.now.Add(testStep)
			f.take(Tick{})
		}
	}
	f.open()
	f.arrive(testStep, 1)
	f.take(Received{Attempt: f.attempt, Update: f.nothing()})
	if after, left := f.arrive(2*transferLimit, 1); !left || after > transferLimit+3*testStep {
		t.Errorf("after a whole update a trickle was left: %v, after %v", left, after)
	}
}

// An update counts from its arrival, or from the begin of its transfer where
// that was seen, however long it waited to be handled. Silence is not judged by
// one that waited: more may wait behind it.
func TestUpdateThatWaitedIsAsOldAsItsArrival(t *testing.T) {
	f := newTestFollowing()
	f.open()
	came := f.now.Add(testStep)
	f.now = f.now.Add(3 * testStale)
	if f.take(Received{Attempt: f.attempt, Update: f.nothing(), At: came}) {
		t.Error("left its upstream by an update that waited, before what waits behind it")
	}
	if age, want := f.ControlAge(f.now), f.now.Sub(came); age != want {
		t.Errorf("the word of control counts as %v old, it came %v ago", age, want)
	}
	if !f.take(Tick{}) {
		t.Error("keeps an upstream that has been silent since")
	}
	f.open()
	f.arrive(time.Second, 50_000)
	began := f.arriving.began
	f.take(Received{Attempt: f.attempt, Update: f.nothing(), At: f.now})
	if age, want := f.ControlAge(f.now), f.now.Sub(began); age != want {
		t.Errorf("the word of control counts as %v old, its transfer began %v ago", age, want)
	}
}
