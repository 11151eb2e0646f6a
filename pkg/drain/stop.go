// Package drain controls the planned stop of a process that callers know from cached lookup
// answers. The process first disappears from new answers, keeps serving while cached answers may
// still refer to it, then refuses new requests and waits for those in flight. Stop is a state
// machine without I/O.
package drain

import "time"

// Phase is the phase of a planned stop.
type Phase int

// The phases of a planned stop, in order.
const (
	// Serving: no stop has been requested.
	Serving Phase = iota
	// Leaving: no longer in new lookup answers, but still serving.
	Leaving
	// Refusing: new requests are refused, those in flight continue.
	Refusing
	// Ended: nothing is in flight, or the time to wait for it is over.
	Ended
)

// String returns the name of the phase in lower case.
func (p Phase) String() string {
	return [...]string{"serving", "leaving", "refusing", "ended"}[p]
}

// Stop tracks one planned stop.
type Stop struct {
	phase      Phase
	began      time.Time
	refuseFrom time.Time
	deadline   time.Time
	inFlight   int
}

// Begin starts the stop unless it has begun already. Cached answers may be used for ttl. After
// that, requests in flight get at most maxRequestTime to end.
func (s *Stop) Begin(now time.Time, ttl, maxRequestTime time.Duration) {
	if s.phase != Serving {
		return
	}
	s.phase = Leaving
	s.began = now
	s.refuseFrom = now.Add(ttl)
	s.deadline = s.refuseFrom.Add(maxRequestTime)
}

// Update sets the number of requests in flight. It returns the phase and the time by which Update
// must be called again.
func (s *Stop) Update(now time.Time, inFlight int) (Phase, time.Time) {
	s.inFlight = inFlight
	if s.phase == Leaving && !now.Before(s.refuseFrom) {
		s.phase = Refusing
	}
	if s.phase == Refusing && (inFlight == 0 || !now.Before(s.deadline)) {
		s.phase = Ended
	}
	if s.phase == Leaving {
		return s.phase, s.refuseFrom
	}
	return s.phase, s.deadline
}

// Phase returns the current phase. Only Begin and Update change it.
func (s *Stop) Phase() Phase { return s.phase }

// Progress describes how far a stop has come.
type Progress struct {
	Phase    Phase
	Since    time.Duration
	InFlight int
	// Remaining is the longest time that the stop can still take.
	Remaining time.Duration
}

// Progress returns the progress at now.
func (s *Stop) Progress(now time.Time) Progress {
	p := Progress{Phase: s.phase, InFlight: s.inFlight}
	if s.phase == Serving {
		return p
	}
	p.Since = now.Sub(s.began)
	p.Remaining = max(s.deadline.Sub(now), 0)
	if s.inFlight == 0 {
		p.Remaining = max(s.refuseFrom.Sub(now), 0)
	}
	if s.phase == Ended {
		p.Remaining = 0
	}
	return p
}
