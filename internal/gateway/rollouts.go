package gateway

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// applyRollouts applies the roll-outs of a state unless they are active already. It must precede
// applyTargets: a box that starts must not send to a version before it knows of its roll-out.
func (d *Daemon) applyRollouts(c catalog.State, version uint64) {
	var previous catalog.State
	if d.lastState != nil {
		previous = *d.lastState
	}
	if c.SharesRollouts(previous) {
		return
	}
	d.balancing.Lock()
	d.balancing.balancer.SetRollouts(d.clock.Now(), c.Rollouts())
	d.balancing.Unlock()
	for _, r := range c.Rollouts() {
		if known, ok := previous.Rollout(r.Service); ok && known.Number == r.Number && known.Step == r.Step {
			continue
		}
		d.log.Info().Str("kind", "rollout").Str("service", r.Service).Str("targetVersion", r.TargetVersion).Uint64("number", r.Number).
			Uint32("step", r.Step).Str("phase", catalog.RolloutPhaseName(r.Phase)).Float64("share", r.Share).Bool("previousClosed", r.PreviousClosed).
			Uint64("stateVersion", version).Dur("controlAge", d.follower.ControlAge()).Msg("roll-out applied")
	}
	d.triggerReport()
}

// rolloutReports returns what this box reports about the running roll-outs.
func (d *Daemon) rolloutReports() []*wire.RolloutReport {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.balancer.RolloutReports()
}

// rolloutReportInterval is how often a box reports while a roll-out runs: evidence against a version
// must reach control well within the time in which all boxes must have stopped sending to it.
const rolloutReportInterval = 500 * time.Millisecond

// reportInterval returns the interval of reports to each control replica.
func (d *Daemon) reportInterval() time.Duration {
	if d.routing.Load() == nil {
		return lookup.IdleReportInterval
	}
	usual := lookup.ReportInterval(d.boxCount())
	reports := d.rolloutReports()
	if len(reports) == 0 {
		return usual
	}
	for _, r := range reports {
		d.logVersionStopped(r)
	}
	return min(usual, rolloutReportInterval)
}

// logVersionStopped logs once that this box sends nothing more to a version on its own evidence.
func (d *Daemon) logVersionStopped(r *wire.RolloutReport) {
	if !r.Stopped || d.stoppedRollouts[r.Number] {
		return
	}
	d.stoppedRollouts[r.Number] = true
	d.log.Warn().Str("kind", "rollout").Uint64("number", r.Number).Uint32("step", r.Step).
		Msg("this box sends nothing more to the version: its responses here suffice")
}
