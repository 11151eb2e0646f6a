package control

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against replicas that forward to the leader what boxes report to it themselves: at 984 boxes
// and nine replicas, 4,900 reports a second while targets register.
func TestReportsToAllReplicasAreNotForwarded(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		leader, follower := s.leaderAndAnother(t)
		follower.collectReport(&wire.Report{Boxes: []*wire.BoxReport{{Box: "box", Incarnation: "1", CallerAddress: "a"}}})
		follower.refreshView(t.Context())
		if n := len(leader.Boxes(time.Minute)); n != 0 {
			t.Errorf("%d reports were forwarded to the leader", n)
		}
	})
}
