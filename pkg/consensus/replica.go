package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Role is the role of a replica in the current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case.
func (r Role) String() string {
	return [...]string{"follower", "preCandidate", "candidate", "leader"}[r]
}

// Config configures a replica. A duration or size of zero selects the default.
type Config struct {
	// ID identifies the replica. Every new disk needs a new ID, since a replica
	// that has lost its disk has also lost its votes.
	ID string
	// ElectionTimeout is the minimum time for which a follower waits for a leader.
	// The actual time is random, up to twice as long. Default 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the interval at which a leader sends to each replica.
	// Default a fifth of ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxBatch limits the number of entries in a message; their bytes are limited
	// separately. Default 64.
	MaxBatch int
	// TrailingEntries is the number of entries before a snapshot's index that are
	// kept. Default 256.
	TrailingEntries uint64
	// Seed seeds the random election timeouts and, with the time of the start, the
	// identity of the replica's clock.
	Seed uint64
}

const (
	defaultElectionTimeout       = time.Second
	defaultMaxBatch              = 64
	defaultTrailingEntries       = 256
	heartbeatsPerElectionTimeout = 5
	// A replica that has not seen a leader since its start requests pre-votes after
	// ElectionTimeout/startupTimeoutDivisor, and again each
	// ElectionTimeout/startupRetryDivisor until there is a leader. Both are extended by
	// a random time of up to ElectionTimeout/startupJitterDivisor. The short timeout is
	// safe: if there is a leader, the other replicas refuse the pre-vote and no term
	// changes. It matters if all replicas start at once, since nothing is served until
	// one is elected. With round trips of 24 ms and syncs of 5 ms, five replicas have a
	// leader after 0.13 s on average and 0.4 s at most in 400 starts; with a first
	// timeout of 0.2 s plus up to 0.8 s it was 0.40 s and 0.86 s
	// (TestTimeToFirstLeader).
	startupTimeoutDivisor = 20
	startupRetryDivisor   = 10
	startupJitterDivisor  = 5
	// A candidate waits at least ElectionTimeout/candidateTimeoutDivisor for votes:
	// an election takes two round trips and a sync.
	candidateTimeoutDivisor = 2
)

func (c Config) withDefaults() Config {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = defaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = c.ElectionTimeout / heartbeatsPerElectionTimeout
	}
	if c.MaxBatch == 0 {
		c.MaxBatch = defaultMaxBatch
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = defaultTrailingEntries
	}
	return c
}

// Stored is the state that a replica finds on its disk at startup.
type Stored struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
}

// Replica is a member of the replicated log. It is not safe for concurrent use.
type Replica struct {
	config Config
	random *rand.Rand
	now    time.Time
	clock  clock

	term   uint64
	vote   string
	role   Role
	leader string
	log    entryLog
	commit uint64

	memberships []membershipAt

	electionDue       time.Time
	lastLeaderContact time.Time
	// seenLeader is true once the replica has led or received a message from a leader
	// since its start.
	seenLeader bool
	// contacts are those whose entries have not been applied yet, currentAt is the
	// time of the latest other one.
	contacts  []contact
	currentAt time.Time
	// arrivedAt is when the message that is being handled arrived.
	arrivedAt time.Time
	votes     map[string]bool

	progress         map[string]*progress
	heartbeatDue     time.Time
	quorumCheckDue   time.Time
	round            uint64
	rounds           []roundStart // not confirmed yet
	confirmedAt      time.Time    // start of the last confirmed round, zero if there is none
	reads            []pendingRead
	transferTo       string
	transferDeadline time.Time

	out Output
}

// New returns a replica that continues from the stored state. A replica without a
// membership stays passive until a leader contacts it.
func New(now time.Time, config Config, stored Stored) (*Replica, error) {
	r := &Replica{
		config: config.withDefaults(),
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		now:    now,
		clock:  newClock(now, config.Seed),
	}
	if config.ID == "" {
		return nil, fmt.Errorf("replica: the id is empty")
	}
	if stored.HardState != nil {
		r.term = stored.HardState.Term
		r.vote = stored.HardState.Vote
	}
	if stored.Snapshot != nil {
		r.log.reset(stored.Snapshot)
		r.commit = stored.Snapshot.Index
		r.memberships = []membershipAt{{stored.Snapshot.Index, stored.Snapshot.Membership}}
	}
	for _, e := range stored.Entries {
		if e.Index <= r.log.offsetIndex {
			continue
		}
		if e.Index != r.log.lastIndex()+1 {
			return nil, fmt.Errorf("replica: stored entry %d follows entry %d", e.Index, r.log.lastIndex())
		}
		if err := r.appendEntry(e); err != nil {
			return nil, err
		}
	}
	r.electionDue = now.Add(r.startupTimeout(startupTimeoutDivisor))
	return r, nil
}

