package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newIsolation returns the component that keeps requests which crash their targets from reaching
// more of them.
func (d *Daemon) newIsolation() *isolation.Isolation {
	return isolation.New(isolation.Config{
		Clock: d.clock,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.connections.dial(ctx, "tcp4", address)
		},
		ConfirmRefused: d.confirmRefused,
		DialTimeout:    dialTimeout,
		Leaving:        d.isLeaving,
		Replicas:       d.controlReplicas.all,
		SendEvidence:   d.sendEvidence,
		OnProbe:        func(l isolation.ProbeResult) { d.metrics.targetProbes.WithLabelValues(l.String()).Inc() },
		OnCrash:        d.recordCrashedRun,
	})
}

// confirmRefused asks peers whether a target that refuses this box's connections refuses theirs too.
// It returns nil if so, or if this box knows no peer.
func (d *Daemon) confirmRefused(ctx context.Context, incarnation string) error {
	d.balancing.Lock()
	target, ok := d.balancing.balancer.Target(incarnation)
	d.balancing.Unlock()
	if !ok {
		return nil
	}
	return d.connections.confirmRefused(ctx, target)
}

// sendEvidence sends evidence to one control replica.
func (d *Daemon) sendEvidence(ctx context.Context, address string, e *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	_, err := d.node.Call(ctx, address, &wire.CallRequest{Evidence: e})
	return err
}

// recordCrashedRun counts and logs a request whose target crashed while it ran it.
func (d *Daemon) recordCrashedRun(r isolation.BrokenRun) {
	d.metrics.crashedRuns.Inc()
	if !d.otherLineLimit.Allow(d.clock.Now()) {
		return
	}
	d.log.Warn().Str("kind", "targetEnded").Str("request", r.Request).Str("digest", r.Crash.Request.String()).
		Str("target", r.Crash.Incarnation).Str("route", r.Crash.Route).Str("service", r.Crash.Service).
		Dur("ran", r.Crash.Ended.Sub(r.Crash.Began)).Msg("target crashed while it ran a request")
}

// applyQuarantine applies the list of requests that are on probation or quarantined.
func (d *Daemon) applyQuarantine(list []*wire.Quarantined, version uint64) {
	entries := quarantine.EntriesOf(list)
	d.isolation.SetList(entries)
	held := 0
	for _, e := range entries {
		if e.Held {
			held++
		}
	}
	d.metrics.quarantined.Set(float64(held))
	line := d.log.Info().Str("kind", "quarantine").Int("held", held).Int("watched", len(entries)-held).
		Uint64("stateVersion", version).Dur("controlAge", d.follower.ControlAge())
	if n := len(entries); n > 0 {
		line = line.Str("latestDigest", entries[n-1].Request.String()).Bool("latestHeld", entries[n-1].Held)
	}
	line.Msg("quarantine list applied")
}

// fingerprint identifies a request that is sent again.
type fingerprint struct {
	digest quarantine.Digest
	caller quarantine.Caller
}

// fingerprint returns the request's fingerprint. Computing it takes time proportional to the length
// of the body.
func (c *callerRequest) fingerprint() fingerprint {
	if c.cachedFingerprint != nil {
		return *c.cachedFingerprint
	}
	r := quarantine.Request{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI,
		Length: c.body.length, Body: c.body.data,
	}
	c.cachedFingerprint = &fingerprint{r.Digest(), quarantine.CallerOf(c.callerID())}
	return *c.cachedFingerprint
}

// callerID distinguishes callers that send the same request: the name of the workspace, or the
// remote address if there is none.
func (c *callerRequest) callerID() string {
	if c.workspace != nil {
		return c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.request.RemoteAddr)
	if err != nil {
		return c.request.RemoteAddr
	}
	return host
}

// checkQuarantine reports whether the request may reach a target. If not, it has not run and has
// been answered, and sending it again fails until it is released. The check costs nothing while no
// request is suspected.
func (c *callerRequest) checkQuarantine() bool {
	if c.gateway.isolation.IsIdle() {
		return true
	}
	if !c.bufferBody() {
		return false
	}
	id := c.fingerprint()
	v := c.gateway.isolation.Admit(id.digest, id.caller)
	switch v.Decision {
	case quarantine.OnProbation:
		c.onProbation = true
	case quarantine.Busy, quarantine.Held:
		c.verdict = &v
		c.refuse(v.Decision.String(), v.RetryAfter)
		return false
	}
	return true
}

// bufferBody reads the body, or its beginning, if that has not been done yet and reports whether it
// succeeded. If not, the caller has been answered.
func (c *callerRequest) bufferBody() bool {
	if c.body != nil {
		return true
	}
	var err error
	if c.body, err = readBody(c.request, c.gateway.bufferMemory); err != nil {
		c.fail(http.StatusBadRequest, "bodyBroken", err)
		return false
	}
	if c.body.rest == nil {
		return true
	}
	// Otherwise the HTTP server reads the rest itself when the response begins. A writer without this
	// mode belongs to no such server.
	err = http.NewResponseController(c.writer).EnableFullDuplex()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.fail(http.StatusInternalServerError, "noFullDuplex", err)
		return false
	}
	return true
}

func (c *callerRequest) finishProbation() {
	if c.onProbation {
		c.gateway.isolation.Finish(c.cachedFingerprint.digest)
	}
}

// quarantineAllowsRepeat reports whether the request may go to a further target, given the targets
// that crashed while they ran it.
func (c *callerRequest) quarantineAllowsRepeat() bool {
	if c.gateway.isolation.IsIdle() {
		return true
	}
	id := c.fingerprint()
	return !c.onProbation && c.gateway.isolation.MayRetry(id.digest, id.caller)
}

// recordBrokenConnection reports that the connection of an attempt broke: its target may have
// crashed.
func (c *callerRequest) recordBrokenConnection(e attemptEnd) {
	id := c.fingerprint()
	now := c.gateway.clock.Now()
	c.gateway.isolation.ConnectionBroke(isolation.BrokenRun{
		Crash: quarantine.Crash{
			Request: id.digest, Caller: id.caller, Incarnation: e.choice.Target.ID, Route: c.route.Name, Service: c.service,
			Began: e.startedAt, Ended: now,
		},
		Address: e.choice.Target.Address,
		Request: c.requestID,
	})
}

// recordCompleteResponse reports that a target gave a complete response.
func (c *callerRequest) recordCompleteResponse() {
	if c.gateway.isolation.IsIdle() {
		return
	}
	id := c.fingerprint()
	c.gateway.isolation.RecordAnswer(id.digest, id.caller)
}

// otherTargets lists the targets of all ended attempts apart from the last attempt, each with its
// outcome.
func (c *callerRequest) otherTargets() []string {
	var out []string
	lastFound := false
	for _, r := range slices.Backward(c.endedAttempts) {
		if !lastFound && r.target.ID == c.lastAttempt.target.ID {
			lastFound = true
			continue
		}
		out = append(out, r.target.ID+" "+r.outcome.String())
	}
	slices.Reverse(out)
	return out
}
