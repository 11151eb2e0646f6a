package consensus

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Replicas that start all at once elect a leader sooner than after the loss of
// one: nothing is served until then.
func TestStartedReplicaStandsSooner(t *testing.T) {
	const timeout = time.Second
	m := &wire.Membership{Voters: []*wire.Replica{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	for seed := range uint64(50) {
		now := time.Unix(0, 0)
		r, err := New(now, Config{ID: "a", ElectionTimeout: timeout, Seed: seed}, Stored{
			HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: m},
		})
		if err != nil {
			t.Fatal(err)
		}
		least, most := timeout/firstElectionPart, timeout/firstElectionPart+timeout
		if out := r.Handle(now.Add(least-time.Millisecond), Tick{}); len(out.Messages) > 0 {
			t.Fatalf("seed %d: stood before %s", seed, least)
		}
		if out := r.Handle(now.Add(most), Tick{}); len(out.Messages) == 0 {
			t.Fatalf("seed %d: did not stand after %s", seed, most)
		}
	}
}
