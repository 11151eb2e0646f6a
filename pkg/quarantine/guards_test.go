package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// watchedBy returns a ledger whose request is on the list, watched since now.
func watchedBy(now time.Time, ends ...Crash) (*EvidenceStore, []Entry) {
	l := NewEvidenceStore()
	for _, e := range ends {
		l.RecordCrash(now, e)
	}
	list := []Entry{l.PendingChanges(now, now, nil)[0].Entry}
	l.PendingChanges(now, now, list)
	return l, list
}

// A target that ended under a run that began after the request was watched holds it at
// once; without that the time to be cleared must pass.
func TestFreshEndHoldsAtOnce(t *testing.T) {
	now := morning.Add(time.Minute)
	l, list := watchedBy(now, endOf(alice, "1", 0), endOf(alice, "2", time.Second))
	now = now.Add(settleTime / 2)
	fresh := endOf(alice, "3", 0)
	fresh.Began, fresh.Ended = now.Add(-100*time.Millisecond), now
	l.RecordCrash(now, fresh)
	if due := l.PendingChanges(now, now, list); len(due) != 1 || !due[0].Entry.Held {
		t.Fatalf("got %+v", due)
	}
}

// While others are answered, a caller whose targets ended at one moment may not have had
// its turn yet: time alone does not hold its request.
func TestTimeHoldsNothingWhileOthersAreAnswered(t *testing.T) {
	now := morning.Add(time.Minute)
	l, list := watchedBy(now, endOf(alice, "1", 0), endOf(alice, "2", 0), endOf(alice, "3", 0))
	l.RecordAnswer(now, fatal, bob, now.Add(settleTime/2))
	now = now.Add(2 * settleTime)
	if due := l.PendingChanges(now, now, list); len(due) != 0 {
		t.Fatalf("got %+v", due)
	}
	fresh := endOf(alice, "4", 0)
	fresh.Began, fresh.Ended = now.Add(-100*time.Millisecond), now
	l.RecordCrash(now, fresh)
	if due := l.PendingChanges(now, now, list); len(due) != 1 || !due[0].Entry.Held || due[0].Entry.Caller != alice {
		t.Fatalf("after its turn: %+v", due)
	}
}

// A request that ends targets for two callers and is answered for a third is held for
// both, whichever lost more; only the worse of the two was before.
func TestEachCallerIsHeldByItsOwn(t *testing.T) {
	now := morning.Add(time.Minute)
	g := NewGuard()
	var ends []Crash
	for i := range 4 {
		ends = append(ends, endOf(alice, fmt.Sprint("a", i), time.Duration(i)*time.Second))
	}
	for i := range 3 {
		ends = append(ends, endOf(bob, fmt.Sprint("b", i), time.Duration(i)*time.Second))
	}
	l, list := watchedBy(now, ends...)
	l.RecordAnswer(now, fatal, CallerOf("carol"), now)
	for _, c := range []Caller{alice, bob} {
		now = now.Add(settleTime)
		fresh := endOf(c, "fresh", 0)
		fresh.Began, fresh.Ended = now.Add(-100*time.Millisecond), now
		l.RecordCrash(now, fresh)
		due := l.PendingChanges(now, now, list)
		if len(due) != 1 || !due[0].Entry.Held || due[0].Entry.Caller != c {
			t.Fatalf("got %+v", due)
		}
		list = append(list, due[0].Entry)
		ends = append(ends, fresh)
	}
	for _, e := range ends {
		g.RecordCrash(e.Ended, e)
	}
	for _, c := range []Caller{alice, bob} {
		if v := g.Admit(now, now, fatal, c); v.Decision != Held {
			t.Errorf("the box: %s", v.Decision)
		}
	}
	if v := g.Admit(now, now, fatal, CallerOf("carol")); v.Decision != Held && v.Decision != OnProbation {
		t.Errorf("a caller of whom nothing is known: %s", v.Decision)
	}
}

// Evidence that is told again, as the answer to the call was lost, counts once and pushes
// out no other.
func TestEvidenceCountsOnce(t *testing.T) {
	l := NewEvidenceStore()
	l.RecordCrash(morning, endOf(alice, "1", 0))
	for range maxEnds {
		l.RecordCrash(morning, endOf(alice, "2", time.Second))
	}
	if due := l.PendingChanges(morning, morning, nil); len(due) != 1 || len(due[0].Entry.CrashedTargets) != 2 {
		t.Fatalf("got %+v", due)
	}
}

// An answer at this box counts for more than the list, which may not have heard of it, for
// a short time.
func TestOwnAnswerCountsBeforeTheList(t *testing.T) {
	g := NewGuard()
	now := morning.Add(time.Minute)
	g.SetList([]Entry{{Request: fatal, Caller: AnyCaller, Held: true, Until: now.Add(holdTime)}})
	if !g.RecordAnswer(now, fatal, alice) {
		t.Fatal("an answer to a held request is not told")
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != Free {
		t.Errorf("after an answer: %s", v.Decision)
	}
	if v := g.Admit(now, now, fatal, bob); v.Decision != Held {
		t.Errorf("another caller: %s", v.Decision)
	}
	now = now.Add(clearedTime + time.Second)
	if v := g.Admit(now, now, fatal, alice); v.Decision != Held {
		t.Errorf("later: %s", v.Decision)
	}
}

// A replica that did not answer is told again, all that it lacks; one that is new is told
// all that is known, and each in calls of a bounded size.
func TestOutboxTellsUntilItIsKnown(t *testing.T) {
	o := NewOutbox()
	o.SetReplicas([]string{"a"})
	now := morning
	for i := range maxBatch + 1 {
		e := endOf(alice, fmt.Sprint(i), 0)
		o.Add(now, Item{Crash: &e})
	}
	if due := o.NextBatches(now); len(due) != 0 || !o.NextAt().Equal(now.Add(gatherTime)) {
		t.Fatalf("at once: %d batches, next %s", len(due), o.NextAt())
	}
	now = now.Add(gatherTime)
	want := func(address string, items int) {
		t.Helper()
		due := o.NextBatches(now)
		if len(due) != 1 || due[0].Address != address || len(due[0].Items) != items {
			t.Fatalf("got %d batches, want %d items for %s", len(due), items, address)
		}
	}
	want("a", maxBatch)
	if due := o.NextBatches(now); len(due) != 0 {
		t.Fatal("told again while a call is under way")
	}
	o.HandleResult(now, "a", false)
	if due := o.NextBatches(now); len(due) != 0 || !o.NextAt().Equal(now.Add(retryPause)) {
		t.Fatal("told again at once")
	}
	now = now.Add(retryPause)
	want("a", maxBatch)
	o.HandleResult(now, "a", true)
	want("a", 1)
	o.HandleResult(now, "a", true)
	if !o.NextAt().IsZero() {
		t.Fatal("there is more to tell")
	}
	o.SetReplicas([]string{"a", "b"})
	want("b", maxBatch)
	o.HandleResult(now, "b", true)
	now = now.Add(2 * EvidenceRetention)
	if due := o.NextBatches(now); len(due) != 0 {
		t.Fatal("evidence that no longer counts is told")
	}
}
