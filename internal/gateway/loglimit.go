package gateway

import (
	"github.com/rs/zerolog"
)

const (
	// servedLinesPerSecond and otherLinesPerSecond limit the log lines for requests that were
	// served and for all others: several times the usual traffic of a box, and a bound under
	// overload.
	servedLinesPerSecond = 100
	otherLinesPerSecond  = 200
)

// requestLine begins the log line of a request, or returns nil if it is suppressed.
func (d *Daemon) requestLine(served bool) *zerolog.Event {
	limit := d.otherLineLimit
	if served {
		limit = d.servedLineLimit
	}
	if !limit.Allow(d.clock.Now()) {
		return nil
	}
	if served {
		return d.log.Info()
	}
	return d.log.Warn()
}

// logSuppressedLines logs how many lines were suppressed, and how many the reader was too slow for.
func (d *Daemon) logSuppressedLines() {
	served, others := d.servedLineLimit.TakeSuppressed(), d.otherLineLimit.TakeSuppressed()
	if served+others == 0 {
		return
	}
	d.log.Warn().Str("kind", "linesLeftOut").Uint64("served", served).Uint64("others", others).
		Uint64("byReader", d.logWriter.Dropped()).Msg("log lines suppressed to limit their volume")
}
