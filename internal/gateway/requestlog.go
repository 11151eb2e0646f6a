package gateway

import (
	"net/http"

	"github.com/rs/zerolog"
)

// logRequest logs the result of the request and what decided it.
func (c *callerRequest) logRequest(status int, reason string, cause error) {
	d := c.gateway
	took := c.gateway.clock.Since(c.startedAt)
	d.metrics.count(c.route.Name, status, reason, took)
	line := d.requestLine(status < http.StatusBadRequest && cause == nil)
	if line == nil {
		return
	}
	line = line.Str("kind", "request").Str("request", c.requestID).Int("status", status).Dur("took", took).
		Str("route", c.route.Name).Str("service", c.service).Str("key", c.affinityKey())
	if c.pipelined > 0 {
		line = line.Int("pipelined", c.pipelined)
	}
	if c.routing != nil {
		line = line.Uint64("routes", c.routing.document.Number).Uint64("stateVersion", c.routing.version)
	}
	if c.workspace != nil {
		line = line.Str("workspace", c.workspace.Name).Int("permits", len(c.permits)).Dur("permitAfter", c.permitWait)
	}
	line = line.Dur("controlAge", d.controlAge()).Dur("targetContactAge", d.targetContact.age())
	if reason != "" {
		line = line.Str("reason", reason)
	}
	if c.lastAttempt.target.ID != "" {
		line = line.Str("target", c.lastAttempt.target.ID).Str("targetZone", c.lastAttempt.target.Zone).Str("outcome", c.lastAttempt.outcome.String()).
			Uint64("targetsVersion", c.lastAttempt.choice.Version).Dur("targetTook", c.lastAttempt.took).Dur("wait", c.lastAttempt.choice.ExpectedWait).Float64("load", c.lastAttempt.choice.Load).
			Bool("newConnection", c.lastAttempt.newConnection).Int("sent", c.sent).Int("dials", c.dials).Bool("mayHaveRun", c.mayHaveRun)
		if c.lastAttempt.sent {
			line = line.Dur("sentAfter", c.lastAttempt.sentAfter)
		}
		if c.lastAttempt.leaving {
			line = line.Bool("targetLeaving", true)
		}
		if c.lastAttempt.peer != "" {
			line = line.Str("through", c.lastAttempt.peer)
		}
		if c.lastAttempt.choice.LocalShare > 0 {
			line = line.Float64("localShare", c.lastAttempt.choice.LocalShare)
		}
		if c.lastAttempt.choice.Overflowed {
			line = line.Bool("overflowed", true)
		}
		if c.lastAttempt.choice.Skipped != "" {
			line = line.Str("skipped", c.lastAttempt.choice.Skipped)
		}
	}
	line = c.addAdmission(line)
	line = c.addHedges(line)
	line = c.addRefusal(line)
	line = c.addQuarantine(line)
	line = c.addSkipped(line)
	if cause == nil {
		cause = c.lastAttempt.err
	}
	if cause != nil {
		line = line.AnErr("cause", cause)
	}
	line.Msg("request ended")
}

// addRefusal adds what decided a refusal to the line of a request.
func (c *callerRequest) addRefusal(line *zerolog.Event) *zerolog.Event {
	if c.sentRetryAfter > 0 {
		line = line.Dur("retryAfter", c.sentRetryAfter)
	}
	if c.noTarget == nil {
		return line
	}
	return line.Int("registered", c.noTarget.Registered).Str("fullTarget", c.noTarget.Target).Float64("fullLoad", c.noTarget.Load).
		Int("fullSlots", c.noTarget.Slots).Dur("reckonedWait", c.noTarget.ExpectedWait).Dur("longestWait", c.noTarget.MaxWait).
		Float64("serviceLoad", c.noTarget.ServiceLoad).Int("backedOff", c.noTarget.BackedOff)
}

// addHedges adds the hedged attempts.
func (c *callerRequest) addHedges(line *zerolog.Event) *zerolog.Event {
	if c.hedges.lastError != nil {
		line = line.Str("noneBeside", c.hedges.lastError.Error())
	}
	if others := c.otherTargets(); len(others) > 0 {
		line = line.Strs("otherTargets", others)
	}
	line = c.addSecondAttempt(line)
	if c.hedges.count == 0 {
		return line
	}
	return line.Int("beside", c.hedges.count).Dur("besideAfter", c.hedges.delay)
}

// addSkipped adds the rate-limited targets that the request skipped, and why.
func (c *callerRequest) addSkipped(line *zerolog.Event) *zerolog.Event {
	if c.targetPermitWait > 0 {
		line = line.Dur("targetPermitWait", c.targetPermitWait)
	}
	if len(c.skippedLimited) == 0 {
		return line
	}
	return line.Strs("skippedLimited", c.skippedLimited).AnErr("skippedFor", c.skipCause)
}

// addQuarantine adds the fingerprint of the request, if it was computed, and what the quarantine
// decided.
func (c *callerRequest) addQuarantine(line *zerolog.Event) *zerolog.Event {
	if c.cachedFingerprint != nil {
		line = line.Str("digest", c.cachedFingerprint.digest.String())
	}
	if c.onProbation {
		line = line.Bool("onProbation", true)
	}
	if c.verdict != nil {
		line = line.Int("endedTargets", c.verdict.CrashedTargets).Bool("listed", c.verdict.Listed)
	}
	return line
}
