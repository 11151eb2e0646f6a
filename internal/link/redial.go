package link

import (
	"context"
	"net"
	"time"
)

// redialInterval is how long a connection attempt runs before another is started
// beside it. A process that begins to listen during an attempt misses it: its
// machine was off when the SYN packet came, and TCP retransmits that only after a
// second. The interval is two round trips between the farthest regions (70 ms) and
// 10 ms; for a process that is gone, an attempt of 500 ms costs three more packets.
const redialInterval = 150 * time.Millisecond

// dialResult is the result of one connection attempt.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialStaggered connects to an address. It starts another attempt at each interval,
// until one succeeds or fails or the context ends.
func dialStaggered(ctx context.Context, dial func(context.Context, string) (net.Conn, error), address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	results := make(chan dialResult)
	open := 0
	attempt := func() {
		open++
		go func() {
			c, err := dial(ctx, address)
			results <- dialResult{c, err}
		}()
	}
	attempt()
	for {
		select {
		case r := <-results:
			cancel()
			closeRemaining(results, open-1)
			return r.conn, r.err
		case <-ticker.C:
			attempt()
		}
	}
}

// closeRemaining waits for a number of attempts and closes their connections, on
// which nothing was sent.
func closeRemaining(results <-chan dialResult, open int) {
	for range open {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}
