package quota

import (
	"errors"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// A permit is of no use once its life is over, counted from when it was asked for.
func TestPermitEnds(t *testing.T) {
	b := NewPermitCache()
	b.SetIssuers([]string{"a"})
	asked := time.Time{}.Add(time.Hour)
	b.AddWaiter(oneWorkspace)
	asks := b.StartCalls(asked)
	b.HandleGrants(asked.Add(50*time.Millisecond), asks[0], []Grant{{Subject: oneWorkspace, Count: 3, TTL: 100 * time.Millisecond}})
	until, ok := b.Take(asked.Add(99*time.Millisecond), oneWorkspace)
	if !ok || !until.Equal(asked.Add(100*time.Millisecond)) {
		t.Fatalf("taken %v, until %v", ok, until)
	}
	b.PutBack(oneWorkspace, until)
	if _, ok := b.Take(asked.Add(100*time.Millisecond), oneWorkspace); ok {
		t.Error("a permit was taken after its end")
	}
}

// A request that finds no permit was sent to ask in another region, 80 ms away, where an
// ask for the same workspace was under way in its zone: a tenth of all requests. And
// for half a second no issuer was asked that had got a document a moment after the box.
func TestNearestIssuerIsAskedAgain(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"far", "near"})
	latencies := map[string]time.Duration{"far": 70 * time.Millisecond, "near": time.Millisecond}
	next := func() IssuerCall {
		b.AddWaiter(oneWorkspace)
		asks := b.StartCalls(now)
		if len(asks) != 1 {
			t.Fatalf("asks %v", asks)
		}
		return asks[0]
	}
	for range 2 { // each once, as none has answered yet
		a := next()
		b.RemoveWaiter(oneWorkspace)
		b.HandleGrants(now.Add(latencies[a.Address]), a, nil)
	}
	if first, second := next(), next(); first.Address != "near" || second.Address != "near" {
		t.Errorf("asked %s and %s", first.Address, second.Address)
	}
	now = now.Add(askPatience)
	if late := next(); late.Address != "far" {
		t.Errorf("beside an answer that is late %s was asked", late.Address)
	}
}

// A request of a workspace whose near parts are used up asked four regions' replicas one
// after the other, 75 ms each.
func TestFarIssuersAreAskedAtOnce(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"near", "far1", "far2", "far3"})
	for range 4 { // each is met once
		b.AddWaiter(oneWorkspace)
		for _, a := range b.StartCalls(now) {
			took := 75 * time.Millisecond
			if a.Address == "near" {
				took = time.Millisecond
			}
			b.HandleGrants(now.Add(took), a, nil)
		}
		b.RemoveWaiter(oneWorkspace)
	}
	b.AddWaiter(oneWorkspace)
	asks := b.StartCalls(now)
	if len(asks) != 1 || asks[0].Address != "near" {
		t.Fatalf("asked %v", asks)
	}
	b.HandleGrants(now, asks[0], []Grant{{Subject: oneWorkspace, RetryAfter: time.Second}})
	if asks = b.StartCalls(now); len(asks) != 3 {
		t.Errorf("asked %v", asks)
	}
}

func TestIssuerThatIsBehindIsAskedAgainSoon(t *testing.T) {
	now := time.Time{}.Add(time.Hour)
	b := NewPermitCache()
	b.SetIssuers([]string{"a"})
	b.AddWaiter(oneWorkspace)
	b.HandleStale(now, b.StartCalls(now)[0])
	if err := b.Refusal(now, oneWorkspace); err != nil {
		t.Errorf("refused at once: %v", err)
	}
	if asks := b.StartCalls(now.Add(behindTime)); len(asks) != 1 {
		t.Errorf("asks %v", asks)
	}
}

// Callers of a workspace beyond its limit are told times that are apart.
func TestRefusedCallersDoNotComeBackTogether(t *testing.T) {
	s := &system{limit: catalog.RateLimit{PerSecond: 5, Burst: 0}, number: 1, cut: make(map[[2]int]bool), issuers: make([]*Issuer, 1), boxes: make([]*PermitCache, 1)}
	s.now = time.Time{}.Add(time.Hour)
	s.issuers[0] = s.newIssuer()
	s.boxes[0] = s.newBox()
	told := make(map[time.Duration]bool)
	for range 5 {
		s.request(0)
		var over *OverLimitError
		if !errors.As(s.boxes[0].Refusal(s.now, oneWorkspace), &over) {
			t.Fatal("not refused")
		}
		told[over.RetryAfter] = true
	}
	if len(told) < 5 {
		t.Errorf("told %v", told)
	}
}

func TestRefusalTellsWhy(t *testing.T) {
	s := &system{limit: catalog.RateLimit{PerSecond: 1, Burst: 1}, number: 1, cut: make(map[[2]int]bool), issuers: make([]*Issuer, 2), boxes: make([]*PermitCache, 1)}
	s.now = time.Time{}.Add(time.Hour)
	for i := range s.issuers {
		s.issuers[i] = s.newIssuer()
	}
	s.boxes[0] = s.newBox()
	s.request(0)
	var over *OverLimitError
	if err := s.boxes[0].Refusal(s.now, oneWorkspace); !errors.As(err, &over) || over.RetryAfter <= 0 {
		t.Errorf("empty issuers: %v", err)
	}
	s.cut[[2]int{0, 0}], s.cut[[2]int{0, 1}] = true, true
	s.now = s.now.Add(longestWait)
	s.request(0)
	var silent *NoIssuerError
	if err := s.boxes[0].Refusal(s.now, oneWorkspace); !errors.As(err, &silent) || silent.RetryAfter <= 0 {
		t.Errorf("silent issuers: %v", err)
	}
	if (&Issuer{number: 3}).DocumentNumber() != 3 {
		t.Error("another number")
	}
	var behind *StaleLimitsError
	if _, err := s.issuers[0].Issue(s.now, 2, nil); !errors.As(err, &behind) {
		t.Errorf("an issuer that is behind: %v", err)
	}
}
