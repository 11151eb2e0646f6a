package consensus

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// slowFollower is a cluster in which a follower has stored and acknowledged entries
// whose acknowledgement is on its way, while the leader, which knows of the other
// follower's only, has taken a snapshot and sent it.
type slowFollower struct {
	cluster     *cluster
	leader      *member
	slow, other *member
}

func newSlowFollower(t *testing.T) *slowFollower {
	t.Helper()
	c := newCluster(3, 1)
	s := &slowFollower{cluster: c, leader: c.elect(t)}
	for range 10 {
		c.round()
	}
	for _, m := range c.members {
		switch {
		case m == s.leader:
		case s.slow == nil:
			s.slow = m
		default:
			s.other = m
		}
	}
	const proposed, known = 10, 8
	for range proposed {
		c.do(s.leader, Propose{Data: make([]byte, 1000)})
	}
	s.receive(s.slow, s.take(s.slow))
	acknowledged := s.take(s.leader)
	got := 0
	for _, m := range s.take(s.other) {
		if got += len(m.Entries); got <= known {
			c.do(s.other, Receive{m})
		}
	}
	s.receive(s.leader, s.take(s.leader))
	s.take(s.slow) // the news of the commit is lost with its connection
	c.cut[s.other.id] = true
	r := s.leader.replica
	c.do(s.leader, Compact{&wire.Snapshot{Index: r.commit, Term: r.TermAt(r.commit), Membership: r.Membership(), Data: []byte("s")}})
	for range 5 {
		c.now = c.now.Add(tick)
		c.do(s.leader, Tick{})
	}
	s.receive(s.leader, acknowledged)
	for _, m := range s.take(s.slow) {
		if m.Snapshot != nil {
			c.do(s.slow, Receive{m})
		}
	}
	s.take(s.leader)
	return s
}

// take empties the inbox of a member.
func (s *slowFollower) take(m *member) []*wire.ConsensusMessage {
	out := m.inbox
	m.inbox = nil
	return out
}

func (s *slowFollower) receive(m *member, messages []*wire.ConsensusMessage) {
	for _, x := range messages {
		s.cluster.do(m, Receive{x})
	}
}

// Guards against a late snapshot that cuts off entries which a follower has acknowledged.
func TestSnapshotLeavesAcknowledgedEntries(t *testing.T) {
	s := newSlowFollower(t)
	r := s.leader.replica
	if got, told := s.slow.replica.log.lastIndex(), r.progress[s.slow.id].match; got < told {
		t.Errorf("the follower holds entries up to %d and has acknowledged %d", got, told)
	}
	committed := r.commit
	term := r.TermAt(committed)
	s.leader.alive = false
	delete(s.cluster.cut, s.other.id)
	for range 200 {
		s.cluster.round()
	}
	for _, m := range []*member{s.slow, s.other} {
		if got, _ := m.replica.log.term(committed); got != term {
			t.Errorf("%s lost the committed entry %d", m.id, committed)
		}
	}
}

// The same follower stood still for good: its leader sent it what follows the
// entries that it had acknowledged and no longer held.
func TestFollowerGoesOnAfterALateSnapshot(t *testing.T) {
	s := newSlowFollower(t)
	for range 20 {
		s.cluster.do(s.leader, Propose{Data: []byte("x")})
		s.cluster.round()
	}
	for range 100 {
		s.cluster.round()
	}
	if got, want := s.slow.replica.commit, s.leader.replica.commit; got < want {
		t.Errorf("the follower has committed %d of %d", got, want)
	}
}

// Guards against a lost append that is sent again with each rejection behind it.
func TestRejectionsOfOneLossSendItOnce(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.elect(t)
	for range 10 {
		c.round()
	}
	to := leader.replica.others()[0]
	var follower *member
	for _, m := range c.members {
		if m.id == to {
			follower = m
		}
	}
	s := &slowFollower{cluster: c, leader: leader, slow: follower}
	c.do(leader, Propose{Data: make([]byte, 1_500_000)})
	s.take(follower) // lost
	for i := range 40 {
		c.do(leader, Read{Token: uint64(1000 + i)})
	}
	s.receive(follower, s.take(follower))
	s.receive(leader, s.take(leader))
	long := 0
	for _, m := range s.take(follower) {
		if len(m.Entries) > 0 {
			long++
		}
	}
	if long != 1 {
		t.Errorf("the entry was sent again %d times", long)
	}
}
