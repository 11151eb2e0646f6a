package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callerHeaderTimeout is the outer bound on how long a header may take;
	// callers of the users' deployments keep within 3 s.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is the outer bound on how long a connection rests;
	// the document of routes may set a shorter one.
	callerIdleTimeout = 10 * time.Minute
	// shutdownAcceptTime is how long a stopping box goes on taking connections: three
	// times the time for which answers of look-ups are kept.
	shutdownAcceptTime = 3200 * time.Millisecond
	// closeIdleTimeout bounds the wait for resting connections to end: two of the
	// tenths of a second for which a spent processor quota stops a process.
	// endIdleTick is how often it is looked whether they have.
	closeIdleTimeout  = 200 * time.Millisecond
	closeIdleInterval = 5 * time.Millisecond
	// shutdownReserve is the part of the stop time that is left for closing.
	shutdownReserve = 400 * time.Millisecond
)

// callerServer serves the callerServer' connections.
type callerServer struct {
	gateway  *Daemon
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	idle     map[net.Conn]time.Time
	// closing holds the connections that were idle for too long and whose server
	// has been told to read no further request.
	closing map[net.Conn]bool
}

func newCallerServer(d *Daemon) (*callerServer, error) {
	l, err := net.Listen("tcp4", d.config.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	c := &callerServer{gateway: d, listener: l, idle: make(map[net.Conn]time.Time), closing: make(map[net.Conn]bool)}
	c.server = &http.Server{
		Handler:           d,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnState:         c.connStateChanged,
		ErrorLog:          log.New(io.Discard, "", 0), // what a caller breaks off is in the line of its request
	}
	return c, nil
}

func (c *callerServer) serve() <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- c.server.Serve(c.listener) }()
	return ended
}

func (c *callerServer) connStateChanged(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = c.gateway.clock.Now()
		return
	}
	delete(c.idle, conn)
	if c.closing[conn] && s == http.StateActive {
		_ = conn.SetReadDeadline(time.Time{}) // a request was read before the end: it is served
	}
	delete(c.closing, conn)
}

// closeExpired closes connections that have rested for longer than the document of
// routes allows.
func (c *callerServer) closeExpired(now time.Time) {
	rules := c.gateway.routing.Load()
	if rules == nil || rules.document.Limits.IdleTime <= 0 {
		return
	}
	c.closeIdle(now.Add(-rules.document.Limits.IdleTime))
}

// closeIdle ends connections that have been idle since a time. They are not
// closed here but by their server, whose wait for a request ends: the request of
// a caller may have been read already, before the connection counts as active,
// and would be lost with it after it has been sent to a target.
func (c *callerServer) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, at := range c.idle {
		if at.Before(since) {
			delete(c.idle, conn)
			c.closing[conn] = true
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // one that fails has been closed
		}
	}
}

// shutdown takes no more connections and waits until all requests that were read have
// been answered, or the context ends.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.closeAllIdle(ctx)
	return c.server.Shutdown(ctx)
}

// closeAllIdle ends the connections that rest and waits for that, because Shutdown
// closes them also while a request that was read is on its way to the server.
func (c *callerServer) closeAllIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeIdleTimeout)
	defer cancel()
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		c.closeIdle(c.gateway.clock.Now())
		if c.idleCount() == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// idleCount returns how many connections are idle or being ended.
func (c *callerServer) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle) + len(c.closing)
}

// shutdown stops the box as planned: it leaves the look-ups, goes on serving
// while kept answers of look-ups may still name it, then takes no more
// connections and waits for the requests that it has read.
func (d *Daemon) shutdown() {
	began := d.clock.Now()
	d.stopping.Store(true)
	d.log.Info().Str("kind", "stopping").Int64("inFlight", d.inFlight.Load()).Msg("told to stop; leaves the look-ups")
	d.reportToAll(context.Background())
	total := d.config.StopTime - shutdownReserve
	time.Sleep(min(shutdownAcceptTime, total/2))
	ctx, cancel := d.clock.WithDeadline(context.Background(), began.Add(total))
	defer cancel()
	if err := d.callerServer.shutdown(ctx); err != nil {
		d.log.Warn().Str("kind", "stopping").Err(err).Int64("inFlight", d.inFlight.Load()).Msg("requests are cut off, the time to stop is over")
	}
}
