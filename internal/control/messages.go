package control

import (
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// message is one input of the replica's loop.
type message interface{ input() }

type proposal struct {
	command *wire.Command
	reply   chan<- outcome
}

// updateBatch is registration updates that are proposed together. The outcome of each comes
// on reply, which has room for all of them, with its place among the updates.
type updateBatch struct {
	updates []*wire.Command
	reply   chan<- updateOutcome
}

// updateOutcome is what became of the update at a place of a batch.
type updateOutcome struct {
	index int
	err   error
}

type readRequest struct{ reply chan<- readOutcome }

type receivedMessage struct{ message *wire.ConsensusMessage }

type viewRequest struct{ reply chan<- view }

type membershipChange struct {
	membership *wire.Membership
	reply      chan<- outcome
}

type bootstrap struct{ membership *wire.Membership }

type leadershipTransfer struct{}

func (proposal) input()           {}
func (updateBatch) input()        {}
func (readRequest) input()        {}
func (receivedMessage) input()    {}
func (viewRequest) input()        {}
func (membershipChange) input()   {}
func (bootstrap) input()          {}
func (leadershipTransfer) input() {}

// outcome is what became of a proposed command.
type outcome struct {
	result  steering.Result
	version uint64
	err     error
}

type readOutcome struct {
	state steering.State
	err   error
}

// view is the replica as it is now.
type view struct {
	status     consensus.Status
	state      steering.State
	membership *wire.Membership
}

// LeadershipLostError says that a command was taken but its place in the log went to
// another; whether it is in the log elsewhere is not known here.
type LeadershipLostError struct{}

// Error implements error.
func (*LeadershipLostError) Error() string {
	return "the leader changed before the command was settled; send it again with the same id"
}
