//go:build race

package bubble

import (
	"runtime"
	"sync"
)

// limit is shared by parallel tests, because GOMAXPROCS is a setting of the process.
var limit struct {
	mu      sync.Mutex
	bubbles int
	procs   int // GOMAXPROCS to restore after the last bubble
}

// limitThreads sets GOMAXPROCS to 1 until every caller has called restore.
func limitThreads() (restore func()) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	if limit.bubbles == 0 {
		limit.procs = runtime.GOMAXPROCS(1)
	}
	limit.bubbles++
	return func() {
		limit.mu.Lock()
		defer limit.mu.Unlock()
		limit.bubbles--
		if limit.bubbles == 0 {
			runtime.GOMAXPROCS(limit.procs)
		}
	}
}
