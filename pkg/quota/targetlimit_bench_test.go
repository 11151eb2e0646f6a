package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// targetLimits returns updates of 1,000 targets, a third of 3,000, that report limits of
// 5.6 requests per second.
func targetLimits(now time.Time) (out []targetstatus.Update) {
	for i := range 1000 {
		out = append(out, targetstatus.Update{Incarnation: fmt.Sprintf("i-%010d@1785000000000", i), Limit: 5.6, Sent: now, Received: now})
	}
	return out
}

// BenchmarkIssueForTarget measures one request for a permit at one of nine replicas,
// including the target's update that comes with it.
func BenchmarkIssueForTarget(b *testing.B) {
	now := time.Unix(1000, 0)
	var replicas []string
	for i := range 9 {
		replicas = append(replicas, fmt.Sprintf("10.0.0.%d:8300", i))
	}
	issuer := NewTargetIssuer(replicas[0])
	issuer.SetReplicas(now, replicas)
	limits := targetLimits(now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		update := limits[i%len(limits)]
		issuer.Apply(now, update)
		issuer.Issue(now, []SubjectRequest{{update.Incarnation, 1}})
	}
}

// BenchmarkTargetPermit measures one request at a box that asks for a permit and gets it.
func BenchmarkTargetPermit(b *testing.B) {
	now := time.Unix(1000, 0)
	var replicas []string
	for i := range 9 {
		replicas = append(replicas, fmt.Sprintf("10.0.0.%d:8300", i))
	}
	cache := NewTargetPermitCache()
	cache.SetIssuers(replicas)
	limits := targetLimits(now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		incarnation := limits[i%len(limits)].Incarnation
		cache.RecordRequest(now, incarnation)
		cache.AddWaiter(incarnation)
		for _, a := range cache.StartCalls(now) {
			cache.HandleGrants(now.Add(time.Millisecond), a, []Grant{{Subject: incarnation, Count: 1, TTL: targetPermitTTL}})
		}
		cache.RemoveWaiter(incarnation)
		cache.Take(now, incarnation)
	}
}

// Guards against messages that overload a link when all limits of 3,000 targets are sent
// at once: an update costs each box about 50 bytes, and a permit about 100 in both
// directions together.
func TestTargetLimitMessageSize(t *testing.T) {
	now := time.Unix(1000, 0)
	u := &wire.Update{}
	for _, l := range targetLimits(now) {
		u.Limits = append(u.Limits, l.Message(now.Add(time.Second)))
	}
	if n := proto.Size(u); n > 55_000 {
		t.Errorf("an update with 1,000 limits has %d bytes", n)
	}
	request := &wire.PermitRequest{TargetAsks: []*wire.TargetPermitAsk{{Limit: u.Limits[0], Count: 1}}}
	answer := &wire.PermitAnswer{Grants: []*wire.PermitGrant{{Workspace: u.Limits[0].Life, Count: 1, LifeMilli: 500}}}
	if n := proto.Size(request) + proto.Size(answer); n > 100 {
		t.Errorf("a request for a permit and its answer have %d bytes", n)
	}
}
