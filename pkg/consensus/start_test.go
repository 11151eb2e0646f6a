package consensus

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// TestStartupElectionTimeoutIsShorter checks that a replica that has just started requests
// votes sooner than one that has lost its leader: if all replicas start at once,
// nothing is served until one is elected.
func TestStartupElectionTimeoutIsShorter(t *testing.T) {
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
		least, most := timeout/startupTimeoutDivisor, timeout/startupTimeoutDivisor+timeout
		if out := r.Handle(now.Add(least-time.Millisecond), Tick{}); len(out.Messages) > 0 {
			t.Fatalf("seed %d: requested votes before %s", seed, least)
		}
		if out := r.Handle(now.Add(most), Tick{}); len(out.Messages) == 0 {
			t.Fatalf("seed %d: did not request votes after %s", seed, most)
		}
	}
}
