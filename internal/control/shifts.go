package control

import (
	"context"
	"time"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/shift"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const planInterval = 250 * time.Millisecond

// planShifts advances running shifts while this replica leads. A new leader has no measurements
// and therefore waits for new ones.
func (d *Daemon) planShifts(ctx context.Context) error {
	planner := shift.NewPlanner(d.clock.Now())
	led := false
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		v, err := d.replica.view(ctx)
		if err != nil {
			continue
		}
		leads := v.status.Role == consensus.Leader
		if leads && !led {
			planner = shift.NewPlanner(d.clock.Now())
		}
		led = leads
		if !leads {
			continue
		}
		d.observe(planner, v.state.Tree())
		for _, decision := range planner.Plan(d.clock.Now(), v.state) {
			d.applyShiftDecision(ctx, decision)
		}
	}
}

// observe aggregates the boxes' reports to measurements per service and region. A measurement is
// as old as its oldest report. A missing report from an availability zone makes the capacity of
// the region smaller, never larger.
func (d *Daemon) observe(p *shift.Planner, t settings.Tree) {
	type serviceRegion struct{ service, region string }
	regionOf := make(map[string]string)
	for _, z := range t.Zones() {
		regionOf[z.Name] = z.Region
	}
	measurements := make(map[serviceRegion]*shift.Measurement)
	now := d.clock.Now()
	for _, b := range d.publisher.Reports() {
		at := now.Add(-time.Duration(b.AgeMilli) * time.Millisecond)
		for _, pool := range b.Pools {
			key := serviceRegion{pool.Service, regionOf[b.Zone]}
			measurement := measurements[key]
			if measurement == nil {
				measurement = &shift.Measurement{Service: key.service, Region: key.region, At: at}
				measurements[key] = measurement
			}
			measurement.Capacity += float64(pool.Capacity)
			measurement.InUse += float64(pool.Busy)
			if at.Before(measurement.At) {
				measurement.At = at
			}
		}
	}
	for _, measurement := range measurements {
		p.Observe(*measurement)
	}
}

func (d *Daemon) applyShiftDecision(ctx context.Context, decision shift.Decision) {
	d.mu.Lock()
	if d.shiftReasons[decision.ID] != decision.Reason && decision.Reason != "" {
		d.process.Event(&wire.TimelineEvent{Kind: "shiftWaits", Shift: decision.ID, Detail: decision.Reason})
	}
	d.shiftReasons[decision.ID] = decision.Reason
	d.mu.Unlock()
	if decision.Command == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// Steps are numbered, so planning a step again after an unknown outcome can't apply it twice.
	_, _ = d.replica.submit(ctx, &wire.Command{Shift: decision.Command})
}

func (d *Daemon) shiftReason(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shiftReasons[id]
}
