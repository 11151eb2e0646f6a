package process

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// logBuffer bounds the log lines that wait for their reader.
	logBuffer = 128 << 10
	// logFlush is how often waiting lines are handed to the reader.
	logFlush = 250 * time.Millisecond
	// logLine is the least room kept for one line: what does not fit is left out.
	logLine = 4 << 10
)

// LogWriter hands log lines to a reader without making the writers of the
// lines wait for it: what the reader does not take in time is left out and
// counted.
type LogWriter struct {
	to      io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped uint64
	wake    chan struct{}
}

// NewLogWriter returns a writer of lines to a reader. Run must follow.
func NewLogWriter(to io.Writer) *LogWriter {
	return &LogWriter{to: to, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never waits and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(line) > logLine || len(w.waiting)+len(line) > logBuffer {
		w.dropped++
		return len(line), nil
	}
	if len(w.waiting) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.waiting = append(w.waiting, line...)
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (w *LogWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run hands lines over until the context ends, and then those that still wait.
func (w *LogWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return ctx.Err()
		case <-w.wake:
		}
		select {
		case <-ctx.Done():
		case <-time.After(logFlush):
		}
		w.flush()
	}
}

func (w *LogWriter) flush() {
	w.mu.Lock()
	out := w.waiting
	w.waiting = w.spare[:0]
	w.spare = nil
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.to.Write(out) // there is nowhere else to tell of it
	}
	w.mu.Lock()
	w.spare = out
	w.mu.Unlock()
}
