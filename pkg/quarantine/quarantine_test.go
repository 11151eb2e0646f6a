package quarantine

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

// The digest ignores the case of the host and depends on the body.
func ExampleRequest_Digest() {
	r := Request{Method: "POST", Host: "shop.example", Target: "/orders?draft", Length: 2, Body: []byte("{}")}
	same := r
	same.Host = "SHOP.example"
	other := r
	other.Body = []byte("[]")
	fmt.Println(r.Digest() == same.Digest(), r.Digest() == other.Digest())
	// Output: true false
}

func TestDigestDistinguishesRequests(t *testing.T) {
	long := bytes.Repeat([]byte("x"), DigestedBodyBytes+1)
	requests := []Request{
		{Method: "GET", Host: "a", Target: "/b"},
		{Method: "PUT", Host: "a", Target: "/b"},
		{Method: "GET", Host: "ab", Target: "/b"},
		{Method: "GET", Host: "a", Target: "b/b"},
		{Method: "GET", Host: "a", Target: "/b", Length: -1},
		{Method: "GET", Host: "a", Target: "/b", Length: 1, Body: []byte("x")},
		{Method: "GET", Host: "a", Target: "/b", Length: int64(len(long)), Body: long},
	}
	seen := make(map[Digest]int)
	for i, r := range requests {
		if j, ok := seen[r.Digest()]; ok {
			t.Errorf("requests %d and %d have the same digest", i, j)
		}
		seen[r.Digest()] = i
	}
	// Boxes may have read different lengths of a long body.
	more, less := requests[6], requests[6]
	less.Body = long[:DigestedBodyBytes]
	if more.Digest() != less.Digest() {
		t.Error("the digest of a long body depends on how much of it was read")
	}
	d := more.Digest()
	if back, err := ParseDigest(d.String()); err != nil || back != d {
		t.Errorf("parsed %v, %v", back, err)
	}
	var bad *DigestError
	if _, err := ParseDigest("12"); !errors.As(err, &bad) {
		t.Errorf("a short digest: %v", err)
	}
}

var (
	fatal     = Request{Method: "GET", Host: "a", Target: "/fatal"}.Digest()
	testStart = time.Unix(1_700_000_000, 0)
	alice     = CallerOf("alice")
	bob       = CallerOf("bob")
)

func crashOf(c Caller, incarnation string, at time.Duration) Crash {
	return Crash{Request: fatal, Caller: c, Incarnation: incarnation, Route: "r", Service: "s", Began: testStart.Add(at - 100*time.Millisecond), Ended: testStart.Add(at)}
}

// A box without contact to control decides from what it observed: the second crashed
// target puts the request on probation, and the third quarantines it.
func TestGuardDecidesWithoutControl(t *testing.T) {
	g := NewGuard()
	if !g.IsIdle() {
		t.Fatal("a new guard is not idle")
	}
	now := testStart.Add(time.Minute)
	want := func(c Caller, d Decision) {
		t.Helper()
		if v := g.Admit(now, now, fatal, c); v.Decision != d {
			t.Fatalf("got %s, want %s", v.Decision, d)
		}
	}
	g.RecordCrash(now, crashOf(alice, "1", 0))
	g.RecordCrash(now, crashOf(alice, "1", time.Second)) // the same target
	want(alice, Free)
	g.RecordCrash(now, crashOf(alice, "2", time.Second))
	want(alice, OnProbation)
	want(alice, Busy)
	want(bob, Free)
	if g.MayRetry(now, now, fatal, alice) {
		t.Fatal("a request on probation may be retried")
	}
	g.Finish(fatal)
	g.RecordCrash(now, crashOf(alice, "3", 2*time.Second))
	want(alice, OnProbation) // the three may have crashed at one moment
	g.Finish(fatal)
	g.RecordCrash(now, crashOf(alice, "4", 2*time.Minute)) // this run began on probation
	want(alice, Held)
	want(bob, Free)
	g.RecordCrash(now, crashOf(bob, "5", 3*time.Minute))
	want(bob, Held) // several callers, none of whom was answered
	g.RemoveExpired(now.Add(2 * EvidenceRetention))
	if !g.IsIdle() {
		t.Fatal("expired evidence is kept")
	}
}

