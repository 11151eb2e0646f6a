package consensus

import (
	"ledgesill.dev/ledgesill/pkg/wire"
)

func (r *Replica) startPreVote() {
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElectionTimer()
	r.addNotice("no word from a leader")
	if r.wonVotes() {
		r.startElection(false)
		return
	}
	r.requestVotes(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, false)
}

func (r *Replica) startElection(transfer bool) {
	r.role = Candidate
	r.leader = ""
	r.setHardState(r.term+1, r.config.ID)
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElectionTimer()
	r.addNotice("stands for election")
	if r.wonVotes() {
		r.becomeLeader()
		return
	}
	r.requestVotes(wire.MessageKind_MESSAGE_KIND_VOTE, r.term, transfer)
}

func (r *Replica) requestVotes(kind wire.MessageKind, term uint64, transfer bool) {
	for _, v := range r.voters() {
		if v.Id == r.config.ID {
			continue
		}
		r.send(&wire.ConsensusMessage{
			Kind:     kind,
			To:       v.Id,
			Term:     term,
			LogIndex: r.log.lastIndex(),
			LogTerm:  r.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

func (r *Replica) wonVotes() bool {
	granted := 0
	for _, v := range r.voters() {
		if r.votes[v.Id] {
			granted++
		}
	}
	return granted >= r.quorum()
}

// hasLeaderContact reports whether a leader sent a message within the election
// timeout. Such a replica refuses pre-votes and ignores vote requests of a higher term,
// except in a leadership transfer, so that a replica that returns from a network
// partition can't depose a working leader.
func (r *Replica) hasLeaderContact() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.now.Before(r.lastLeaderContact.Add(r.config.ElectionTimeout))
}

func (r *Replica) receivePreVote(m *wire.ConsensusMessage) {
	granted := m.Term > r.term && !r.hasLeaderContact() && r.log.isUpToDate(m.LogIndex, m.LogTerm) && r.mayVote()
	term := r.term
	if granted {
		term = m.Term
	}
	r.send(&wire.ConsensusMessage{
		Kind:   wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER,
		To:     m.From,
		Term:   term,
		Reject: !granted,
	})
}

func (r *Replica) receiveVote(m *wire.ConsensusMessage) {
	free := r.vote == "" || r.vote == m.From
	granted := m.Term == r.term && free && r.role == Follower && r.log.isUpToDate(m.LogIndex, m.LogTerm) && r.mayVote()
	if granted {
		r.setHardState(r.term, m.From)
		r.resetElectionTimer()
	}
	r.send(&wire.ConsensusMessage{
		Kind:   wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER,
		To:     m.From,
		Reject: !granted,
	})
}

// mayVote reports whether this replica is a voter of the membership it knows. A
// replica that restarts with an empty disk knows no membership and must not vote:
// it has lost the votes and entries that it acknowledged.
func (r *Replica) mayVote() bool { return r.isVoter(r.config.ID) }

func (r *Replica) receivePreVoteAnswer(m *wire.ConsensusMessage) {
	if r.role != PreCandidate || m.Reject || m.Term != r.term+1 {
		return
	}
	r.votes[m.From] = true
	if r.wonVotes() {
		r.startElection(false)
	}
}

func (r *Replica) receiveVoteAnswer(m *wire.ConsensusMessage) {
	if r.role != Candidate || m.Reject || m.Term != r.term {
		return
	}
	r.votes[m.From] = true
	if r.wonVotes() {
		r.becomeLeader()
	}
}

func (r *Replica) becomeLeader() {
	r.role = Leader
	r.leader = r.config.ID
	r.seenLeader = true
	r.votes = nil
	r.transferTo = ""
	r.progress = make(map[string]*progress)
	r.syncProgress()
	r.startRound()
	r.heartbeatDue = r.now
	r.quorumCheckDue = r.now.Add(r.config.ElectionTimeout)
	r.addNotice("won the election")
	r.appendAndReplicate(wire.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// receive compares the term of a message with the current one, then dispatches it.
func (r *Replica) receive(m *wire.ConsensusMessage) {
	if m.To != r.config.ID {
		return
	}
	if m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE {
		r.receivePreVote(m)
		return
	}
	if m.Kind == wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER && !m.Reject {
		r.receivePreVoteAnswer(m)
		return
	}
	if m.Term > r.term {
		if m.Kind == wire.MessageKind_MESSAGE_KIND_VOTE && !m.Transfer && r.hasLeaderContact() {
			return
		}
		r.becomeFollower(m.Term, "", "saw a higher term")
	}
	if m.Term < r.term {
		r.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		r.receiveVote(m)
	case wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER:
		r.receiveVoteAnswer(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND:
		r.receiveAppend(m)
	case wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.receiveSnapshot(m)
	case wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER:
		r.receiveAppendAnswer(m)
	case wire.MessageKind_MESSAGE_KIND_CONFIRMATION:
		r.receiveConfirmation(m)
	case wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		r.receiveTimeoutNow(m)
	}
}

// rejectStaleTerm tells a deposed leader or a candidate of an old term the current
// term.
func (r *Replica) rejectStaleTerm(m *wire.ConsensusMessage) {
	switch m.Kind {
	case wire.MessageKind_MESSAGE_KIND_APPEND, wire.MessageKind_MESSAGE_KIND_SNAPSHOT:
		r.send(&wire.ConsensusMessage{Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, To: m.From, Reject: true})
	case wire.MessageKind_MESSAGE_KIND_VOTE:
		r.send(&wire.ConsensusMessage{Kind: wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER, To: m.From, Reject: true})
	}
}

func (r *Replica) receiveTimeoutNow(m *wire.ConsensusMessage) {
	if r.role != Follower || m.From != r.leader || !r.isVoter(r.config.ID) {
		return
	}
	r.startElection(true)
}
