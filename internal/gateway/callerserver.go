package gateway

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/pipelining"
)

const (
	// callerHeaderTimeout is the upper bound on the time to read a request header; callers of the
	// users' deployments need at most 3 s.
	callerHeaderTimeout = 10 * time.Second
	// callerIdleTimeout is the upper bound on how long a connection may be idle; the routes
	// document may set a shorter one.
	callerIdleTimeout = 10 * time.Minute
	// shutdownAcceptTime is how long a box that shuts down still accepts connections: three times
	// the time for which lookup answers are cached.
	shutdownAcceptTime = 3200 * time.Millisecond
	// closeIdleTimeout bounds the wait for idle connections to close: two of the 100 ms periods for
	// which an exhausted CPU quota stops a process. closeIdleInterval is how often it is checked
	// whether they have.
	closeIdleTimeout  = 200 * time.Millisecond
	closeIdleInterval = 5 * time.Millisecond
	// shutdownReserve is the part of the stop time that is left for closing.
	shutdownReserve = 400 * time.Millisecond
	// answerReserve is how long before requests are cut off those that arrived in the stop are answered.
	answerReserve = 100 * time.Millisecond
)

// callerServer serves the connections of callers.
type callerServer struct {
	gateway  *Daemon
	listener net.Listener
	server   *http.Server
	mu       lockorder.Mutex
	idle     map[net.Conn]time.Time
	// closing holds the connections that were idle for too long and whose server has been told to
	// read no further request.
	closing map[net.Conn]bool
	// lingering closes connections behind their last response.
	lingering *lingering
	// early counts the requests that started early and whose responses have not been written.
	early atomic.Int64
	// buffers limits the responses of such requests.
	buffers *pipelining.Budget
}

func newCallerServer(d *Daemon) (*callerServer, error) {
	l, err := net.Listen("tcp4", d.config.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	c := &callerServer{gateway: d, listener: l, idle: make(map[net.Conn]time.Time), closing: make(map[net.Conn]bool), lingering: newLingering(), buffers: newBufferBudget()}
	d.process.Gauge("pipelined_buffered_bytes", "Bytes of responses of pipelined requests that wait for an earlier response of their connection.", func() float64 { return float64(c.buffers.Used()) })
	d.process.Gauge("lingering_connections", "Connections that wait, behind their last response, for their callers to close them.", func() float64 { return float64(c.lingering.count()) })
	c.server = &http.Server{
		Handler:           d,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnState:         c.connStateChanged,
		ConnContext:       c.connContext,
		ErrorLog:          log.New(io.Discard, "", 0), // disconnects are logged with their request
	}
	return c, nil
}

func (c *callerServer) serve() <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- c.server.Serve(callerListener{c.listener, c}) }()
	return ended
}

// connStateChanged tracks idle connections. It is called by the HTTP server.
func (c *callerServer) connStateChanged(conn net.Conn, s http.ConnState) {
	if one, ok := conn.(*callerConn); ok {
		one.stateChanged(s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s == http.StateIdle {
		c.idle[conn] = c.gateway.clock.Now()
		return
	}
	delete(c.idle, conn)
	if c.closing[conn] && s == http.StateActive {
		_ = conn.SetReadDeadline(time.Time{}) // a request was read before the connection closed: it is served
	}
	delete(c.closing, conn)
}

// closeExpired closes connections that have been idle for longer than the routes document allows.
func (c *callerServer) closeExpired(now time.Time) {
	routing := c.gateway.routing.Load()
	if routing == nil || routing.document.Limits.IdleTime <= 0 {
		return
	}
	c.closeIdle(now.Add(-routing.document.Limits.IdleTime))
}

// closeIdle closes connections that have been idle since a given time. It does not close them
// itself but ends their server's wait for a request: a request may have been read already, before
// the connection counts as active. Closing the connection here would lose it, possibly after it was
// sent to a target.
func (c *callerServer) closeIdle(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idleSince := range c.idle {
		if idleSince.Before(since) {
			delete(c.idle, conn)
			c.closing[conn] = true
			_ = conn.SetReadDeadline(time.Unix(1, 0)) // fails only if the connection is closed
		}
	}
}

// shutdown accepts no more connections and waits until all requests that were read have been
// answered, or the context ends.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.closeAllIdle(ctx)
	c.waitForEarly(ctx)
	err := c.server.Shutdown(ctx)
	c.lingering.close(ctx)
	return err
}

// closeAllIdle closes the idle connections and waits for that, because Shutdown also closes a
// connection whose request was read but has not reached the server yet.
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

// waitForEarly waits until the responses of all requests that started early have been written, because
// Shutdown closes each connection after the response in progress. None starts once the box is stopping.
func (c *callerServer) waitForEarly(ctx context.Context) {
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for c.early.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// idleCount returns how many connections are idle or closing.
func (c *callerServer) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle) + len(c.closing)
}

// shutdown stops the box gracefully: it withdraws from lookups, keeps serving while cached lookup
// answers may still name it, then accepts no more connections and waits for the requests that it
// has read.
func (d *Daemon) shutdown() {
	began := d.clock.Now()
	total := d.config.StopTime - shutdownReserve
	end := began.Add(total)
	d.stopEnd.Store(&end)
	d.stopping.Store(true)
	d.log.Info().Str("kind", "stopping").Int64("inFlight", d.inFlight.Load()).Msg("shutting down; withdrawing from lookups")
	d.tunnelServer.Drain()
	d.reportToAll(context.Background())
	time.Sleep(min(shutdownAcceptTime, total/2))
	ctx, cancel := d.clock.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.callerServer.shutdown(ctx); err != nil {
		d.log.Warn().Str("kind", "stopping").Err(err).Int64("inFlight", d.inFlight.Load()).Msg("stop time exceeded; cutting off requests in flight")
	}
	if err := d.tunnelServer.Wait(ctx); err != nil {
		d.log.Warn().Str("kind", "stopping").Err(err).Int("tunnels", d.tunnelServer.Open()).Msg("stop time exceeded; closing connections that other boxes use")
	}
}
