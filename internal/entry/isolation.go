package entry

import (
	"context"
	"fmt"

	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newIsolation returns the isolation that quarantines requests which crash targets.
func (d *Daemon) newIsolation() *isolation.Isolation {
	probes := d.process.Counter("target_looks_total", "Targets that were looked at after a connection broke, by whether they had ended.", "found")
	return isolation.New(isolation.Config{
		Clock:        d.clock,
		Dial:         d.network.Dial,
		DialTimeout:  dialTargetTimeout,
		Leaving:      func(string) bool { return false }, // a draining target has no running requests when it stops
		Replicas:     func() []string { return d.config.Controls },
		SendEvidence: d.sendEvidence,
		OnProbe: func(l isolation.ProbeResult) {
			probes.WithLabelValues(l.String()).Inc()
		},
		OnCrash: func(r isolation.BrokenRun) {
			detail := fmt.Sprintf("target %s ended under request %s of %s", r.Crash.Incarnation, r.Crash.Request, r.Crash.Service)
			d.process.Event(&wire.TimelineEvent{Kind: "targetEnded", Request: r.Request, Detail: detail})
		},
	})
}

// sendEvidence sends evidence to one control replica.
func (d *Daemon) sendEvidence(ctx context.Context, address string, e *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	_, err := d.node.Call(ctx, address, &wire.CallRequest{Evidence: e})
	return err
}

// evidenceTimeout bounds a call to a replica, which takes several round trips between regions.
const evidenceTimeout = helloTimeout

// fingerprint returns the digest by which a repeated request is recognized.
func (r *request) fingerprint() quarantine.Digest {
	return quarantine.Request{Method: r.method, Host: r.service, Target: r.path, Length: int64(len(r.body)), Body: r.body}.Digest()
}

// caller identifies the caller of the request. Requests may have been forwarded by other
// boxes, so only the caller's home region and block are known.
func (r *request) caller() quarantine.Caller { return quarantine.CallerOf(r.home + "/" + r.block) }

// reportBrokenRun reports that the connection to a target broke after the request was sent.
func (e *execution) reportBrokenRun(ctx context.Context, s *slot, target, address string) {
	if ctx.Err() != nil {
		return
	}
	now := e.box.clock.Now()
	e.box.isolation.ConnectionBroke(isolation.BrokenRun{
		Crash: quarantine.Crash{
			Request: e.request.fingerprint(), Caller: e.request.caller(),
			// Targets don't report their start times, so the time of the crash distinguishes their
			// incarnations. Only this box, which holds the pool's lease, sends to them.
			Incarnation: fmt.Sprintf("%s@%d", target, now.UnixMilli()),
			Service:     e.request.service, Began: s.startedAt, Ended: now,
		},
		Address: address,
		Request: e.request.id,
	})
}

// reportAnswered reports that a target gave a complete response.
func (e *execution) reportAnswered() {
	if e.box.isolation.IsIdle() {
		return
	}
	e.box.isolation.RecordAnswer(e.request.fingerprint(), e.request.caller())
}

// runUnlessQuarantined runs a request on this box's own pool unless it is quarantined because
// targets crashed while they ran it.
func (d *Daemon) runUnlessQuarantined(ctx context.Context, p *pool, r *request, v poolView) *answer {
	if d.isolation.IsIdle() {
		return d.runLocally(ctx, p, r, v)
	}
	digest := r.fingerprint()
	verdict := d.isolation.Admit(digest, r.caller())
	switch verdict.Decision {
	case quarantine.Held, quarantine.Busy:
		return refusal(verdict.Decision.String(), verdict.RetryAfter)
	case quarantine.OnProbation:
		defer d.isolation.Finish(digest)
		v.values.RetryAttempts = 1
	}
	return d.runLocally(ctx, p, r, v)
}
