package routecheck

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
)

// checkRoute finds destinations that get no requests, and limits that contradict each other.
func (c *checker) checkRoute(p Place, r catalog.Route) {
	for _, d := range r.Destinations {
		if d.Weight == 0 {
			c.add(Warning, RuleWeightZero, p, "Remove the destination, or give it a weight above 0.", "destination %s has weight 0 and gets no requests", display(d.Service))
		}
	}
	if len(r.Prefix) > 0 && r.Prefix[len(r.Prefix)-1] != '/' {
		c.add(Note, RulePrefixEnd, p, "End the prefix with a slash, unless that is intended.", "prefix %q also matches paths that continue its last name, such as %q", r.Prefix, r.Prefix+"x")
	}
	if r.Timeout <= 0 {
		return // an error, which makes the comparisons below meaningless
	}
	switch {
	case r.Objective <= 0:
		c.add(Warning, RuleObjectiveMissing, p, "Set the time within which a response is on time.", "the latency objective is %s, within which no response arrives", r.Objective)
	case r.Objective > r.Timeout:
		c.add(Warning, RuleTimeoutObjective, p, "Lengthen the timeout, or shorten the objective.", "the timeout %s is below the latency objective %s, which a response can't use up", r.Timeout, r.Objective)
	case r.MaxAttempts > 1 && r.MaxAttempts > attemptsWithin(r):
		c.add(Warning, RuleAttemptsTimeout, p, "Lower the attempts or the objective, or lengthen the timeout.",
			"%d attempts of one objective (%s) each take longer than the timeout %s, which has room for %d", r.MaxAttempts, r.Objective, r.Timeout, attemptsWithin(r))
	}
	if r.MaxAttempts < 1 {
		c.add(Note, RuleAttemptsMissing, p, "Set 1 or more attempts.", "%d attempts are allowed, which means 1", r.MaxAttempts)
	}
}

// attemptsWithin returns how many attempts of one objective each fit into the timeout.
func attemptsWithin(r catalog.Route) int { return int(r.Timeout / r.Objective) }

func (c *checker) checkServiceLimits(p Place, s catalog.Service) {
	switch {
	case s.ColdTime > 0 && !(s.ColdRate > 0):
		c.add(Warning, RuleColdRate, p, "Set the requests per second that a cold target can handle, or a cold time of 0.", "targets are cold for %s at a cold rate of %g and get no requests until then", s.ColdTime, s.ColdRate)
	case s.ColdTime <= 0 && s.ColdRate > 0:
		c.add(Note, RuleColdTime, p, "Set the time for which targets are cold, or remove the rate.", "the cold rate of %g has no effect, because the cold time is %s", s.ColdRate, max(s.ColdTime, time.Duration(0)))
	}
	if s.MaxConnections <= 0 {
		c.add(Warning, RuleConnections, p, "Set how many connections a target accepts from all boxes together.", "the connection limit is %d", s.MaxConnections)
	}
}

// checkWorkspaces finds keys that are listed twice or missing, and limits without effect.
func (c *checker) checkWorkspaces() {
	for i, w := range c.document.Workspaces {
		place := placeOfWorkspace(c.document, i)
		seen := make(map[string]bool, len(w.Keys))
		repeated := 0
		for _, k := range w.Keys {
			if seen[k] {
				repeated++
			}
			seen[k] = true
		}
		if repeated > 0 && !seen[catalog.RedactedKey] {
			c.add(Note, RuleKeyTwice, place, "Remove the repeated keys.", "%d of its keys are listed more than once", repeated)
		}
		if len(w.Keys) == 0 {
			c.add(Warning, RuleKeysMissing, place, "Add a key, or remove the workspace.", "it has no keys, so that no request belongs to it")
		}
		c.checkRateLimit(place, w.Limit)
	}
}

func (c *checker) checkRateLimit(p Place, l catalog.RateLimit) {
	switch {
	case l.PerSecond > 0 && l.Burst >= 0 && l.Burst < l.PerSecond:
		c.add(Warning, RuleBurstRate, p, "Set a burst of at least one second's rate.", "the burst of %g is below the rate of %g per second: callers that send a second's requests at once may be refused", l.Burst, l.PerSecond)
	case l.PerSecond == 0 && l.Burst > 0:
		c.add(Note, RuleBurstUnused, p, "Set a rate, or remove the burst.", "the burst of %g has no effect, because a rate of 0 means no limit", l.Burst)
	}
}
