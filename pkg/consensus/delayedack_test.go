package consensus

import (
	"testing"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// delayedAck is a cluster in which a follower has stored and acknowledged entries, but
// the acknowledgement is delayed. Meanwhile the leader, which has only the other
// follower's acknowledgements, takes a snapshot and sends it to the slow follower.
type delayedAck struct {
	cluster     *cluster
	leader      *member
	slow, other *member
}

func newDelayedAck(t *testing.T) *delayedAck {
	t.Helper()
	c := newCluster(3, 1)
	s := &delayedAck{cluster: c, leader: c.awaitLeader(t)}
	for range 10 {
		c.advance()
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
		c.handle(s.leader, Propose{Data: make([]byte, 1000)})
	}
	s.deliver(s.slow, s.takeInbox(s.slow))
	acknowledged := s.takeInbox(s.leader)
	got := 0
	for _, m := range s.takeInbox(s.other) {
		if got += len(m.Entries); got <= known {
			c.handle(s.other, Receive{Message: m})
		}
	}
	s.deliver(s.leader, s.takeInbox(s.leader))
	s.takeInbox(s.slow) // the commit index is lost with the connection
	c.isolated[s.other.id] = true
	r := s.leader.replica
	c.handle(s.leader, Compact{&wire.Snapshot{Index: r.commit, Term: r.TermAt(r.commit), Membership: r.Membership(), Data: []byte("s")}})
	for range 5 {
		c.now = c.now.Add(tick)
		c.handle(s.leader, Tick{})
	}
	s.deliver(s.leader, acknowledged)
	for _, m := range s.takeInbox(s.slow) {
		if m.Snapshot != nil {
			c.handle(s.slow, Receive{Message: m})
		}
	}
	s.takeInbox(s.leader)
	return s
}

// takeInbox returns and clears the inbox of a member.
func (s *delayedAck) takeInbox(m *member) []*wire.ConsensusMessage {
	out := m.inbox
	m.inbox = nil
	return out
}

func (s *delayedAck) deliver(m *member, messages []*wire.ConsensusMessage) {
	for _, x := range messages {
		s.cluster.handle(m, Receive{Message: x})
	}
}

// TestLateSnapshotKeepsAcknowledgedEntries guards against a late snapshot that truncates
// entries which the follower has acknowledged.
func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	s := newDelayedAck(t)
	r := s.leader.replica
	if got, told := s.slow.replica.log.lastIndex(), r.progress[s.slow.id].match; got < told {
		t.Errorf("the follower holds entries up to %d but has acknowledged %d", got, told)
	}
	committed := r.commit
	term := r.TermAt(committed)
	s.leader.alive = false
	delete(s.cluster.isolated, s.other.id)
	for range 200 {
		s.cluster.advance()
	}
	for _, m := range []*member{s.slow, s.other} {
		if got, _ := m.replica.log.term(committed); got != term {
			t.Errorf("%s lost the committed entry %d", m.id, committed)
		}
	}
}

// TestFollowerCatchesUpAfterLateSnapshot guards against a follower that stops for good:
// its leader sends it only the entries after those that it acknowledged, while it no
// longer holds these.
func TestFollowerCatchesUpAfterLateSnapshot(t *testing.T) {
	s := newDelayedAck(t)
	for range 20 {
		s.cluster.handle(s.leader, Propose{Data: []byte("x")})
		s.cluster.advance()
	}
	for range 100 {
		s.cluster.advance()
	}
	if got, want := s.slow.replica.commit, s.leader.replica.commit; got < want {
		t.Errorf("the follower has committed up to %d, want %d", got, want)
	}
}

// TestRejectedHeartbeatsResendLostAppendOnce guards against a lost append that is sent
// again for each rejected heartbeat sent after it.
func TestRejectedHeartbeatsResendLostAppendOnce(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for range 10 {
		c.advance()
	}
	to := leader.replica.others()[0]
	var follower *member
	for _, m := range c.members {
		if m.id == to {
			follower = m
		}
	}
	s := &delayedAck{cluster: c, leader: leader, slow: follower}
	c.handle(leader, Propose{Data: make([]byte, 1_500_000)})
	s.takeInbox(follower) // lost
	for i := range 40 {
		c.handle(leader, Read{Token: uint64(1000 + i)})
	}
	s.deliver(follower, s.takeInbox(follower))
	s.deliver(leader, s.takeInbox(leader))
	long := 0
	for _, m := range s.takeInbox(follower) {
		if len(m.Entries) > 0 {
			long++
		}
	}
	if long != 1 {
		t.Errorf("the entry was resent %d times, want once", long)
	}
}
