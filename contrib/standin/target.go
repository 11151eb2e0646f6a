// Package standin has stand-ins for what the system meets: targets and the
// platform's list of boxes.
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

// TargetConfig sizes a target.
type TargetConfig struct {
	Name        string
	Slots       int
	Connections int
	ServiceTime time.Duration
	// WarmUpTime is how long after its start a target needs ColdFactor times as
	// long for a request.
	WarmUpTime   time.Duration
	WarmUpFactor int
	// OnRun is called when a request has got its slot, if it is not nil.
	OnRun func()
}

// Target is a back end with slots, a load report, health and drain answers,
// shedding and a large download.
type Target struct {
	config   TargetConfig
	started  time.Time
	busy     atomic.Int64
	requests atomic.Int64
	draining atomic.Bool
	broken   atomic.Bool
	shedding atomic.Bool
	mute     atomic.Bool
	slow     atomic.Int64

	mu   sync.Mutex
	runs map[string]int
	most int
	// limit is the limit that it names in its answers; empty for none. arrivals are when
	// requests reached it, checks of its health included.
	limit    string
	arrivals []time.Time
	// retryAfter is the Retry-After of a rejection, rejections are when there were any, and
	// leaving tells that its answers say that it leaves.
	retryAfter string
	rejections []time.Time
	leaving    bool
}

// NewTarget returns a target that starts cold now.
func NewTarget(c TargetConfig) *Target {
	return &Target{config: c, started: time.Now(), runs: make(map[string]int), retryAfter: "1"}
}

// SetDraining makes the target's health say that it is leaving.
func (t *Target) SetDraining(v bool) { t.draining.Store(v) }

// SetFailing makes requests fail while the health still says ready.
func (t *Target) SetFailing(v bool) { t.broken.Store(v) }

// SetShedding makes the target refuse all work.
func (t *Target) SetShedding(v bool) { t.shedding.Store(v) }

// SetRetryAfter sets the Retry-After of the target's rejections, in seconds.
func (t *Target) SetRetryAfter(seconds string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter = seconds
}

// Requests returns how many requests reached the target, without checks of its health.
func (t *Target) Requests() int { return int(t.requests.Load()) }

// Rejections returns when the target rejected requests.
func (t *Target) Rejections() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.rejections...)
}

// SetLeaving makes the target's answers say that it leaves.
func (t *Target) SetLeaving(v bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = v
}

// SetHealthFailing makes the target's health give no usable answer.
func (t *Target) SetHealthFailing(v bool) { t.mute.Store(v) }

// SetSlow makes every request take longer.
func (t *Target) SetSlow(extra time.Duration) { t.slow.Store(int64(extra)) }

// SetLimit makes the target name in its answers how many requests a second it takes from
// all boxes together; empty for none.
func (t *Target) SetLimit(perSecond string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = perSecond
}

// Arrivals returns when requests reached it, checks of its health included.
func (t *Target) Arrivals() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]time.Time(nil), t.arrivals...)
}

// Runs returns how often each named request ran, and the most that ran at once.
func (t *Target) Runs() (runs map[string]int, most int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.runs))
	for id, n := range t.runs {
		out[id] = n
	}
	return out, t.most
}

// Handler returns the target's HTTP interface: /healthz, /flag, /toggle,
// /webhook and /export.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", t.health)
	mux.HandleFunc("/export", t.slotted(t.export))
	mux.HandleFunc("/", t.slotted(t.work))
	return t.counted(mux)
}

// counted counts requests and names the limit in their answers.
func (t *Target) counted(next http.Handler) http.Handler {
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
	if t.mute.Load() {
		http.Error(w, "no report", http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // a prober sees a broken answer
		"ready":    true,
		"draining": t.draining.Load(),
		"cold":     t.cold(),
		"busy":     t.busy.Load(),
	})
}

func (t *Target) cold() bool { return time.Since(t.started) < t.config.WarmUpTime }

// slotted runs a request in a slot, or sheds it.
func (t *Target) slotted(run http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		t.requests.Add(1)
		n := t.busy.Add(1)
		defer t.busy.Add(-1)
		t.mu.Lock()
		t.most = max(t.most, int(n))
		t.mu.Unlock()
		if int(n) > t.config.Slots || t.shedding.Load() {
			t.reject(w)
			return
		}
		if t.broken.Load() {
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
	return d + time.Duration(t.slow.Load())
}

// work takes its time and counts the run of a request that may not be
// repeated, named by its body.
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
	defaultExport = 1 << 20
	exportChunks  = 20
)

// export serves a download of ?size= bytes, with ETag and Range. The content
// is the same at every target.
func (t *Target) export(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil {
		size = defaultExport
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

// pacedWriter waits a little with each piece.
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
	limited := &limitedListener{Listener: l, free: make(chan struct{}, max(t.config.Connections, 1))}
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

// limitedListener closes connections beyond a number.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: c, free: l.free}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	once sync.Once
	free chan struct{}
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}
