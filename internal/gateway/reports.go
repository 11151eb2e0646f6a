package gateway

import (
	"context"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// reportResult tells that a report to a replica has ended, and how.
type reportResult struct {
	address string
	err     error
}

// sendReports tells every control replica that this box serves, each at its own
// times.
func (d *Daemon) sendReports(ctx context.Context) error {
	schedule := lookup.NewReportSchedule()
	ended := make(chan reportResult)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		now := d.clock.Now()
		schedule.SetInterval(lookup.ReportInterval(d.boxCount()))
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
			schedule.Changed(d.clock.Now())
		case e := <-ended:
			schedule.Ended(d.clock.Now(), e.address, e.err == nil)
		case <-wake.C:
		}
		wake.Stop()
	}
}

// triggerReport has the reports told at once: what they say or the replicas
// that they go to have changed.
func (d *Daemon) triggerReport() {
	select {
	case d.reportDue <- struct{}{}:
	default:
	}
}

// boxCount returns how many entry boxes serve as far as is known.
func (d *Daemon) boxCount() int {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.balancing.boxCount
}

// reportToAll reports outside the usual times and waits until all replicas have
// answered or their time is over.
func (d *Daemon) reportToAll(ctx context.Context) {
	var running sync.WaitGroup
	for _, address := range d.controlReplicas.all() {
		running.Go(func() { _ = d.reportTo(ctx, address) }) // noted there; the usual reports follow
	}
	running.Wait()
}

// reportTo tells one replica that this box serves.
func (d *Daemon) reportTo(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	request := &wire.CallRequest{Report: &wire.Report{Boxes: []*wire.BoxReport{d.boxReport()}, Limits: d.targetLimits.pendingReports()}}
	_, err := d.node.Call(ctx, address, request)
	d.recordControlCall(address, err)
	return err
}

// boxReport is what this box says of itself.
func (d *Daemon) boxReport() *wire.BoxReport {
	report := &wire.BoxReport{
		Box:         d.config.Name,
		Incarnation: d.process.Incarnation,
		Zone:        d.config.Zone,
		Region:      d.config.Region,
		Address:     d.config.PeerAddress,
		Stopping:    d.stopping.Load(),
	}
	if rules := d.routing.Load(); rules != nil {
		report.Version = rules.version
		report.CallerAddress = d.config.CallerAddress
	}
	return report
}
