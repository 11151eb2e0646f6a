package consensus

import (
	"fmt"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Event is an input of a Replica: Tick, Receive, Propose, ProposeBatch, Read,
// ChangeMembership, Transfer or Compact.
type Event interface{ event() }

// Tick advances the replica's clock and runs the timers that are due. A host
// delivers it at least every heartbeat interval.
type Tick struct{}

// Receive delivers a message from another replica.
type Receive struct {
	Message *wire.ConsensusMessage
	// At is the arrival time, which may be long before the event is handled; zero
	// means now.
	At time.Time
}

// arrivedAt returns the arrival time, which is not after now.
func (e Receive) arrivedAt(now time.Time) time.Time {
	if e.At.IsZero() || e.At.After(now) {
		return now
	}
	return e.At
}

// Propose appends Data to the log as a command. Token identifies the result in
// Output.Proposals.
type Propose struct {
	Token uint64
	Data  []byte
}

// ProposeBatch appends several commands in order. Each of the other replicas, eight in
// a cluster of nine, gets one message for up to Config.MaxBatch commands and sends one
// answer to it, instead of one for each command.
type ProposeBatch struct{ Proposals []Propose }

// Read requests an index at which a read is linearizable. Token identifies the
// result in Output.Reads.
type Read struct{ Token uint64 }

// ChangeMembership proposes a membership that differs from the current one by at
// most one voter and any number of learners.
type ChangeMembership struct {
	Token      uint64
	Membership *wire.Membership
}

// Transfer asks the leader to transfer leadership to replica To, or to the voter
// with the most up-to-date log if To is empty.
type Transfer struct{ To string }

// Compact reports that the host has stored a snapshot. The replica drops the log
// entries up to the snapshot's index except the last Config.TrailingEntries.
type Compact struct{ Snapshot *wire.Snapshot }

func (Tick) event()             {}
func (Receive) event()          {}
func (Propose) event()          {}
func (ProposeBatch) event()     {}
func (Read) event()             {}
func (ChangeMembership) event() {}
func (Transfer) event()         {}
func (Compact) event()          {}

// Proposal reports the log position of a proposed entry, or why the entry was not
// appended. An appended entry may still be lost: it is final only once an entry
// with the same index and term is committed.
type Proposal struct {
	Token uint64
	Index uint64
	Term  uint64
	Err   error
}

// ReadResult answers a Read: a read of state applied up to Index or later is
// linearizable.
type ReadResult struct {
	Token uint64
	Index uint64
	Err   error
}

// Notice reports a change of a replica's role or leader, or an entry that it could
// not decode.
type Notice struct {
	Role   Role
	Term   uint64
	Leader string
	Reason string
}

// Output lists what a host must do after an event, in this order: store
// and sync HardState, Snapshot and Entries; then Restore, apply Committed,
// send Messages and answer Proposals and Reads.
type Output struct {
	HardState *wire.HardState
	// Snapshot was received from the leader and replaces the whole log.
	Snapshot *wire.Snapshot
	// Entries are appended to the stored log. An entry whose index is already
	// stored replaces the stored entries from that index on.
	Entries   []*wire.Entry
	Messages  []*wire.ConsensusMessage
	Committed []*wire.Entry
	Proposals []Proposal
	Reads     []ReadResult
	Notices   []Notice
}

// NeedsSync reports whether the output contains data that must be durable.
func (o Output) NeedsSync() bool {
	return o.HardState != nil || o.Snapshot != nil || len(o.Entries) > 0
}

// Merge combines o with the output of a later event, so that a host can sync once
// for several events.
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

// NotLeaderError is returned for a request that only the leader can serve.
type NotLeaderError struct {
	// Leader is the ID of the leader, or empty if it is unknown.
	Leader string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s", e.Leader)
}

// MembershipError is returned for a membership change that is refused.
type MembershipError struct{ Reason string }

// Error implements error.
func (e *MembershipError) Error() string { return "membership change: " + e.Reason }

// TransferringError is returned for a proposal while leadership is being
// transferred.
type TransferringError struct{ To string }

// Error implements error.
func (e *TransferringError) Error() string { return "leadership is being handed to " + e.To }
