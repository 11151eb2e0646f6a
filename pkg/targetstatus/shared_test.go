package targetstatus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testTarget = "t"

// report returns an update of the test target.
func report(perSecond float64, sent, received time.Duration) Update {
	return Update{Incarnation: testTarget, Limit: perSecond, Sent: time.Time{}.Add(sent), Received: time.Time{}.Add(received)}
}

// activeAfter returns the limit in use after updates have been applied in the given order.
func activeAfter(updates ...Update) float64 {
	r := NewRegistry()
	for _, u := range updates {
		r.Apply(u)
	}
	return r.Limit(testTarget)
}

// Guards against responses out of order that raise or withdraw a limit when they must not,
// or fail to do so when they must.
func TestLimitAfterResponsesOutOfOrder(t *testing.T) {
	known := report(5, 10, 20)
	cases := map[string]struct {
		update Update
		want   float64
	}{
		"later, raised":            {report(8, 20, 30), 8},
		"later, withdrawn":         {report(NoLimit, 25, 30), NoLimit},
		"later, hardly raised":     {report(5.4, 20, 30), 5},
		"later, hardly lowered":    {report(4.9, 20, 30), 4.9},
		"earlier, none yet":        {report(NoLimit, 1, 10), 5},
		"overlapping, none":        {report(NoLimit, 15, 40), 5},
		"overlapping, raised":      {report(8, 5, 40), 5},
		"overlapping, lowered":     {report(2, 5, 15), 2},
		"long in flight, lower":    {report(2, 1, 60), 2},
		"later, the same limit":    {report(5, 30, 40), 5},
		"overlapping, still valid": {report(5, 15, 40), 5},
	}
	for name, c := range cases {
		if got := activeAfter(known, c.update); got != c.want {
			t.Errorf("%s: limit %v per second, want %v", name, got, c.want)
		}
	}
}

// Guards against a limit that ends with a response that may have been sent before one with
// the limit: two overlapping responses state it, a third that overlaps the second does not.
func TestLimitHoldsWhileItsResponseMayBeLatest(t *testing.T) {
	if got := activeAfter(report(5, 10, 20), report(5, 15, 40), report(NoLimit, 25, 50)); got != 5 {
		t.Errorf("limit is %v per second", got)
	}
}

// Guards against a relayed update that withdraws a limit although it was sent before: its
// ages don't include the time that the message was in transit.
func TestDelayedRelayDoesNotWithdrawLimit(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	limited := Update{Incarnation: testTarget, Limit: 5, Sent: now.Add(-20 * time.Millisecond), Received: now}
	message := Update{Incarnation: testTarget, Limit: NoLimit, Sent: now.Add(-150 * time.Millisecond), Received: now.Add(-120 * time.Millisecond)}.Message(now)
	arrived := now.Add(200 * time.Millisecond)
	if got := activeAfter(limited, UpdateOf(arrived, message)); got != 5 {
		t.Errorf("limit is %v per second", got)
	}
	now = now.Add(2 * time.Second)
	message = Update{Incarnation: testTarget, Limit: NoLimit, Sent: now.Add(-time.Second), Received: now}.Message(now)
	if got := activeAfter(limited, UpdateOf(now, message)); got != NoLimit {
		t.Errorf("limit is %v per second", got)
	}
}

// Guards against a target that recalculates its limit for each response and has each value
// sent to all boxes. A limit that rises a little each time must still be raised eventually.
func TestSmallLimitChangesAreNotPropagated(t *testing.T) {
	registry := NewRegistry()
	changes := 0
	apply := func(at time.Duration, perSecond float64) {
		if _, changed := registry.Apply(report(perSecond, at, at+1)); changed {
			changes++
		}
	}
	for i := range 1000 {
		apply(time.Duration(2*i), 10+float64(i*7%10)/20)
	}
	if changes > 3 || registry.Limit(testTarget) != 10 {
		t.Errorf("%d changes, limit %v per second", changes, registry.Limit(testTarget))
	}
	for i := range 100 {
		apply(time.Duration(3000+2*i), 10+float64(i)/5)
	}
	if got := registry.Limit(testTarget); got < 27 {
		t.Errorf("limit rose to 29.8, registry has %v", got)
	}
}

