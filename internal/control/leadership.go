package control

import (
	"context"
	"sync"
)

// leadership tells of each change of the leader, as far as this replica knows.
type leadership struct {
	mu      sync.Mutex
	changed chan struct{}
}

func newLeadership() *leadership { return &leadership{changed: make(chan struct{})} }

// note tells of a change.
func (l *leadership) note() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// during returns a context that ends with the next change as well. Its function must
// be called and waits for what watches the change.
func (l *leadership) during(ctx context.Context) (context.Context, func()) {
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
