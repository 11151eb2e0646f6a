package gateway

import (
	"github.com/rs/zerolog"
)

const (
	// servedLines and otherLines are the log lines a second for requests that
	// were served and for the others: several times the usual traffic of a
	// box, and a bound under overload.
	servedLines = 100
	otherLines  = 200
)

// requestLine begins the line of a request, or returns nil if it is left out.
func (d *Daemon) requestLine(served bool) *zerolog.Event {
	limit := d.otherLines
	if served {
		limit = d.servedLines
	}
	if !limit.Allow(d.clock.Now()) {
		return nil
	}
	if served {
		return d.log.Info()
	}
	return d.log.Warn()
}

// logDroppedLines tells how many lines were left out.
func (d *Daemon) logDroppedLines() {
	served, others := d.servedLines.TakeSuppressed(), d.otherLines.TakeSuppressed()
	if served+others == 0 {
		return
	}
	d.log.Warn().Str("kind", "linesLeftOut").Uint64("served", served).Uint64("others", others).
		Uint64("byReader", d.lines.Dropped()).Msg("log lines were left out to bound their volume")
}
