package consensus

import (
	"fmt"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Event is one input of a Replica: Tick, Receive, Propose, ProposeAll, Read,
// ChangeMembership, Transfer or Compact.
type Event interface{ event() }

// Tick lets time pass. A host delivers it at least every heartbeat interval.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct{ Message *wire.ConsensusMessage }

// Propose asks for Data to be appended as a command. Token comes back in
// Output.Proposals.
type Propose struct {
	Token uint64
	Data  []byte
}

// ProposeBatch asks for commands to be appended one after the other. They travel
// together: eight other replicas get one message for up to Config.MaxBatch
// commands, and send one answer, instead of one for each.
type ProposeBatch struct{ Proposals []Propose }

// Read asks for an index that is safe to read at. Token comes back in
// Output.Reads.
type Read struct{ Token uint64 }

// ChangeMembership asks for a new membership that differs from the present one
// by one voter or any number of learners.
type ChangeMembership struct {
	Token      uint64
	Membership *wire.Membership
}

// Transfer asks the leader to hand its leadership to replica To, or to the
// voter that is furthest along if To is empty.
type Transfer struct{ To string }

// Compact tells that the host has stored a snapshot; log entries up to its
// index, less Config.TrailingEntries, are dropped.
type Compact struct{ Snapshot *wire.Snapshot }

func (Tick) event()             {}
func (Receive) event()          {}
func (Propose) event()          {}
func (ProposeBatch) event()     {}
func (Read) event()             {}
func (ChangeMembership) event() {}
func (Transfer) event()         {}
func (Compact) event()          {}

// Proposal says where a proposed entry stands in the log, or why it was not
// taken. An entry that was taken may still be lost: it is accepted only once
// an entry with the same index and term is committed.
type Proposal struct {
	Token uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadResult answers a Read: state applied up to Index or later is current.
type ReadResult struct {
	Token uint64
	Index uint64
	Err   error
}

// Notice is a change of a replica's role.
type Notice struct {
	Role   Role
	Term   uint64
	Leader string
	Reason string
}

// Output is what a host must carry out after an event, in this order: store
// and sync HardState, Snapshot and Entries; then Restore, apply Committed,
// send Messages and answer Proposals and Reads.
type Output struct {
	HardState *wire.HardState
	// Snapshot was received from the leader and replaces the whole log.
	Snapshot *wire.Snapshot
	// Entries are to be appended; one whose index is already stored cuts off
	// the stored entries from that index on.
	Entries   []*wire.Entry
	Messages  []*wire.ConsensusMessage
	Committed []*wire.Entry
	Proposals []Proposal
	Reads     []ReadResult
	Notices   []Notice
}

// NeedsSync reports whether the output holds something to be synced.
func (o Output) NeedsSync() bool {
	return o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0
}

// Merge returns o followed by next, so that a host can sync once for several
// events.
func (o Output) Merge(next Output) Output {
	if next.HardState != nil {
		o.HardState = next.HardState
	}
	if next.Snapshot != nil {
		o.Snapshot = next.Snapshot
		o.Entries = nil
		o.Committed = nil
	}
	o.Entries = append(o.Entries, next.Entries...)
	o.Messages = append(o.Messages, next.Messages...)
	o.Committed = append(o.Committed, next.Committed...)
	o.Proposals = append(o.Proposals, next.Proposals...)
	o.Reads = append(o.Reads, next.Reads...)
	o.Notices = append(o.Notices, next.Notices...)
	return o
}

// NotLeaderError says that only the leader can do what was asked.
type NotLeaderError struct {
	// Leader is the id of the leader as far as known, or empty.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// MembershipError says why a change of the membership was not begun.
type MembershipError struct{ Reason string }

// Error implements error.
func (e *MembershipError) Error() string { return "membership change: " + e.Reason }

// TransferringError says that the leader is handing over and takes no proposals.
type TransferringError struct{ To string }

// Error implements error.
func (e *TransferringError) Error() string { return "leadership is being handed to " + e.To }
