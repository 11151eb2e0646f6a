package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Config configures a Holder.
type Config struct {
	Pool        string
	Name        string
	Incarnation string
	// Voters are the names of all voters for the pool.
	Voters []string
	// Rank is the position among the candidates for the pool, from 0; lower ranks
	// request the lease earlier.
	Rank     int
	Duration time.Duration
	Seed     uint64
}

// Request is a message to one voter.
type Request struct {
	To      string
	Message *wire.LeaseRequest
}

// Holder acquires and renews the lease on one pool.
type Holder struct {
	config     Config
	random     *rand.Rand
	ballot     uint64
	roundStart time.Time
	grantedBy  []string
	until      time.Time
	nextTick   time.Time
	released   bool
	// knownHolder is the holder that a voter named in its last refusal.
	knownHolder      string
	knownHolderUntil time.Time
}

const (
	renewalsPerDuration = 3
	ranksPerDuration    = 4
	// maxRankDelays limits the delay of the last of many candidates.
	maxRankDelays = 8
)

// NewHolder returns a holder that does not yet hold the lease. It delays its first
// request by its rank, so that better ranked candidates go first.
func NewHolder(now time.Time, c Config) *Holder {
	h := &Holder{config: c, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Rank)))}
	h.nextTick = now.Add(h.rankDelay())
	return h
}

func (h *Holder) rankDelay() time.Duration {
	return time.Duration(min(h.config.Rank, maxRankDelays)) * h.config.Duration / ranksPerDuration
}

// Until returns when the lease expires.
func (h *Holder) Until() time.Time { return h.until }

// Held reports whether the lease is held at now.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.until) }

// KnownHolder returns the holder that a voter named last, for boxes that are not voters
// themselves. The answer expires once this candidate has had time to request the lease
// again.
func (h *Holder) KnownHolder(now time.Time) (name string, ok bool) {
	expires := h.knownHolderUntil.Add(h.rankDelay() + h.config.Duration)
	return h.knownHolder, h.knownHolder != "" && now.Before(expires)
}

// NextTick returns when Tick must be called next.
func (h *Holder) NextTick() time.Time { return h.nextTick }

// Tick starts a round of requests if one is due.
func (h *Holder) Tick(now time.Time) []Request {
	if h.released || now.Before(h.nextTick) {
		return nil
	}
	if !h.Held(now) && len(h.grantedBy) > 0 {
		return h.backOff(now)
	}
	h.ballot++
	h.roundStart = now
	h.grantedBy = nil
	h.nextTick = now.Add(h.config.Duration / renewalsPerDuration)
	return h.requestAll(&wire.LeaseRequest{DurationMilli: h.config.Duration.Milliseconds()})
}

// backOff releases the grants of a round without a majority, so that another candidate
// can get them.
func (h *Holder) backOff(now time.Time) []Request {
	h.grantedBy = nil
	wait := time.Duration(h.random.Int64N(int64(h.config.Duration)/2 + 1))
	h.nextTick = now.Add(wait + h.rankDelay())
	releases := h.requestAll(&wire.LeaseRequest{Release: true})
	h.ballot++ // so that late answers to this round are ignored
	return releases
}

func (h *Holder) requestAll(m *wire.LeaseRequest) []Request {
	m.Pool = h.config.Pool
	m.Holder = h.config.Name
	m.Incarnation = h.config.Incarnation
	m.Ballot = h.ballot
	out := make([]Request, 0, len(h.config.Voters))
	for _, v := range h.config.Voters {
		out = append(out, Request{To: v, Message: m})
	}
	return out
}

// HandleAnswer processes a voter's answer. It ignores answers to earlier rounds and
// answers to an earlier incarnation of this box, whose rounds had the same numbers.
func (h *Holder) HandleAnswer(now time.Time, a *wire.LeaseAnswer) {
	if a.Ballot != h.ballot || h.released || !slices.Contains(h.config.Voters, a.Voter) {
		return
	}
	if !a.Granted {
		h.handleRefusal(now, a)
		return
	}
	ours := a.Holder == h.config.Name && a.Incarnation == h.config.Incarnation
	if !ours || slices.Contains(h.grantedBy, a.Voter) {
		return
	}
	h.grantedBy = append(h.grantedBy, a.Voter)
	if len(h.grantedBy) <= len(h.config.Voters)/2 {
		return
	}
	length := h.config.Duration - h.config.Duration/marginDivisor
	h.until = latest(h.until, h.roundStart.Add(length))
}

// handleRefusal waits for the end of the conflicting grant.
func (h *Holder) handleRefusal(now time.Time, a *wire.LeaseAnswer) {
	if h.Held(now) || a.RemainingMilli <= 0 {
		return
	}
	if a.Holder != "" {
		h.knownHolder = a.Holder
		h.knownHolderUntil = now.Add(time.Duration(a.RemainingMilli) * time.Millisecond)
	}
	wait := min(time.Duration(a.RemainingMilli)*time.Millisecond, h.config.Duration)
	h.nextTick = latest(h.nextTick, now.Add(wait+h.rankDelay()))
}

// Release gives up the lease for good. The caller must first have stopped everything
// that needs the lease.
func (h *Holder) Release() []Request {
	h.released = true
	h.until = time.Time{}
	h.grantedBy = nil
	return h.requestAll(&wire.LeaseRequest{Release: true})
}

// Reconfigure changes the voters, the rank and the duration. The current lease stays
// valid until it expires; renewals go to the new voters.
func (h *Holder) Reconfigure(voters []string, rank int, duration time.Duration) {
	h.config.Voters = voters
	h.config.Rank = rank
	h.config.Duration = duration
	h.grantedBy = nil
}
