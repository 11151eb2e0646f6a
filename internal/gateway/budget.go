package gateway

import (
	"math"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/retry"
)

func (d *Daemon) budget(service string) *retry.Window {
	w := d.balancing.retryBudgets[service]
	if w == nil {
		w = retry.NewWindow(d.config.RetryShare, d.config.RetryWindow)
		d.balancing.retryBudgets[service] = w
	}
	return w
}

func (d *Daemon) countFirst(service string) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.budget(service).First(d.clock.Since(d.started))
}

// allowsRetry reports whether a retry is left in this box's part of the budget of
// all boxes.
func (d *Daemon) allowsRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.budget(service).Allows(d.clock.Since(d.started), d.retryExtra())
}

// retryExtra is this box's part of the retries that are free; below zero where
// it does not know of the boxes yet, which forbids all. A process that follows
// another one has none for the length of a window: the one before may have taken
// them, and when all boxes are stopped in turn that would double what all take.
func (d *Daemon) retryExtra() float64 {
	if d.balancing.boxCount == 0 {
		return math.Inf(-1)
	}
	if d.config.Restarted && d.clock.Since(d.started) < d.config.RetryWindow {
		return 0
	}
	return d.config.RetryExtra / float64(d.balancing.boxCount)
}

// errNoRetries says that the budget of retries is used up.
var errNoRetries = errors.New("no retries are left")

// takeRetry takes a retry of this box's part of the budget, if there is one.
func (d *Daemon) takeRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	at, extra := d.clock.Since(d.started), d.retryExtra()
	budget := d.budget(service)
	if !budget.Allows(at, extra) {
		return false
	}
	budget.Take(at, extra)
	return true
}
