package quarantine

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
	"time"
)

// What a request is the same by.
func ExampleRequest_Digest() {
	r := Request{Method: "POST", Host: "shop.example", Target: "/orders?draft", Length: 2, Body: []byte("{}")}
	same := r
	same.Host = "SHOP.example"
	other := r
	other.Body = []byte("[]")
	fmt.Println(r.Digest() == same.Digest(), r.Digest() == other.Digest())
	// Output: true false
}

func TestDigestTellsRequestsApart(t *testing.T) {
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
			t.Errorf("requests %d and %d have one digest", i, j)
		}
		seen[r.Digest()] = i
	}
	// A box may have read a byte more of a long body than another.
	more, less := requests[6], requests[6]
	less.Body = long[:DigestedBodyBytes]
	if more.Digest() != less.Digest() {
		t.Error("the digest of a long body depends on how much of it was read")
	}
	d := more.Digest()
	if back, err := ParseDigest(d.String()); err != nil || back != d {
		t.Errorf("read %v, %v", back, err)
	}
	var bad *DigestError
	if _, err := ParseDigest("12"); !errors.As(err, &bad) {
		t.Errorf("a short digest: %v", err)
	}
}

var (
	fatal   = Request{Method: "GET", Host: "a", Target: "/fatal"}.Digest()
	morning = time.Unix(1_700_000_000, 0)
	alice   = CallerOf("alice")
	bob     = CallerOf("bob")
)

func endOf(c Caller, life string, at time.Duration) Crash {
	return Crash{Request: fatal, Caller: c, Incarnation: life, Route: "r", Service: "s", Began: morning.Add(at - 100*time.Millisecond), Ended: morning.Add(at)}
}

// A box without word of control goes by what it saw: the second ended target puts the
// request on probation, the third holds it.
func TestGuardGoesByItself(t *testing.T) {
	g := NewGuard()
	if !g.IsIdle() {
		t.Fatal("a new guard is not idle")
	}
	now := morning.Add(time.Minute)
	want := func(c Caller, d Decision) {
		t.Helper()
		if v := g.Admit(now, now, fatal, c); v.Decision != d {
			t.Fatalf("got %s, want %s", v.Decision, d)
		}
	}
	g.RecordCrash(now, endOf(alice, "1", 0))
	g.RecordCrash(now, endOf(alice, "1", time.Second)) // the same target
	want(alice, Free)
	g.RecordCrash(now, endOf(alice, "2", time.Second))
	want(alice, OnProbation)
	want(alice, Busy)
	want(bob, Free)
	if g.MayRetry(now, now, fatal, alice) {
		t.Fatal("on probation it may go to a further target")
	}
	g.Finish(fatal)
	g.RecordCrash(now, endOf(alice, "3", 2*time.Second))
	want(alice, OnProbation) // the three may have ended at one moment
	g.Finish(fatal)
	g.RecordCrash(now, endOf(alice, "4", 2*time.Minute)) // it began after that
	want(alice, Held)
	want(bob, Free)
	g.RecordCrash(now, endOf(bob, "5", 3*time.Minute))
	want(bob, Held) // several callers, and no answer to any
	g.RemoveExpired(now.Add(2 * EvidenceRetention))
	if !g.IsIdle() {
		t.Fatal("evidence that no longer counts is kept")
	}
}

