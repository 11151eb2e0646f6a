package process

import (
	"fmt"
	"runtime"
)

const (
	// panicStack bounds the stack of a panic in the log, in bytes: some forty calls.
	panicStack = 8 << 10
	// panicLines bounds the lines of panics, a second.
	panicLines = 5
)

// CountPanic counts a panic that ended one request, by the part of the process that panicked.
func (p *Process) CountPanic(part string) { p.panics.WithLabelValues(part).Inc() }

// RecordPanic counts a panic that ended one request and logs it with the stack of the
// goroutine, which recovers it.
func (p *Process) RecordPanic(part, request string, value any) {
	p.CountPanic(part)
	if !p.panicLines.Allow(p.BootClock.Now()) {
		return
	}
	p.Log.Error().Str("kind", "panic").Str("part", part).Str("request", request).
		Str("panic", fmt.Sprint(value)).Bytes("stack", Stack()).Msg("a request panicked")
}

// Stack returns the stack of the calling goroutine, cut to what a log line may hold.
func Stack() []byte {
	stack := make([]byte, panicStack)
	return stack[:runtime.Stack(stack, false)]
}
