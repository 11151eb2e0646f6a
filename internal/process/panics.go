package process

import (
	"fmt"
	"runtime"
)

const (
	// maxPanicStackBytes bounds the logged stack of a panic: about forty calls.
	maxPanicStackBytes = 8 << 10
	// panicLinesPerSecond bounds the rate of log lines about panics.
	panicLinesPerSecond = 5
)

// CountPanic counts a panic that ended one request, by the part of the process in which it occurred.
func (p *Process) CountPanic(part string) { p.panics.WithLabelValues(part).Inc() }

// RecordPanic counts a panic that ended one request and logs it with its stack. It must be
// called in the goroutine that panicked, while it recovers.
func (p *Process) RecordPanic(part, request string, value any) {
	p.CountPanic(part)
	if !p.panicLineLimiter.Allow(p.BootClock.Now()) {
		return
	}
	p.Log.Error().Str("kind", "panic").Str("part", part).Str("request", request).
		Str("panic", fmt.Sprint(value)).Bytes("stack", Stack()).Msg("a request panicked")
}

// Stack returns the stack of the calling goroutine, truncated for a log line.
func Stack() []byte {
	stack := make([]byte, maxPanicStackBytes)
	return stack[:runtime.Stack(stack, false)]
}
