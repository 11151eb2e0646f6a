package entry

import (
	"context"
	"fmt"

	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newIsolation returns what keeps requests from targets that ended under them.
func (d *Daemon) newIsolation() *isolation.Isolation {
	looks := d.process.Counter("target_looks_total", "Targets that were looked at after a connection broke, by whether they had ended.", "found")
	return isolation.New(isolation.Config{
		Clock:        d.clock,
		Dial:         d.network.Dial,
		DialTimeout:  dialTargetTimeout,
		Leaving:      func(string) bool { return false }, // a draining target that ends has no requests at work
		Replicas:     func() []string { return d.config.Controls },
		SendEvidence: d.tellEvidence,
		OnProbe: func(l isolation.ProbeResult) {
			looks.WithLabelValues(l.String()).Inc()
		},
		OnCrash: func(r isolation.BrokenRun) {
			detail := fmt.Sprintf("target %s ended under request %s of %s", r.Crash.Incarnation, r.Crash.Request, r.Crash.Service)
			d.process.Event(&wire.TimelineEvent{Kind: "targetEnded", Request: r.Request, Detail: detail})
		},
	})
}

// tellEvidence tells one control replica.
func (d *Daemon) tellEvidence(ctx context.Context, address string, e *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	_, err := d.node.Call(ctx, address, &wire.CallRequest{Evidence: e})
	return err
}

// evidenceTimeout bounds a call to a replica: several round trips between regions.
const evidenceTimeout = helloTimeout

// fingerprint is what the request is known by when it comes again.
func (r *request) fingerprint() quarantine.Digest {
	return quarantine.Request{Method: r.method, Host: r.service, Target: r.path, Length: int64(len(r.body)), Body: r.body}.Digest()
}

// caller is who asks: requests come through other boxes, so that the block of its caller
// is all that is known.
func (r *request) caller() quarantine.Caller { return quarantine.CallerOf(r.home + "/" + r.block) }

// broke takes that the connection of an attempt at a target broke after it was sent.
func (e *execution) broke(ctx context.Context, s *slot, target, address string) {
	if ctx.Err() != nil {
		return
	}
	now := e.box.clock.Now()
	e.box.isolation.ConnectionBroke(isolation.BrokenRun{
		Crash: quarantine.Crash{
			Request: e.request.fingerprint(), Caller: e.request.caller(),
			// Targets tell no births; only this box, which holds the pool, sends to them.
			Incarnation: fmt.Sprintf("%s@%d", target, now.UnixMilli()),
			Service:     e.request.service, Began: s.began, Ended: now,
		},
		Address: address,
		Request: e.request.id,
	})
}

// whole takes that a target gave a whole answer.
func (e *execution) whole() {
	if e.box.isolation.IsIdle() {
		return
	}
	e.box.isolation.RecordAnswer(e.request.fingerprint(), e.request.caller())
}

// runUnlessHeld runs a request on this box's own pool unless targets ended under it.
func (d *Daemon) runUnlessHeld(ctx context.Context, p *pool, r *request, v poolView) *answer {
	if d.isolation.IsIdle() {
		return d.runHere(ctx, p, r, v)
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
	return d.runHere(ctx, p, r, v)
}
