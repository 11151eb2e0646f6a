package rollout

import (
	"math"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// keylessStep is the fractional part of the golden ratio. Positions advanced by it are spread evenly
// for any number of steps.
const keylessStep = 0.6180339887498949

// Request is what a Splitter must know of a request.
type Request struct {
	// KeyHash is the hash of the object that the request is about, if HasKey is set. All requests
	// about an object move to the target version at the same share, so that its cached copies are
	// of use.
	KeyHash uint64
	HasKey  bool
	// TriedTarget is set if a target of the target version has been tried for the request before.
	TriedTarget bool
}

// Candidates are the versions that a request may be sent to: those of First, or of Second if no
// target of First can take it.
type Candidates struct {
	First     Versions
	Second    Versions
	HasSecond bool
}

// Splitter divides the requests of one service between the versions of its targets at one entry
// box. It is not safe for concurrent use.
type Splitter struct {
	rollout   *wire.Rollout
	learnedAt time.Time
	// sent counts the requests sent to the target version, and reached those that any target has
	// responded to, both since the current step began.
	sent    uint64
	reached uint64
	// position varies the version of requests without a key.
	position float64
	// stopped is set once this box's own evidence suffices to send the target version nothing more.
	stopped  bool
	evidence *evidence
}

// NewSplitter returns the splitter of a service whose latest roll-out is r.
func NewSplitter(now time.Time, r *wire.Rollout) *Splitter {
	return &Splitter{rollout: r, learnedAt: now, evidence: newEvidence()}
}

// Update applies the next state of the service's latest roll-out and returns the splitter to use.
func (s *Splitter) Update(now time.Time, r *wire.Rollout) *Splitter {
	if r.Number != s.rollout.Number {
		return NewSplitter(now, r)
	}
	if r.Step != s.rollout.Step {
		s.sent, s.reached = 0, 0
	}
	s.rollout = r
	return s
}

// Rollout returns the state of the roll-out. The caller must not modify it.
func (s *Splitter) Rollout() *wire.Rollout { return s.rollout }

// IsRunning reports whether the roll-out has not ended.
func (s *Splitter) IsRunning() bool {
	return s.rollout.Phase == wire.RolloutPhase_ROLLOUT_PHASE_RUNNING
}

// Candidates returns the versions that a request may be sent to.
func (s *Splitter) Candidates(now time.Time, r Request) Candidates {
	target := OnlyVersion(s.rollout.TargetVersion)
	previous := ExceptVersions(s.rollout.TargetVersion)
	switch s.rollout.Phase {
	case wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
		return Candidates{First: ExceptVersions(s.rollout.PreviousVersions...)}
	case wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		return Candidates{First: previous}
	}
	if s.rollout.PreviousClosed {
		return Candidates{First: target}
	}
	if r.TriedTarget || !s.maySendToTarget(now) {
		return Candidates{First: previous}
	}
	if s.prefersTarget(r) {
		return Candidates{First: target, Second: previous, HasSecond: true}
	}
	return Candidates{First: previous, Second: target, HasSecond: true}
}

// prefersTarget reports whether a request belongs to the share of the target version.
func (s *Splitter) prefersTarget(r Request) bool {
	if r.HasKey {
		return float64(r.KeyHash)/math.MaxUint64 < s.rollout.Share
	}
	_, s.position = math.Modf(s.position + keylessStep)
	return s.position < s.rollout.Share
}

// maySendToTarget reports whether one more request to the target version keeps the share. After the
// duration of the roll-out a box that is cut off from control no longer knows whether the previous
// version still exists, so the share has no bound then.
func (s *Splitter) maySendToTarget(now time.Time) bool {
	if s.stopped {
		return false
	}
	if now.Sub(s.learnedAt) > time.Duration(s.rollout.DurationMilli)*time.Millisecond {
		return true
	}
	return float64(s.sent+1) <= s.rollout.Share*float64(s.reached)
}

// Allows reports whether anything may be sent to a version now. A target may have been chosen
// before the last step.
func (s *Splitter) Allows(version string) bool {
	isTarget := version == s.rollout.TargetVersion
	switch s.rollout.Phase {
	case wire.RolloutPhase_ROLLOUT_PHASE_COMPLETED:
		return ExceptVersions(s.rollout.PreviousVersions...).Contains(version)
	case wire.RolloutPhase_ROLLOUT_PHASE_ROLLED_BACK:
		return !isTarget
	}
	if s.rollout.PreviousClosed {
		return isTarget
	}
	return !isTarget || !s.stopped
}

// RecordSent counts a request that is sent to a version.
func (s *Splitter) RecordSent(version string) {
	if version == s.rollout.TargetVersion {
		s.sent++
	}
}

// RecordNotSent takes back RecordSent for a request that reached no target.
func (s *Splitter) RecordNotSent(version string) {
	if version == s.rollout.TargetVersion && s.sent > 0 {
		s.sent--
	}
}

// RecordReached counts a request that a target has responded to.
func (s *Splitter) RecordReached() { s.reached++ }

// RecordResponse counts a response as evidence, and stops the target version at this box if the
// evidence suffices. targets is the number of targets of the target version.
func (s *Splitter) RecordResponse(now time.Time, r Response, targets int) {
	if !s.IsRunning() {
		return
	}
	s.evidence.record(now, r, r.Version == s.rollout.TargetVersion)
	if s.stopped || r.Version != s.rollout.TargetVersion {
		return
	}
	_, s.stopped = s.evidence.judge.Finding(now, targets, boxThreshold)
}

// Report returns what this box reports about the running roll-out.
func (s *Splitter) Report(previousInFlight int) *wire.RolloutReport {
	return &wire.RolloutReport{
		Number:           s.rollout.Number,
		Step:             s.rollout.Step,
		PreviousInFlight: uint32(max(previousInFlight, 0)),
		Routes:           s.evidence.messages(),
		Stopped:          s.stopped,
	}
}
