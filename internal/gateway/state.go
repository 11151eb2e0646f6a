package gateway

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// applyState applies the next state from control.
func (d *Daemon) applyState(s steering.State, _ []*wire.Command) {
	c := s.Catalog()
	// Before the routes: a box that starts accepts no request until it has the quarantine list.
	if previous := d.lastState; previous == nil && len(c.Quarantined()) > 0 || previous != nil && !c.SharesQuarantined(*previous) {
		d.applyQuarantine(c.Quarantined(), s.Version())
	}
	d.applySettings(s)
	d.applyRoutes(c, s.Version())
	d.applyRollouts(c, s.Version())
	d.applyTargets(c, s.Version())
}

// applyRoutes applies the routes document of a state unless it is active already.
func (d *Daemon) applyRoutes(c catalog.State, version uint64) {
	text := c.Document()
	if text == nil {
		return
	}
	previous := d.routing.Load()
	if previous != nil && previous.document.Number == text.Number {
		d.routing.Store(&routing{document: previous.document, table: previous.table, keys: previous.keys, priorities: previous.priorities, version: version})
		return
	}
	document, err := d.config.DecodeRoutes(text.Text)
	if err != nil {
		d.log.Error().Str("kind", "routes").Uint64("number", text.Number).Err(err).Msg("can't decode the routes document; the previous one stays active")
		return
	}
	next := &routing{document: document, table: catalog.NewTable(document), keys: catalog.NewKeyTable(document), priorities: highestPriorities(document), version: version}
	d.setColdLimits(document.Services)
	d.linkQueue.assumeLarge(downloadRoutes(document))
	d.routing.Store(next)
	d.pruneRoutes(document)
	if previous == nil {
		d.triggerReport() // the box serves from now on
	}
	d.log.Info().Str("kind", "routes").Uint64("number", document.Number).Uint64("stateVersion", version).
		Dur("controlAge", d.follower.ControlAge()).Msg("routes document applied")
}

// downloadRoutes returns the names of the routes whose responses are large.
func downloadRoutes(document catalog.Document) (names []string) {
	for _, h := range document.Hosts {
		for _, r := range h.Routes {
			if r.Repeat == catalog.Download {
				names = append(names, r.Name)
			}
		}
	}
	return names
}

func (d *Daemon) setColdLimits(services []catalog.Service) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	for _, s := range services {
		d.balancing.balancer.SetColdLimit(s.Name, balance.ColdLimit{Time: s.ColdTime, Rate: s.ColdRate})
	}
}

// applyTargets applies the targets and evacuations if they have changed, and only the targets that
// changed: requests wait for the lock meanwhile, and while targets are replaced a box receives tens
// of states a second.
func (d *Daemon) applyTargets(c catalog.State, version uint64) {
	var previous catalog.State
	if d.lastState != nil {
		previous = *d.lastState
	}
	unchanged := d.lastState != nil && c.SharesTargets(previous)
	d.lastState = &c // also if unchanged, so that no earlier document is kept in memory
	if unchanged {
		d.balancing.Lock()
		d.balancing.balancer.SetVersion(version)
		d.balancing.Unlock()
		return
	}
	registrations, ended := c.TargetsSince(previous)
	changed := make([]balance.Target, 0, len(registrations))
	for _, r := range registrations {
		changed = append(changed, d.balanceTarget(r))
	}
	now := d.clock.Now()
	d.balancing.Lock()
	d.balancing.balancer.ChangeTargets(now, changed, incarnationNames(ended))
	d.balancing.balancer.SetEvacuated(now, c.Evacuated())
	d.balancing.balancer.SetVersion(version)
	for _, t := range changed {
		d.balancing.balancer.SetLimited(t.ID, d.targetLimits.hasLimit(t.ID))
		if since, leaving := d.targetLimits.leavingSince(t.ID); leaving {
			d.balancing.balancer.SetLeaving(since, t.ID)
		}
	}
	d.balancing.Unlock()
	d.log.Info().Str("kind", "targets").Int("targets", len(c.Targets())).Int("draining", countDraining(c.Targets())).
		Int("changed", len(changed)).Int("ended", len(ended)).Strs("endedTargets", firstNames(incarnationNames(ended))).
		Strs("drainingTargets", firstNames(drainingNames(changed))).Strs("evacuated", c.Evacuated()).
		Uint64("stateVersion", version).Dur("controlAge", d.follower.ControlAge()).Msg("targets applied")
}

func (d *Daemon) balanceTarget(r *wire.Registration) balance.Target {
	return balance.Target{
		ID:            catalog.IncarnationOf(r).String(),
		Name:          r.Id,
		Service:       r.Service,
		Software:      r.Software,
		Address:       r.Address,
		Zone:          r.Zone,
		Region:        d.config.RegionOf[r.Zone],
		Slots:         int(r.Slots),
		Draining:      r.Draining,
		Cold:          r.ColdMilli > 0,
		ColdRemaining: time.Duration(r.ColdMilli) * time.Millisecond,
	}
}

