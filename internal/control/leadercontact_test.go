package control

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
)

// Seen: after all machines were off, boxes asked three replicas in turn though a
// leader had been elected, as none had update of it yet.
// Cause: a replica noted that it had heard of a leader with the next look at its
// own state, up to 0.2 s later.
// Proof: replicas that follow a leader and never take that look have its update.
func TestReplicaHasWordOfItsLeaderAtOnce(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		for _, d := range s.daemons {
			if age := d.age(); age > formTime {
				t.Errorf("%s: the update of a leader is %s old after %s", d.config.Name, age, formTime)
			}
		}
	})
}
