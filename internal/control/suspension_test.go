package control

import (
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/steering"
)

// Seen: by reading, a replica whose machine was suspended took the word of its leader for
// as fresh as before, and one that led itself for leader.
// Cause: the steady clock, which stands still in a suspension.
// Proof: seconds pass in a suspension only. The replica's own clock, by which it votes,
// leads and confirms reads, goes on by them, and so does the age of its leader's word.
func TestReplicaCountsASuspension(t *testing.T) {
	const length = 5 * time.Second
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		var asleep atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) })()
		for _, d := range s.daemons {
			age, now := d.age(), d.replica.now()
			asleep.Add(int64(length))
			if got := d.replica.now().Sub(now); got < length {
				t.Errorf("%s: its clock went on by %s in a suspension of %s", d.config.Name, got, length)
			}
			if got := d.age(); got < age+length {
				t.Errorf("%s: the leader's word was %s old and is %s old after a suspension of %s", d.config.Name, age, got, length)
			}
		}
	})
}
