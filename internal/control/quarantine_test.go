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

// Boxes tell every replica of targets that ended under a request. The leader has it
// watched, then held, within the time in which all boxes must know; an operator's update
// lets it go at all replicas.
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
		tell := func(life int) {
			for _, d := range s.daemons {
				d.serveEvidence(&wire.Evidence{Ends: []*wire.RunEnd{{
					Digest: digest[:], Caller: 1, Life: fmt.Sprint(life), Route: "r", Service: "s", BeganAgoMilli: 90, EndedAgoMilli: 10,
				}}})
			}
		}
		want := func(held, watched int) {
			t.Helper()
			for _, d := range s.daemons {
				gotHeld, gotWatched := 0, 0
				for _, e := range quarantine.EntriesOf(d.latest().Catalog().Quarantined()) {
					if e.Held {
						gotHeld++
					} else {
						gotWatched++
					}
				}
				if gotHeld != held || gotWatched != watched {
					t.Errorf("%s: %d held and %d watched, want %d and %d", d.config.Name, gotHeld, gotWatched, held, watched)
				}
			}
		}
		tell(1)
		time.Sleep(bound)
		want(0, 0)
		tell(2)
		tell(3)
		time.Sleep(bound / 2)
		want(0, 1)
		time.Sleep(bound / 2)
		want(1, 1)
		if err := s.daemons[0].Submit(ctx, &wire.Command{Quarantine: releaseCommand(digest)}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(bound)
		want(0, 0)
	})
}

// A replica of the version before would pass over the orders and differ from the others
// for good: while one answers, nothing is ordered.
func TestNothingIsOrderedWhileAReplicaOfBeforeFollows(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		digest := quarantine.Request{Target: "/fatal"}.Digest()
		leader, old := s.leaderAndAnother(t)
		before := true
		ask := leader.evidence.hello
		leader.evidence.hello = func(ctx context.Context, address string) (*wire.HelloAnswer, error) {
			answer, err := ask(ctx, address)
			if address == old.config.Name && before && answer != nil {
				answer.TakesQuarantine = false
			}
			return answer, err
		}
		for life := range 3 {
			leader.serveEvidence(&wire.Evidence{Ends: []*wire.RunEnd{{Digest: digest[:], Caller: 1, Life: fmt.Sprint(life)}}})
		}
		listed := func() int {
			leader.applyQuarantineChanges(context.Background())
			time.Sleep(time.Second)
			return len(leader.latest().Catalog().Quarantined())
		}
		if n := listed(); n != 0 {
			t.Fatalf("%d requests were ordered to be watched or held", n)
		}
		before = false
		time.Sleep(supportCheckValidity)
		if n := listed(); n != 1 {
			t.Fatalf("%d requests are listed once all are renewed", n)
		}
	})
}

// leaderAndAnother returns the replica that leads and one that does not.
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
		t.Fatal("no replica leads")
	}
	return leader, another
}

// Calls that name no digest get a clear error and change nothing.
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
