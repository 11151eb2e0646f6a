package link

import (
	"context"
	"net"
	"time"
)

// redialInterval is how long a connection attempt goes on alone. A process that
// begins to listen while an attempt to it is under way does not see that one: its
// machine was off when the opening packet came, and TCP sends it again after a
// second only. Two round trips between the farthest regions (70 ms) and 10 ms; a
// process that is gone costs an attempt of 500 ms three packets more.
const redialInterval = 150 * time.Millisecond

// dialResult is the end of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialRepeatedly connects to an address by one attempt after the other, each
// beside those before it, until one succeeds, one is refused or the context ends.
func dialRepeatedly(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	ends := make(chan dialResult)
	open := 0
	attempt := func() {
		open++
		go func() {
			c, err := dial(ctx, address)
			ends <- dialResult{c, err}
		}()
	}
	attempt()
	for {
		select {
		case end := <-ends:
			cancel()
			closeLate(ends, open-1)
			return end.conn, end.err
		case <-ticker.C:
			attempt()
		}
	}
}

// closeLate waits for a number of attempts and closes what they have brought:
// nothing was sent on it.
func closeLate(ends <-chan dialResult, open int) {
	for range open {
		if late := <-ends; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
