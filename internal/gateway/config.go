package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Config is what a gateway is told at its start.
type Config struct {
	// Clock is that of the machine, nil for the one at hand; no flag sets it.
	Clock *boottime.Clock

	Name   string
	Zone   string
	Region string
	// RegionOf gives the region of every availability zone.
	RegionOf map[string]string
	// CallerAddress, Ready and Metrics are the addresses to listen on for callers,
	// readiness checks and metrics; Peers is this box's address among the
	// processes of the system.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	PeerAddress    string
	// Seeds are the peer addresses of some control replicas.
	Seeds    []string
	Protocol Protocol
	// DecodeRoutes reads the text of a document of routes. It is not called by two
	// goroutines at once, so that it may keep what the next document repeats.
	DecodeRoutes func(text []byte) (catalog.Document, error)
	// RetryShare, RetryExtra and RetryWindow bound the retries of all boxes.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Restarted tells that a process may have served here before this one, and so
	// may have taken this box's part of RetryExtra.
	Restarted bool
	// LinkBytes is how many bytes a second the box's link carries; zero for no bound.
	LinkBytes float64
	// StopTime is how long after SIGTERM the process is killed.
	StopTime time.Duration
	LogLevel zerolog.Level
	// ReadyHandler answers readiness checks by what ready tells.
	ReadyHandler func(ready func() bool) http.Handler
}