// Guards against a limit above the one that the target reported last, for updates in any order
// with overlapping responses.
func TestLimitIsNeverAboveWhatWasSaidLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type response struct {
			Update
			at time.Duration
		}
		var responses []response
		limits := []float64{NoLimit, 1, 2, 3}
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "pause"))
			sent := now - time.Duration(rapid.IntRange(0, 30).Draw(t, "service"))
			received := now + time.Duration(rapid.IntRange(0, 30).Draw(t, "way"))
			responses = append(responses, response{report(rapid.SampledFrom(limits).Draw(t, "limit"), sent, received), now})
		}
		last := responses[len(responses)-1]
		order := rapid.Permutation(responses).Draw(t, "order")
		registry := NewRegistry()
		for _, a := range order {
			registry.Apply(a.Update)
		}
		if got := registry.Limit(testTarget); got > last.Limit {
			t.Fatalf("limit is %v per second, the target last reported %v", got, last.Limit)
		}
	})
}

// Guards against a limit that is withdrawn too soon or kept forever: it ends with a
// response whose request was sent after the last response with the limit had arrived.
func TestWithdrawnLimitIsRemoved(t *testing.T) {
	registry := NewRegistry()
	registry.Apply(report(5, 10, 20))
	if _, changed := registry.Apply(report(NoLimit, 15, 30)); changed {
		t.Error("withdrawn by an overlapping response")
	}
	c, changed := registry.Apply(report(NoLimit, 20, 40))
	if !changed || c.Before != 5 || c.After != NoLimit || registry.LimitedCount() != 0 {
		t.Errorf("got %+v, changed %v", c, changed)
	}
	if _, changed := registry.Apply(report(5, 1, 19)); changed {
		t.Error("limit set again by an earlier response")
	}
	updates, last := registry.ChangedSince(0)
	if len(updates) != 1 || updates[0].HasLimit() || last != 2 {
		t.Errorf("subscribers get %+v, %d", updates, last)
	}
	registry.Prune(time.Time{}.Add(time.Hour), func(string) bool { return true })
	if updates, _ := registry.ChangedSince(0); len(updates) != 0 {
		t.Errorf("still stored after an hour: %+v", updates)
	}
}

// Guards against a merge that loses an update that may be the latest: limit 2, sent
// between 2 and 5, while a lower one that is superseded sooner applies.
func TestSupersededLimitDoesNotHideHigherOne(t *testing.T) {
	if got := activeAfter(report(1, 3, 3), report(2, 2, 5), report(NoLimit, 4, 4)); got != 2 {
		t.Errorf("limit is %v per second", got)
	}
}

// drawUpdates draws updates with overlapping responses.
func drawUpdates(t *rapid.T) (out []Update) {
	for range rapid.IntRange(1, 7).Draw(t, "updates") {
		sent := rapid.IntRange(0, 20).Draw(t, "sent")
		u := report(rapid.SampledFrom([]float64{NoLimit, 1, 2, 3, 4}).Draw(t, "limit"), time.Duration(sent), time.Duration(sent+rapid.IntRange(0, 10).Draw(t, "took")))
		u.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		out = append(out, u)
	}
	return out
}

// lowestCandidate returns the lowest limit among the updates that are not superseded.
func lowestCandidate(updates []Update) float64 {
	lowest := NoLimit
	for _, u := range updates {
		superseded := slices.ContainsFunc(updates, func(other Update) bool { return !other.Sent.Before(u.receivedAfterSent()) })
		if !superseded {
			lowest = min(lowest, u.Limit)
		}
	}
	return lowest
}