// An answer to one caller says nothing of another's request.
func TestAnswersClearTheirCaller(t *testing.T) {
	g := NewGuard()
	now := morning.Add(time.Minute)
	for i := range 3 {
		g.RecordCrash(now, endOf(alice, fmt.Sprint(i), time.Duration(i)*time.Minute))
	}
	now = now.Add(time.Minute)
	if !g.RecordAnswer(now, fatal, bob) {
		t.Fatal("an answer to a suspected request is not told")
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

// What is let go is let go with the box's own evidence, else it would hold on.
func TestLetGoIsLetGo(t *testing.T) {
	g := NewGuard()
	l := NewEvidenceStore()
	now := morning.Add(time.Minute)
	for i := range 3 {
		e := endOf(alice, fmt.Sprint(i), time.Duration(i)*time.Second)
		g.RecordCrash(now, e)
		l.RecordCrash(now, e)
	}
	watch := l.PendingChanges(now, now, nil)
	if len(watch) != 1 || watch[0].Entry.Held || watch[0].Entry.Caller != AnyCaller {
		t.Fatalf("at first: %+v", watch)
	}
	list := []Entry{watch[0].Entry}
	if early := l.PendingChanges(now, now, list); len(early) != 0 {
		t.Fatalf("held before it had time to be cleared: %+v", early)
	}
	now = now.Add(settleTime)
	hold := l.PendingChanges(now, now, list)
	if len(hold) != 1 || !hold[0].Entry.Held || hold[0].Entry.Caller != alice || len(hold[0].Entry.CrashedTargets) != 3 {
		t.Fatalf("then: %+v", hold)
	}
	list = append(list, hold[0].Entry)
	g.SetList(list)
	if v := g.Admit(now, now, fatal, alice); v.Decision != Held || !v.Listed || v.RetryAfter != holdTime {
		t.Fatalf("got %+v", v)
	}
	if more := l.PendingChanges(now, now, list); len(more) != 0 {
		t.Fatalf("told again: %+v", more)
	}
	g.SetList(nil)
	if again := l.PendingChanges(now, now, nil); len(again) != 0 || l.Len() != 0 {
		t.Fatalf("let go by an operator, then: %+v", again)
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != Free {
		t.Fatalf("let go, then: %s", v.Decision)
	}
}

// Time lets go, also at a replica that knows of nothing but the list, and so does an
// answer.
func TestEntriesAreReleased(t *testing.T) {
	held := Entry{Request: fatal, Caller: alice, Held: true, Until: morning.Add(holdTime)}
	l := NewEvidenceStore()
	if due := l.PendingChanges(morning, morning, []Entry{held}); len(due) != 0 {
		t.Fatalf("before its time: %+v", due)
	}
	if due := l.PendingChanges(morning, morning.Add(holdTime), []Entry{held}); len(due) != 1 || !due[0].Release {
		t.Fatalf("after its time: %+v", due)
	}
	l.RecordAnswer(morning, fatal, bob, morning)
	if due := l.PendingChanges(morning, morning, []Entry{held}); len(due) != 0 {
		t.Fatalf("answered to another: %+v", due)
	}
	l.RecordAnswer(morning, fatal, alice, morning)
	if due := l.PendingChanges(morning, morning, []Entry{held}); len(due) != 1 || !due[0].Release {
		t.Fatalf("answered: %+v", due)
	}
}

// Many requests with one ended target each push out none that has two.
func TestManySuspectsPushOutNoGuiltyOne(t *testing.T) {
	g, l := NewGuard(), NewEvidenceStore()
	now := morning
	for _, life := range []string{"1", "2"} {
		g.RecordCrash(now, endOf(alice, life, 0))
		l.RecordCrash(now, endOf(alice, life, 0))
	}
	for i := range 2 * maxSuspects {
		now = now.Add(time.Millisecond)
		e := endOf(alice, fmt.Sprint("other", i), 0)
		e.Request = Request{Target: fmt.Sprint(i)}.Digest()
		g.RecordCrash(now, e)
		l.RecordCrash(now, e)
	}
	if g.SuspectCount() > maxRecords || l.Len() > maxSuspects {
		t.Fatalf("%d and %d are kept", g.SuspectCount(), l.Len())
	}
	if v := g.Admit(now, now, fatal, alice); v.Decision != OnProbation {
		t.Errorf("the box: %s", v.Decision)
	}
	if due := l.PendingChanges(now, now, nil); len(due) != 1 || due[0].Entry.Request != fatal {
		t.Errorf("the replica: %+v", due)
	}
}

// What a digest costs a box while something is known of a request.
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

// What an arrival costs a box of which others are known: the digest and the look.
func BenchmarkAdmit(b *testing.B) {
	g := NewGuard()
	for i := range maxRecords {
		e := endOf(alice, "1", 0)
		e.Request = Request{Target: fmt.Sprint(i)}.Digest()
		g.RecordCrash(morning, e)
	}
	r := Request{Method: "GET", Host: "shop.example", Target: "/orders/17/2f3a"}
	b.ReportAllocs()
	for b.Loop() {
		g.Admit(morning, morning, r.Digest(), alice)
	}
}
