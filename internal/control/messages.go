package control

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// message is an input of the replica's loop.
type message interface{ input() }

type proposal struct {
	command *wire.Command
	reply   chan<- outcome
}

// updateBatch is a batch of registration updates that are proposed together. The outcome of each
// is sent on reply, with its index among the updates; reply has capacity for all of them.
type updateBatch struct {
	updates []*wire.Command
	reply   chan<- updateOutcome
}

// updateOutcome is the outcome of the update at an index of a batch.
type updateOutcome struct {
	index int
	err   error
}

type readRequest struct{ reply chan<- readOutcome }

type receivedMessage struct {
	message   *wire.ConsensusMessage
	arrivedAt time.Time // zero for now
}

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

// outcome is the outcome of a proposed command.
type outcome struct {
	result  steering.Result
	version uint64
	err     error
}

type readOutcome struct {
	state steering.State
	err   error
}

// view is a snapshot of the replica's status and state.
type view struct {
	status     consensus.Status
	state      steering.State
	membership *wire.Membership
}

// LeadershipLostError reports that a proposed command's place in the log was taken by another
// leader's entry, or that this replica stopped leading or its disk became full before the command
// was committed. Whether the command is elsewhere in the log is unknown to this replica.
type LeadershipLostError struct{}

// Error implements error.
func (*LeadershipLostError) Error() string {
	return "the leader changed before the command was settled; send it again with the same id"
}
