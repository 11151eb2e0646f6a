package control

import (
	"context"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

// leaderWatch notifies waiters whenever this replica learns of a change of the leader.
type leaderWatch struct {
	mu      lockorder.Mutex
	changed chan struct{}
}

func newLeaderWatch() *leaderWatch { return &leaderWatch{changed: make(chan struct{})} }

// notify ends the contexts returned by untilChange.
func (l *leaderWatch) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// untilChange returns a context that also ends at the next change of the leader. The returned
// function must be called; it ends the context and waits for the goroutine that watches.
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
