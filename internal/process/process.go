// Package process is what every daemon is made of: a supervisor tree, a log, a
// registry of metrics and a time line.
package process

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"
	"google.golang.org/protobuf/encoding/protodelim"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	ringSize         = 4096
	incarnationBytes = 4
	stopTimeout      = 30 * time.Second
	timelineName     = "timeline"
	// logTimeFormat tells milliseconds: what a box believes changes within them.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// maxTimelineBytes is when the time line's file is begun anew; the file
	// before is kept.
	maxTimelineBytes = 8 << 20
)

func init() { zerolog.TimeFieldFormat = logTimeFormat }

// Process carries what all parts of a daemon share.
type Process struct {
	Name        string
	Incarnation string
	Log         zerolog.Logger
	Metrics     *prometheus.Registry
	Clock       *timeline.Clock
	// BootClock tells spans of time; nil for the machine at hand.
	BootClock *boottime.Clock
	Ring      *timeline.Ring
	events    *prometheus.CounterVec
	panics    *prometheus.CounterVec
	// panicLines bounds the log lines of panics.
	panicLines *LineLimiter
	file       *eventFile
}

// New returns a process with a new incarnation. If folder is not empty, events
// are also kept in a file there.
func New(name string, log io.Writer, level zerolog.Level, folder string) (*Process, error) {
	p := &Process{
		Name:        name,
		Incarnation: newIncarnation(),
		Metrics:     prometheus.NewRegistry(),
		Clock:       timeline.NewClock(time.Now), // time of day: stamps are shown to people
	}
	p.Log = zerolog.New(log).Level(level).With().Timestamp().Str("process", name).Logger()
	p.Metrics.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ledgesill_events_total",
		Help: "Events of the time line by kind.",
	}, []string{"kind"})
	p.Metrics.MustRegister(p.events)
	p.panics = p.Counter("panics_total", "Panics that ended one request, by the part of the process.", "part")
	p.panicLines = NewLineLimiter(panicLines)
	var sink func(*wire.TimelineEvent)
	if folder != "" {
		f, err := openEventFile(filepath.Join(folder, timelineName))
		if err != nil {
			return nil, err
		}
		p.file = f
		sink = f.add
	}
	p.Ring = timeline.NewRing(name, p.Clock, ringSize, sink)
	return p, nil
}

func newIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // crypto/rand never fails
	return hex.EncodeToString(b)
}

// Event adds an event to the time line.
func (p *Process) Event(e *wire.TimelineEvent) {
	p.events.WithLabelValues(e.Kind).Inc()
	p.Ring.Add(e)
}

// RecordStateChange adds an event and a line to the log.
func (p *Process) RecordStateChange(e *wire.TimelineEvent) {
	p.Event(e)
	p.Log.Info().Str("kind", e.Kind).Str("box", e.Box).Str("change", e.Change).Str("shift", e.Shift).Msg(e.Detail)
}

// RecordRefusedLink notes that another process was refused for its certificate.
func (p *Process) RecordRefusedLink(remote string, err error) {
	p.RecordStateChange(&wire.TimelineEvent{Kind: "linkRefused", Detail: "from " + remote + ": " + err.Error()})
}

// Counter returns a registered counter.
func (p *Process) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ledgesill_" + name, Help: help}, labels)
	p.Metrics.MustRegister(c)
	return c
}

// Histogram returns a registered histogram.
func (p *Process) Histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ledgesill_" + name, Help: help, Buckets: buckets}, labels)
	p.Metrics.MustRegister(h)
	return h
}

// Gauge registers a gauge that is read when it is asked for.
func (p *Process) Gauge(name, help string, read func() float64) {
	p.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ledgesill_" + name, Help: help}, read))
}

// Supervisor returns the root of the process's supervisor tree.
func (p *Process) Supervisor() *suture.Supervisor {
	return suture.New(p.Name, suture.Spec{
		EventHook: func(e suture.Event) {
			p.Log.Warn().Str("kind", "supervisor").Msg(e.String())
		},
		Timeout: stopTimeout,
	})
}

// Close closes the file of events.
func (p *Process) Close() error {
	if p.file == nil {
		return nil
	}
	return p.file.close()
}

// Service is a named part of a supervisor tree.
type Service struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String names the service in the supervisor's messages.
func (s Service) String() string { return s.Name }

// eventFile keeps events on the disk. It is not synced: it helps to look back
// and nothing depends on it.
type eventFile struct {
	path string
	file *os.File
	size int
}

const eventFilePermissions = 0o600

func openEventFile(path string) (*eventFile, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventFilePermissions)
	if err != nil {
		return nil, fmt.Errorf("opening the time line's file: %w", err)
	}
	return &eventFile{path: path, file: f}, nil
}

func (f *eventFile) add(e *wire.TimelineEvent) {
	if f.size > maxTimelineBytes {
		f.begin()
	}
	n, err := protodelim.MarshalTo(f.file, e)
	if err == nil {
		f.size += n
	}
}

// begin keeps the full file beside a new one.
func (f *eventFile) begin() {
	_ = f.file.Close()                 // nothing depends on what it holds
	_ = os.Rename(f.path, f.path+".1") // else the new events follow the old ones
	next, err := openEventFile(f.path)
	if err != nil {
		return // tried again at the next event
	}
	*f = *next
}

func (f *eventFile) close() error { return f.file.Close() }
