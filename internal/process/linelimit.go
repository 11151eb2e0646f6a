package process

import (
	"sync"
	"time"
)

// LineLimiter bounds the log lines of one kind: what goes beyond it is counted.
type LineLimiter struct {
	rate   float64
	mu     sync.Mutex
	tokens float64
	at     time.Time
	left   uint64
}

// NewLineLimiter returns a limit of a number of lines a second, and as many at once.
func NewLineLimiter(rate float64) *LineLimiter {
	return &LineLimiter{rate: rate, tokens: rate}
}

// Allow reports whether a line may be written.
func (l *LineLimiter) Allow(now time.Time) bool {
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

// TakeSuppressed returns how many lines were left out since the last call.
func (l *LineLimiter) TakeSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.left
	l.left = 0
	return n
}
