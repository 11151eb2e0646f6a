package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// storeOnProbation returns a store whose request is on the list, on probation since now.
func storeOnProbation(now time.Time, crashes ...Crash) (*EvidenceStore, []Entry) {
	store := NewEvidenceStore()
	for _, e := range crashes {
		store.RecordCrash(now, e)
	}
	list := []Entry{store.PendingChanges(now, now, nil)[0].Entry}
	store.PendingChanges(now, now, list)
	return store, list
}

// A target that crashes in a run that began during probation quarantines the request at
// once, if it is the third episode.
func TestCrashOnProbationQuarantinesAtOnce(t *testing.T) {
	now := testStart.Add(time.Minute)
	store, list := storeOnProbation(now, crashOf(alice, "1", 0), crashOf(alice, "2", time.Second))
	now = now.Add(time.Second / 2)
	crash := crashOf(alice, "3", 0)
	crash.Began, crash.Ended = now.Add(-100*time.Millisecond), now
	store.RecordCrash(now, crash)
	if changes := store.PendingChanges(now, now, list); len(changes) != 1 || !changes[0].Entry.Held {
		t.Fatalf("got %+v", changes)
	}
}

// Guards against a false quarantine: while others are answered, a caller whose targets
// crashed at one moment may not have had its turn yet, so the passing of time alone must
// not quarantine its request. Nor must targets that crash again while it runs on probation, as
// when all targets of a service crash twice: that is one more episode, the second.
func TestTimeDoesNotQuarantineWhileOthersAreAnswered(t *testing.T) {
	now := testStart.Add(time.Minute)
	store, list := storeOnProbation(now, crashOf(alice, "1", 0), crashOf(alice, "2", 0), crashOf(alice, "3", 0))
	store.RecordAnswer(now, fatal, bob, now.Add(time.Second/2))
	now = now.Add(2 * time.Second)
	changes := store.PendingChanges(now, now, list)
	if len(changes) != 1 || changes[0].Release || changes[0].Entry.Held || changes[0].Entry.takesTurns() {
		t.Fatalf("got %+v, want probation without turns", changes)
	}
	list = []Entry{changes[0].Entry}
	now = now.Add(time.Minute)
	if changes := store.PendingChanges(now, now, list); len(changes) != 0 {
		t.Fatalf("a minute later: %+v", changes)
	}
	crashOnProbation := func(incarnations ...string) []ListChange {
		for _, one := range incarnations {
			crash := crashOf(alice, one, 0)
			crash.Began, crash.Ended = now.Add(-100*time.Millisecond), now
			store.RecordCrash(now, crash)
		}
		return store.PendingChanges(now, now, list)
	}
	if changes := crashOnProbation("4", "5"); len(changes) != 0 {
		t.Fatalf("after two episodes: %+v", changes)
	}
	now = now.Add(episodeLength)
	if changes := crashOnProbation("6"); len(changes) != 1 || !changes[0].Entry.Held || changes[0].Entry.Caller != alice {
		t.Fatalf("after its turn: %+v", changes)
	}
}

// Guards against a request that crashes targets for two callers, is answered for a third
// and gets quarantined only for the caller that lost more targets.
func TestEachCallerIsQuarantinedByOwnEvidence(t *testing.T) {
	now := testStart.Add(time.Minute)
	g := NewGuard()
	var crashes []Crash
	for i := range 4 {
		crashes = append(crashes, crashOf(alice, fmt.Sprint("a", i), time.Duration(i)*time.Second))
	}
	for i := range 3 {
		crashes = append(crashes, crashOf(bob, fmt.Sprint("b", i), time.Duration(i)*time.Second))
	}
	store, list := storeOnProbation(now, crashes...)
	store.RecordAnswer(now, fatal, CallerOf("carol"), now)
	for _, c := range []Caller{alice, bob} {
		now = now.Add(time.Second)
		crash := crashOf(c, "fresh", 0)
		crash.Began, crash.Ended = now.Add(-100*time.Millisecond), now
		store.RecordCrash(now, crash)
		changes := store.PendingChanges(now, now, list)
		if len(changes) != 1 || !changes[0].Entry.Held || changes[0].Entry.Caller != c {
			t.Fatalf("got %+v", changes)
		}
		list = append(list, changes[0].Entry)
		crashes = append(crashes, crash)
	}
	for _, e := range crashes {
		g.RecordCrash(e.Ended, e)
	}
	for _, c := range []Caller{alice, bob} {
		if v := g.Admit(now, now, fatal, c); v.Decision != Held {
			t.Errorf("the box: %s", v.Decision)
		}
	}
	if v := g.Admit(now, now, fatal, CallerOf("carol")); v.Decision != Held && v.Decision != OnProbation {
		t.Errorf("a caller without evidence: %s", v.Decision)
	}
}

