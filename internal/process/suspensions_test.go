package process

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/bubble"
)

// A suspension of the machine is logged once, with its duration.
func TestSuspensionIsLoggedOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		var suspended atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(suspended.Load()) })()
		var lines bytes.Buffer
		p, err := New("box", &lines, zerolog.InfoLevel, "")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- p.LogSuspensions(ctx) }()
		time.Sleep(3 * time.Second)
		suspended.Store(int64(5 * time.Second))
		time.Sleep(3 * time.Second)
		cancel()
		<-ended
		if got := strings.Count(lines.String(), `"kind":"suspended","took":5000`); got != 1 {
			t.Errorf("the suspension was logged %d times: %s", got, lines.String())
		}
	})
}
