package consensus

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// progress is what a leader knows of one replica's log.
type progress struct {
	match uint64
	next  uint64
	heard time.Time
	// queued is the first index that was queued since next was last set back, and
	// since the round from which appends tell of what was queued then.
	queued uint64
	since  uint64
	// sentAt is when something was last sent or acknowledged.
	sentAt   time.Time
	round    uint64
	snapshot uint64
	// told is the commit index that the replica was last told.
	told uint64
}

// setBack has entries sent from next on.
func (p *progress) setBack(next uint64) {
	p.next = next
	p.queued = next
	p.snapshot = 0
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

func (r *Replica) tickLeader() {
	if !r.now.Before(r.quorumCheckAt) {
		r.quorumCheckAt = r.now.Add(r.config.ElectionTimeout)
		if !r.hearsQuorum() {
			r.becomeFollower(r.term, "", "lost the quorum")
			return
		}
	}
	if r.transferTo != "" && !r.now.Before(r.transferUntil) {
		r.transferTo = ""
	}
	if r.now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = r.now.Add(r.config.HeartbeatInterval)
	r.round++
	for _, id := range r.others() {
		p := r.progress[id]
		if p.next > p.match+1 && r.now.Sub(p.sentAt) >= r.resendAfter(p) {
			p.setBack(p.match + 1)
		}
		r.sendAppend(id)
	}
}

// hearsQuorum reports whether a majority of the voters answered within the
// election timeout.
func (r *Replica) hearsQuorum() bool {
	heard := 0
	for _, v := range r.voters() {
		if v.Id == r.config.ID {
			heard++
			continue
		}
		p := r.progress[v.Id]
		if p != nil && r.now.Sub(p.heard) < r.config.ElectionTimeout {
			heard++
		}
	}
	return heard >= r.quorum()
}

func (r *Replica) propose(proposals ...Propose) {
	if err := r.mayPropose(); err != nil {
		for _, e := range proposals {
			r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Err: err})
		}
		return
	}
	for _, e := range proposals {
		index := r.addOwn(wire.EntryKind_ENTRY_KIND_COMMAND, e.Data)
		r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Index: index, Term: r.term})
	}
	r.sendNew()
}

func (r *Replica) mayPropose() error {
	if r.role != Leader {
		return &NotLeaderError{Leader: r.leader}
	}
	if r.transferTo != "" {
		return &TransferringError{To: r.transferTo}
	}
	return nil
}

// appendOwn adds an entry of the leader's term and sends it to all.
func (r *Replica) appendOwn(kind wire.EntryKind, data []byte) uint64 {
	index := r.addOwn(kind, data)
	r.sendNew()
	return index
}

