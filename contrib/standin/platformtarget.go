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

// Run is one run of a request at a served target.
type Run struct {
	At     time.Time
	Target string
	// Workspace is the name of the one that the request was told to be of, and Key the
	// workspace's key if the request carried one.
	Workspace string
	Key       string
}

// RunLog counts the runs of requests at all served targets, by attempt id.
type RunLog struct {
	mu   sync.Mutex
	runs map[string][]Run
}

// NewRunLog returns an empty ledger.
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

// PlatformTarget is a stand-in for a target of the users' platform: it registers
// itself, works on a few requests at once and refuses the rest.
type PlatformTarget struct {
	ID      string
	Service string
	Zone    string
	// Advertised is the address that it registers.
	Advertised string
	// ControlAddresses returns the addresses that it may call.
	ControlAddresses func() []string
	// CrashPath is the end of the path of requests under which it ends, and Ended is told
	// of that; empty for none.
	CrashPath string
	OnCrash   func()

	ledger   *RunLog
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	work     time.Duration
	calls    *http.Client

	mu       sync.Mutex
	draining bool
	ended    bool
	sequence uint64
	// DrainedAt is when its drain was acknowledged; zero if it was not.
	drainedAt time.Time
	loseShare int
	// limit is the limit that it names in its answers; empty for none. arrivals are the
	// requests that reached it, also those that it rejected.
	limit    string
	arrivals []Arrival
	// backOff is what its rejections ask for while it rejects all; zero if it does not.
	backOff    time.Duration
	rejections []Rejection
	// leaving tells that its answers say that it leaves, and toldLeaving the attempts that
	// were answered so.
	leaving     bool
	toldLeaving []Arrival
	requests    int
	ctx         context.Context
	cancel      context.CancelFunc
	done        chan struct{}
}

const (
	servedSlots       = 4
	servedHeartbeat   = 500 * time.Millisecond
	servedCallTimeout = time.Second
)

// NewPlatformTarget returns a target that listens on an address. Start must follow.
func NewPlatformTarget(id, service, zone, listen string, work time.Duration, ledger *RunLog) (*PlatformTarget, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, fmt.Errorf("listening as a target: %w", err)
	}
	s := &PlatformTarget{
		ID: id, Service: service, Zone: zone, Advertised: l.Addr().String(), ledger: ledger, listener: l,
		slots: make(chan struct{}, servedSlots), work: work, done: make(chan struct{}),
		calls: &http.Client{Timeout: servedCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.server = &http.Server{Handler: s}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

// Address is where it listens.
func (s *PlatformTarget) Address() string { return s.listener.Addr().String() }

// Start serves and sends heartbeats until Close.
func (s *PlatformTarget) Start() {
	go func() { _ = s.server.Serve(s.listener) }() // ends with Close
	go s.beat()
}

// LoseOneIn makes it lose the answer of one of n requests that it ran; 0 for none.
func (s *PlatformTarget) LoseOneIn(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseShare = n
}

// SetLimit makes it name in its answers how many requests a second it takes from all boxes
// together; empty for none.
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

// Rejection is a request that a target rejected, asking for a back-off.
type Rejection struct {
	Arrival
	BackOff time.Duration
}

// Arrivals returns the requests that reached it.
func (s *PlatformTarget) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// SetBackOff makes it reject all requests and ask for a back-off, or serve again for zero.
func (s *PlatformTarget) SetBackOff(backOff time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backOff = backOff
}

// Rejections returns the requests that it rejected, asking for a back-off.
func (s *PlatformTarget) Rejections() []Rejection {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Rejection(nil), s.rejections...)
}

// AnnounceLeaving makes its answers, and nothing else, say that it leaves.
func (s *PlatformTarget) AnnounceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// LeavingResponses returns the requests whose answers said that it leaves.
func (s *PlatformTarget) LeavingResponses() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.toldLeaving...)
}

// arrive counts a request, sets what its answer says of the target and reports whether it is
// taken.
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
		s.toldLeaving = append(s.toldLeaving, a)
	}
	if s.backOff == 0 {
		return true
	}
	s.rejections = append(s.rejections, Rejection{Arrival: a, BackOff: s.backOff})
	h.Set("Retry-After", strconv.FormatFloat(s.backOff.Seconds(), 'f', -1, 64))
	return false
}

// Drain makes its next words say that it leaves.
func (s *PlatformTarget) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// IsServing reports whether it has neither ended nor said that it leaves.
func (s *PlatformTarget) IsServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ctx.Err() == nil && !s.draining
}

// DrainedAt returns when its drain was acknowledged; zero if it was not.
func (s *PlatformTarget) DrainedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainedAt
}

func (s *PlatformTarget) beat() {
	defer close(s.done)
	for n := 0; ; n++ {
		s.tell(n)
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(servedHeartbeat):
		}
	}
}

// tell sends one heartbeat, to one control replica after the other until one
// takes it.
func (s *PlatformTarget) tell(n int) {
	s.mu.Lock()
	s.sequence++
	draining := s.draining
	state := "ready"
	if draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": s.Service, "address": s.Advertised, "zone": s.Zone, "version": "v1", "slots": servedSlots,
		"state": state, "warmupLeft": "0ms", "seq": s.sequence,
	})
	s.mu.Unlock()
	if err != nil {
		return
	}
	controls := s.ControlAddresses()
	for i := range controls {
		if s.call(http.MethodPut, controls[(n+i)%len(controls)], body) {
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

func (s *PlatformTarget) call(method, control string, body []byte) bool {
	r, err := http.NewRequestWithContext(s.ctx, method, "http://"+control+"/ledgesill/instances/"+s.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	answer, err := s.calls.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body) // only the status counts
	return answer.StatusCode == http.StatusOK
}

// ServeHTTP works on a request.
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
	s.ledger.add(id, Run{At: time.Now(), Target: s.ID, Workspace: r.Header.Get("X-Ledgesill-Tenant"), Key: r.Header.Get("Api-Key")})
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.work)
	if s.CrashPath != "" && strings.HasSuffix(r.URL.Path, s.CrashPath) {
		go s.end()
		<-s.ctx.Done()
		panic(http.ErrAbortHandler)
	}
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	answer := ResponseBody(id, r.URL.Path, body)
	w.Header().Set("X-Ledgesill-Server-Seal", s.ID)
	w.Header().Set("X-Ledgesill-Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), servedSlots))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // the caller sees a broken answer
}

func reject(w http.ResponseWriter) {
	w.Header().Set("X-Ledgesill-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// ResponseBody is what a served target answers to a request.
func ResponseBody(id, path string, body []byte) []byte {
	return []byte(fmt.Sprintf("%s %s %d %s", id, path, len(body), bytes.Repeat([]byte{'.'}, len(id)*20)))
}

func (s *PlatformTarget) loses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.loseShare > 0 && s.requests%s.loseShare == 0
}

// end ends it under a request. Of several that come together one ends it.
func (s *PlatformTarget) end() {
	s.mu.Lock()
	first := !s.ended
	s.ended = true
	s.mu.Unlock()
	if !first {
		return
	}
	s.Close()
	s.OnCrash()
}

// Close ends it at once, as a crash does.
func (s *PlatformTarget) Close() {
	s.cancel()
	_ = s.server.Close()
	<-s.done
}
