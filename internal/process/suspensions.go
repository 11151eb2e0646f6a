package process

import (
	"context"
	"time"
)

// suspensionInterval is how often LogSuspensions checks for a suspension. It matters for the
// log only: decisions use a clock that accounts for a suspension at once.
const suspensionInterval = time.Second

// LogSuspensions logs each suspension of the machine until the context ends.
func (p *Process) LogSuspensions(ctx context.Context) error {
	ticker := time.NewTicker(suspensionInterval)
	defer ticker.Stop()
	known := p.BootClock.Suspended()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if all := p.BootClock.Suspended(); all > known {
			p.Log.Warn().Str("kind", "suspended").Dur("took", all-known).Dur("inAll", all).Msg("the machine was suspended")
			known = all
		}
	}
}
