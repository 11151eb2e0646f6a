package control

import (
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/process"
)

const (
	// committedLinesPerSecond and failedLinesPerSecond bound the log lines on registration updates.
	// Thousands of targets register or are turned away within seconds.
	committedLinesPerSecond = 100
	failedLinesPerSecond    = 10
)

// updateLog logs the outcomes of registration updates.
type updateLog struct {
	log               zerolog.Logger
	committed, failed *process.LineLimiter
}

func newUpdateLog(log zerolog.Logger) *updateLog {
	return &updateLog{log, process.NewLineLimiter(committedLinesPerSecond), process.NewLineLimiter(failedLinesPerSecond)}
}

// line begins the line on an update, or returns nil if there are too many. It tells how many lines
// were left out since the last one.
func (u *updateLog) line(now time.Time, err error) *zerolog.Event {
	limit, entry := u.committed, u.log.Info
	if err != nil {
		limit, entry = u.failed, u.log.Warn
	}
	if !limit.Allow(now) {
		return nil
	}
	return entry().AnErr("error", err).Uint64("suppressed", limit.TakeSuppressed())
}
