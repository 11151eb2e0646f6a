package balance

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/rollout"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// SetRollouts sets the latest roll-out of each service that has had one.
func (b *Balancer) SetRollouts(now time.Time, rollouts []*wire.Rollout) {
	current := make(map[string]bool, len(rollouts))
	for _, r := range rollouts {
		current[r.Service] = true
		s := b.service(r.Service)
		if s.splitter == nil {
			s.splitter = rollout.NewSplitter(now, r)
			continue
		}
		s.splitter = s.splitter.Update(now, r)
	}
	for name, s := range b.services {
		if !current[name] {
			s.splitter = nil
		}
	}
}

// RolloutReports returns what this box reports about the running roll-outs.
func (b *Balancer) RolloutReports() []*wire.RolloutReport {
	var out []*wire.RolloutReport
	for _, s := range b.services {
		if s.splitter != nil && s.splitter.IsRunning() {
			out = append(out, s.splitter.Report(s.previousInFlight()))
		}
	}
	return out
}

// previousInFlight returns the requests in flight at targets of other versions than the one that is
// rolled out.
func (s *service) previousInFlight() (n int) {
	version := s.splitter.Rollout().TargetVersion
	for _, t := range s.targets {
		if t.Software != version {
			n += t.inFlight
		}
	}
	return n
}

// versionTargets returns the number of targets of the version that is rolled out.
func (s *service) versionTargets() (n int) {
	version := s.splitter.Rollout().TargetVersion
	for _, t := range s.targets {
		if t.Software == version {
			n++
		}
	}
	return n
}

// chooseVersion chooses a target among the versions that a roll-out allows for the request.
func (b *Balancer) chooseVersion(now time.Time, s *service, r Request) (Choice, error) {
	key := s.keyHash(r)
	candidates := s.splitter.Candidates(now, rollout.Request{
		KeyHash: mix(key), HasKey: r.AffinityKey != "", TriedTarget: b.triedVersion(s, r),
	})
	r.versions = candidates.First
	choice, err := b.chooseAmong(now, s, r, key)
	if err == nil || !candidates.HasSecond {
		return choice, err
	}
	r.versions = candidates.Second
	if second, secondErr := b.chooseAmong(now, s, r, key); secondErr == nil {
		return second, nil
	}
	return choice, err
}

// triedVersion reports whether the request has been tried at a target of the version that is rolled
// out.
func (b *Balancer) triedVersion(s *service, r Request) bool {
	version := s.splitter.Rollout().TargetVersion
	for _, id := range r.Tried {
		if t := b.byID[id]; t != nil && t.Software == version {
			return true
		}
	}
	return false
}

// allowsVersion reports whether anything may be sent to the version of a target now.
func (b *Balancer) allowsVersion(t *targetState) bool {
	s := b.services[t.Service]
	return s == nil || s.splitter == nil || s.splitter.Allows(t.Software)
}

// recordVersionSent counts a request that is sent to a target.
func (b *Balancer) recordVersionSent(t *targetState) {
	if s := b.service(t.Service); s.splitter != nil {
		s.splitter.RecordSent(t.Software)
	}
}

// recordVersionNotSent takes back recordVersionSent.
func (b *Balancer) recordVersionNotSent(t *targetState) {
	if s := b.service(t.Service); s.splitter != nil {
		s.splitter.RecordNotSent(t.Software)
	}
}

// recordVersionResult counts the result of a request for the roll-out of its service. A lost
// connection or response and a request that its caller canceled say nothing about a version.
func (b *Balancer) recordVersionResult(now time.Time, t *targetState, r Report) {
	s := b.service(t.Service)
	if s.splitter == nil {
		return
	}
	overdue := false
	switch r.Outcome {
	case Unreachable, Withdrawn:
		s.splitter.RecordNotSent(t.Software)
		return
	case TurnedAway:
		s.splitter.RecordReached()
		return
	case Answered:
		s.splitter.RecordReached()
	case Stuck:
		overdue = true
	case Dropped:
		if overdue = r.MarkedOverdue; !overdue {
			return
		}
	default:
		return
	}
	s.splitter.RecordResponse(now, rollout.Response{
		Route:       r.Route,
		Version:     t.Software,
		Target:      t.Name,
		AffinityKey: r.AffinityKey,
		Took:        r.Took,
		UsualTime:   b.usualTime(r.Route),
		Failed:      r.Failed,
		Overdue:     overdue,
		Cold:        t.isCold(now),
	}, s.versionTargets())
}

// usualTime returns the mean service time of a route, or zero if it is not known.
func (b *Balancer) usualTime(route string) time.Duration {
	if times := b.routeTimes[route]; times != nil {
		return times.hit
	}
	return 0
}
