package control

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a log line for each registration that is turned away: while thousands a second were,
// writing the lines took the processor time that would have served them.
func TestLinesOnFailedUpdatesAreBounded(t *testing.T) {
	var lines bytes.Buffer
	u := newUpdateLog(zerolog.New(&lines))
	now := time.Unix(0, 0)
	for range 5000 {
		now = now.Add(200 * time.Microsecond)
		u.line(now, errors.New("busy")).Msg("")
	}
	if n := strings.Count(lines.String(), "\n"); n > 2*failedLinesPerSecond {
		t.Errorf("%d lines in a second, want at most %d", n, 2*failedLinesPerSecond)
	}
	if !strings.Contains(lines.String(), `"suppressed":`) {
		t.Error("no line tells how many were left out")
	}
}