// Evidence is reported again when the answer to a call is lost. It must count once and
// evict no other evidence.
func TestRepeatedEvidenceCountsOnce(t *testing.T) {
	store := NewEvidenceStore()
	store.RecordCrash(testStart, crashOf(alice, "1", 0))
	for range maxCrashes {
		store.RecordCrash(testStart, crashOf(alice, "2", time.Second))
	}
	if changes := store.PendingChanges(testStart, testStart, nil); len(changes) != 1 || len(changes[0].Entry.CrashedTargets) != 2 {
		t.Fatalf("got %+v", changes)
	}
}

// An answer at this box overrides the list for a short time, because the list may not
// reflect the answer yet.
func TestLocalAnswerOverridesList(t *testing.T) {
	g := NewGuard()
	now := testStart.Add(time.Minute)
	g.SetList([]Entry{{Request: fatal, Caller: AnyCaller, Held: true, Until: now.Add(quarantineTime)}})
	if !g.RecordAnswer(now, fatal, alice) {
		t.Fatal("an answer to a quarantined request is not reported")
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != Free {
		t.Errorf("after an answer: %s", v.Decision)
	}
	if v := g.Admit(now, now, fatal, bob); v.Decision != Held {
		t.Errorf("another caller: %s", v.Decision)
	}
	now = now.Add(localClearanceTime + time.Second)
	if v := g.Admit(now, now, fatal, alice); v.Decision != Held {
		t.Errorf("later: %s", v.Decision)
	}
}

// Evidence is sent again to a replica that did not answer, a new replica gets all
// evidence, and each call has a bounded size.
func TestOutboxRetriesUntilDelivered(t *testing.T) {
	o := NewOutbox()
	o.SetReplicas([]string{"a"})
	now := testStart
	for i := range maxBatch + 1 {
		e := crashOf(alice, fmt.Sprint(i), 0)
		o.Add(now, Item{Crash: &e})
	}
	if batches := o.NextBatches(now); len(batches) != 0 || !o.NextAt().Equal(now.Add(batchDelay)) {
		t.Fatalf("at once: %d batches, next %s", len(batches), o.NextAt())
	}
	now = now.Add(batchDelay)
	want := func(address string, items int) {
		t.Helper()
		batches := o.NextBatches(now)
		if len(batches) != 1 || batches[0].Address != address || len(batches[0].Items) != items {
			t.Fatalf("got %d batches, want %d items for %s", len(batches), items, address)
		}
	}
	want("a", maxBatch)
	if batches := o.NextBatches(now); len(batches) != 0 {
		t.Fatal("sent again while a call is in flight")
	}
	o.HandleResult(now, "a", false)
	if batches := o.NextBatches(now); len(batches) != 0 || !o.NextAt().Equal(now.Add(retryPause)) {
		t.Fatal("sent again without a pause")
	}
	now = now.Add(retryPause)
	want("a", maxBatch)
	o.HandleResult(now, "a", true)
	want("a", 1)
	o.HandleResult(now, "a", true)
	if !o.NextAt().IsZero() {
		t.Fatal("there is more to send")
	}
	o.SetReplicas([]string{"a", "b"})
	want("b", maxBatch)
	o.HandleResult(now, "b", true)
	now = now.Add(2 * EvidenceRetention)
	if batches := o.NextBatches(now); len(batches) != 0 {
		t.Fatal("expired evidence is sent")
	}
}
