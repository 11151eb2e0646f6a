package consensus

import (
	"ledgesill.dev/ledgesill/pkg/wire"
)

func (r *Replica) campaignPreVote() {
	r.role = PreCandidate
	r.leader = ""
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElection()
	r.notice("no word from a leader")
	if r.wonVotes() {
		r.campaign(false)
		return
	}
	r.askVotes(wire.MessageKind_MESSAGE_KIND_PRE_VOTE, r.term+1, false)
}

func (r *Replica) campaign(transfer bool) {
	r.role = Candidate
	r.leader = ""
	r.setHardState(r.term+1, r.config.ID)
	r.votes = map[string]bool{r.config.ID: true}
	r.resetElection()
	r.notice("stands for election")
	if r.wonVotes() {
		r.becomeLeader()
		return
	}
	r.askVotes(wire.MessageKind_MESSAGE_KIND_VOTE, r.term, transfer)
}

func (r *Replica) askVotes(kind wire.MessageKind, term uint64, transfer bool) {
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

// hearsLeader reports whether a leader wrote within the election timeout, so
// that a replica that was cut off can't depose it.
func (r *Replica) hearsLeader() bool {
	if r.role == Leader {
		return true
	}
	return r.leader != "" && r.now.Before(r.leaderContact.Add(r.config.ElectionTimeout))
}

func (r *Replica) receivePreVote(m *wire.ConsensusMessage) {
	granted := m.Term > r.term && !r.hearsLeader() && r.log.upToDate(m.LogIndex, m.LogTerm) && r.mayVote()
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
	granted := m.Term == r.term && free && r.role == Follower && r.log.upToDate(m.LogIndex, m.LogTerm) && r.mayVote()
	if granted {
		r.setHardState(r.term, m.From)
		r.resetElection()
	}
	r.send(&wire.ConsensusMessage{
		Kind:   wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER,
		To:     m.From,
		Reject: !granted,
	})
}

// mayVote is false for a replica that no membership it knows lets vote, above
// all one that came back with an empty disk.
func (r *Replica) mayVote() bool { return r.isVoter(r.config.ID) }

func (r *Replica) receivePreVoteAnswer(m *wire.ConsensusMessage) {
	if r.role != PreCandidate || m.Reject || m.Term != r.term+1 {
		return
	}
	r.votes[m.From] = true
	if r.wonVotes() {
		r.campaign(false)
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
	r.metLeader = true
	r.votes = nil
	r.transferTo = ""
	r.progress = make(map[string]*progress)
	r.syncProgress()
	r.heartbeatAt = r.now
	r.quorumCheckAt = r.now.Add(r.config.ElectionTimeout)
	r.notice("won the election")
	r.appendOwn(wire.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// receive dispatches a message after comparing its term with the present one.
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
		if m.Kind == wire.MessageKind_MESSAGE_KIND_VOTE && !m.Transfer && r.hearsLeader() {
			return
		}
		r.becomeFollower(m.Term, "", "saw a higher term")
	}
	if m.Term < r.term {
		r.answerOldTerm(m)
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
	case wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		r.receiveTimeoutNow(m)
	}
}

// answerOldTerm tells a deposed leader or a late candidate the present term.
func (r *Replica) answerOldTerm(m *wire.ConsensusMessage) {
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
	r.campaign(true)
}
