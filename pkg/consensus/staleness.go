package consensus

import (
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// maxPendingContacts bounds the contacts of a replica that catches up.
const maxPendingContacts = 64

// contact is a time and an upper bound of the indexes that were committed by then.
type contact struct {
	at time.Time
	// commit is the commit index of the leader of term. The bound holds only if the
	// entry at commit is of that term: until a leader has committed an entry of its
	// own term, its commit index may be lower than that of the leader before it.
	commit uint64
	term   uint64
}

// addContact adds a contact. If there are too many, the latest is replaced, so that a
// replica that catches up learns of the earlier ones first.
func (r *Replica) addContact(c contact) {
	if n := len(r.contacts); n > 0 {
		last := r.contacts[n-1]
		if n == maxPendingContacts || last.term == c.term && last.commit == c.commit {
			r.contacts[n-1] = c
			return
		}
	}
	r.contacts = append(r.contacts, c)
}

// CurrentAt returns the latest time at which a state with the entries up to applied is
// known to have held everything that was committed; ok is false if there is none. The
// host calls it after it has applied entries, with an index that never decreases.
func (r *Replica) CurrentAt(applied uint64) (at time.Time, ok bool) {
	r.contacts = slices.DeleteFunc(r.contacts, func(c contact) bool {
		if c.commit > applied {
			return false
		}
		if term, held := r.log.term(c.commit); held && term == c.term && c.at.After(r.currentAt) {
			r.currentAt = c.at
		}
		return true
	})
	return r.currentAt, !r.currentAt.IsZero()
}

// roundStart is when the leader began a round of messages.
type roundStart struct {
	round uint64
	at    time.Time
	// isHeartbeat is set for a round of heartbeats. Only these are confirmed to followers,
	// so that reads add no messages.
	isHeartbeat bool
}

// startRound begins a round. An answer to one of its messages confirms that this
// replica led when the round began.
func (r *Replica) startRound() {
	r.round++
	r.rounds = append(r.rounds, roundStart{round: r.round, at: r.now})
}

// confirmContact adds a contact for the latest round that a majority has confirmed, and
// tells the others of it if it is a round of heartbeats.
// No later leader had committed anything when that round began.
func (r *Replica) confirmContact() {
	if term, held := r.log.term(r.commit); !held || term != r.term {
		return
	}
	confirmed := r.confirmedRound()
	i := 0
	for i < len(r.rounds) && r.rounds[i].round <= confirmed {
		i++
	}
	if i == 0 {
		return
	}
	r.confirmedAt = r.rounds[i-1].at
	r.addContact(contact{at: r.confirmedAt, commit: r.commit, term: r.term})
	isHeartbeat := slices.ContainsFunc(r.rounds[:i], func(s roundStart) bool { return s.isHeartbeat })
	r.rounds = slices.Delete(r.rounds, 0, i)
	if isHeartbeat {
		r.sendConfirmations()
	}
}

// readClock records the reading of the follower's clock in an answer. A follower whose clock
// is new is told of the last confirmed round at once: it could not use what was sent before.
func (r *Replica) readClock(answer *wire.ConsensusMessage, p *progress) {
	if answer.SentAt == nil {
		return
	}
	isNew := p.clock.reading.GetClock() != answer.SentAt.Clock
	p.clock = peerClock{answer.SentAt, r.arrivedAt}
	if isNew && !r.confirmedAt.IsZero() {
		r.sendConfirmation(answer.From, p)
	}
}

// sendConfirmations tells the other replicas of the last confirmed round, so that they do not
// learn of it only with the next heartbeat.
func (r *Replica) sendConfirmations() {
	for _, id := range r.others() {
		if p := r.progress[id]; p.clock.reading != nil {
			r.sendConfirmation(id, p)
		}
	}
}

func (r *Replica) sendConfirmation(id string, p *progress) {
	r.send(&wire.ConsensusMessage{
		Kind:      wire.MessageKind_MESSAGE_KIND_CONFIRMATION,
		To:        id,
		Commit:    r.commit,
		CurrentAt: r.confirmedTime(p),
	})
}

// receiveConfirmation records the contact. It does not reset the election timer, which the
// confirmed heartbeat has done.
func (r *Replica) receiveConfirmation(m *wire.ConsensusMessage) {
	if r.role == Follower && r.leader == m.From {
		r.recordContact(m)
	}
}

// recordContact adds the contact of which a leader's message tells.
func (r *Replica) recordContact(m *wire.ConsensusMessage) {
	if at, ok := r.contactTime(m); ok {
		r.addContact(contact{at: at, commit: m.Commit, term: m.Term})
	}
}

// confirmedTime returns the start of the last confirmed round by the clock of another
// replica, or a time without a clock if no round is confirmed or the clock is not known.
func (r *Replica) confirmedTime(p *progress) *wire.ReplicaTime {
	if r.confirmedAt.IsZero() {
		return &wire.ReplicaTime{}
	}
	return p.clock.timeAt(r.confirmedAt)
}

// contactTime returns the time, by the local clock, at which the sender of a leader's
// message was known to lead; ok is false if the message names none. The arrival of the
// message is no such time: a majority may have elected another leader long before, and the
// message may have been long in transit.
func (r *Replica) contactTime(m *wire.ConsensusMessage) (at time.Time, ok bool) {
	if m.CurrentAt == nil {
		return r.arrivedAt, true // the leader's version sends no times
	}
	at, ok = r.clock.decode(m.CurrentAt)
	if at.After(r.arrivedAt) {
		at = r.arrivedAt
	}
	return at, ok
}

// confirmedRound returns the latest round that a majority of the voters has confirmed.
func (r *Replica) confirmedRound() uint64 {
	rounds := make([]uint64, 0, len(r.voters()))
	for _, v := range r.voters() {
		if v.Id == r.config.ID {
			rounds = append(rounds, r.round)
			continue
		}
		rounds = append(rounds, r.progress[v.Id].ackedRound)
	}
	if len(rounds) == 0 {
		return 0
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-r.quorum()]
}
