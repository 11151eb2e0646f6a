package control

import (
	"context"
	"sync"
)

// leaderWatch tells of each change of the leader, as far as this replica knows.
type leaderWatch struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newLeaderWatch() *leaderWatch { return &leaderWatch{changed: make(chan struct{})} }

// notify tells of a change.
func (l *leaderWatch) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// untilChange returns a context that ends with the next change as well. Its function must
// be called and waits for what watches the change.
func (l *leaderWatch) untilChange(ctx context.Context) (context.Context, func()) {
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, func() {
		cancel()
		<-ended
	}
}
