// Package standin has stand-ins for what surrounds the system: targets and the platform's
// list of boxes.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
)

// TargetConfig holds the capacity and the timing of a target.
type TargetConfig struct {
	Name        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// For WarmUpTime after its start, the target takes WarmUpFactor times as long for a
	// request.
	WarmUpTime   time.Duration
	WarmUpFactor int
	// OnRun, if not nil, is called when a request has got a slot.
	OnRun func()
}

// Target is a back end with slots, a health report with its load, draining, load shedding
// and a large download.
type Target struct {
	config        TargetConfig
	started       time.Time
	busy          atomic.Int64
	requests      atomic.Int64
	draining      atomic.Bool
	failing       atomic.Bool
	shedding      atomic.Bool
	healthFailing atomic.Bool
	extraTime     atomic.Int64

	mu            sync.Mutex
	runs          map[string]int
	maxConcurrent int
	// limit is the rate limit that responses report, empty for none. arrivals are when
	// requests reached the target, health checks included.
	limit    string
	arrivals []time.Time
	// retryAfter is the Retry-After of rejections, rejections are their times, and leaving
	// says whether responses announce that the target shuts down.
	retryAfter string
	rejections []time.Time
	leaving    bool
}

// NewTarget returns a target whose warm-up starts now.
func NewTarget(c TargetConfig) *Target {
	return &Target{config: c, started: time.Now(), runs: make(map[string]int), retryAfter: "1"}
}

// SetDraining sets whether the health report says that the target drains.
func (t *Target) SetDraining(v bool) { t.draining.Store(v) }

// SetFailing makes requests fail with status 500 while the health report still says ready.
func (t *Target) SetFailing(v bool) { t.failing.Store(v) }

// SetShedding makes the target reject all requests.
func (t *Target) SetShedding(v bool) { t.shedding.Store(v) }

// SetRetryAfter sets the Retry-After of the target's rejections, in seconds.
func (t *Target) SetRetryAfter(seconds string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = seconds
}

// Requests returns how many requests reached the target, without health checks.
func (t *Target) Requests() int { return int(t.requests.Load()) }

// Rejections returns when the target rejected requests.
func (t *Target) Rejections() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.rejections...)
}

// SetLeaving sets whether responses announce that the target shuts down.
func (t *Target) SetLeaving(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = v
}

// SetHealthFailing makes health checks fail with status 500.
func (t *Target) SetHealthFailing(v bool) { t.healthFailing.Store(v) }

// SetSlow adds a time to the service time of each request.
func (t *Target) SetSlow(extra time.Duration) { t.extraTime.Store(int64(extra)) }

// SetLimit makes responses report a rate limit for all boxes together, in requests a second;
// empty for none.
func (t *Target) SetLimit(perSecond string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = perSecond
}

// Arrivals returns when requests reached the target, health checks included.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.arrivals...)
}

// Runs returns how often each unrepeatable request ran, by its body, and the highest number
// of concurrent requests.
func (t *Target) Runs() (runs map[string]int, maxConcurrent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		out[id] = n
	}
	return out, t.maxConcurrent
}

// Handler returns the target's HTTP interface: /healthz, /flag, /toggle,
// /webhook and /export.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", t.health)
	mux.HandleFunc("/export", t.withSlot(t.export))
	mux.HandleFunc("/", t.withSlot(t.work))
	return t.recordArrivals(mux)
}

// recordArrivals records the arrival of requests and sets the response headers about the target's
// state.
func (t *Target) recordArrivals(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t.mu.Lock()
		t.arrivals = append(t.arrivals, time.Now())
		limit, leaving := t.limit, t.leaving
		t.mu.Unlock()
		if limit != "" {
			w.Header().Set(caller.HeaderLimit, limit)
		}
		if leaving {
			w.Header().Set(caller.HeaderLeaving, "1")
		}
		next.ServeHTTP(w, r)
	})
}

func (t *Target) health(w http.ResponseWriter, _ *http.Request) {
	if t.healthFailing.Load() {
		http.Error(w, "no report", http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // the prober sees a truncated response
		"ready":    true,
		"draining": t.draining.Load(),
		"cold":     t.cold(),
		"busy":     t.busy.Load(),
	})
}

func (t *Target) cold() bool { return time.Since(t.started) < t.config.WarmUpTime }

// withSlot runs a request in a slot. It rejects the request if no slot is free.
func (t *Target) withSlot(run http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		n := t.busy.Add(1)
		defer t.busy.Add(-1)
		t.mu.Lock()
		t.maxConcurrent = max(t.maxConcurrent, int(n))
		t.mu.Unlock()
		if int(n) > t.config.Slots || t.shedding.Load() {
			t.reject(w)
			return
		}
		if t.failing.Load() {
			http.Error(w, "broken", http.StatusInternalServerError)
			return
		}
		if t.config.OnRun != nil {
			t.config.OnRun()
		}
		run(w, r)
	}
}

func (t *Target) reject(w http.ResponseWriter) {
	t.mu.Lock()
	t.rejections = append(t.rejections, time.Now())
	w.Header().Set("Retry-After", t.retryAfter)
	t.mu.Unlock()
	http.Error(w, "no slot is free", http.StatusServiceUnavailable)
}

func (t *Target) serviceTime() time.Duration {
	d := t.config.ServiceTime
	if t.cold() {
		d *= time.Duration(max(t.config.WarmUpFactor, 1))
	}
	return d + time.Duration(t.extraTime.Load())
}

// work takes the service time and echoes path and body. It counts the runs of POST requests,
// which may not be repeated, by body.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodPost {
		t.mu.Lock()
		t.runs[string(body)]++
		t.mu.Unlock()
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(t.serviceTime()):
	}
	fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

const (
	defaultExportSize = 1 << 20
	exportChunks      = 20
)

// export serves a download of ?size= bytes with support for ETag and Range. The content is
// the same at every target.
func (t *Target) export(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		size = defaultExportSize
	}
	w.Header().Set("Etag", fmt.Sprintf(`"export-%d"`, size))
	paced := &pacedWriter{ResponseWriter: w, ctx: r.Context(), pause: t.serviceTime() / exportChunks}
	http.ServeContent(paced, r, "export.bin", time.Time{}, bytes.NewReader(ExportContent(size)))
}

// ExportContent returns the content of a download.
func ExportContent(size int) []byte {
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(i * 31 >> 3)
	}
	return out
}

// pacedWriter pauses before each write.
type pacedWriter struct {
	http.ResponseWriter
	ctx   context.Context
	pause time.Duration
}

// Write implements io.Writer.
func (p *pacedWriter) Write(b []byte) (int, error) {
	select {
	case <-p.ctx.Done():
		return 0, p.ctx.Err()
	case <-time.After(p.pause):
	}
	return p.ResponseWriter.Write(b)
}

// Serve serves a target on a listener until the context ends.
func (t *Target) Serve(ctx context.Context, l net.Listener) error {
	limited := &limitedListener{Listener: l, slots: make(chan struct{}, max(t.config.Connections, 1))}
	server := &http.Server{Handler: t.Handler(), ReadHeaderTimeout: time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(limited) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
		err := server.Close()
		<-ended
		return err
	}
}

// limitedListener closes connections beyond a maximum.
type limitedListener struct {
	net.Listener
	slots chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &limitedConn{Conn: c, slots: l.slots}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	once  sync.Once
	slots chan struct{}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
