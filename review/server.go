package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between two heartbeats of a server, as the settings have it.
const heartbeatInterval = 1500 * time.Millisecond

// server is a stand-in for one incarnation of a server.
type server struct {
	cluster *cluster
	log     *record
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// answer, if set, answers a request instead of the usual 200 after the work.
	answer func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	state    string
	ended    bool
	acked    int
	runs     int
	foreign  int
	running  int
	stopBeat context.CancelFunc
	beats    sync.WaitGroup
}

// newServer starts a server that does not register itself yet.
func (c *cluster) newServer(id, service, zone, address string, slots int, work time.Duration) (*server, error) {
	s := &server{cluster: c, log: c.log, id: id, service: service, zone: zone, address: address, slots: slots, work: work, conns: make(map[net.Conn]bool), state: "ready"}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.listener = l
	h := &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = h.Serve(l) }()
	c.servers = append(c.servers, s)
	c.log.add("server %s of %s starts at %s", id, service, address)
	return s, nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
	if s.ended {
		_ = c.Close()
	}
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("X-Ledgesill-Attempt-Id")
	h := w.Header()
	h.Set("X-Ledgesill-Attempt-Id", attempt)
	h.Set("X-Ledgesill-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("X-Ledgesill-Expect-Instance"); want != "" && want != s.id {
		s.mu.Lock()
		s.foreign++
		s.mu.Unlock()
		s.log.add("server %s turns away %s, which is for %s: 421", s.id, attempt, want)
		h.Set("X-Ledgesill-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	full := s.running >= s.slots
	if !full {
		s.running++
		s.runs++
	}
	h.Set("X-Ledgesill-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	s.mu.Unlock()
	if full {
		h.Set("X-Ledgesill-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	_, _ = io.Copy(io.Discard, r.Body)
	s.log.add("server %s runs %s: %s %s", s.id, attempt, r.Method, r.URL.Path)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Ledgesill-Server-Seal", "seal."+attempt)
	if s.answer != nil {
		s.answer(w, r)
		return
	}
	body := "result of " + attempt
	h.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// crash ends the server like a process that is killed: its port refuses connections and its open
// connections are reset. It says nothing.
func (s *server) crash() {
	s.log.add("server %s at %s crashes", s.id, s.address)
	s.end(true)
}

// stop ends the server at the end of a case.
func (s *server) stop() { s.end(false) }

func (s *server) end(reset bool) {
	s.mu.Lock()
	s.ended = true
	_ = s.listener.Close()
	for c := range s.conns {
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	stop := s.stopBeat
	s.mu.Unlock()
	if stop != nil {
		stop()
		s.beats.Wait()
	}
}

// register sends heartbeats until the server ends. It returns once the first is acknowledged.
func (s *server) register(limit time.Duration) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.stopBeat = cancel
	s.mu.Unlock()
	first := make(chan struct{})
	s.beats.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			if s.beat(ctx) && first != nil {
				close(first)
				first = nil
			}
			select {
			case <-ctx.Done():
			case <-time.After(heartbeatInterval):
			}
		}
	})
	wait := first
	select {
	case <-wait:
		return nil
	case <-time.After(limit):
		return fmt.Errorf("server %s is not acknowledged", s.id)
	}
}

// heartbeat returns the body of the next heartbeat.
func (s *server) heartbeat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": s.state,
		"warmupLeft": "0ms", "seq": s.sequence,
	})
	return body
}

// beat sends one heartbeat, to one control replica after the other until it is acknowledged.
func (s *server) beat(ctx context.Context) bool {
	for _, n := range s.cluster.controls {
		body := s.heartbeat()
		status := s.cluster.call(ctx, n, http.MethodPut, "/ledgesill/instances/"+s.id, body)
		if status/100 == 2 {
			s.mu.Lock()
			s.acked++
			first := s.acked == 1
			s.mu.Unlock()
			if first {
				s.log.add("server %s: heartbeat acknowledged by %s", s.id, n.name)
			}
			return true
		}
	}
	return false
}

func (s *server) counts() (acked, runs, foreign int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked, s.runs, s.foreign
}

// call sends one call to a control replica, which has a second to answer; 0 is no answer.
func (c *cluster) call(ctx context.Context, n *node, method, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// order sends an order of the operator until it is acknowledged, to the given replicas in turn.
func (c *cluster) order(limit time.Duration, method, path string, body []byte, to ...*node) error {
	if len(to) == 0 {
		to = c.controls
	}
	deadline := time.Now().Add(limit)
	for i := 0; time.Now().Before(deadline); i++ {
		n := to[i%len(to)]
		c.log.add("operator: %s %s to %s", method, path, n.name)
		status := c.call(context.Background(), n, method, path, body)
		c.log.add("operator: %s %s at %s: %d", method, path, n.name, status)
		if status/100 == 2 {
			return nil
		}
		if status/100 == 4 {
			return fmt.Errorf("%s %s: %d", method, path, status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s is not acknowledged", method, path)
}

// route is a route of the configuration.
type route struct{ name, kind, prefix, service string }

// configure puts the first configuration.
func (c *cluster) configure(limit time.Duration, routes ...route) error {
	var rules, clusters []string
	known := make(map[string]bool)
	for _, r := range routes {
		rules = append(rules, fmt.Sprintf(`{"name":%q,"routeType":%q,"targetLatency":"600ms","priority":1,"sticky":false,"match":{"pathPrefix":%q},"action":{"service":%q,"timeout":"4000ms","maxAttempts":2,"allowedRegions":[]}}`, r.name, r.kind, r.prefix, r.service))
		if !known[r.service] {
			clusters = append(clusters, fmt.Sprintf(`{"name":%q,"healthPath":"/health","maxConns":330,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":3.5}`, r.service))
		}
		known[r.service] = true
	}
	body := fmt.Sprintf(`{"version":3,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":0,"listeners":[{"host":%q,"rules":[%s]}],"clusters":[%s]}`,
		host, strings.Join(rules, ","), strings.Join(clusters, ","))
	return c.order(limit, http.MethodPut, "/ledgesill/config", []byte(body))
}
