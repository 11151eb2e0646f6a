package quota

import (
	"errors"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// A permit must not be used after its lifetime, which starts when it was requested.
func TestPermitExpires(t *testing.T) {
	b := NewPermitCache()
	b.SetIssuers([]string{"a"})
	asked := time.Time{}.Add(time.Hour)
	b.AddWaiter(testWorkspace)
	calls := b.StartCalls(asked)
	b.HandleGrants(asked.Add(50*time.Millisecond), calls[0], []Grant{{Subject: testWorkspace, Count: 3, TTL: 100 * time.Millisecond}})
	until, ok := b.Take(asked.Add(99*time.Millisecond), testWorkspace)
	if !ok || !until.Equal(asked.Add(100*time.Millisecond)) {
		t.Fatalf("taken %v, until %v", ok, until)
	}
	b.PutBack(testWorkspace, until)
	if _, ok := b.Take(asked.Add(100*time.Millisecond), testWorkspace); ok {
		t.Error("a permit was taken after it expired")
	}
}

// Guards against two faults. A request without a permit was sent to an issuer in another
// region, 80 ms away, while a call for the same workspace was pending in its own zone,
// which affected a tenth of all requests. And an issuer that received a document a moment
// after the box was not called for half a second.
func TestNearestIssuerIsPreferred(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"far", "near"})
	latencies := map[string]time.Duration{"far": 70 * time.Millisecond, "near": time.Millisecond}
	next := func() IssuerCall {
		b.AddWaiter(testWorkspace)
		calls := b.StartCalls(now)
		if len(calls) != 1 {
			t.Fatalf("calls %v", calls)
		}
		return calls[0]
	}
	for range 2 { // each issuer once, as none has answered yet
		a := next()
		b.RemoveWaiter(testWorkspace)
		b.HandleGrants(now.Add(latencies[a.Address]), a, nil)
	}
	if first, second := next(), next(); first.Address != "near" || second.Address != "near" {
		t.Errorf("called %s and %s", first.Address, second.Address)
	}
	now = now.Add(hedgeDelay)
	if late := next(); late.Address != "far" {
		t.Errorf("while an answer was late, %s was called", late.Address)
	}
}

// Guards against sequential calls: once the nearby shares were used up, a request asked
// the replicas of four regions one after the other, at 75 ms each.
func TestRemoteIssuersAreCalledInParallel(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"near", "far1", "far2", "far3"})
	for range 4 { // each issuer is called once
		b.AddWaiter(testWorkspace)
		for _, a := range b.StartCalls(now) {
			took := 75 * time.Millisecond
			if a.Address == "near" {
				took = time.Millisecond
			}
			b.HandleGrants(now.Add(took), a, nil)
		}
		b.RemoveWaiter(testWorkspace)
	}
	b.AddWaiter(testWorkspace)
	calls := b.StartCalls(now)
	if len(calls) != 1 || calls[0].Address != "near" {
		t.Fatalf("called %v", calls)
	}
	b.HandleGrants(now, calls[0], []Grant{{Subject: testWorkspace, RetryAfter: time.Second}})
	if calls = b.StartCalls(now); len(calls) != 3 {
		t.Errorf("called %v", calls)
	}
}

func TestStaleIssuerIsRetriedSoon(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"a"})
	b.AddWaiter(testWorkspace)
	b.HandleStale(now, b.StartCalls(now)[0])
	if err := b.Refusal(now, testWorkspace); err != nil {
		t.Errorf("refused at once: %v", err)
	}
	if calls := b.StartCalls(now.Add(stalePause)); len(calls) != 1 {
		t.Errorf("calls %v", calls)
	}
}

// Guards against callers of a workspace over its limit that all retry at the same time.
func TestRefusedCallersGetDistinctRetryTimes(t *testing.T) {
	s := &simulation{limit: catalog.RateLimit{PerSecond: 5, Burst: 0}, number: 1, partitioned: make(map[[2]int]bool), issuers: make([]*Issuer, 1), boxes: make([]*PermitCache, 1)}
	s.now = time.Time{}.Add(time.Hour)
	s.issuers[0] = s.newIssuer()
	s.boxes[0] = s.newBox()
	retryTimes := make(map[time.Duration]bool)
	for range 5 {
		s.request(0)
		var over *OverLimitError
		if !errors.As(s.boxes[0].Refusal(s.now, testWorkspace), &over) {
			t.Fatal("not refused")
		}
		retryTimes[over.RetryAfter] = true
	}
	if len(retryTimes) < 5 {
		t.Errorf("retry times %v", retryTimes)
	}
}

func TestRefusalReason(t *testing.T) {
	s := &simulation{limit: catalog.RateLimit{PerSecond: 1, Burst: 1}, number: 1, partitioned: make(map[[2]int]bool), issuers: make([]*Issuer, 2), boxes: make([]*PermitCache, 1)}
	s.now = time.Time{}.Add(time.Hour)
	for i := range s.issuers {
		s.issuers[i] = s.newIssuer()
	}
	s.boxes[0] = s.newBox()
	s.request(0)
	var over *OverLimitError
	if err := s.boxes[0].Refusal(s.now, testWorkspace); !errors.As(err, &over) || over.RetryAfter <= 0 {
		t.Errorf("empty issuers: %v", err)
	}
	s.partitioned[[2]int{0, 0}], s.partitioned[[2]int{0, 1}] = true, true
	s.now = s.now.Add(maxRetryAfter)
	s.request(0)
	var noIssuer *NoIssuerError
	if err := s.boxes[0].Refusal(s.now, testWorkspace); !errors.As(err, &noIssuer) || noIssuer.RetryAfter <= 0 {
		t.Errorf("unresponsive issuers: %v", err)
	}
	if (&Issuer{documentNumber: 3}).DocumentNumber() != 3 {
		t.Error("unexpected document number")
	}
	var stale *StaleLimitsError
	if _, err := s.issuers[0].Issue(s.now, 2, nil); !errors.As(err, &stale) {
		t.Errorf("an issuer with an older document: %v", err)
	}
}
