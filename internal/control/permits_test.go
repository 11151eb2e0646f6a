package control

import (
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// A replica issues its share of the limits in its routes document without a leader, and issues
// nothing to a box whose document is newer.
func TestReplicaIssuesItsShare(t *testing.T) {
	now := time.Now()
	document := &routesDecoder{
		decode: func([]byte) (catalog.Document, error) {
			return catalog.Document{Number: 1, Workspaces: []catalog.Workspace{{Name: "w", Limit: catalog.RateLimit{PerSecond: 30, Burst: 30}}}}, nil
		},
		onError: func(uint64, error) {},
	}
	issuer := newPermitIssuer(quota.Bound{Window: 5 * time.Second}, document)
	state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	issuer.setState(state)
	request := &wire.PermitRequest{Number: 1, Asks: []*wire.PermitAsk{{Workspace: "w", Count: 100}}}
	if answer := issuer.issue(now, request); !answer.Behind {
		t.Errorf("before the membership is known: %v", answer)
	}
	issuer.setReplicaCount(now, &wire.Membership{Voters: []*wire.Replica{{Id: "a"}, {Id: "b"}}, Learners: []*wire.Replica{{Id: "c"}}})
	if answer := issuer.issue(now.Add(time.Minute), request); answer.Grants[0].Count != 10 {
		t.Errorf("got %v; its share is a third", answer)
	}
	answer := issuer.issue(now, &wire.PermitRequest{Number: 2, Asks: request.Asks})
	if !answer.Behind || len(answer.Grants) > 0 {
		t.Errorf("a box with a newer document got %v", answer)
	}
}

// Permits that become available while the machine is suspended can be issued afterwards, up to the
// capacity of the bucket.
func TestPermitsAccrueDuringSuspension(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		clock := boottime.NewClock(func() time.Duration { return time.Duration(suspended.Load()) })
		p, err := process.New("a", io.Discard, zerolog.Disabled, "")
		if err != nil {
			t.Fatal(err)
		}
		d := &Daemon{clock: clock, process: p, targetLimits: newTargetLimits("a"), publisher: relay.NewPublisher(steering.State{}, nil, nil)}
		d.targetLimits.clock = clock
		d.targetLimits.setReplicas(clock.Now(), &wire.Membership{Voters: []*wire.Replica{{Address: "a"}}})
		request := &wire.PermitRequest{TargetAsks: []*wire.TargetPermitAsk{
			{Limit: &wire.TargetLimit{Life: "t", Limited: true, PerSecond: 4}, Count: 100},
		}}
		if answer := d.answerPermits(request); answer.Grants[0].Count != 0 {
			t.Errorf("at first: %v", answer)
		}
		suspended.Store(int64(time.Minute))
		if answer := d.answerPermits(request); answer.Grants[0].Count != 3 {
			t.Errorf("after a suspension: %v, want the one permit and half a second's two", answer)
		}
	})
}

// A replica that has just started learns a target's limit from the permit request, issues its
// share and publishes the limit to its subscribers. It also publishes that the limit was
// withdrawn, which it learns from a report.
func TestReplicaIssuesForARateLimitedTarget(t *testing.T) {
	bubble.Test(t, testIssueForRateLimitedTarget)
}

func testIssueForRateLimitedTarget(t *testing.T) {
	p, err := process.New("a", io.Discard, zerolog.Disabled, "")
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{process: p, targetLimits: newTargetLimits("a"), publisher: relay.NewPublisher(steering.State{}, nil, nil)}
	d.targetLimits.setReplicas(boottime.Now(), &wire.Membership{Voters: []*wire.Replica{{Address: "a"}, {Address: "b"}}})
	request := &wire.PermitRequest{TargetAsks: []*wire.TargetPermitAsk{
		{Limit: &wire.TargetLimit{Life: "t", Limited: true, PerSecond: 40}, Count: 3},
	}}
	if answer := d.answerPermits(request); len(answer.Grants) != 1 || answer.Grants[0].Count != 0 {
		t.Errorf("permits from a bucket that should be empty: %v", answer)
	}
	time.Sleep(200 * time.Millisecond)
	if answer := d.answerPermits(request); answer.Grants[0].Count == 0 || answer.Grants[0].LifeMilli == 0 {
		t.Errorf("got %v", answer)
	}
	published, last := d.targetLimits.since(0)
	if len(published) != 1 || published[0].Life != "t" || published[0].PerSecond != 40 {
		t.Errorf("subscribers receive %v", published)
	}
	time.Sleep(400 * time.Millisecond)
	d.applyLimitUpdates([]*wire.TargetLimit{{Life: "t"}})
	if published, _ := d.targetLimits.since(last); len(published) != 1 || published[0].Limited {
		t.Errorf("subscribers receive %v", published)
	}
	d.targetLimits.prune(boottime.Now(), steering.State{})
	if known := d.targetLimits.view("t"); known.limit < targetstatus.NoLimit {
		t.Errorf("still known: %+v", known)
	}
}
