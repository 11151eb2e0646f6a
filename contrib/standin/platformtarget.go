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
	"strings"
	"sync"
	"time"
)

// Run is one run of a request at a target.
type Run struct {
	At     time.Time
	Target string
	// Workspace is the workspace that the request's header names, Key the API key in its
	// header, if any.
	Workspace string
	Key       string
}

// RunLog records the runs of requests at all platform targets by attempt ID.
type RunLog struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// NewRunLog returns an empty log.
func NewRunLog() *RunLog { return &RunLog{runs: make(map[string][]Run)} }

func (l *RunLog) add(id string, r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
}

// Runs returns the runs of an attempt.
func (l *RunLog) Runs(id string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs[id]...)
}

// PlatformTarget is a stand-in for a target of the users' platform. It registers itself,
// runs a few requests at once and rejects the rest.
type PlatformTarget struct {
	ID      string
	Service string
	Zone    string
	// Advertised is the address that the target registers.
	Advertised string
	// ControlAddresses returns the addresses of the control replicas.
	ControlAddresses func() []string
	// CrashPath is a path suffix: a request whose path has it crashes the target, which then
	// calls OnCrash. Empty for none.
	CrashPath string
	OnCrash   func()

	runLog   *RunLog
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	work     time.Duration
	client   *http.Client

	mu       sync.Mutex
	draining bool
	crashed  bool
	sequence uint64
	// drainedAt is when the drain was acknowledged, zero if it was not.
	drainedAt time.Time
	loseOneIn int
	// limit is the rate limit that responses report, empty for none. arrivals are the
	// requests that reached the target, including rejected ones.
	limit    string
	arrivals []Arrival
	// backOff is the back-off that rejections request while the target rejects all requests;
	// zero if it doesn't.
	backOff    time.Duration
	rejections []Rejection
	// leaving says whether responses announce that the target shuts down, leavingResponses
	// holds the attempts that got such a response.
	leaving          bool
	leavingResponses []Arrival
	requests         int
	ctx              context.Context
	cancel           context.CancelFunc
	done             chan struct{}
}

const (
	platformTargetSlots = 4
	heartbeatInterval   = 500 * time.Millisecond
	controlTimeout      = time.Second
)

// NewPlatformTarget returns a target that listens on an address. Start makes it serve.
func NewPlatformTarget(id, service, zone, listen string, work time.Duration, runLog *RunLog) (*PlatformTarget, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, fmt.Errorf("listening as a target: %w", err)
	}
	s := &PlatformTarget{
		ID: id, Service: service, Zone: zone, Advertised: l.Addr().String(), runLog: runLog, listener: l,
		slots: make(chan struct{}, platformTargetSlots), work: work, done: make(chan struct{}),
		client: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.server = &http.Server{Handler: s}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Address returns the address that the target listens on.
func (s *PlatformTarget) Address() string { return s.listener.Addr().String() }

// Start starts serving and sending heartbeats, until Close.
func (s *PlatformTarget) Start() {
	go func() { _ = s.server.Serve(s.listener) }() // ends with Close
	go s.sendHeartbeats()
}

// LoseOneIn makes the target close the connection instead of responding to one in n of the
// requests that it ran; 0 for none.
func (s *PlatformTarget) LoseOneIn(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseOneIn = n
}

// SetLimit makes responses report a rate limit for all boxes together, in requests a second;
// empty for none.
func (s *PlatformTarget) SetLimit(perSecond string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
}

// Arrival is a request that reached a target.
type Arrival struct {
	ID string
	At time.Time
}

// Rejection is a request that a target rejected with a back-off.
type Rejection struct {
	Arrival
	BackOff time.Duration
}

// Arrivals returns the requests that reached the target.
func (s *PlatformTarget) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// SetBackOff makes the target reject all requests and request a back-off. Zero makes it serve
// again.
func (s *PlatformTarget) SetBackOff(backOff time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backOff = backOff
}

// Rejections returns the requests that were rejected with a back-off.
func (s *PlatformTarget) Rejections() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Rejection(nil), s.rejections...)
}

// AnnounceLeaving makes responses, but not heartbeats, announce that the target shuts down.
func (s *PlatformTarget) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LeavingResponses returns the requests whose responses announced the shutdown.
func (s *PlatformTarget) LeavingResponses() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.leavingResponses...)
}

