package gateway

import (
	"net/http"

	"github.com/rs/zerolog"
)

// log tells what became of the request and what decided it.
func (c *call) log(status int, reason string, cause error) {
	d := c.gateway
	took := c.gateway.clock.Since(c.began)
	d.metrics.count(c.route.Name, status, reason, took)
	line := d.requestLine(status < http.StatusBadRequest && cause == nil)
	if line == nil {
		return
	}
	line = line.Str("kind", "request").Str("request", c.id).Int("status", status).Dur("took", took).
		Str("route", c.route.Name).Str("service", c.service).Str("key", c.key())
	if c.rules != nil {
		line = line.Uint64("routes", c.rules.document.Number).Uint64("stateVersion", c.rules.version)
	}
	if c.workspace != nil {
		line = line.Str("workspace", c.workspace.Name).Int("permits", len(c.permits)).Dur("permitAfter", c.permitWait)
	}
	line = line.Dur("controlAge", d.controlAge())
	if reason != "" {
		line = line.Str("reason", reason)
	}
	if c.last.target.ID != "" {
		line = line.Str("target", c.last.target.ID).Str("targetZone", c.last.target.Zone).Str("outcome", c.last.outcome.String()).
			Uint64("targetsVersion", c.last.choice.Version).Dur("targetTook", c.last.took).Dur("wait", c.last.choice.ExpectedWait).Float64("load", c.last.choice.Load).
			Bool("newConnection", c.last.fresh).Int("sent", c.sent).Int("dials", c.dials).Bool("mayHaveRun", c.mayHaveRun)
		if c.last.choice.Skipped != "" {
			line = line.Str("skipped", c.last.choice.Skipped)
		}
	}
	line = c.addHedges(line)
	line = c.addRefusal(line)
	line = c.addQuarantine(line)
	line = c.addSkipped(line)
	if cause == nil {
		cause = c.last.err
	}
	if cause != nil {
		line = line.AnErr("cause", cause)
	}
	line.Msg("request ended")
}

// addRefusal adds what decided a refusal to the line of a request.
func (c *call) addRefusal(line *zerolog.Event) *zerolog.Event {
	if c.told > 0 {
		line = line.Dur("retryAfter", c.told)
	}
	if c.none == nil {
		return line
	}
	return line.Int("registered", c.none.Registered).Str("fullTarget", c.none.Target).Float64("fullLoad", c.none.Load).
		Int("fullSlots", c.none.Slots).Dur("reckonedWait", c.none.ExpectedWait).Dur("longestWait", c.none.MaxWait).
		Float64("serviceLoad", c.none.ServiceLoad).Int("backedOff", c.none.BackedOff)
}

// addHedges adds the hedged attempts.
func (c *call) addHedges(line *zerolog.Event) *zerolog.Event {
	if c.hedges.none != nil {
		line = line.Str("noneBeside", c.hedges.none.Error())
	}
	if others := c.otherTargets(); len(others) > 0 {
		line = line.Strs("otherTargets", others)
	}
	if c.hedges.count == 0 {
		return line
	}
	return line.Int("beside", c.hedges.count).Dur("besideAfter", c.hedges.after)
}

// addSkipped adds the rate-limited targets that the request was kept from, and why.
func (c *call) addSkipped(line *zerolog.Event) *zerolog.Event {
	if c.targetPermitWait > 0 {
		line = line.Dur("targetPermitWait", c.targetPermitWait)
	}
	if len(c.skippedLimited) == 0 {
		return line
	}
	return line.Strs("skippedLimited", c.skippedLimited).AnErr("skippedFor", c.skippedFor)
}

// addQuarantine adds by what the request is known again, where that was worked out, and
// what is known against it.
func (c *call) addQuarantine(line *zerolog.Event) *zerolog.Event {
	if c.known != nil {
		line = line.Str("digest", c.known.digest.String())
	}
	if c.probation {
		line = line.Bool("onProbation", true)
	}
	if c.verdict != nil {
		line = line.Int("endedTargets", c.verdict.CrashedTargets).Bool("listed", c.verdict.Listed)
	}
	return line
}
