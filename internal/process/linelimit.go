package process

import (
	"sync"
	"time"
)

// LineLimiter limits the rate of log lines of one kind and counts those it suppresses.
type LineLimiter struct {
	rate       float64
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	suppressed uint64
}

// NewLineLimiter returns a limiter of a number of lines a second, with a burst of as many.
func NewLineLimiter(rate float64) *LineLimiter {
	return &LineLimiter{rate: rate, tokens: rate}
}

// Allow reports whether a line may be written at now, and counts it if not.
func (l *LineLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.tokens+l.rate*now.Sub(l.refilledAt).Seconds(), l.rate)
	l.refilledAt = now
	if l.tokens < 1 {
		l.suppressed++
		return false
	}
	l.tokens--
	return true
}

// TakeSuppressed returns the number of lines suppressed since the last call.
func (l *LineLimiter) TakeSuppressed() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.suppressed
	l.suppressed = 0
	return n
}