func incarnationNames(list []catalog.Incarnation) []string {
	out := make([]string, 0, len(list))
	for _, l := range list {
		out = append(out, l.String())
	}
	return out
}

// maxListedTargets bounds the targets of one kind that a log line names.
const maxListedTargets = 16

func firstNames(names []string) []string { return names[:min(len(names), maxListedTargets)] }

func drainingNames(targets []balance.Target) (names []string) {
	for _, t := range targets {
		if t.Draining {
			names = append(names, t.ID)
		}
	}
	return names
}

func countDraining(list []*wire.Registration) (n int) {
	for _, r := range list {
		if r.Draining {
			n++
		}
	}
	return n
}

// isRegistered reports whether a target is registered.
func (d *Daemon) isRegistered(target string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.HasTarget(target)
}

// isLeaving reports whether a target is shutting down, or has shut down, as planned.
func (d *Daemon) isLeaving(target string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.IsLeaving(target)
}

// setEntryBoxes sets the entry boxes that serve.
func (d *Daemon) setEntryBoxes(boxes []*wire.EntryBox) {
	out := make([]balance.Box, 0, len(boxes))
	names := make([]string, 0, len(boxes))
	for _, b := range boxes {
		out = append(out, balance.Box{Name: b.Name, Region: b.Region})
		names = append(names, b.Name)
	}
	d.targetLimits.setBoxes(names)
	d.isolation.SetBoxes(d.config.Name, names)
	d.balancing.Lock()
	d.balancing.balancer.SetBoxes(out)
	d.balancing.boxCount = len(out)
	d.balancing.Unlock()
	d.log.Info().Str("kind", "entryBoxes").Int("boxes", len(out)).Msg("entry boxes updated")
}

func (d *Daemon) choose(r balance.Request) (balance.Choice, error) {
	d.balancing.Lock()
	choice, err := d.balancing.balancer.Choose(d.clock.Now(), r)
	d.balancing.Unlock()
	if err == nil {
		d.metrics.countPlacement(choice)
	}
	return choice, err
}

// recordOutcome counts the outcome of an attempt and reports it to the balancer.
func (d *Daemon) recordOutcome(r balance.Report) {
	d.metrics.attempts.WithLabelValues(r.Outcome.String()).Inc()
	d.balancing.Lock()
	change := d.balancing.balancer.Done(d.clock.Now(), r)
	d.balancing.Unlock()
	d.logTargetChange(change, r)
}

// reportOverdue tells the balancer that a target has not responded within the hedge delay. The
// request stays in flight.
func (d *Daemon) reportOverdue(r balance.Report) {
	d.balancing.Lock()
	change := d.balancing.balancer.MarkOverdue(d.clock.Now(), r)
	d.balancing.Unlock()
	d.logTargetChange(change, r)
}

// logTargetChange logs that a target was ejected or readmitted.
func (d *Daemon) logTargetChange(change balance.Change, r balance.Report) {
	if change == balance.Unchanged || !d.otherLineLimit.Allow(d.clock.Now()) {
		return
	}
	line := d.log.Warn().Str("kind", "target").Str("target", r.TargetID).Str("outcome", r.Outcome.String()).Dur("took", r.Took)
	if change == balance.Ejected {
		line.Msg("target ejected")
		return
	}
	line.Msg("target readmitted")
}

func (d *Daemon) setColdLeft(target string, left time.Duration) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.balancing.balancer.SetColdRemaining(d.clock.Now(), target, left)
}

// retryAfter returns when a request that a target did not run may be sent again.
func (d *Daemon) retryAfter(target, route string) time.Duration {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.RetryAfter(d.clock.Now(), target, route)
}

const (
	// usualRoutesDelay is how long after its start a box usually has routes: 0.6 s when control
	// starts at the same time, most of it until a leader is elected.
	usualRoutesDelay = 700 * time.Millisecond
	// overdueRoutesRetryAfter is the Retry-After once that time has passed.
	overdueRoutesRetryAfter = 250 * time.Millisecond
	// maxRoutesRetryAfter bounds the Retry-After for unknown routes and keys, which is otherwise the
	// time since the last contact with control: a partition may last for minutes.
	maxRoutesRetryAfter = 5 * time.Second
	// minRetryAfter is the minimum Retry-After while there are no routes or no permits.
	minRetryAfter = 50 * time.Millisecond
)

// routesRetryAfter returns the Retry-After of a box that has no routes yet.
func (d *Daemon) routesRetryAfter() time.Duration {
	remaining := usualRoutesDelay - d.clock.Since(d.started)
	if remaining < 0 {
		return overdueRoutesRetryAfter
	}
	return max(remaining, minRetryAfter)
}
