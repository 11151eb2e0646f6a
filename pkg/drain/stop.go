// Package drain is the planned stop of a process that callers know from cached
// answers: it first leaves the answers, goes on serving while cached answers
// may still point to it, then refuses new work and waits for what is in
// flight. Stop is a state machine without I/O.
package drain

import "time"

// Phase is how far a planned stop has come.
type Phase int

// The phases of a planned stop.
const (
	// Serving: no stop has been asked for.
	Serving Phase = iota
	// Leaving: out of the answers, still serving.
	Leaving
	// Refusing: new work is refused, work in flight goes on.
	Refusing
	// Ended: nothing is in flight.
	Ended
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "ended"}[p]
}

// Stop is the course of one planned stop.
type Stop struct {
	phase    Phase
	began    time.Time
	refuseAt time.Time
	limit    time.Time
	inFlight int
}

// Begin asks for the stop. Cached answers may be used for ttl; a request in
// flight is waited for until longest has passed after that.
func (s *Stop) Begin(now time.Time, ttl, longest time.Duration) {
	if s.phase != Serving {
		return
	}
	s.phase = Leaving
	s.began = now
	s.refuseAt = now.Add(ttl)
	s.limit = s.refuseAt.Add(longest)
}

// Update takes the number of requests in flight and returns the phase and when
// to call again at the latest.
func (s *Stop) Update(now time.Time, inFlight int) (Phase, time.Time) {
	s.inFlight = inFlight
	if s.phase == Leaving && !now.Before(s.refuseAt) {
		s.phase = Refusing
	}
	if s.phase == Refusing && (inFlight == 0 || !now.Before(s.limit)) {
		s.phase = Ended
	}
	if s.phase == Leaving {
		return s.phase, s.refuseAt
	}
	return s.phase, s.limit
}

// Phase returns how far the stop has come.
func (s *Stop) Phase() Phase { return s.phase }

// Progress tells how a stop goes on.
type Progress struct {
	Phase    Phase
	Since    time.Duration
	InFlight int
	// Remaining is the longest time that is left.
	Remaining time.Duration
}

// Progress returns the progress at now.
func (s *Stop) Progress(now time.Time) Progress {
	p := Progress{Phase: s.phase, InFlight: s.inFlight}
	if s.phase == Serving {
		return p
	}
	p.Since = now.Sub(s.began)
	p.Remaining = max(s.limit.Sub(now), 0)
	if s.inFlight == 0 {
		p.Remaining = max(s.refuseAt.Sub(now), 0)
	}
	if s.phase == Ended {
		p.Remaining = 0
	}
	return p
}
