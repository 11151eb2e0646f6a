package gateway

import (
	"context"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/balance"
)

// targetContact tracks when the box last got a response or a connection from any target. A box that
// fails at one target has contact with others; one that is cut off has none.
type targetContact struct {
	clock   *boottime.Clock
	started time.Time
	// last is the time of the last contact, in nanoseconds after started.
	last atomic.Int64
}

func newTargetContact(clock *boottime.Clock) *targetContact {
	return &targetContact{clock: clock, started: clock.Now()}
}

// record records a contact.
func (c *targetContact) record() { c.last.Store(int64(c.clock.Since(c.started))) }

// age returns the time since the last contact, or since the start if there was none.
func (c *targetContact) age() time.Duration {
	return c.clock.Since(c.started) - time.Duration(c.last.Load())
}

// recordDial counts a connection attempt and its result.
func (d *Daemon) recordDial(target balance.Target, err error) {
	d.metrics.dials.WithLabelValues(target.Zone, dialResult(err)).Inc()
	if err != nil {
		return
	}
	d.metrics.connections.Inc()
	d.targetContact.record()
}

// dialResult classifies the error of a connection attempt as a metric label.
func dialResult(err error) string {
	switch {
	case err == nil:
		return "connected"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, context.Canceled):
		return "canceled"
	case isTimeout(err):
		return "timeout"
	}
	return "other"
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
