package consensus

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// progress is a leader's view of another replica's log: match is the highest index that
// the replica has acknowledged, next the first index to send.
type progress struct {
	match      uint64
	next       uint64
	lastAnswer time.Time
	// clock is the replica's clock as of its last answer.
	clock peerClock
	// windowStart is the first index sent since next was last reset. Rejections of
	// rounds before minRejectRound concern appends from before that reset and are
	// ignored.
	windowStart    uint64
	minRejectRound uint64
	// lastActivity is when an entry or snapshot was last sent or an entry was last
	// acknowledged.
	lastActivity    time.Time
	ackedRound      uint64
	pendingSnapshot uint64
	// sentCommit is the commit index last sent to the replica.
	sentCommit uint64
}

// resendFrom resets the send window, so that entries from next on are sent again.
func (p *progress) resendFrom(next uint64) {
	p.next = next
	p.windowStart = next
	p.pendingSnapshot = 0
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

func (r *Replica) tickLeader() {
	if !r.now.Before(r.quorumCheckDue) {
		r.quorumCheckDue = r.now.Add(r.config.ElectionTimeout)
		if !r.hasQuorumContact() {
			r.becomeFollower(r.term, "", "lost the quorum")
			return
		}
	}
	if r.transferTo != "" && !r.now.Before(r.transferDeadline) {
		r.transferTo = ""
	}
	if r.now.Before(r.heartbeatDue) {
		return
	}
	r.heartbeatDue = r.now.Add(r.config.HeartbeatInterval)
	r.startRound()
	r.rounds[len(r.rounds)-1].isHeartbeat = true
	for _, id := range r.others() {
		p := r.progress[id]
		if p.next > p.match+1 && r.now.Sub(p.lastActivity) >= r.resendTimeout(p) {
			p.resendFrom(p.match + 1)
		}
		r.sendAppend(id)
	}
	r.confirmContact() // a sole voter gets no answers
}

// hasQuorumContact reports whether a majority of the voters answered within the
// election timeout.
func (r *Replica) hasQuorumContact() bool {
	heard := 0
	for _, v := range r.voters() {
		if v.Id == r.config.ID {
			heard++
			continue
		}
		p := r.progress[v.Id]
		if p != nil && r.now.Sub(p.lastAnswer) < r.config.ElectionTimeout {
			heard++
		}
	}
	return heard >= r.quorum()
}

func (r *Replica) propose(proposals ...Propose) {
	if err := r.checkCanPropose(); err != nil {
		for _, e := range proposals {
			r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Err: err})
		}
		return
	}
	for _, e := range proposals {
		index := r.appendAsLeader(wire.EntryKind_ENTRY_KIND_COMMAND, e.Data)
		r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Index: index, Term: r.term})
	}
	r.replicate()
}

func (r *Replica) checkCanPropose() error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if r.transferTo != "" {
		return &TransferringError{To: r.transferTo}
	}
	return nil
}

// appendAndReplicate appends an entry of the leader's term and sends it to all
// replicas.
func (r *Replica) appendAndReplicate(kind wire.EntryKind, data []byte) uint64 {
	index := r.appendAsLeader(kind, data)
	r.replicate()
	return index
}

// appendAsLeader appends an entry of the leader's term. The caller must call replicate
// afterwards.
func (r *Replica) appendAsLeader(kind wire.EntryKind, data []byte) uint64 {
	e := &wire.Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	if err := r.appendEntry(e); err != nil {
		panic(err) // the leader encoded the membership itself
	}
	r.out.Entries = append(r.out.Entries, e)
	return e.Index
}

