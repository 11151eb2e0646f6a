package control

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/steering"
)

// Guards against boxes that query several replicas although a leader has been elected, because no
// replica has recorded contact with it yet.
func TestReplicaHasWordOfItsLeaderAtOnce(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		for _, d := range s.daemons {
			if age := d.controlAge(); age > electionWait {
				t.Errorf("%s: the last contact with a leader is %s ago after %s", d.config.Name, age, electionWait)
			}
		}
	})
}
