package quota

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// limitedTargets are the lives of targets that name 5.6 requests a second, a third of 3,000.
func limitedTargets(now time.Time) (out []targetstatus.Update) {
	for i := range 1000 {
		out = append(out, targetstatus.Update{Incarnation: fmt.Sprintf("i-%010d@1785000000000", i), Limit: 5.6, Sent: now, Received: now})
	}
	return out
}

// BenchmarkIssueForTarget is one ask at one of nine replicas, with the target's word that
// comes with it.
func BenchmarkIssueForTarget(b *testing.B) {
	now := time.Unix(1000, 0)
	var replicas []string
	for i := range 9 {
		replicas = append(replicas, fmt.Sprintf("10.0.0.%d:8300", i))
	}
	issuer := NewTargetIssuer(replicas[0])
	issuer.SetReplicas(now, replicas)
	limits := limitedTargets(now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		word := limits[i%len(limits)]
		issuer.Apply(now, word)
		issuer.Issue(now, []SubjectRequest{{word.Incarnation, 1}})
	}
}

// BenchmarkTargetPermit is one request at a box that asks for a permit and gets it.
func BenchmarkTargetPermit(b *testing.B) {
	now := time.Unix(1000, 0)
	var replicas []string
	for i := range 9 {
		replicas = append(replicas, fmt.Sprintf("10.0.0.%d:8300", i))
	}
	stock := NewTargetPermitCache()
	stock.SetIssuers(replicas)
	limits := limitedTargets(now)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		life := limits[i%len(limits)].Incarnation
		stock.RecordRequest(now, life)
		stock.AddWaiter(life)
		for _, a := range stock.StartCalls(now) {
			stock.HandleGrants(now.Add(time.Millisecond), a, []Grant{{Subject: life, Count: 1, TTL: targetLife}})
		}
		stock.RemoveWaiter(life)
		stock.Take(now, life)
	}
}

// A word of a limit costs each box some 50 bytes, and a permit some 100 both ways: what all
// limits of 3,000 targets cost at once fits a link.
func TestLimitsAreSmallOnTheWire(t *testing.T) {
	now := time.Unix(1000, 0)
	u := &wire.Update{}
	for _, l := range limitedTargets(now) {
		u.Limits = append(u.Limits, l.Message(now.Add(time.Second)))
	}
	if n := proto.Size(u); n > 55_000 {
		t.Errorf("an update with 1,000 limits has %d bytes", n)
	}
	ask := &wire.PermitRequest{TargetAsks: []*wire.TargetPermitAsk{{Limit: u.Limits[0], Count: 1}}}
	answer := &wire.PermitAnswer{Grants: []*wire.PermitGrant{{Workspace: u.Limits[0].Life, Count: 1, LifeMilli: 500}}}
	if n := proto.Size(ask) + proto.Size(answer); n > 100 {
		t.Errorf("an ask and its answer have %d bytes", n)
	}
}