// addOwn adds an entry of the leader's term; sendNew must follow.
func (r *Replica) addOwn(kind wire.EntryKind, data []byte) uint64 {
	e := &wire.Entry{Index: r.log.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	if err := r.appendEntry(e); err != nil {
		panic(err) // the leader encoded the membership itself
	}
	r.out.Entries = append(r.out.Entries, e)
	return e.Index
}

// sendNew sends the entries that were added to all replicas that have room for them.
func (r *Replica) sendNew() {
	r.syncProgress()
	for _, id := range r.others() {
		p := r.progress[id]
		if r.isFull(p) {
			continue
		}
		r.sendAppend(id)
		for p.snapshot == 0 && p.next <= r.log.lastIndex() && !r.isFull(p) {
			r.sendAppend(id)
		}
	}
	r.advanceCommit()
}

// sendAppend sends what id lacks, or an empty heartbeat.
func (r *Replica) sendAppend(id string) {
	p := r.progress[id]
	before, held := r.log.term(p.next - 1)
	if !held || p.snapshot == 0 && r.log.snapshotIsSmaller(p.next) {
		r.sendSnapshot(id, p)
		return
	}
	m := &wire.ConsensusMessage{
		Kind:     wire.MessageKind_MESSAGE_KIND_APPEND,
		To:       id,
		LogIndex: p.next - 1,
		LogTerm:  before,
		Commit:   r.commit,
		Round:    r.round,
	}
	if p.snapshot == 0 {
		m.Entries = r.nextEntries(p)
	}
	if len(m.Entries) > 0 {
		p.next += uint64(len(m.Entries))
		p.sentAt = r.now
	}
	p.told = r.commit
	r.send(m)
}

func (r *Replica) sendSnapshot(id string, p *progress) {
	s := r.log.snapshot
	if s == nil {
		return
	}
	p.setBack(s.Index + 1)
	p.snapshot = s.Index
	p.sentAt = r.now
	r.send(&wire.ConsensusMessage{
		Kind:     wire.MessageKind_MESSAGE_KIND_SNAPSHOT,
		To:       id,
		Commit:   r.commit,
		Snapshot: s,
		Round:    r.round,
	})
}

func (r *Replica) acceptLeader(m *wire.ConsensusMessage) {
	if r.role != Follower || r.leader != m.From {
		r.becomeFollower(m.Term, m.From, "follows a leader")
	}
	r.leaderContact = r.now
	r.metLeader = true
	r.resetElection()
}

func (r *Replica) receiveAppend(m *wire.ConsensusMessage) {
	if r.role == Leader {
		return
	}
	r.acceptLeader(m)
	answer := &wire.ConsensusMessage{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.From, Round: m.Round}
	if m.LogIndex < r.commit {
		// What is committed matches by definition; only newer entries matter.
		answer.LogIndex = r.commit
		if len(m.Entries) > 0 && m.Entries[len(m.Entries)-1].Index > r.commit {
			skip := r.commit - m.LogIndex
			if !r.storeEntries(m.Entries[skip:]) {
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
	if !r.storeEntries(m.Entries) {
		return
	}
	answer.LogIndex = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, answer.LogIndex))
	r.send(answer)
}

// conflictHint returns the highest index at which the logs may match, skipping
// a whole conflicting term at a time.
func (r *Replica) conflictHint(index uint64) uint64 {
	if index > r.log.lastIndex() {
		return r.log.lastIndex()
	}
	return max(r.log.firstOfTerm(index)-1, r.commit)
}

// storeEntries appends what is new, cutting off entries of another term. It
// returns false if an entry can't be understood.
func (r *Replica) storeEntries(entries []*wire.Entry) bool {
	for i, e := range entries {
		term, held := r.log.term(e.Index)
		if held && term == e.Term {
			continue
		}
		if held {
			r.log.cut(e.Index)
			r.cutMemberships(e.Index)
		}
		for _, e := range entries[i:] {
			if err := r.appendEntry(e); err != nil {
				r.notice(err.Error())
				r.log.cut(e.Index)
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
	r.acceptLeader(m)
	answer := &wire.ConsensusMessage{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.From, Round: m.Round}
	switch term, held := r.log.term(m.Snapshot.Index); {
	case held && term == m.Snapshot.Term:
		// What follows it here may have been acknowledged and committed with that.
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
	p.heard = r.now
	p.round = max(p.round, m.Round)
	r.answerReads()
	if m.Reject {
		// Those of earlier rounds are about appends behind the same loss: each would
		// send it all again.
		if m.LogIndex > p.match && m.LogIndex < p.next && m.Round >= p.since {
			r.round++
			p.since = r.round
			p.setBack(max(min(m.Hint+1, m.LogIndex), p.match+1))
			r.sendAppend(m.From)
		}
		return
	}
	if m.LogIndex > p.match {
		p.match = m.LogIndex
		p.sentAt = r.now
		p.next = max(p.next, p.match+1)
		r.advanceCommit()
	}
	if p.snapshot != 0 && p.match >= p.snapshot {
		p.snapshot = 0
	}
	if r.role != Leader {
		return
	}
	if p.next <= r.log.lastIndex() && !r.isFull(p) || p.told < min(r.commit, p.match) {
		r.sendAppend(m.From)
	}
	r.continueTransfer(m.From, p)
}

// advanceCommit commits the highest entry of the leader's own term that a
// majority holds.
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
	r.answerReads()
	if !r.isVoter(r.config.ID) && r.memberships[len(r.memberships)-1].index <= r.commit {
		r.becomeFollower(r.term, "", "removed from the membership")
		return
	}
	for _, id := range r.others() {
		if p := r.progress[id]; p.match == r.log.lastIndex() && p.told < r.commit {
			r.sendAppend(id)
		}
	}
}

func (r *Replica) read(e Read) {
	if r.role != Leader {
		r.out.Reads = append(r.out.Reads, ReadResult{Token: e.Token, Err: &NotLeaderError{Leader: r.leader}})
		return
	}
	r.round++
	r.reads = append(r.reads, pendingRead{token: e.Token, index: r.commit, round: r.round})
	for _, id := range r.others() {
		r.sendAppend(id)
	}
	r.answerReads()
}

// answerReads answers the reads whose round a majority has confirmed, once an
// entry of the leader's own term is committed.
func (r *Replica) answerReads() {
	term, held := r.log.term(r.commit)
	if len(r.reads) == 0 || !held || term != r.term {
		return
	}
	kept := r.reads[:0]
	for _, p := range r.reads {
		if r.confirmed(p.round) < r.quorum() {
			kept = append(kept, p)
			continue
		}
		r.out.Reads = append(r.out.Reads, ReadResult{Token: p.token, Index: r.commit})
	}
	r.reads = kept
}

func (r *Replica) confirmed(round uint64) int {
	count := 0
	for _, v := range r.voters() {
		if v.Id == r.config.ID || r.progress[v.Id].round >= round {
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
