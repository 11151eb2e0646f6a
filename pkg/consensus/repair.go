package consensus

import (
	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// RepairStep says how far the admission of a new replica has come.
type RepairStep string

// The steps by which a replica on a new disk takes the place of the one that
// was at its address. Each is one change of the membership.
const (
	// RepairLearn: the replica is to be added as a learner.
	RepairLearn RepairStep = "learn"
	// RepairCatchUp: it does not yet hold all that is committed.
	RepairCatchUp RepairStep = "catchUp"
	// RepairRemove: the replica of the lost disk is to be removed.
	RepairRemove RepairStep = "remove"
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
		return RepairLearn, next
	}
	if !caughtUp {
		return RepairCatchUp, nil
	}
	if kept := withoutAddress(m.Voters, joining.Address); len(kept) < len(m.Voters) {
		next.Voters = kept
		return RepairRemove, next
	}
	next.Learners = withoutAddress(next.Learners, joining.Address)
	next.Voters = append(next.Voters, joining)
	return RepairPromote, next
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
