package gateway

import (
	"context"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// reportResult is the result of a report to a replica.
type reportResult struct {
	address string
	err     error
}

// sendReports reports to every control replica that this box serves, on a schedule of its own for
// each.
func (d *Daemon) sendReports(ctx context.Context) error {
	schedule := lookup.NewReportSchedule()
	ended := make(chan reportResult)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		now := d.clock.Now()
		schedule.SetInterval(d.reportInterval())
		schedule.SetReplicas(now, d.controlReplicas.all())
		due, next := schedule.Due(now)
		for _, address := range due {
			running.Go(func() {
				end := reportResult{address, d.reportTo(ctx, address)}
				select {
				case ended <- end:
				case <-ctx.Done():
				}
			})
		}
		wake := time.NewTimer(d.clock.Until(next))
		if next.IsZero() {
			wake.Stop()
		}
		select {
		case <-ctx.Done():
			wake.Stop()
			return ctx.Err()
		case <-d.reportDue:
			schedule.MarkChanged(d.clock.Now())
		case e := <-ended:
			schedule.ReportEnded(d.clock.Now(), e.address, e.err == nil)
		case <-wake.C:
		}
		wake.Stop()
	}
}

// triggerReport sends the reports at once, because their content or the replicas that get them have
// changed.
func (d *Daemon) triggerReport() {
	select {
	case d.reportDue <- struct{}{}:
	default:
	}
}

// boxCount returns the number of known entry boxes that serve.
func (d *Daemon) boxCount() int {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.boxCount
}

// reportToAll sends a report to all replicas outside the schedule and waits until they have
// answered or timed out.
func (d *Daemon) reportToAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, address := range d.controlReplicas.all() {
		running.Go(func() { _ = d.reportTo(ctx, address) }) // failures are logged by reportTo; scheduled reports follow
	}
	running.Wait()
}

// reportTo reports to one replica that this box serves.
func (d *Daemon) reportTo(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	request := &wire.CallRequest{Report: &wire.Report{Boxes: []*wire.BoxReport{d.boxReport()}, Limits: d.targetLimits.pendingReports()}}
	_, err := d.node.Call(ctx, address, request)
	d.recordControlCall(address, err)
	return err
}

// boxReport returns this box's report of itself.
func (d *Daemon) boxReport() *wire.BoxReport {
	report := &wire.BoxReport{
		Box:         d.config.Name,
		Incarnation: d.process.Incarnation,
		Zone:        d.config.Zone,
		Region:      d.config.Region,
		Address:     d.config.PeerAddress,
		Stopping:    d.stopping.Load(),
		Rollouts:    d.rolloutReports(),
		CutOff:      d.isCutOff(),
	}
	if routing := d.routing.Load(); routing != nil {
		report.Version = routing.version
		report.CallerAddress = d.config.CallerAddress
	}
	return report
}