// replicate sends new entries to all replicas whose send window is not full.
func (r *Replica) replicate() {
	r.syncProgress()
	for _, id := range r.others() {
		p := r.progress[id]
		if r.windowFull(p) {
			continue
		}
		r.sendAppend(id)
		for p.pendingSnapshot == 0 && p.next <= r.log.lastIndex() && !r.windowFull(p) {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// sendAppend sends replica id the next entries, a snapshot if the entries are gone or
// larger, or a heartbeat if there is nothing to send.
func (r *Replica) sendAppend(id string) {
	p := r.progress[id]
	before, held := r.log.term(p.next - 1)
	if !held || p.pendingSnapshot == 0 && r.log.snapshotIsSmaller(p.next) {
		r.sendSnapshot(id, p)
		return
	}
	m := &wire.ConsensusMessage{
		Kind:      wire.MessageKind_MESSAGE_KIND_APPEND,
		To:        id,
		LogIndex:  p.next - 1,
		LogTerm:   before,
		Commit:    r.commit,
		Round:     r.round,
		CurrentAt: r.confirmedTime(p),
	}
	if p.pendingSnapshot == 0 {
		m.Entries = r.nextEntries(p)
	}
	if len(m.Entries) > 0 {
		p.next += uint64(len(m.Entries))
		p.lastActivity = r.now
	}
	p.sentCommit = r.commit
	r.send(m)
}

func (r *Replica) sendSnapshot(id string, p *progress) {
	s := r.log.snapshot
	if s == nil {
		return
	}
	p.resendFrom(s.Index + 1)
	p.pendingSnapshot = s.Index
	p.lastActivity = r.now
	r.send(&wire.ConsensusMessage{
		Kind:      wire.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:        id,
		Commit:    r.commit,
		Snapshot:  s,
		Round:     r.round,
		CurrentAt: r.confirmedTime(p),
	})
}

func (r *Replica) followLeader(m *wire.ConsensusMessage) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From, "follows a leader")
	}
	r.lastLeaderContact = r.now
	r.recordContact(m)
	r.seenLeader = true
	r.resetElectionTimer()
}

// answerTo returns an answer to a leader's message, without its result.
func (r *Replica) answerTo(m *wire.ConsensusMessage) *wire.ConsensusMessage {
	return &wire.ConsensusMessage{
		Kind:   wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER,
		To:     m.From,
		Round:  m.Round,
		SentAt: r.clock.encode(r.now),
	}
}

func (r *Replica) receiveAppend(m *wire.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.followLeader(m)
	answer := r.answerTo(m)
	if m.LogIndex < r.commit {
		// Committed entries match by definition; only later ones need a check.
		answer.LogIndex = r.commit
		if len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Index > r.commit {
			skip := r.commit - m.LogIndex
			if !r.mergeEntries(m.Entries[skip:]) {
				return
			}
			answer.LogIndex = m.Entries[len(m.Entries)-1].Index
		}
		r.commitTo(min(m.Commit, answer.LogIndex))
		r.send(answer)
		return
	}
	term, held := r.log.term(m.LogIndex)
	if !held || term != m.LogTerm {
		answer.Reject = true
		answer.LogIndex = m.LogIndex
		answer.Hint = r.conflictHint(m.LogIndex)
		r.send(answer)
		return
	}
	if !r.mergeEntries(m.Entries) {
		return
	}
	answer.LogIndex = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, answer.LogIndex))
	r.send(answer)
}

// conflictHint returns the highest index at which the logs may match. It skips a
// whole conflicting term at a time, to save round trips.
func (r *Replica) conflictHint(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	return max(r.log.firstOfTerm(index)-1, r.commit)
}

// mergeEntries appends the entries that the log lacks and truncates the log at the
// first conflicting one. It returns false if an entry can't be decoded.
func (r *Replica) mergeEntries(entries []*wire.Entry) bool {
	for i, e := range entries {
		term, held := r.log.term(e.Index)
		if held && term == e.Term {
			continue
		}
		if held {
			r.log.truncateFrom(e.Index)
			r.truncateMemberships(e.Index)
		}
		for _, e := range entries[i:] {
			if err := r.appendEntry(e); err != nil {
				r.addNotice(err.Error())
				r.log.truncateFrom(e.Index)
				return false
			}
			r.out.Entries = append(r.out.Entries, e)
		}
		return true
	}
	return true
}

func (r *Replica) receiveSnapshot(m *wire.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.followLeader(m)
	answer := r.answerTo(m)
	switch term, held := r.log.term(m.Snapshot.Index); {
	case held && term == m.Snapshot.Term:
		// The log already contains the snapshot. Later entries must stay: this
		// replica may have acknowledged them, and they may be committed on the
		// strength of that.
		r.commitTo(m.Snapshot.Index)
	case m.Snapshot.Index > r.commit:
		r.log.reset(m.Snapshot)
		r.commit = m.Snapshot.Index
		r.memberships = []membershipAt{{m.Snapshot.Index, m.Snapshot.Membership}}
		r.out.Snapshot = m.Snapshot
		r.out.Entries = nil
		r.out.Committed = nil
	}
	answer.LogIndex = r.commit
	r.send(answer)
}