// arrive records a request, sets the response headers about the target's state and reports
// whether the request is accepted.
func (s *PlatformTarget) arrive(id string, h http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Arrival{ID: id, At: time.Now()}
	s.arrivals = append(s.arrivals, a)
	if s.limit != "" {
		h.Set("Server-Limit", s.limit)
	}
	if s.leaving {
		h.Set("Server-Leaving", "1")
		s.leavingResponses = append(s.leavingResponses, a)
	}
	if s.backOff == 0 {
		return true
	}
	s.rejections = append(s.rejections, Rejection{Arrival: a, BackOff: s.backOff})
	h.Set("Retry-After", strconv.FormatFloat(s.backOff.Seconds(), 'f', -1, 64))
	return false
}

// Drain makes heartbeats announce that the target drains.
func (s *PlatformTarget) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// IsServing reports whether the target is neither closed nor draining.
func (s *PlatformTarget) IsServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx.Err() == nil && !s.draining
}

// DrainedAt returns when the drain was acknowledged, zero if it was not.
func (s *PlatformTarget) DrainedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainedAt
}

func (s *PlatformTarget) sendHeartbeats() {
	defer close(s.done)
	for n := 0; ; n++ {
		s.sendHeartbeat(n)
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// sendHeartbeat sends one heartbeat to the control replicas in turn until one accepts it.
func (s *PlatformTarget) sendHeartbeat(n int) {
	s.mu.Lock()
	s.sequence++
	draining := s.draining
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Advertised, "zone": s.Zone, "version": "v1", "slots": platformTargetSlots,
		"state": state, "warmupLeft": "0ms", "seq": s.sequence,
	})
	s.mu.Unlock()
	if err != nil {
		return
	}
	controls := s.ControlAddresses()
	for i := range controls {
		if s.sendToControl(http.MethodPut, controls[(n+i)%len(controls)], body) {
			if draining {
				s.recordDrained()
			}
			return
		}
	}
}

func (s *PlatformTarget) recordDrained() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
}

func (s *PlatformTarget) sendToControl(method, control string, body []byte) bool {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://"+control+"/ledgesill/instances/"+s.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := s.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // only the status counts
	return response.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler. It runs a request if a slot is free.
func (s *PlatformTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Ledgesill-Attempt-Id")
	w.Header().Set("X-Ledgesill-Attempt-Id", id)
	if want := r.Header.Get("X-Ledgesill-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.arrive(id, w.Header()) {
		reject(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		reject(w)
		return
	}
	s.runLog.add(id, Run{At: time.Now(), Target: s.ID, Workspace: r.Header.Get("X-Ledgesill-Tenant"), Key: r.Header.Get("Api-Key")})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	if s.CrashPath != "" && strings.HasSuffix(r.URL.Path, s.CrashPath) {
		go s.crash()
		<-s.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if s.losesResponse() {
		panic(http.ErrAbortHandler)
	}
	response := ResponseBody(id, r.URL.Path, body)
	w.Header().Set("X-Ledgesill-Server-Seal", s.ID)
	w.Header().Set("X-Ledgesill-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), platformTargetSlots))
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = w.Write(response) // the caller sees a truncated response
}

func reject(w http.ResponseWriter) {
	w.Header().Set("X-Ledgesill-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ResponseBody returns the body with which a platform target responds to a request.
func ResponseBody(id, path string, body []byte) []byte {
	return []byte(fmt.Sprintf("%s %s %d %s", id, path, len(body), bytes.Repeat([]byte{'.'}, len(id)*20)))
}

func (s *PlatformTarget) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.loseOneIn > 0 && s.requests%s.loseOneIn == 0
}

// crash closes the target and calls OnCrash, once even if several requests crash it.
func (s *PlatformTarget) crash() {
	s.mu.Lock()
	first := !s.crashed
	s.crashed = true
	s.mu.Unlock()
	if !first {
		return
	}
	s.Close()
	s.OnCrash()
}

// Close stops the target immediately, like a crash.
func (s *PlatformTarget) Close() {
	s.cancel()
	_ = s.server.Close()
	<-s.done
}
