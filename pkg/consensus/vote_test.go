package consensus

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func voteRequest(from, to string, term, index, logTerm uint64) Receive {
	return Receive{Message: &wire.ConsensusMessage{
		Kind: wire.MessageKind_MESSAGE_KIND_VOTE, From: from, To: to, Term: term, LogIndex: index, LogTerm: logTerm,
	}}
}

// granted reports whether an output grants a vote.
func granted(out Output) bool {
	for _, m := range out.Messages {
		if m.Kind == wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER && !m.Reject {
			return true
		}
	}
	return false
}

func TestVoteSurvivesARestart(t *testing.T) {
	c := newCluster(3, 1)
	m := c.members[0]
	if !granted(c.handle(m, voteRequest("r1", "r0", 5, 1, 1))) {
		t.Fatal("the first vote was not granted")
	}
	c.start(m)
	if granted(c.handle(m, voteRequest("r2", "r0", 5, 1, 1))) {
		t.Error("a second vote was granted in the same term after a restart")
	}
}

func TestVoteForAShorterLogIsRefused(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	c.handle(leader, Propose{Data: []byte("x")})
	for range 5 {
		c.advance()
	}
	c.now = c.now.Add(time.Minute) // the contact with the leader has expired
	for _, m := range c.members {
		if m != leader && granted(c.handle(m, voteRequest(leader.id, m.id, 50, 1, 1))) {
			t.Errorf("%s voted for a log that lacks committed entries", m.id)
		}
	}
}

func TestReplicaWithoutMembershipDoesNotVote(t *testing.T) {
	c := newCluster(3, 1)
	fresh := &member{id: "new"}
	c.start(fresh)
	if granted(c.handle(fresh, voteRequest("r1", "new", 5, 9, 9))) {
		t.Error("a replica without a membership voted")
	}
	for range 100 {
		c.now = c.now.Add(tick)
		if out := c.handle(fresh, Tick{}); len(out.Messages) > 0 || out.HardState != nil {
			t.Fatal("a replica without a membership started an election")
		}
	}
}

func TestVoteRequestDoesNotDeposeActiveLeader(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for range 5 {
		c.advance()
	}
	for _, m := range c.members {
		out := c.handle(m, voteRequest("r9", m.id, 50, 99, 99))
		if granted(out) || out.HardState != nil {
			t.Errorf("%s accepted a candidate while in contact with the leader", m.id)
		}
	}
	if c.leader() != leader {
		t.Error("the leader was deposed")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	c.isolated[leader.id] = true
	for range 30 {
		c.advance()
	}
	if leader.replica.role == Leader {
		t.Error("a leader without a quorum did not step down")
	}
}

// TestEntryOfEarlierTermIsNotCommittedByCounting is the case of figure 8 in the paper by Ongaro
// and Ousterhout: an entry of an earlier term on a majority of replicas is not
// committed.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := newCluster(3, 1)
	m := c.members[0]
	m.stored.HardState = &wire.HardState{Term: 4}
	m.stored.Entries = []*wire.Entry{{Index: 2, Term: 2}}
	c.start(m)
	m.replica.setHardState(5, "r0")
	m.replica.becomeLeader()
	m.replica.out = Output{}
	out := c.handle(m, Receive{Message: &wire.ConsensusMessage{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, From: "r1", To: "r0", Term: 5, LogIndex: 2,
	}})
	if len(out.Committed) > 0 {
		t.Error("an entry of an earlier term was committed by counting its copies")
	}
}

func TestLearnerMustCatchUpBeforeItVotes(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	learner := &wire.Replica{Id: "new", Address: "a9"}
	m := leader.replica.Membership()
	c.handle(leader, ChangeMembership{Membership: &wire.Membership{Voters: m.Voters, Learners: []*wire.Replica{learner}}})
	for range 5 {
		c.advance()
	}
	status := leader.replica.Status(c.now)
	if step, next := NextRepair(leader.replica.Membership(), status, learner); step != RepairCatchUp || next != nil {
		t.Errorf("the next step of the repair is %s", step)
	}
	out := c.handle(leader, ChangeMembership{Membership: &wire.Membership{Voters: append(m.Voters[:3:3], learner)}})
	if out.Proposals[0].Err == nil {
		t.Error("a learner without the committed entries was made a voter")
	}
}

// TestConflictingEntriesAreReplaced lets an isolated leader append entries that no other
// replica has, and checks that the next leader's entries replace them.
func TestConflictingEntriesAreReplaced(t *testing.T) {
	c := newCluster(3, 5)
	old := c.awaitLeader(t)
	c.isolated[old.id] = true
	for range 3 {
		c.handle(old, Propose{Data: []byte("lost")})
	}
	for range 60 {
		c.advance()
	}
	leader := c.leader()
	if leader == nil || leader == old {
		t.Fatal("no other leader")
	}
	for range 2 {
		c.handle(leader, Propose{Data: []byte("kept")})
	}
	delete(c.isolated, old.id)
	for range 60 {
		c.advance()
	}
	if err := c.checkApplied(); err != nil {
		t.Fatal(err)
	}
	if old.replica.commit != leader.replica.commit {
		t.Errorf("the old leader has committed up to %d, the new leader up to %d", old.replica.commit, leader.replica.commit)
	}
	for _, e := range old.applied {
		if string(e.Data) == "lost" {
			t.Error("an entry that was never committed was applied")
		}
	}
}