func (r *Replica) receiveAppendAnswer(m *wire.ConsensusMessage) {
	p := r.progress[m.From]
	if r.role != Leader || p == nil {
		return
	}
	p.lastAnswer = r.now
	r.readClock(m, p)
	p.ackedRound = max(p.ackedRound, m.Round)
	r.answerConfirmedReads()
	if m.Reject {
		r.confirmContact()
		// A rejection of an earlier round concerns an append sent after the same
		// loss. Acting on each of them would resend everything each time.
		if m.LogIndex > p.match && m.LogIndex < p.next && m.Round >= p.minRejectRound {
			r.startRound()
			p.minRejectRound = r.round
			p.resendFrom(max(min(m.Hint+1, m.LogIndex), p.match+1))
			r.sendAppend(m.From)
		}
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.lastActivity = r.now
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	if p.pendingSnapshot != 0 && p.match >= p.pendingSnapshot {
		p.pendingSnapshot = 0
	}
	if r.role != Leader {
		return
	}
	r.confirmContact()
	if p.next <= r.log.lastIndex() && !r.windowFull(p) || p.sentCommit < min(r.commit, p.match) {
		r.sendAppend(m.From)
	}
	r.maybeSendTimeoutNow(m.From, p)
}

// advanceCommit commits the highest entry that a majority of the voters holds, if it
// is of the leader's own term.
func (r *Replica) advanceCommit() {
	matches := make([]uint64, 0, len(r.voters()))
	for _, v := range r.voters() {
		if v.Id == r.config.ID {
			matches = append(matches, r.log.lastIndex())
			continue
		}
		matches = append(matches, r.progress[v.Id].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.quorum()]
	term, held := r.log.term(index)
	if index <= r.commit || !held || term != r.term {
		return
	}
	r.commitTo(index)
	r.answerConfirmedReads()
	r.confirmContact() // before the messages below, which carry the confirmed time
	if !r.isVoter(r.config.ID) && r.memberships[len(r.memberships)-1].index <= r.commit {
		r.becomeFollower(r.term, "", "removed from the membership")
		return
	}
	for _, id := range r.others() {
		if p := r.progress[id]; p.match == r.log.lastIndex() && p.sentCommit < r.commit {
			r.sendAppend(id)
		}
	}
}

func (r *Replica) read(e Read) {
	if r.role != Leader {
		r.out.Reads = append(r.out.Reads, ReadResult{Token: e.Token, Err: &NotLeaderError{Leader: r.leader}})
		return
	}
	r.startRound()
	r.reads = append(r.reads, pendingRead{token: e.Token, index: r.commit, round: r.round})
	for _, id := range r.others() {
		r.sendAppend(id)
	}
	r.answerConfirmedReads()
}

// answerConfirmedReads answers the reads whose round a majority has confirmed. It
// answers none before an entry of the leader's own term is committed, since the
// commit index may be stale until then.
func (r *Replica) answerConfirmedReads() {
	term, held := r.log.term(r.commit)
	if len(r.reads) == 0 || !held || term != r.term {
		return
	}
	kept := r.reads[:0]
	for _, p := range r.reads {
		if r.countConfirmed(p.round) < r.quorum() {
			kept = append(kept, p)
			continue
		}
		r.out.Reads = append(r.out.Reads, ReadResult{Token: p.token, Index: r.commit})
	}
	r.reads = kept
}

func (r *Replica) countConfirmed(round uint64) int {
	count := 0
	for _, v := range r.voters() {
		if v.Id == r.config.ID || r.progress[v.Id].ackedRound >= round {
			count++
		}
	}
	return count
}

func (r *Replica) failReads() {
	for _, p := range r.reads {
		r.out.Reads = append(r.out.Reads, ReadResult{Token: p.token, Err: &NotLeaderError{}})
	}
	r.reads = nil
}
