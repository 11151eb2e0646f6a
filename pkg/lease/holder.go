package lease

import (
	"math/rand/v2"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Config is what a Holder is told.
type Config struct {
	Pool        string
	Name        string
	Incarnation string
	// Voters are the names of all voters on the pool.
	Voters []string
	// Rank is the place among the candidates; the first asks first.
	Rank     int
	Duration time.Duration
	Seed     uint64
}

// Request is a message to one voter.
type Request struct {
	To      string
	Message *wire.LeaseRequest
}

// Holder asks for the lease on one pool and renews it.
type Holder struct {
	config  Config
	random  *rand.Rand
	ballot  uint64
	sentAt  time.Time
	granted []string
	until   time.Time
	askAt   time.Time
	resting bool
	// other is the holder that a voter named when it refused.
	other      string
	otherUntil time.Time
}

const (
	renewalsPerLease = 3
	ranksPerLease    = 4
	// maxRankDelays bounds how long the last of many candidates waits.
	maxRankDelays = 8
)

// NewHolder returns a holder that does not hold its lease. A candidate of a
// lower rank lets the ones before it ask first.
func NewHolder(now time.Time, c Config) *Holder {
	h := &Holder{config: c, random: rand.New(rand.NewPCG(c.Seed, uint64(c.Rank)))}
	h.askAt = now.Add(h.rankDelay())
	return h
}

func (h *Holder) rankDelay() time.Duration {
	return time.Duration(min(h.config.Rank, maxRankDelays)) * h.config.Duration / ranksPerLease
}

// Until returns the time until which the lease is held.
func (h *Holder) Until() time.Time { return h.until }

// Held reports whether the lease is held at now.
func (h *Holder) Held(now time.Time) bool { return now.Before(h.until) }

// KnownHolder returns the box that was last named as the holder, for a box that does
// not vote itself. It is known until the candidate has had time to ask again.
func (h *Holder) KnownHolder(now time.Time) (name string, ok bool) {
	known := h.otherUntil.Add(h.rankDelay() + h.config.Duration)
	return h.other, h.other != "" && now.Before(known)
}

// NextTick returns when Tick is next needed.
func (h *Holder) NextTick() time.Time { return h.askAt }

// Tick begins a round of asking when one is due.
func (h *Holder) Tick(now time.Time) []Request {
	if h.resting || now.Before(h.askAt) {
		return nil
	}
	if !h.Held(now) && len(h.granted) > 0 {
		return h.backOff(now)
	}
	h.ballot++
	h.sentAt = now
	h.granted = nil
	h.askAt = now.Add(h.config.Duration / renewalsPerLease)
	return h.toAll(&wire.LeaseRequest{DurationMilli: h.config.Duration.Milliseconds()})
}

// backOff gives back the votes of a round that found no majority, so that
// another candidate can have them.
func (h *Holder) backOff(now time.Time) []Request {
	h.granted = nil
	wait := time.Duration(h.random.Int64N(int64(h.config.Duration)/2 + 1))
	h.askAt = now.Add(wait + h.rankDelay())
	back := h.toAll(&wire.LeaseRequest{Release: true})
	h.ballot++ // a late answer to the round must not count any more
	return back
}

func (h *Holder) toAll(m *wire.LeaseRequest) []Request {
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

// HandleAnswer takes a voter's answer. Answers to earlier rounds do not count, nor do
// those to an earlier incarnation of this box, whose rounds had the same numbers.
func (h *Holder) HandleAnswer(now time.Time, a *wire.LeaseAnswer) {
	if a.Ballot != h.ballot || h.resting || !slices.Contains(h.config.Voters, a.Voter) {
		return
	}
	if !a.Granted {
		h.refused(now, a)
		return
	}
	ours := a.Holder == h.config.Name && a.Incarnation == h.config.Incarnation
	if !ours || slices.Contains(h.granted, a.Voter) {
		return
	}
	h.granted = append(h.granted, a.Voter)
	if len(h.granted) <= len(h.config.Voters)/2 {
		return
	}
	length := h.config.Duration - h.config.Duration/drift
	h.until = later(h.until, h.sentAt.Add(length))
}

// refused waits for the end of the promise that stood in the way.
func (h *Holder) refused(now time.Time, a *wire.LeaseAnswer) {
	if h.Held(now) || a.RemainingMilli <= 0 {
		return
	}
	if a.Holder != "" {
		h.other = a.Holder
		h.otherUntil = now.Add(time.Duration(a.RemainingMilli) * time.Millisecond)
	}
	wait := min(time.Duration(a.RemainingMilli)*time.Millisecond, h.config.Duration)
	h.askAt = later(h.askAt, now.Add(wait+h.rankDelay()))
}

// Release gives the lease up for good. The caller must have ended all that it
// did under the lease.
func (h *Holder) Release() []Request {
	h.resting = true
	h.until = time.Time{}
	h.granted = nil
	return h.toAll(&wire.LeaseRequest{Release: true})
}

// Reconfigure puts other voters, another rank or another duration in force.
// The lease goes on until its end; it is renewed by the new voters.
func (h *Holder) Reconfigure(voters []string, rank int, duration time.Duration) {
	h.config.Voters = voters
	h.config.Rank = rank
	h.config.Duration = duration
	h.granted = nil
}
