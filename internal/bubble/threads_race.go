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
	threads int // the setting to restore after the last bubble
}

// limitThreads runs goroutines on one thread at a time until all callers have called restore.
func limitThreads() (restore func()) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	if limit.bubbles == 0 {
		limit.threads = runtime.GOMAXPROCS(1)
	}
	limit.bubbles++
	return func() {
		limit.mu.Lock()
		defer limit.mu.Unlock()
		limit.bubbles--
		if limit.bubbles == 0 {
			runtime.GOMAXPROCS(limit.threads)
		}
	}
}