// NextElection returns when the replica will request votes unless a leader contacts
// it first. The host should deliver a Tick at that time.
func (r *Replica) NextElection() time.Time { return r.electionDue }

// Handle advances the clock to now, processes an event and returns what the host
// must do.
func (r *Replica) Handle(now time.Time, e Event) Output {
	if now.After(r.now) {
		r.now = now
	}
	r.tick()
	switch e := e.(type) {
	case Tick:
	case Receive:
		r.arrivedAt = e.arrivedAt(r.now)
		r.receive(e.Message)
	case Propose:
		r.propose(e)
	case ProposeBatch:
		r.propose(e.Proposals...)
	case Read:
		r.read(e)
	case ChangeMembership:
		r.changeMembership(e)
	case Transfer:
		r.startTransfer(e.To)
	case Compact:
		r.log.compact(e.Snapshot, r.config.TrailingEntries)
	}
	out := r.out
	r.out = Output{}
	return out
}

func (r *Replica) tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if r.now.Before(r.electionDue) {
		return
	}
	if !r.isVoter(r.config.ID) {
		r.resetElectionTimer()
		return
	}
	r.startPreVote()
}

func (r *Replica) setHardState(term uint64, vote string) {
	if term == r.term && vote == r.vote {
		return
	}
	r.term = term
	r.vote = vote
	r.out.HardState = &wire.HardState{Term: term, Vote: vote}
}

func (r *Replica) addNotice(reason string) {
	r.out.Notices = append(r.out.Notices, Notice{Role: r.role, Term: r.term, Leader: r.leader, Reason: reason})
}

func (r *Replica) resetElectionTimer() {
	if !r.seenLeader {
		r.electionDue = r.now.Add(r.startupTimeout(startupRetryDivisor))
		return
	}
	least := r.config.ElectionTimeout
	if r.role == PreCandidate || r.role == Candidate {
		least /= candidateTimeoutDivisor
	}
	r.electionDue = r.now.Add(r.randomTimeout(least))
}

// randomTimeout returns a random time between least and least + ElectionTimeout, so
// that replicas do not start elections simultaneously.
func (r *Replica) randomTimeout(least time.Duration) time.Duration {
	return least + time.Duration(r.random.Int64N(int64(r.config.ElectionTimeout)))
}

// startupTimeout returns the election timeout of a replica that has not seen a leader
// since its start: the given part of ElectionTimeout plus a random time.
func (r *Replica) startupTimeout(divisor time.Duration) time.Duration {
	spread := max(int64(r.config.ElectionTimeout/startupJitterDivisor), 1)
	return r.config.ElectionTimeout/divisor + time.Duration(r.random.Int64N(spread))
}

// becomeFollower switches to the follower role in term. A new term clears the vote.
func (r *Replica) becomeFollower(term uint64, leader, reason string) {
	wasLeader := r.role == Leader
	changed := r.role != Follower || r.leader != leader
	if term > r.term {
		r.setHardState(term, "")
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.transferTo = ""
	if wasLeader {
		r.failReads()
		r.rounds = nil
		r.confirmedAt = time.Time{}
		r.progress = nil
	}
	r.resetElectionTimer()
	if changed {
		r.addNotice(reason)
	}
}

func (r *Replica) send(m *wire.ConsensusMessage) {
	m.From = r.config.ID
	if m.Term == 0 {
		m.Term = r.term
	}
	r.out.Messages = append(r.out.Messages, m)
}

// appendEntry adds an entry to the in-memory log. A membership entry takes effect at
// once, before it is committed.
func (r *Replica) appendEntry(e *wire.Entry) error {
	r.log.append(e)
	if e.Kind != wire.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return nil
	}
	m := &wire.Membership{}
	if err := proto.Unmarshal(e.Data, m); err != nil {
		return fmt.Errorf("replica: membership of entry %d: %w", e.Index, err)
	}
	r.memberships = append(r.memberships, membershipAt{e.Index, m})
	return nil
}

// commitTo raises the commit index and outputs the newly committed entries.
func (r *Replica) commitTo(index uint64) {
	index = min(index, r.log.lastIndex())
	if index <= r.commit {
		return
	}
	r.out.Committed = append(r.out.Committed, r.log.entriesBetween(r.commit, index)...)
	r.commit = index
}

// EntriesAfter returns the entries after an index, for a host that starts a new
// journal after storing a snapshot.
func (r *Replica) EntriesAfter(index uint64) []*wire.Entry {
	return r.log.entriesBetween(index, r.log.lastIndex())
}

// TermAt returns the term of the entry at index, or zero if the log does not hold
// it.
func (r *Replica) TermAt(index uint64) uint64 {
	term, _ := r.log.term(index)
	return term
}
