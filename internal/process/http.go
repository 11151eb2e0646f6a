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
	// headerTimeout bounds how long a header may take, and idleTimeout how
	// long a connection rests, on the addresses for machines and operators.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// closeTimeout is how long calls under way may take when the server ends.
	closeTimeout = time.Second
)

// ServeHTTP serves HTTP until the context ends, and then lets the calls under
// way finish.
func ServeHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(io.Discard, "", 0), // broken connections are the caller's to tell
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(l) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := server.Shutdown(stop)
	<-ended
	return err
}
