package control

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
)

// Guards against a replica that, after a suspension, takes its contact with the leader for recent
// or still takes itself for the leader.
func TestControlAgeIncludesSuspension(t *testing.T) {
	const length = 5 * time.Second
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		for _, d := range s.daemons {
			age, now := d.controlAge(), d.replica.now()
			s.suspend(d, length)
			if got := d.replica.now().Sub(now); got < length {
				t.Errorf("%s: its clock advanced by %s in a suspension of %s", d.config.Name, got, length)
			}
			if got := d.controlAge(); got < age+length {
				t.Errorf("%s: the last contact with the leader was %s ago, and %s ago after a suspension of %s", d.config.Name, age, got, length)
			}
		}
	})
}

// If only the leader's machine is suspended, the leader steps down when it resumes, since it has had
// no contact with the others for so long. The others continue, and one of them becomes leader soon.
func TestSuspendedLeaderStepsDown(t *testing.T) {
	runSlowReplicas(t, steering.State{}, func(t *testing.T, s *slowReplicas) {
		leader, another := s.leaderAndAnother(t)
		s.suspend(leader, 5*time.Second)
		time.Sleep(50 * time.Millisecond)
		if role := s.role(t, leader); role == consensus.Leader {
			t.Error("the suspended leader still leads")
		}
		if lost := another.clock.Suspended(); lost != 0 {
			t.Errorf("another replica counted a suspension of %s", lost)
		}
		time.Sleep(3 * time.Second)
		leaders := 0
		for _, d := range s.daemons {
			if s.role(t, d) == consensus.Leader {
				leaders++
			}
		}
		if leaders != 1 {
			t.Errorf("%d replicas lead, want 1", leaders)
		}
		if took := s.putUntilAcknowledged(t); took > time.Second {
			t.Errorf("a document was acknowledged after %s, want at most 1 s", took)
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
