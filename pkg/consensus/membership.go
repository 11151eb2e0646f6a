package consensus

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// membershipAt is the membership that took effect with the entry at index.
type membershipAt struct {
	index      uint64
	membership *wire.Membership
}

// Membership returns the latest membership in the log, committed or not. The
// caller must not modify it.
func (r *Replica) Membership() *wire.Membership {
	if len(r.memberships) == 0 {
		return &wire.Membership{}
	}
	return r.memberships[len(r.memberships)-1].membership
}

// MembershipAt returns the membership as of the entry at index, for a snapshot.
func (r *Replica) MembershipAt(index uint64) *wire.Membership {
	m := &wire.Membership{}
	for _, at := range r.memberships {
		if at.index <= index {
			m = at.membership
		}
	}
	return m
}

func (r *Replica) truncateMemberships(index uint64) {
	for len(r.memberships) > 0 && r.memberships[len(r.memberships)-1].index >= index {
		r.memberships = r.memberships[:len(r.memberships)-1]
	}
}

func (r *Replica) voters() []*wire.Replica { return r.Membership().Voters }

func (r *Replica) quorum() int { return len(r.voters())/2 + 1 }

func (r *Replica) isVoter(id string) bool { return contains(r.voters(), id) }

// others returns the IDs of all other replicas, voters first.
func (r *Replica) others() []string {
	ids := make([]string, 0, len(r.progress))
	m := r.Membership()
	for _, v := range slices.Concat(m.Voters, m.Learners) {
		if v.Id != r.config.ID {
			ids = append(ids, v.Id)
		}
	}
	return ids
}

// syncProgress adds a progress record for every new replica of the membership and
// drops the records of removed replicas.
func (r *Replica) syncProgress() {
	kept := make(map[string]*progress, len(r.progress))
	for _, id := range r.others() {
		p := r.progress[id]
		if p == nil {
			p = &progress{lastAnswer: r.now}
			p.resendFrom(r.log.lastIndex() + 1)
		}
		kept[id] = p
	}
	r.progress = kept
}

func (r *Replica) changeMembership(e ChangeMembership) {
	if err := r.checkMembership(e.Membership); err != nil {
		r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Err: err})
		return
	}
	data, err := proto.Marshal(e.Membership)
	if err != nil {
		r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Err: fmt.Errorf("encoding membership: %w", err)})
		return
	}
	index := r.appendAndReplicate(wire.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	r.out.Proposals = append(r.out.Proposals, Proposal{Token: e.Token, Index: index, Term: r.term})
}

// checkMembership returns an error unless next is a safe change: the previous change
// is committed, the leader has committed an entry of its own term, at most one voter
// changes, and a new voter was a learner that holds all committed entries.
func (r *Replica) checkMembership(next *wire.Membership) error {
	if err := r.checkCanPropose(); err != nil {
		return err
	}
	if term, held := r.log.term(r.commit); !held || term != r.term {
		return &MembershipError{Reason: "the leader has not yet committed an entry of its term"}
	}
	if r.memberships[len(r.memberships)-1].index > r.commit {
		return &MembershipError{Reason: "another change is not yet committed"}
	}
	if len(next.Voters) == 0 {
		return &MembershipError{Reason: "no voter would be left"}
	}
	added := subtract(next.Voters, r.voters())
	removed := subtract(r.voters(), next.Voters)
	if len(added)+len(removed) > 1 {
		return &MembershipError{Reason: "more than one voter would change"}
	}
	for _, v := range added {
		p := r.progress[v.Id]
		if p == nil {
			return &MembershipError{Reason: fmt.Sprintf("%s must be a learner before it votes", v.Id)}
		}
		if p.match < r.commit {
			return &MembershipError{Reason: fmt.Sprintf("%s holds entries up to %d, not yet %d", v.Id, p.match, r.commit)}
		}
	}
	return nil
}

func (r *Replica) startTransfer(to string) {
	if r.role != Leader {
		return
	}
	if to == "" {
		to = r.mostUpToDateVoter()
	}
	if to == "" || to == r.config.ID || !r.isVoter(to) {
		return
	}
	r.transferTo = to
	r.transferDeadline = r.now.Add(r.config.ElectionTimeout)
	r.maybeSendTimeoutNow(to, r.progress[to])
}

func (r *Replica) mostUpToDateVoter() string {
	best := ""
	for _, v := range r.voters() {
		if v.Id == r.config.ID || r.now.Sub(r.progress[v.Id].lastAnswer) > r.config.ElectionTimeout {
			continue
		}
		if best == "" || r.progress[v.Id].match > r.progress[best].match {
			best = v.Id
		}
	}
	return best
}

func (r *Replica) maybeSendTimeoutNow(id string, p *progress) {
	if r.transferTo != id || p.match != r.log.lastIndex() {
		return
	}
	r.send(&wire.ConsensusMessage{Kind: wire.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id})
}

func contains(replicas []*wire.Replica, id string) bool {
	return slices.ContainsFunc(replicas, func(v *wire.Replica) bool { return v.Id == id })
}

// subtract returns the replicas of a that are not in b.
func subtract(a, b []*wire.Replica) []*wire.Replica {
	var out []*wire.Replica
	for _, v := range a {
		if !contains(b, v.Id) {
			out = append(out, v)
		}
	}
	return out
}

// Peer is a leader's view of another replica.
type Peer struct {
	ID string
	// Match is the highest index that the replica has acknowledged as durable.
	Match uint64
	// Silence is the time since the replica last answered.
	Silence time.Duration
}

// Status is a replica's own view of itself.
type Status struct {
	ID        string
	Role      Role
	Term      uint64
	Leader    string
	Commit    uint64
	LastIndex uint64
	// LeaderSilence is the time since a leader last sent a message; zero on the
	// leader.
	LeaderSilence time.Duration
	// CutOff is true if the replica is not the leader and has lost contact with it.
	CutOff bool
	// Peers is set only on the leader.
	Peers []Peer
}

// Status returns the replica's status at now.
func (r *Replica) Status(now time.Time) Status {
	s := Status{
		ID:        r.config.ID,
		Role:      r.role,
		Term:      r.term,
		Leader:    r.leader,
		Commit:    r.commit,
		LastIndex: r.log.lastIndex(),
	}
	if r.role != Leader {
		s.LeaderSilence = now.Sub(r.lastLeaderContact)
		s.CutOff = r.leader == "" || s.LeaderSilence > 2*r.config.ElectionTimeout
		return s
	}
	for _, id := range r.others() {
		p := r.progress[id]
		s.Peers = append(s.Peers, Peer{ID: id, Match: p.match, Silence: now.Sub(p.lastAnswer)})
	}
	return s
}
