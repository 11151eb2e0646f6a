package gateway

import (
	"math"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/pkg/retry"
)

// retryBudget returns the retry budget of a service. The caller holds the lock of d.balancing.
func (d *Daemon) retryBudget(service string) *retry.WindowBudget {
	w := d.balancing.retryBudgets[service]
	if w == nil {
		w = retry.NewWindowBudget(d.config.RetryShare, d.config.RetryWindow)
		d.balancing.retryBudgets[service] = w
	}
	return w
}

// recordFirstAttempt records the first attempt of a request, which earns a share of a retry.
func (d *Daemon) recordFirstAttempt(service string) {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	d.retryBudget(service).RecordFirst(d.clock.Since(d.started))
}

// allowsRetry reports whether this box's share of the retry budget of all boxes has a retry left.
func (d *Daemon) allowsRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	return d.retryBudget(service).Allows(d.clock.Since(d.started), d.retryExtra())
}

// retryExtra returns this box's share of the extra retries. It is below zero, which forbids all
// retries, until the box knows how many boxes there are. A restarted process gets none until one
// window has passed: the process before it may have used them, and a rolling restart of all boxes
// would double the retries of the system.
func (d *Daemon) retryExtra() float64 {
	if d.balancing.boxCount == 0 {
		return math.Inf(-1)
	}
	if d.config.Restarted && d.clock.Since(d.started) < d.config.RetryWindow {
		return 0
	}
	return d.config.RetryExtra / float64(d.balancing.boxCount)
}

// errRetryBudgetExhausted says that the retry budget is used up.
var errRetryBudgetExhausted = errors.New("the retry budget is exhausted")

// takeRetry takes a retry from this box's share of the budget, if there is one.
func (d *Daemon) takeRetry(service string) bool {
	d.balancing.Lock()
	defer d.balancing.Unlock()
	at, extra := d.clock.Since(d.started), d.retryExtra()
	budget := d.retryBudget(service)
	if !budget.Allows(at, extra) {
		return false
	}
	budget.Take(at, extra)
	return true
}
