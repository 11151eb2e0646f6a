package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in of a server: it registers, sends heartbeats and runs requests.
type Server struct {
	ID      string
	Address string
	Zone    string
	// Handle runs a request that is meant for this server.
	Handle func(w http.ResponseWriter, r *http.Request)

	deployment *Deployment
	server     *http.Server
	client     *http.Client
	stop       context.CancelFunc
	done       chan struct{}
	sequence   int

	mu sync.Mutex
	// answered holds when the whole answer to a request had been sent, by the id of the attempt.
	answered map[string]time.Time
}

const (
	heartbeatInterval = 1500 * time.Millisecond
	// slots is how many requests a server works on at once.
	slots = 8
	// maxHost is the last host number of an address; servers with higher ones share addresses.
	maxHost = 250
)

// startServer starts a server in a zone.
func startServer(d *Deployment, id, zone string, host int, handle func(s *Server, w http.ResponseWriter, r *http.Request)) (*Server, error) {
	address := d.serverAddress(host)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		ID: id, Address: address, Zone: zone, deployment: d, stop: cancel, done: make(chan struct{}), answered: make(map[string]time.Time),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.Handle = func(w http.ResponseWriter, r *http.Request) { handle(s, w, r) }
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	go s.beat(ctx)
	return s, nil
}

// serverAddress returns the address of a server.
func (d *Deployment) serverAddress(host int) string {
	const shared = 150
	port := d.ports.front
	if host > maxHost {
		port = d.ports.further + host/shared
		host = maxHost - host%shared
	}
	return fmt.Sprintf("%s.%d:%d", d.network, host, port)
}

// Close ends the server at once.
func (s *Server) Close() {
	s.stop()
	<-s.done
	_ = s.server.Close()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Ledgesill-Attempt-Id")
	w.Header().Set("X-Ledgesill-Attempt-Id", id)
	if want := r.Header.Get("X-Ledgesill-Expect-Instance"); want != "" && want != s.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.deployment.record.Add("server %s runs %s", s.ID, id)
	s.Handle(w, r)
}

// Answer sends a sealed answer.
func (s *Server) Answer(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("X-Ledgesill-Attempt-Id")
	w.Header().Set("X-Ledgesill-Server-Seal", "seal-"+id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if _, err := w.Write(body); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[id] = time.Now()
}

// answeredBy returns which server has sent the whole answer to a request, and when it had.
func answeredBy(servers []*Server, id string) (server *Server, at time.Time, whole bool) {
	for _, s := range servers {
		s.mu.Lock()
		found, ok := s.answered[id]
		s.mu.Unlock()
		if ok {
			return s, found, true
		}
	}
	return nil, time.Time{}, false
}

// beat sends heartbeats until the context ends.
func (s *Server) beat(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		s.beatOnce(ctx, i)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beatOnce sends one heartbeat to one node after the other until it is acknowledged.
func (s *Server) beatOnce(ctx context.Context, first int) {
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": slots, "state": "ready", "warmupLeft": "0ms", "seq": s.sequence,
	})
	if err != nil {
		return
	}
	o := &Operator{s.deployment, s.client}
	nodes := s.deployment.Controls
	for i := range nodes {
		status, _, err := o.send(http.MethodPut, "/ledgesill/instances/"+s.ID, string(body), nodes[(first+i)%len(nodes)])
		if ctx.Err() != nil || err == nil && status/100 == 2 {
			return
		}
	}
}
