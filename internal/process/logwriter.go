package process

import (
	"context"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes bounds the buffered log lines.
	maxBufferedBytes = 128 << 10
	// flushInterval is how often buffered lines are written to the destination.
	flushInterval = 250 * time.Millisecond
	// maxLineBytes bounds one line; longer lines are dropped.
	maxLineBytes = 4 << 10
)

// LogWriter buffers log lines, so that whoever logs never waits for the
// destination. Lines that do not fit into the buffer are dropped and counted.
type LogWriter struct {
	destination io.Writer
	mu          sync.Mutex
	buffered    []byte
	spare       []byte
	dropped     uint64
	wake        chan struct{}
}

// NewLogWriter returns a writer of lines to a destination. Call Run to write them.
func NewLogWriter(to io.Writer) *LogWriter {
	return &LogWriter{destination: to, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(line) > maxLineBytes || len(w.buffered)+len(line) > maxBufferedBytes {
		w.dropped++
		return len(line), nil
	}
	if len(w.buffered) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.buffered = append(w.buffered, line...)
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *LogWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Run writes buffered lines until the context ends, and then the remaining ones.
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
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

func (w *LogWriter) flush() {
	w.mu.Lock()
	out := w.buffered
	w.buffered = w.spare[:0]
	w.spare = nil
	w.mu.Unlock()
	if len(out) > 0 {
		_, _ = w.destination.Write(out) // there is nowhere to report the error
	}
	w.mu.Lock()
	w.spare = out
	w.mu.Unlock()
}
