package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// fakeIssuers are fake control replicas that issue permits.
type fakeIssuers struct {
	mu sync.Mutex
	// permits is how many permits each still has; below zero for one that does not answer.
	permits map[string]int
	calls   int
}

func (r *fakeIssuers) call(ctx context.Context, address string, request *wire.PermitRequest) (*wire.PermitAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if r.permits[address] < 0 {
		return nil, errors.New("no answer")
	}
	out := &wire.PermitAnswer{}
	for _, a := range request.Asks {
		count := min(int(a.Count), r.permits[address])
		r.permits[address] -= count
		out.Grants = append(out.Grants, &wire.PermitGrant{Workspace: a.Workspace, Count: uint32(count), LifeMilli: 1000, WaitMilli: 400})
	}
	return out, nil
}

func (r *fakeIssuers) issued(before int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, remaining := range r.permits {
		before -= max(remaining, 0)
	}
	return before
}

// newWorkspaceLimitedRig returns a rig whose requests all belong to one workspace with a rate
// limit.
func newWorkspaceLimitedRig(t *testing.T, targets int, permits map[string]int) (*rig, *fakeIssuers) {
	t.Helper()
	config := testConfig()
	config.Protocol = workspaceProtocol()
	s := newRig(t, config, targets)
	rules := *s.daemon.routing.Load()
	rules.document.Workspaces = []catalog.Workspace{{Name: "north", Keys: []string{"key-n"}, Limit: catalog.RateLimit{PerSecond: 10, Burst: 10}}}
	rules.keys = catalog.NewKeyTable(rules.document)
	s.daemon.routing.Store(&rules)
	r := &fakeIssuers{permits: permits}
	s.daemon.permits.call = r.call
	s.daemon.permits.replicas = func() []string { return []string{"a", "b"} }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.daemon.permits.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	s.key = "key-n"
	return s, r
}

func wantRefusal(t *testing.T, got result, status int) {
	t.Helper()
	after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != status || err != nil || after <= 0 {
		t.Fatalf("got %d %q, Retry-After %q; want status %d and a positive Retry-After", got.status, got.body, got.header.Get("Retry-After"), status)
	}
}

// Requests beyond a workspace's rate limit must be refused without reaching a target, but only after
// the shares of all replicas have been used.
func TestRequestBeyondTheLimitIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1, "b": 1})
		s.scripts = scripts(s.responds(0, "one"), s.responds(0, "two"))
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "one", 0)
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "two", 0)
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusTooManyRequests)
		if len(s.reached) != 2 {
			t.Fatalf("%d requests reached the target", len(s.reached))
		}
	})
}

// While no replica answers, it is unknown whether a workspace is within its limit: the request is
// refused with a short Retry-After.
func TestRequestIsRefusedWhileNoReplicaAnswers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": -1, "b": -1})
		s.scripts = scripts(s.responds(0, "one"))
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusServiceUnavailable)
		r.mu.Lock()
		r.permits["b"] = 1
		r.mu.Unlock()
		time.Sleep(time.Second)
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "one", 0)
	})
}

// A target that rejected a request did not run it, so its permit serves the next request.
func TestPermitOfRejectedRequestIsReused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, r := newWorkspaceLimitedRig(t, 1, map[string]int{"a": 1})
		s.scripts = scripts(s.rejects(), s.responds(0, "next"))
		wantRefusal(t, s.send(t.Context(), "/once/", ""), http.StatusServiceUnavailable)
		s.wantResponse(t, s.send(t.Context(), "/once/", ""), "next", 0)
		if n := r.issued(1); n != 1 {
			t.Fatalf("%d permits were issued", n)
		}
	})
}

// Each run at a target counts against the limit: a second attempt needs a permit of its own, and is
// not made without one.
func TestSecondAttemptNeedsPermit(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s, _ := newWorkspaceLimitedRig(t, 2, map[string]int{"a": 1})
		s.scripts = scripts(s.breaks(0), s.responds(0, "second"))
		if got := s.send(t.Context(), "/long/", ""); got.status != http.StatusBadGateway {
			t.Fatalf("without a second permit: got %d %q", got.status, got.body)
		}
		if len(s.reached) != 1 {
			t.Fatalf("%d targets got the request", len(s.reached))
		}
	})
	inVirtualTime(t, func(t *testing.T) {
		s, r := newWorkspaceLimitedRig(t, 2, map[string]int{"a": 2})
		s.scripts = scripts(s.breaks(0), s.responds(0, "second"))
		until := time.Now().Add(time.Second)
		s.daemon.permits.release("north", until)
		s.daemon.permits.release("north", until)
		s.wantResponse(t, s.send(t.Context(), "/long/", ""), "second", 0)
		if n := r.issued(2); n != 0 {
			t.Fatalf("%d permits were issued besides the cached ones", n)
		}
	})
}
