package process

import (
	"sync"
	"time"
)

// LineLimit bounds the log lines of one kind: what goes beyond it is counted.
type LineLimit struct {
	rate   float64
	mu     sync.Mutex
	tokens float64
	at     time.Time
	left   uint64
}

// NewLineLimit returns a limit of a number of lines a second, and as many at once.
func NewLineLimit(rate float64) *LineLimit {
	return &LineLimit{rate: rate, tokens: rate}
}

// Take reports whether a line may be written.
func (l *LineLimit) Take(now time.Time) bool {
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

// LeftOut returns how many lines were left out since the last call.
func (l *LineLimit) LeftOut() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	l.left = 0
	return n
}
