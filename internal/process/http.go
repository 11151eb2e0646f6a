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
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
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
