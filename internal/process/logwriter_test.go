package process

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
)

// stallingWriter is a destination of log lines whose writes can be blocked.
type stallingWriter struct {
	mu     sync.Mutex
	text   bytes.Buffer
	stalls chan struct{}
}

func (r *stallingWriter) Write(p []byte) (int, error) {
	if r.stalls != nil {
		<-r.stalls
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func TestLogWriterWritesAllLines(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := &stallingWriter{}
		w := NewLogWriter(r)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		for range 3 {
			_, _ = w.Write([]byte("line\n"))
			time.Sleep(time.Second)
		}
		_, _ = w.Write([]byte("last\n"))
		cancel()
		<-ended
		if r.text.String() != "line\nline\nline\nlast\n" {
			t.Fatalf("got %q", r.text.String())
		}
	})
}

// A destination that blocks must cost lines, but not delay whoever logs.
func TestLogWriterDropsLinesIfDestinationBlocks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := &stallingWriter{stalls: make(chan struct{})}
		w := NewLogWriter(r)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		line := []byte(strings.Repeat("x", 1000) + "\n")
		began := time.Now()
		const lines = 1000
		for range lines {
			_, _ = w.Write(line)
		}
		if time.Since(began) != 0 {
			t.Fatal("writing a line blocked")
		}
		if w.Dropped() < lines-2*maxBufferedBytes/1001 {
			t.Fatalf("%d lines were dropped", w.Dropped())
		}
		close(r.stalls)
		cancel()
		<-ended
		if kept := r.text.Len() / 1001; kept+int(w.Dropped()) != lines {
			t.Fatalf("%d lines written, %d dropped", kept, w.Dropped())
		}
	})
}
