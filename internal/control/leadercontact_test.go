package control

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
)

// Guards against boxes that ask several replicas though a leader has been elected, as none has
// heard of it yet.
func TestReplicaHasWordOfItsLeaderAtOnce(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		for _, d := range s.daemons {
			if age := d.controlAge(); age > electionWait {
				t.Errorf("%s: the update of a leader is %s old after %s", d.config.Name, age, electionWait)
			}
		}
	})
}
