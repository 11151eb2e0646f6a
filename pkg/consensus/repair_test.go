package consensus

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

func membershipOf(voters, learners []string) *wire.Membership {
	m := &wire.Membership{}
	for _, id := range voters {
		m.Voters = append(m.Voters, &wire.Replica{Id: id, Address: "at-" + id})
	}
	for _, id := range learners {
		m.Learners = append(m.Learners, &wire.Replica{Id: id, Address: "at-" + id})
	}
	return m
}

// statusWithSilent returns a leader's status in which the given replicas are silent.
func statusWithSilent(m *wire.Membership, silence time.Duration, silent ...string) Status {
	s := Status{Commit: 10}
	for _, list := range [][]*wire.Replica{m.Voters, m.Learners} {
		for _, r := range list {
			p := Peer{ID: r.Id, Match: 10}
			for _, id := range silent {
				if id == r.Id {
					p.Silence = silence
				}
			}
			s.Peers = append(s.Peers, p)
		}
	}
	return s
}

func TestNextReplacementReplacesLostVoter(t *testing.T) {
	m := membershipOf([]string{"a", "b", "c"}, []string{"n"})
	joining := m.Learners[0]
	step, next := NextReplacement(m, statusWithSilent(m, 2*time.Second, "b"), joining)
	if step != RepairRemoveVoter || len(next.Voters) != 2 || contains(next.Voters, "b") {
		t.Fatalf("got %s, %v", step, next)
	}
	step, next = NextReplacement(next, statusWithSilent(next, 0), joining)
	if step != RepairPromote || !contains(next.Voters, "n") {
		t.Fatalf("got %s, %v", step, next)
	}
}

func TestReplacementWithoutLostVoterAddsVoter(t *testing.T) {
	m := membershipOf([]string{"a", "b", "c"}, []string{"n"})
	step, next := NextReplacement(m, statusWithSilent(m, time.Second, "b"), m.Learners[0])
	if step != RepairPromote || len(next.Voters) != 4 {
		t.Fatalf("got %s, %v", step, next)
	}
}

func TestReplacementMustCatchUp(t *testing.T) {
	m := membershipOf([]string{"a", "b", "c"}, []string{"n"})
	s := statusWithSilent(m, 2*time.Second, "b")
	s.Commit = 11
	if step, next := NextReplacement(m, s, m.Learners[0]); step != RepairCatchUp || next != nil {
		t.Fatalf("got %s, %v", step, next)
	}
}

func TestRemovalKeepsEnoughVoters(t *testing.T) {
	six := membershipOf([]string{"a", "b", "c", "d", "e", "f"}, nil)
	if next := NextRemoval(six, statusWithSilent(six, 11*time.Second, "b"), 1); next == nil || contains(next.Voters, "b") {
		t.Fatalf("got %v", next)
	}
	if next := NextRemoval(six, statusWithSilent(six, 9*time.Second, "b"), 1); next != nil {
		t.Fatal("a voter was removed after 9 s of silence")
	}
	if next := NextRemoval(six, statusWithSilent(six, 11*time.Second, "b", "c"), 1); next != nil {
		t.Fatal("a voter was removed while another one is silent")
	}
	five := membershipOf([]string{"a", "b", "c", "d", "e"}, nil)
	if next := NextRemoval(five, statusWithSilent(five, 11*time.Second, "b"), 1); next != nil {
		t.Fatal("a voter was removed, which leaves too few to survive a lost disk")
	}
}
