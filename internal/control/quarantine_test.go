package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/kataras/iris/v12"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Boxes report targets that crashed under a request to every replica. The leader puts the request
// on probation and then in quarantine, within the 2 s in which all boxes must know. Targets that crash at
// one moment are one piece of evidence. A release by an operator reaches all replicas.
func TestEvidenceQuarantinesARequest(t *testing.T) {
	const bound = 2 * time.Second
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, len(s.daemons))
		for _, d := range s.daemons {
			go func() { ended <- d.runQuarantine(ctx) }()
		}
		defer func() {
			cancel()
			for range s.daemons {
				<-ended
			}
		}()
		digest := quarantine.Request{Target: "/fatal"}.Digest()
		sendEvidence := func(incarnation int) {
			for _, d := range s.daemons {
				d.serveEvidence(&wire.Evidence{Ends: []*wire.RunEnd{{
					Digest: digest[:], Caller: 1, Life: fmt.Sprint(incarnation), Route: "r", Service: "s", BeganAgoMilli: 90, EndedAgoMilli: 10,
				}}})
			}
		}
		check := func(held, onProbation int) {
			t.Helper()
			for _, d := range s.daemons {
				gotHeld, gotOnProbation := 0, 0
				for _, e := range quarantine.EntriesOf(d.latest().Catalog().Quarantined()) {
					if e.Held {
						gotHeld++
					} else {
						gotOnProbation++
					}
				}
				if gotHeld != held || gotOnProbation != onProbation {
					t.Errorf("%s: %d quarantined and %d on probation, want %d and %d", d.config.Name, gotHeld, gotOnProbation, held, onProbation)
				}
			}
		}
		sendEvidence(1)
		time.Sleep(bound)
		check(0, 0)
		sendEvidence(2)
		sendEvidence(3)
		time.Sleep(bound)
		check(0, 1)
		sendEvidence(4)
		time.Sleep(bound)
		check(1, 1)
		if err := s.daemons[0].Submit(ctx, &wire.Command{Quarantine: releaseCommand(digest)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		check(0, 0)
	})
}

// A replica of the previous version ignores quarantine commands, so its state would differ from
// the others' permanently. While one answers, no command is submitted.
func TestNothingIsOrderedWhileAReplicaOfBeforeFollows(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		digest := quarantine.Request{Target: "/fatal"}.Digest()
		leader, old := s.leaderAndAnother(t)
		unsupported := true
		callHello := leader.evidence.hello
		leader.evidence.hello = func(ctx context.Context, address string) (*wire.HelloAnswer, error) {
			answer, err := callHello(ctx, address)
			if address == old.config.Name && unsupported && answer != nil {
				answer.TakesQuarantine = false
			}
			return answer, err
		}
		for incarnation := range 3 {
			leader.serveEvidence(&wire.Evidence{Ends: []*wire.RunEnd{{Digest: digest[:], Caller: 1, Life: fmt.Sprint(incarnation)}}})
		}
		listed := func() int {
			leader.applyQuarantineChanges(context.Background())
			time.Sleep(time.Second)
			return len(leader.latest().Catalog().Quarantined())
		}
		if n := listed(); n != 0 {
			t.Fatalf("%d requests were listed while a replica lacks support", n)
		}
		unsupported = false
		time.Sleep(supportCheckValidity)
		if n := listed(); n != 1 {
			t.Fatalf("%d requests are listed after all replicas were upgraded, want 1", n)
		}
	})
}

// leaderAndAnother returns the leader and a replica that does not lead.
func (s *slowReplicas) leaderAndAnother(t *testing.T) (leader, another *Daemon) {
	t.Helper()
	for _, d := range s.daemons {
		v, err := d.replica.view(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		if v.status.Role == consensus.Leader {
			leader = d
		} else {
			another = d
		}
	}
	if leader == nil {
		t.Fatal("no leader")
	}
	return leader, another
}

// A release with an invalid digest is answered with an error and changes nothing.
func TestReleaseRejectsAnInvalidDigest(t *testing.T) {
	d := &Daemon{}
	app := iris.New()
	d.addCatalogHandlers(app)
	if err := app.Build(); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	app.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/quarantine/12", nil))
	if w.Code != http.StatusBadRequest {
		t.Errorf("status %d", w.Code)
	}
}
