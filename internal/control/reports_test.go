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

// Guards against a replica that holds calls of targets until they time out because it is not a member
// yet: six of nine replicas join one by one while all targets register.
func TestReplicaForwardsBeforeItIsAMember(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		leader, _ := s.leaderAndAnother(t)
		v, err := leader.replica.view(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		joining := &Daemon{replica: &replica{id: "new"}}
		joining.recordReportedLeader(&wire.HelloAnswer{Formed: true, Leader: v.status.Leader, Membership: v.membership})
		if got := joining.leaderAddress(view{}); got != leader.config.PeerAddress {
			t.Errorf("the joining replica forwards to %q, want %q", got, leader.config.PeerAddress)
		}
		joining.recordReportedLeader(&wire.HelloAnswer{Formed: true})
		if got := joining.leaderAddress(view{}); got != leader.config.PeerAddress {
			t.Errorf("a replica without a leader made it forget the leader: %q", got)
		}
	})
}
