package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// RepairStep is a step of replacing a voter by a new replica.
type RepairStep string

// The steps by which a replica on a new disk replaces the one at the same address.
// Each change of the membership is a step of its own.
const (
	// RepairAddLearner adds the new replica as a learner.
	RepairAddLearner RepairStep = "learn"
	// RepairCatchUp waits until the new replica holds all committed entries.
	RepairCatchUp RepairStep = "catchUp"
	// RepairRemoveVoter removes the replica whose disk was lost.
	RepairRemoveVoter RepairStep = "remove"
	// RepairPromote makes the learner a voter.
	RepairPromote RepairStep = "promote"
	// RepairFinished means that the new replica is a voter and holds all committed
	// entries, so the cluster can bear the next loss.
	RepairFinished RepairStep = "finished"
)

// NextRepair returns the next step for a joining replica and the membership to
// propose for it, which is nil if there is nothing to propose.
func NextRepair(m *wire.Membership, s Status, joining *wire.Replica) (RepairStep, *wire.Membership) {
	caughtUp := false
	for _, p := range s.Peers {
		if p.ID == joining.Id && p.Match >= s.Commit {
			caughtUp = true
		}
	}
	next := proto.CloneOf(m)
	if contains(m.Voters, joining.Id) {
		if caughtUp {
			return RepairFinished, nil
		}
		return RepairCatchUp, nil
	}
	if !contains(m.Learners, joining.Id) {
		next.Learners = append(removeAddress(next.Learners, joining.Address), joining)
		return RepairAddLearner, next
	}
	if !caughtUp {
		return RepairCatchUp, nil
	}
	if kept := removeAddress(m.Voters, joining.Address); len(kept) < len(m.Voters) {
		next.Voters = kept
		return RepairRemoveVoter, next
	}
	next.Learners = removeAddress(next.Learners, joining.Address)
	next.Voters = append(next.Voters, joining)
	return RepairPromote, next
}

// Silences after which a voter counts as lost. A leader sends to every replica each
// 200 ms, and a process that was killed is back within 1 to 2 s. The users'
// deployments allow 3 to 4 s for regaining contact.
const (
	// replaceVoterAfter applies while another replica waits to replace the voter.
	replaceVoterAfter = 1500 * time.Millisecond
	// removeVoterAfter applies while no replica is available to replace the voter.
	removeVoterAfter = 10 * time.Second
)

// NextReplacement is NextRepair for a membership without fixed addresses: a joining
// replica replaces the one at its address or, if there is none, a lost voter. If no
// voter is lost, it becomes an additional voter.
func NextReplacement(m *wire.Membership, s Status, joining *wire.Replica) (RepairStep, *wire.Membership) {
	step, next := NextRepair(m, s, joining)
	if step != RepairPromote {
		return step, next
	}
	lost := longestSilentVoter(m, s, replaceVoterAfter)
	if lost == "" {
		return step, next
	}
	next = proto.CloneOf(m)
	next.Voters = removeID(m.Voters, lost)
	return RepairRemoveVoter, next
}

// NextRemoval returns the membership without a voter that is lost for good, or nil if
// no voter can be removed. It keeps enough voters to bear the loss of spare disks and
// of one more replica, and removes a voter only while all the others answer.
func NextRemoval(m *wire.Membership, s Status, spare int) *wire.Membership {
	lost := longestSilentVoter(m, s, removeVoterAfter)
	if lost == "" || len(m.Voters) <= 2*spare+3 {
		return nil
	}
	next := proto.CloneOf(m)
	next.Voters = removeID(m.Voters, lost)
	if longestSilentVoter(next, s, replaceVoterAfter) != "" {
		return nil
	}
	return next
}

// longestSilentVoter returns the ID of the voter that has been silent longest, or
// "" if none has been silent for longer than after.
func longestSilentVoter(m *wire.Membership, s Status, after time.Duration) string {
	lost := ""
	longest := after
	for _, p := range s.Peers {
		if p.Silence > longest && contains(m.Voters, p.ID) {
			longest = p.Silence
			lost = p.ID
		}
	}
	return lost
}

func removeID(list []*wire.Replica, id string) []*wire.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(r *wire.Replica) bool { return r.Id == id })
}

func removeAddress(list []*wire.Replica, address string) []*wire.Replica {
	var out []*wire.Replica
	for _, v := range list {
		if v.Address != address {
			out = append(out, v)
		}
	}
	return out
}
