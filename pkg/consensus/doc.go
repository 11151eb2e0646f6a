// Package consensus is a replicated log as a state machine without I/O.
//
// A Replica takes the present time and one typed event and returns an Output:
// what must be made durable, then what may be sent, applied and answered. It
// starts no goroutine, reads no clock, opens no file or socket and draws its
// randomness from a seed, so the same events give the same outputs in a
// daemon, in a test and in any other program that embeds the package.
//
// The protocol is Raft as published by Ongaro and Ousterhout ("In Search of an
// Understandable Consensus Algorithm", 2014) with the extensions of Ongaro's
// thesis: pre-vote, a leader that steps down without a quorum, learners,
// single-voter membership changes, leadership transfer and linearizable reads
// confirmed by a round of heartbeats.
//
// CurrentAt tells since when the state of any replica, also of one that follows, holds
// everything that was committed. A follower sends its clock with its answers, and the leader
// returns the time by that clock at which it was last known to lead, so neither the time that
// messages take nor synchronized clocks matter.
//
// A host must follow one rule: everything in an Output that must be durable
// (HardState, Snapshot, Entries) is synced to disk before any of its Messages is sent,
// its Committed entries are applied or its Reads are answered. If the sync
// fails, the host must stop the replica.
package consensus
