package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"

	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// newIsolation returns what keeps requests from targets that ended under them.
func (d *Daemon) newIsolation() *isolation.Isolation {
	return isolation.New(isolation.Config{
		Clock: d.clock,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.connections.dial(ctx, "tcp4", address)
		},
		DialTimeout:  dialTimeout,
		Leaving:      d.isLeaving,
		Replicas:     d.controls.all,
		SendEvidence: d.tellEvidence,
		OnProbe:      func(l isolation.ProbeResult) { d.metrics.looks.WithLabelValues(l.String()).Inc() },
		OnCrash:      d.recordEnded,
	})
}

// tellEvidence tells one control replica.
func (d *Daemon) tellEvidence(ctx context.Context, address string, e *wire.Evidence) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	_, err := d.node.Call(ctx, address, &wire.CallRequest{Evidence: e})
	return err
}

func (d *Daemon) recordEnded(r isolation.BrokenRun) {
	d.metrics.endedRuns.Inc()
	if !d.otherLines.Allow(d.clock.Now()) {
		return
	}
	d.log.Warn().Str("kind", "targetEnded").Str("request", r.Request).Str("digest", r.Crash.Request.String()).
		Str("target", r.Crash.Incarnation).Str("route", r.Crash.Route).Str("service", r.Crash.Service).
		Dur("ran", r.Crash.Ended.Sub(r.Crash.Began)).Msg("a target ended while it ran a request")
}

// putQuarantine takes the requests that are watched or held.
func (d *Daemon) putQuarantine(list []*wire.Quarantined, version uint64) {
	entries := quarantine.EntriesOf(list)
	d.isolation.SetList(entries)
	held := 0
	for _, e := range entries {
		if e.Held {
			held++
		}
	}
	d.metrics.held.Set(float64(held))
	line := d.log.Info().Str("kind", "quarantine").Int("held", held).Int("watched", len(entries)-held).
		Uint64("stateVersion", version).Dur("controlAge", d.following.ControlAge())
	if n := len(entries); n > 0 {
		line = line.Str("latestDigest", entries[n-1].Request.String()).Bool("latestHeld", entries[n-1].Held)
	}
	line.Msg("quarantined requests in force")
}

// identity is what a request is known by when it comes again.
type identity struct {
	digest quarantine.Digest
	caller quarantine.Caller
}

// identity works out the digests of the request, which takes the longer the longer the body.
func (c *call) identity() identity {
	if c.known != nil {
		return *c.known
	}
	r := quarantine.Request{
		Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI,
		Length: c.body.length, Body: c.body.data,
	}
	c.known = &identity{r.Digest(), quarantine.CallerOf(c.callerName())}
	return *c.known
}

// callerName is what tells callers apart that ask for the same: the workspace, or the
// address where there is none.
func (c *call) callerName() string {
	if c.workspace != nil {
		return c.workspace.Name
	}
	host, _, err := net.SplitHostPort(c.request.RemoteAddr)
	if err != nil {
		return c.request.RemoteAddr
	}
	return host
}

// passQuarantine reports whether the request may reach a target; if not, it has been
// answered: it has not run, and comes back in vain before it is let go. It costs nothing
// while nothing is known of any request.
func (c *call) passQuarantine() bool {
	if c.gateway.isolation.IsIdle() {
		return true
	}
	if !c.takeBody() {
		return false
	}
	id := c.identity()
	v := c.gateway.isolation.Admit(id.digest, id.caller)
	switch v.Decision {
	case quarantine.OnProbation:
		c.probation = true
	case quarantine.Busy, quarantine.Held:
		c.verdict = &v
		c.refuse(v.Decision.String(), v.RetryAfter)
		return false
	}
	return true
}

// takeBody reads the body if that has not been done, and reports whether it is there; if
// not, the caller has been answered.
func (c *call) takeBody() bool {
	if c.body != nil {
		return true
	}
	var err error
	if c.body, err = readBody(c.request); err != nil {
		c.fail(http.StatusBadRequest, "bodyBroken", err)
		return false
	}
	return true
}

func (c *call) leaveQuarantine() {
	if c.probation {
		c.gateway.isolation.Finish(c.known.digest)
	}
}

// canRepeat reports whether the request may go to a further target as far as targets
// that ended under it are concerned.
func (c *call) canRepeat() bool {
	if c.gateway.isolation.IsIdle() {
		return true
	}
	id := c.identity()
	return !c.probation && c.gateway.isolation.MayRetry(id.digest, id.caller)
}

// recordBroken takes that the connection of an attempt broke: its target may have ended.
func (c *call) recordBroken(e attemptEnd) {
	id := c.identity()
	now := c.gateway.clock.Now()
	c.gateway.isolation.ConnectionBroke(isolation.BrokenRun{
		Crash: quarantine.Crash{
			Request: id.digest, Caller: id.caller, Incarnation: e.choice.Target.ID, Route: c.route.Name, Service: c.service,
			Began: e.began, Ended: now,
		},
		Address: e.choice.Target.Address,
		Request: c.id,
	})
}

// recordAnswer takes that a target gave a whole answer.
func (c *call) recordAnswer() {
	if c.gateway.isolation.IsIdle() {
		return
	}
	id := c.identity()
	c.gateway.isolation.RecordAnswer(id.digest, id.caller)
}

// otherTargets are the targets that got the request besides the last one, and what became
// of it there.
func (c *call) otherTargets() []string {
	var out []string
	for _, r := range c.records {
		name := r.target.ID + " " + r.outcome.String()
		if r.target.ID != c.last.target.ID && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}