// An answer to one caller must not clear the request of another.
func TestAnswerClearsOnlyItsCaller(t *testing.T) {
	g := NewGuard()
	now := testStart.Add(time.Minute)
	for i := range 3 {
		g.RecordCrash(now, crashOf(alice, fmt.Sprint(i), time.Duration(i)*time.Minute))
	}
	now = now.Add(time.Minute)
	if !g.RecordAnswer(now, fatal, bob) {
		t.Fatal("an answer to a suspected request is not reported")
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != Held {
		t.Fatalf("an answer to another caller: %s", v.Decision)
	}
	if v := g.Admit(now, now, fatal, bob); v.Decision != Free {
		t.Fatalf("the caller that was answered: %s", v.Decision)
	}
	g.RecordAnswer(now, fatal, alice)
	if !g.IsIdle() {
		t.Fatal("an answer to the caller does not clear it")
	}
}

// Guards against evidence that survives a release and quarantines the request again.
func TestReleaseDropsEvidence(t *testing.T) {
	g := NewGuard()
	store := NewEvidenceStore()
	now := testStart.Add(time.Minute)
	for i := range 3 {
		e := crashOf(alice, fmt.Sprint(i), time.Duration(i)*time.Second)
		g.RecordCrash(now, e)
		store.RecordCrash(now, e)
	}
	probation := store.PendingChanges(now, now, nil)
	if len(probation) != 1 || probation[0].Entry.Held || probation[0].Entry.Caller != AnyCaller {
		t.Fatalf("at first: %+v", probation)
	}
	list := []Entry{probation[0].Entry}
	if premature := store.PendingChanges(now, now, list); len(premature) != 0 {
		t.Fatalf("quarantined before it had time to be cleared: %+v", premature)
	}
	now = now.Add(time.Minute)
	if untried := store.PendingChanges(now, now, list); len(untried) != 0 {
		t.Fatalf("quarantined without a run on probation: %+v", untried)
	}
	e := crashOf(alice, "3", now.Sub(testStart))
	g.RecordCrash(now, e)
	store.RecordCrash(now, e)
	quarantine := store.PendingChanges(now, now, list)
	if len(quarantine) != 1 || !quarantine[0].Entry.Held || quarantine[0].Entry.Caller != alice || len(quarantine[0].Entry.CrashedTargets) != 4 {
		t.Fatalf("then: %+v", quarantine)
	}
	list = append(list, quarantine[0].Entry)
	g.SetList(list)
	if v := g.Admit(now, now, fatal, alice); v.Decision != Held || !v.Listed || v.RetryAfter != quarantineTime {
		t.Fatalf("got %+v", v)
	}
	if more := store.PendingChanges(now, now, list); len(more) != 0 {
		t.Fatalf("changes after quarantine: %+v", more)
	}
	g.SetList(nil)
	if again := store.PendingChanges(now, now, nil); len(again) != 0 || store.Len() != 0 {
		t.Fatalf("after release by an operator: %+v", again)
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != Free {
		t.Fatalf("after release: %s", v.Decision)
	}
}

// An entry is released when it expires, also by a replica that knows nothing but the
// list, and when its caller is answered.
func TestEntriesAreReleased(t *testing.T) {
	held := Entry{Request: fatal, Caller: alice, Held: true, Until: testStart.Add(quarantineTime)}
	store := NewEvidenceStore()
	if changes := store.PendingChanges(testStart, testStart, []Entry{held}); len(changes) != 0 {
		t.Fatalf("before expiry: %+v", changes)
	}
	if changes := store.PendingChanges(testStart, testStart.Add(quarantineTime), []Entry{held}); len(changes) != 1 || !changes[0].Release {
		t.Fatalf("after expiry: %+v", changes)
	}
	store.RecordAnswer(testStart, fatal, bob, testStart)
	if changes := store.PendingChanges(testStart, testStart, []Entry{held}); len(changes) != 0 {
		t.Fatalf("after an answer to another caller: %+v", changes)
	}
	store.RecordAnswer(testStart, fatal, alice, testStart)
	if changes := store.PendingChanges(testStart, testStart, []Entry{held}); len(changes) != 1 || !changes[0].Release {
		t.Fatalf("after an answer: %+v", changes)
	}
}

// Many requests with one crashed target each must not evict one that has two.
func TestManySuspectsDoNotEvictStrongerEvidence(t *testing.T) {
	g, store := NewGuard(), NewEvidenceStore()
	now := testStart
	for _, incarnation := range []string{"1", "2"} {
		g.RecordCrash(now, crashOf(alice, incarnation, 0))
		store.RecordCrash(now, crashOf(alice, incarnation, 0))
	}
	for i := range 2 * maxSuspects {
		now = now.Add(time.Millisecond)
		e := crashOf(alice, fmt.Sprint("other", i), 0)
		e.Request = Request{Target: fmt.Sprint(i)}.Digest()
		g.RecordCrash(now, e)
		store.RecordCrash(now, e)
	}
	if g.SuspectCount() > maxRecords || store.Len() > maxSuspects {
		t.Fatalf("the guard keeps %d records, the store %d", g.SuspectCount(), store.Len())
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != OnProbation {
		t.Errorf("the box: %s", v.Decision)
	}
	if changes := store.PendingChanges(now, now, nil); len(changes) != 1 || changes[0].Entry.Request != fatal {
		t.Errorf("the replica: %+v", changes)
	}
}

// BenchmarkDigest measures the cost of a digest, which a box computes for each request
// while it has evidence against any.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{0, 512, 4 << 10, DigestedBodyBytes} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := Request{Method: "POST", Host: "shop.example", Target: "/orders/17/2f3a", Length: int64(size), Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				r.Digest()
			}
		})
	}
}

// BenchmarkAdmit measures the cost of an incoming request while there is evidence
// against others: the digest and the decision.
func BenchmarkAdmit(b *testing.B) {
	g := NewGuard()
	for i := range maxRecords {
		e := crashOf(alice, "1", 0)
		e.Request = Request{Target: fmt.Sprint(i)}.Digest()
		g.RecordCrash(testStart, e)
	}
	r := Request{Method: "GET", Host: "shop.example", Target: "/orders/17/2f3a"}
	b.ReportAllocs()
	for b.Loop() {
		g.Admit(testStart, testStart, r.Digest(), alice)
	}
}
