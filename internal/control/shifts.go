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

// planShifts takes running shifts forward while this replica leads. A new
// leader begins with no readings and so waits for fresh ones.
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

// observe sums the boxes' reports to readings of regions. A reading is as old
// as the oldest report in it, and a zone without one makes the region's
// capacity smaller, never larger.
func (d *Daemon) observe(p *shift.Planner, t settings.Tree) {
	type place struct{ service, region string }
	regionOf := make(map[string]string)
	for _, z := range t.Zones() {
		regionOf[z.Name] = z.Region
	}
	readings := make(map[place]*shift.Measurement)
	now := d.clock.Now()
	for _, b := range d.publisher.Reports() {
		at := now.Add(-time.Duration(b.AgeMilli) * time.Millisecond)
		for _, pool := range b.Pools {
			k := place{pool.Service, regionOf[b.Zone]}
			r := readings[k]
			if r == nil {
				r = &shift.Measurement{Service: k.service, Region: k.region, At: at}
				readings[k] = r
			}
			r.Capacity += float64(pool.Capacity)
			r.InUse += float64(pool.Busy)
			if at.Before(r.At) {
				r.At = at
			}
		}
	}
	for _, r := range readings {
		p.Observe(*r)
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
	// A step whose outcome is not known is numbered, so planning it again
	// can't carry it out twice.
	_, _ = d.replica.submit(ctx, &wire.Command{Shift: decision.Command})
}

func (d *Daemon) shiftReason(id string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shiftReasons[id]
}
