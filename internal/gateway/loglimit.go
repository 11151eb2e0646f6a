package gateway

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// servedLines and otherLines are the log lines a second for requests that
	// were served and for the others: several times the usual traffic of a
	// box, and a bound under overload.
	servedLines = 100
	otherLines  = 200
)

// lineLimit bounds the lines of one kind: what goes beyond it is counted.
type lineLimit struct {
	rate   float64
	mu     sync.Mutex
	tokens float64
	at     time.Time
	left   uint64
}

func newLineLimit(rate float64) *lineLimit {
	return &lineLimit{rate: rate, tokens: rate, at: time.Now()}
}

// take reports whether a line may be written.
func (l *lineLimit) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+l.rate*now.Sub(l.at).Seconds(), l.rate)
	l.at = now
	if l.tokens < 1 {
		l.left++
		return false
	}
	l.tokens--
	return true
}

// leftOut returns how many lines were left out since the last call.
func (l *lineLimit) leftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	l.left = 0
	return n
}

// requestLine begins the line of a request, or returns nil if it is left out.
func (d *Daemon) requestLine(served bool) *zerolog.Event {
	limit := d.otherLines
	if served {
		limit = d.servedLines
	}
	if !limit.take(time.Now()) {
		return nil
	}
	if served {
		return d.log.Info()
	}
	return d.log.Warn()
}

// noteLeftOut tells how many lines were left out.
func (d *Daemon) noteLeftOut() {
	served, others := d.servedLines.leftOut(), d.otherLines.leftOut()
	if served+others == 0 {
		return
	}
	d.log.Warn().Str("kind", "linesLeftOut").Uint64("served", served).Uint64("others", others).
		Uint64("byReader", d.lines.Dropped()).Msg("log lines were left out to bound their volume")
}
