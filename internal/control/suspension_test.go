package control

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
)

// Guards against a replica that takes its leader for fresh, or itself for the leader, after a
// suspension.
func TestReplicaCountsASuspension(t *testing.T) {
	const length = 5 * time.Second
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		for _, d := range s.daemons {
			age, now := d.controlAge(), d.replica.now()
			s.suspend(d, length)
			if got := d.replica.now().Sub(now); got < length {
				t.Errorf("%s: its clock went on by %s in a suspension of %s", d.config.Name, got, length)
			}
			if got := d.controlAge(); got < age+length {
				t.Errorf("%s: the leader's update was %s old and is %s old after a suspension of %s", d.config.Name, age, got, length)
			}
		}
	})
}

// A leader that alone was suspended leads no more when it wakes, as it has not heard of the
// others for so long; these go on, and one of them leads soon.
func TestSuspendedLeaderStepsDown(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		leader, another := s.leaderAndAnother(t)
		s.suspend(leader, 5*time.Second)
		time.Sleep(50 * time.Millisecond)
		if role := s.role(t, leader); role == consensus.Leader {
			t.Error("it leads on")
		}
		if lost := another.clock.Suspended(); lost != 0 {
			t.Errorf("another replica counts %s", lost)
		}
		time.Sleep(3 * time.Second)
		leaders := 0
		for _, d := range s.daemons {
			if s.role(t, d) == consensus.Leader {
				leaders++
			}
		}
		if leaders != 1 {
			t.Errorf("%d replicas lead", leaders)
		}
		if took := s.putUntilAcknowledged(t); took > time.Second {
			t.Errorf("a document is acknowledged after %s", took)
		}
	})
}

func (s *slowReplicas) role(t *testing.T, d *Daemon) consensus.Role {
	t.Helper()
	v, err := d.replica.view(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.status.Role
}
