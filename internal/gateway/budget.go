package gateway

import (
	"time"

	"ledgesill.dev/ledgesill/pkg/retry"
)

func (d *Daemon) budget(service string) *retry.Window {
	w := d.balancing.budgets[service]
	if w == nil {
		w = retry.NewWindow(d.config.RetryShare, d.config.RetryWindow)
		d.balancing.budgets[service] = w
	}
	return w
}

func (d *Daemon) countFirst(service string) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.budget(service).First(time.Since(d.started))
}

// takeRetry takes a retry from this box's part of the budget of all boxes.
func (d *Daemon) takeRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	if d.balancing.boxes == 0 {
		return false
	}
	extra := d.config.RetryExtra / float64(d.balancing.boxes)
	return d.budget(service).Take(time.Since(d.started), extra)
}
