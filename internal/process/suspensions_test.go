package process

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
)

// An operator sees that a machine was suspended, and for how long, once.
func TestSuspensionIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asleep atomic.Int64
		defer boottime.Simulate(func() time.Duration { return time.Duration(asleep.Load()) })()
		var lines bytes.Buffer
		p, err := New("box", &lines, zerolog.InfoLevel, "")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- p.LogSuspensions(ctx) }()
		time.Sleep(3 * time.Second)
		asleep.Store(int64(5 * time.Second))
		time.Sleep(3 * time.Second)
		cancel()
		<-ended
		if got := strings.Count(lines.String(), `"kind":"suspended","took":5000`); got != 1 {
			t.Errorf("%d lines: %s", got, lines.String())
		}
	})
}
