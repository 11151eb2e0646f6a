package process

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds reading a request header, and idleTimeout the time that
	// a connection may be idle, on the addresses for machines and operators.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// shutdownTimeout bounds how long requests in flight may take at shutdown.
	shutdownTimeout = time.Second
)

// ServeHTTP serves HTTP until the context ends, and then waits for the requests in
// flight, at most for shutdownTimeout.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	return serveHTTP(ctx, l, h, nil)
}

// ServeLimitedHTTP is ServeHTTP with a limit on the open connections. Beyond it, those
// that have been idle for longest are closed, and new ones if none is idle.
func ServeLimitedHTTP(ctx context.Context, l net.Listener, h http.Handler, maxConnections int) error {
	return serveHTTP(ctx, l, h, newConnectionLimit(maxConnections).stateChanged)
}

func serveHTTP(ctx context.Context, l net.Listener, h http.Handler, connState func(net.Conn, http.ConnState)) error {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         connState,
		ErrorLog:          log.New(io.Discard, "", 0), // the caller sees a broken connection itself
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(stop)
	<-ended
	return err
}
