package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/catalog"
)

// Config is the configuration of a gateway.
type Config struct {
	// Clock is nil for the clock of this machine; no flag sets it.
	Clock *boottime.Clock

	Name   string
	Zone   string
	Region string
	// RegionOf maps every availability zone to its region.
	RegionOf map[string]string
	// CallerAddress, ReadyAddress and MetricsAddress are the addresses to listen on for callers,
	// readiness checks and metrics. PeerAddress is this box's address among the processes of the
	// system.
	CallerAddress  string
	ReadyAddress   string
	MetricsAddress string
	PeerAddress    string
	// TargetAddress returns the address at which this box reaches the target that registered an
	// address; nil if that is the same.
	TargetAddress func(registered string) string
	// Seeds are the peer addresses of some control replicas.
	Seeds    []string
	Protocol Protocol
	// DecodeRoutes decodes a routes document. It is never called concurrently, so that it may cache
	// what the next document repeats.
	DecodeRoutes func(text []byte) (catalog.Document, error)
	// RetryShare, RetryExtra and RetryWindow bound the retries of all boxes.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Restarted tells that a process may have served here before this one, and may have used this
	// box's share of RetryExtra.
	Restarted bool
	// LinkBytes is the capacity of the box's link in bytes per second; zero means unlimited.
	LinkBytes float64
	// StopTime is the time from SIGTERM until the process is killed.
	StopTime time.Duration
	LogLevel zerolog.Level
	// ReadyHandler answers readiness checks with the result of ready.
	ReadyHandler func(ready func() bool) http.Handler
}
