package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// RepairStep says how far the admission of a new replica has come.
type RepairStep string

// The steps by which a replica on a new disk takes the place of the one that
// was at its address. Each is one change of the membership.
const (
	// RepairAddLearner: the replica is to be added as a learner.
	RepairAddLearner RepairStep = "learn"
	// RepairCatchUp: it does not yet hold all that is committed.
	RepairCatchUp RepairStep = "catchUp"
	// RepairRemoveVoter: the replica of the lost disk is to be removed.
	RepairRemoveVoter RepairStep = "remove"
	// RepairPromote: the learner is to vote.
	RepairPromote RepairStep = "promote"
	// RepairFinished: the replica votes and holds all that is committed, so
	// the next loss is survived.
	RepairFinished RepairStep = "finished"
)

// NextRepair returns the next step of taking a joining replica in, and the
// membership to ask for, which is nil when there is only to wait.
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
		next.Learners = append(withoutAddress(next.Learners, joining.Address), joining)
		return RepairAddLearner, next
	}
	if !caughtUp {
		return RepairCatchUp, nil
	}
	if kept := withoutAddress(m.Voters, joining.Address); len(kept) < len(m.Voters) {
		next.Voters = kept
		return RepairRemoveVoter, next
	}
	next.Learners = withoutAddress(next.Learners, joining.Address)
	next.Voters = append(next.Voters, joining)
	return RepairPromote, next
}

// Silences after which a voter counts as lost. Source: a leader writes to every
// replica each 200 ms, and a process that was killed is back within a second
// or two; the contact time of the users' deployments is 3 to 4 s.
const (
	// replaceAfter is for a voter whose place another replica waits for.
	replaceAfter = 1500 * time.Millisecond
	// removeAfter is for a voter that nobody is there to replace.
	removeAfter = 10 * time.Second
)

// NextReplacement is NextRepair for a membership without fixed addresses: a
// joining replica takes the place of the one at its address or, if there is
// none, of a voter that is lost; if no voter is lost it becomes one more.
func NextReplacement(m *wire.Membership, s Status, joining *wire.Replica) (RepairStep, *wire.Membership) {
	step, next := NextRepair(m, s, joining)
	if step != RepairPromote {
		return step, next
	}
	lost := longestSilent(m, s, replaceAfter)
	if lost == "" {
		return step, next
	}
	next = proto.CloneOf(m)
	next.Voters = without(m.Voters, lost)
	return RepairRemoveVoter, next
}

// NextRemoval returns the membership without a voter that is lost for good, or
// nil. It keeps as many voters as bear the loss of spare disks next to that of
// one more replica, and lets one go only while all the others answer.
func NextRemoval(m *wire.Membership, s Status, spare int) *wire.Membership {
	lost := longestSilent(m, s, removeAfter)
	if lost == "" || len(m.Voters) <= 2*spare+3 {
		return nil
	}
	next := proto.CloneOf(m)
	next.Voters = without(m.Voters, lost)
	if longestSilent(next, s, replaceAfter) != "" {
		return nil
	}
	return next
}

// longestSilent returns the voter that has been silent for longest, if that is
// longer than after.
func longestSilent(m *wire.Membership, s Status, after time.Duration) string {
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

func without(list []*wire.Replica, id string) []*wire.Replica {
	return slices.DeleteFunc(slices.Clone(list), func(r *wire.Replica) bool { return r.Id == id })
}

func withoutAddress(list []*wire.Replica, address string) []*wire.Replica {
	var out []*wire.Replica
	for _, v := range list {
		if v.Address != address {
			out = append(out, v)
		}
	}
	return out
}
