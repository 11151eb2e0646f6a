package targetstatus

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const oneTarget = "t"

// said is an update of the target of these tests.
func said(perSecond float64, sent, heard time.Duration) Update {
	return Update{Incarnation: oneTarget, Limit: perSecond, Sent: time.Time{}.Add(sent), Received: time.Time{}.Add(heard)}
}

// activeAfter returns the limit that is used once updates have come in an order.
func activeAfter(updates ...Update) float64 {
	r := NewRegistry()
	for _, u := range updates {
		r.Apply(u)
	}
	return r.Limit(oneTarget)
}

// Guards against answers out of order that raise a limit, or take it back, unduly or never.
func TestAnswersOutOfOrder(t *testing.T) {
	known := said(5, 10, 20)
	cases := map[string]struct {
		update Update
		want   float64
	}{
		"later, raised":          {said(8, 20, 30), 8},
		"later, taken back":      {said(NoLimit, 25, 30), NoLimit},
		"later, hardly raised":   {said(5.4, 20, 30), 5},
		"later, hardly lowered":  {said(4.9, 20, 30), 4.9},
		"earlier, none yet":      {said(NoLimit, 1, 10), 5},
		"beside it, none":        {said(NoLimit, 15, 40), 5},
		"beside it, raised":      {said(8, 5, 40), 5},
		"beside it, lowered":     {said(2, 5, 15), 2},
		"long under way, lower":  {said(2, 1, 60), 2},
		"later, the same limit":  {said(5, 30, 40), 5},
		"beside it, still valid": {said(5, 15, 40), 5},
	}
	for name, c := range cases {
		if got := activeAfter(known, c.update); got != c.want {
			t.Errorf("%s: %v a second, want %v", name, got, c.want)
		}
	}
}

// Guards against a limit that ends with an answer which one that named it may have come
// after: two answers beside each other named it, a third beside the second does not.
func TestLimitHoldsWhileAnyAnswerThatNamedItMayBeTheLast(t *testing.T) {
	if got := activeAfter(said(5, 10, 20), said(5, 15, 40), said(NoLimit, 25, 50)); got != 5 {
		t.Errorf("%v a second is known", got)
	}
}

// Guards against a relayed update that takes a limit back though it was said before: it
// waited on its way, which its ages don't count.
func TestRelayedUpdateMayBeOlderThanItsAges(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	named := Update{Incarnation: oneTarget, Limit: 5, Sent: now.Add(-20 * time.Millisecond), Received: now}
	message := Update{Incarnation: oneTarget, Limit: NoLimit, Sent: now.Add(-150 * time.Millisecond), Received: now.Add(-120 * time.Millisecond)}.Message(now)
	arrived := now.Add(200 * time.Millisecond)
	if got := activeAfter(named, UpdateOf(arrived, message)); got != 5 {
		t.Errorf("%v a second is known", got)
	}
	now = now.Add(2 * time.Second)
	message = Update{Incarnation: oneTarget, Limit: NoLimit, Sent: now.Add(-time.Second), Received: now}.Message(now)
	if got := activeAfter(named, UpdateOf(now, message)); got != NoLimit {
		t.Errorf("%v a second is known", got)
	}
}

// Guards against a target that computes its limit anew for each answer and has each told to
// all boxes; one that names a little more each time has its limit raised in the end.
func TestNoiseIsNoNews(t *testing.T) {
	book := NewRegistry()
	changes := 0
	take := func(at time.Duration, perSecond float64) {
		if _, changed := book.Apply(said(perSecond, at, at+1)); changed {
			changes++
		}
	}
	for i := range 1000 {
		take(time.Duration(2*i), 10+float64(i*7%10)/20)
	}
	if changes > 3 || book.Limit(oneTarget) != 10 {
		t.Errorf("%d changes, %v a second", changes, book.Limit(oneTarget))
	}
	for i := range 100 {
		take(time.Duration(3000+2*i), 10+float64(i)/5)
	}
	if got := book.Limit(oneTarget); got < 27 {
		t.Errorf("a limit that rose to 29.8 is known as %v", got)
	}
}

// Guards against a limit above what the target said last, by updates in any order, with
// answers that ran beside each other.
func TestLimitIsNeverAboveWhatWasSaidLast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type answer struct {
			Update
			at time.Duration
		}
		var answers []answer
		limits := []float64{NoLimit, 1, 2, 3}
		now := time.Duration(0)
		for range rapid.IntRange(1, 12).Draw(t, "answers") {
			now += time.Duration(rapid.IntRange(1, 20).Draw(t, "pause"))
			sent := now - time.Duration(rapid.IntRange(0, 30).Draw(t, "service"))
			heard := now + time.Duration(rapid.IntRange(0, 30).Draw(t, "way"))
			answers = append(answers, answer{said(rapid.SampledFrom(limits).Draw(t, "limit"), sent, heard), now})
		}
		last := answers[len(answers)-1]
		order := rapid.Permutation(answers).Draw(t, "order")
		book := NewRegistry()
		for _, a := range order {
			book.Apply(a.Update)
		}
		if got := book.Limit(oneTarget); got > last.Limit {
			t.Fatalf("%v a second is known, the target said %v last", got, last.Limit)
		}
	})
}