// Guards against a merge that depends on the order of updates, on duplicates or on the
// path that they take: the result is always the lowest limit that may be the latest.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := drawUpdates(t)
		var once, often, relayed SharedState
		for _, u := range updates {
			once = once.With(u)
		}
		again := rapid.Permutation(append(slices.Clone(updates), updates...)).Draw(t, "order")
		for _, u := range again {
			often = often.With(u)
		}
		cut := rapid.IntRange(0, len(again)).Draw(t, "cut")
		var first, second SharedState
		for _, u := range again[:cut] {
			first = first.With(u)
		}
		for _, u := range again[cut:] {
			second = second.With(u)
		}
		for _, u := range append(second.Updates(), first.Updates()...) {
			relayed = relayed.With(u)
		}
		for name, s := range map[string]SharedState{"once": once, "often": often, "relayed": relayed} {
			if got, want := s.Limit(), lowestCandidate(updates); got != want {
				t.Fatalf("%s: limit %v, want %v", name, got, want)
			}
			if want := slices.ContainsFunc(updates, func(u Update) bool { return u.Leaving }); s.Leaving != want {
				t.Fatalf("%s: leaving %v", name, s.Leaving)
			}
		}
	})
}

// Guards against a bound on the stored limits that raises the limit that applies.
func TestStoredLimitsAreBounded(t *testing.T) {
	var s SharedState
	for i := range 100 {
		s = s.With(report(float64(1+i), 0, time.Duration(10+i)))
	}
	if len(s.limits) > maxCandidates {
		t.Errorf("%d limits are stored", len(s.limits))
	}
	for at := range time.Duration(99) {
		s = s.With(report(NoLimit, 9+at, 200))
		if got, maxLimit := s.Limit(), float64(1+at); got > maxLimit {
			t.Fatalf("limit %v at %d, the target may last have reported %v", got, at, maxLimit)
		}
	}
}

// Guards against an earlier response or message that cancels that a target is leaving.
func TestLeavingIsPermanent(t *testing.T) {
	r := NewRegistry()
	if c, changed := r.Apply(Update{Incarnation: testTarget, Leaving: true}.WithoutLimit()); !changed || !c.Leaving || c.LimitChanged() {
		t.Errorf("got %+v, %v", c, changed)
	}
	if _, changed := r.Apply(report(NoLimit, 50, 60)); changed || !r.IsLeaving(testTarget) {
		t.Error("cancelled by a response without the header")
	}
	updates, _ := r.ChangedSince(0)
	relayed := NewRegistry()
	relayed.Apply(report(5, 1, 2))
	for _, u := range updates {
		relayed.Apply(UpdateOf(time.Time{}.Add(time.Hour), u.Message(time.Time{}.Add(time.Hour))))
	}
	if !relayed.IsLeaving(testTarget) || relayed.Limit(testTarget) != 5 {
		t.Errorf("relayed: %v, limit %v", relayed.IsLeaving(testTarget), relayed.Limit(testTarget))
	}
}

// Guards against forgetting that a target is leaving once it was removed: a late heartbeat may register
// it again. Other targets that were removed are forgotten sooner.
func TestLeavingTargetIsRememberedAfterRemoval(t *testing.T) {
	removed := func(string) bool { return false }
	reported := time.Time{}.Add(time.Hour)
	registry := NewRegistry()
	registry.Apply(Update{Incarnation: "leaving", Limit: NoLimit, Leaving: true, Received: reported})
	registry.Apply(Update{Incarnation: "limited", Limit: 5, Received: reported})
	registry.Prune(reported.Add(30*time.Second), removed)
	if since, leaving := registry.LeavingSince("leaving"); !leaving || !since.Equal(reported) {
		t.Errorf("leaving %t since %s, want %s", leaving, since, reported)
	}
	if registry.HasLimit("limited") {
		t.Error("the limit of a removed target is remembered")
	}
	registry.Prune(reported.Add(2*time.Minute), removed)
	if registry.IsLeaving("leaving") {
		t.Error("remembered for too long")
	}
}
