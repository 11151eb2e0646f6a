// Package process holds what all daemons share: a supervisor tree, a log, a
// metrics registry and a timeline.
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
	timelineFileName = "timeline"
	// logTimeFormat includes milliseconds: the state of a box changes within them.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// maxTimelineBytes is the size at which the timeline file is rotated; one old
	// file is kept.
	maxTimelineBytes = 8 << 20
)

func init() { zerolog.TimeFieldFormat = logTimeFormat }

// Process holds what all parts of a daemon share.
type Process struct {
	Name        string
	Incarnation string
	Log         zerolog.Logger
	Metrics     *prometheus.Registry
	Clock       *timeline.Clock
	// BootClock measures durations; nil for the clock of the local machine.
	BootClock *boottime.Clock
	Ring      *timeline.Ring
	events    *prometheus.CounterVec
	panics    *prometheus.CounterVec
	// panicLineLimiter limits the log lines about panics.
	panicLineLimiter *LineLimiter
	file             *eventFile
}

// New returns a process with a new incarnation. If dir is not empty, events are also
// stored in a file there.
func New(name string, log io.Writer, level zerolog.Level, dir string) (*Process, error) {
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
	p.panicLineLimiter = NewLineLimiter(panicLinesPerSecond)
	var sink func(*wire.TimelineEvent)
	if dir != "" {
		f, err := openEventFile(filepath.Join(dir, timelineFileName))
		if err != nil {
			return nil, err
		}
		p.file = f
		sink = f.write
	}
	p.Ring = timeline.NewRing(name, p.Clock, ringSize, sink)
	return p, nil
}

func newIncarnation() string {
	b := make([]byte, incarnationBytes)
	_, _ = rand.Read(b) // crypto/rand never fails
	return hex.EncodeToString(b)
}

// Event adds an event to the timeline.
func (p *Process) Event(e *wire.TimelineEvent) {
	p.events.WithLabelValues(e.Kind).Inc()
	p.Ring.Add(e)
}

// RecordStateChange adds an event to the timeline and logs it.
func (p *Process) RecordStateChange(e *wire.TimelineEvent) {
	p.Event(e)
	p.Log.Info().Str("kind", e.Kind).Str("box", e.Box).Str("change", e.Change).Str("shift", e.Shift).Msg(e.Detail)
}

// RecordRefusedLink records that the link of another process was refused for its certificate.
func (p *Process) RecordRefusedLink(remote string, err error) {
	p.RecordStateChange(&wire.TimelineEvent{Kind: "linkRefused", Detail: "from " + remote + ": " + err.Error()})
}

// Counter registers a counter and returns it.
func (p *Process) Counter(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ledgesill_" + name, Help: help}, labels)
	p.Metrics.MustRegister(c)
	return c
}

// Histogram registers a histogram and returns it.
func (p *Process) Histogram(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "ledgesill_" + name, Help: help, Buckets: buckets}, labels)
	p.Metrics.MustRegister(h)
	return h
}

// Gauge registers a gauge whose value is read at each scrape.
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

// Close closes the timeline file.
func (p *Process) Close() error {
	if p.file == nil {
		return nil
	}
	return p.file.close()
}

// Service is a named service of a supervisor tree.
type Service struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the name by which the supervisor logs the service.
func (s Service) String() string { return s.Name }

// eventFile stores events on disk. It is not synced: it serves diagnosis only and
// nothing depends on it.
type eventFile struct {
	path string
	file *os.File
	size int
}

const eventFilePermissions = 0o600

func openEventFile(path string) (*eventFile, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, eventFilePermissions)
	if err != nil {
		return nil, fmt.Errorf("opening the timeline file: %w", err)
	}
	return &eventFile{path: path, file: f}, nil
}

func (f *eventFile) write(e *wire.TimelineEvent) {
	if f.size > maxTimelineBytes {
		f.rotate()
	}
	n, err := protodelim.MarshalTo(f.file, e)
	if err == nil {
		f.size += n
	}
}

// rotate renames the full file and opens a new one.
func (f *eventFile) rotate() {
	_ = f.file.Close()                 // nothing depends on the file
	_ = os.Rename(f.path, f.path+".1") // if it fails, new events are appended to the old file
	next, err := openEventFile(f.path)
	if err != nil {
		return // the next event tries again
	}
	*f = *next
}

func (f *eventFile) close() error { return f.file.Close() }