// Guards against a limit that is taken back too soon or kept for good: it ends with an answer
// whose request was sent after the last answer that named it.
func TestLimitThatIsTakenBackIsForgotten(t *testing.T) {
	book := NewRegistry()
	book.Apply(said(5, 10, 20))
	if _, changed := book.Apply(said(NoLimit, 15, 30)); changed {
		t.Error("taken back by an answer that ran beside")
	}
	c, changed := book.Apply(said(NoLimit, 20, 40))
	if !changed || c.Before != 5 || c.After != NoLimit || book.LimitedCount() != 0 {
		t.Errorf("got %+v, changed %v", c, changed)
	}
	if _, changed := book.Apply(said(5, 1, 19)); changed {
		t.Error("named again by an answer of before")
	}
	words, last := book.ChangedSince(0)
	if len(words) != 1 || words[0].HasLimit() || last != 2 {
		t.Errorf("subscribers are told %+v, %d", words, last)
	}
	book.Prune(time.Time{}.Add(time.Hour), func(string) bool { return true })
	if words, _ := book.ChangedSince(0); len(words) != 0 {
		t.Errorf("still known after an hour: %+v", words)
	}
}

// Guards against a merge that loses an update that may have been said last: limit 2, said
// between 2 and 5, behind a higher one that is superseded sooner.
func TestLimitIsNotLostBehindOneThatIsSuperseded(t *testing.T) {
	if got := activeAfter(said(1, 3, 3), said(2, 2, 5), said(NoLimit, 4, 4)); got != 2 {
		t.Errorf("%v a second is known", got)
	}
}

// drawnUpdates are updates whose answers ran beside each other.
func drawnUpdates(t *rapid.T) (out []Update) {
	for range rapid.IntRange(1, 7).Draw(t, "updates") {
		sent := rapid.IntRange(0, 20).Draw(t, "sent")
		u := said(rapid.SampledFrom([]float64{NoLimit, 1, 2, 3, 4}).Draw(t, "limit"), time.Duration(sent), time.Duration(sent+rapid.IntRange(0, 10).Draw(t, "took")))
		u.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
		out = append(out, u)
	}
	return out
}

// lowestCandidate returns the lowest limit of the updates that no other one supersedes.
func lowestCandidate(updates []Update) float64 {
	lowest := NoLimit
	for _, u := range updates {
		superseded := slices.ContainsFunc(updates, func(other Update) bool { return !other.Sent.Before(u.received()) })
		if !superseded {
			lowest = min(lowest, u.Limit)
		}
	}
	return lowest
}

// Guards against a merge that depends on the order of updates, on how often they come, or on
// the way that they take: all lead to the lowest limit that may have been said last, no
// lower one and no higher.
func TestUpdatesAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := drawnUpdates(t)
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

// Guards against a bound on what is remembered that raises a limit.
func TestManyLimitsAtOnceAreBounded(t *testing.T) {
	var s SharedState
	for i := range 100 {
		s = s.With(said(float64(1+i), 0, time.Duration(10+i)))
	}
	if len(s.limits) > maxCandidates {
		t.Errorf("%d limits are remembered", len(s.limits))
	}
	for at := range time.Duration(99) {
		s = s.With(said(NoLimit, 9+at, 200))
		if got, most := s.Limit(), float64(1+at); got > most {
			t.Fatalf("limit %v at %d, the target may have said %v last", got, at, most)
		}
	}
}

// Guards against a target that is revived by an answer or a message of before.
func TestLeavingIsNotTakenBack(t *testing.T) {
	r := NewRegistry()
	if c, changed := r.Apply(Update{Incarnation: oneTarget, Leaving: true}.WithoutLimit()); !changed || !c.Leaving || c.LimitChanged() {
		t.Errorf("got %+v, %v", c, changed)
	}
	if _, changed := r.Apply(said(NoLimit, 50, 60)); changed || !r.IsLeaving(oneTarget) {
		t.Error("an answer without it takes it back")
	}
	updates, _ := r.ChangedSince(0)
	relayed := NewRegistry()
	relayed.Apply(said(5, 1, 2))
	for _, u := range updates {
		relayed.Apply(UpdateOf(time.Time{}.Add(time.Hour), u.Message(time.Time{}.Add(time.Hour))))
	}
	if !relayed.IsLeaving(oneTarget) || relayed.Limit(oneTarget) != 5 {
		t.Errorf("relayed: %v, limit %v", relayed.IsLeaving(oneTarget), relayed.Limit(oneTarget))
	}
}
