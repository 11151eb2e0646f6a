package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Bounds of the guarantees that are checked. busySlack is added for a busy machine.
const (
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5 * time.Second
	applyBound    = 2500 * time.Millisecond
	busySlack     = 1500 * time.Millisecond
	stopBound     = 6500 * time.Millisecond
)

// size says how many processes and stand-ins a run has, and whether all processes are
// killed at once halfway through.
type size struct {
	controls, entries, targets, clients int
	allOff                              bool
}

// harness holds the processes and stand-ins of one run and what was observed of them.
type harness struct {
	random     *rand.Rand
	seed       uint64
	dir        string
	controls   []*process
	entries    []*process
	proxies    map[string]*proxy // of control replicas by process name and use, of targets by ID
	runLog     *standin.RunLog
	violations violationList
	counts     counts
	history    *history

	mu             sync.Mutex
	targets        []*standin.PlatformTarget
	closed         bool
	limitPeriods   []limitPeriod
	claimedTargets map[string]bool
	cutState
	lastTarget int
	network    int
	routes     documentState
}

// counts are the counters that a run prints.
type counts struct {
	mu       sync.Mutex
	requests map[string]int
	faults   map[string]int
	checks   map[string]int
}

func (c *counts) countRequest(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[kind]++
}

// countChecks adds to the number of checks of one kind.
func (c *counts) countChecks(kind string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks[kind] += count
}

func (c *counts) countFault(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[kind]++
}

func newHarness(binary, dir string, network int, seed uint64, n size) (*harness, error) {
	h := &harness{
		random:         rand.New(rand.NewPCG(seed, 7)),
		seed:           seed,
		dir:            dir,
		proxies:        make(map[string]*proxy),
		runLog:         standin.NewRunLog(),
		network:        network,
		history:        newHistory(),
		claimedTargets: make(map[string]bool),
	}
	h.cuts = make(map[*process]cutKind)
	h.routes.unconfirmed = make(map[int][]byte)
	h.counts.requests, h.counts.faults, h.counts.checks = make(map[string]int), make(map[string]int), make(map[string]int)
	for i := range n.controls {
		h.controls = append(h.controls, h.newProcess(binary, fmt.Sprint("control", i), true, i))
	}
	for i := range n.entries {
		h.entries = append(h.entries, h.newProcess(binary, fmt.Sprint("entry", i), false, i))
	}
	for _, p := range h.controls {
		for use, port := range map[string]int{"calls": controlPort, "peers": peerPort} {
			px, err := newProxy(fmt.Sprintf("%s:%d", p.advertised, port), fmt.Sprintf("%s:%d", p.ip, port))
			if err != nil {
				return h, err
			}
			h.proxies[p.name+" "+use] = px
		}
	}
	for _, p := range append(append([]*process(nil), h.controls...), h.entries...) {
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return h, fmt.Errorf("creating the directory of %s: %w", p.name, err)
		}
		if err := p.start(); err != nil {
			return h, err
		}
	}
	for range n.targets {
		if err := h.addTarget(); err != nil {
			return h, err
		}
	}
	return h, nil
}

func (h *harness) newProcess(binary, name string, control bool, i int) *process {
	host := i + 1
	if !control {
		host += 100
	}
	p := &process{
		name: name, control: control, zone: zones[i%len(zones)], binary: binary,
		ip: fmt.Sprintf("127.77.%d.%d", h.network, host), advertised: fmt.Sprintf("127.78.%d.%d", h.network, host),
		dir: filepath.Join(h.dir, name),
	}
	if !control {
		p.targetNetwork = linkNetwork(i)
	}
	p.settings = func(first bool) string { return settingsText(p, h, first) }
	return p
}

// addTarget starts a target and a proxy in front of it. The target registers the address
// of the proxy.
func (h *harness) addTarget() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastTarget++
	id := fmt.Sprintf("i-%d", h.lastTarget)
	host := h.lastTarget%250 + 1
	s, err := standin.NewPlatformTarget(id, "svc", zones[h.lastTarget%len(zones)], fmt.Sprintf("127.79.%d.%d:0", h.network, host), 5*time.Millisecond, h.runLog)
	if err != nil {
		return err
	}
	px, err := newProxy(fmt.Sprintf("127.80.%d.%d:0", h.network, host), s.Address())
	if err != nil {
		return err
	}
	if err := h.addLinks(px); err != nil {
		return err
	}
	s.Advertised = px.address()
	s.ControlAddresses = h.controlAddresses
	s.CrashPath = fatalPath
	s.OnCrash = func() { h.replaceCrashed(id, px) }
	h.proxies[id] = px
	h.targets = append(h.targets, s)
	s.Start()
	return nil
}

func (h *harness) controlAddresses() []string {
	var out []string
	for _, p := range h.controls {
		out = append(out, fmt.Sprintf("%s:%d", p.advertised, controlPort))
	}
	return out
}

func (h *harness) close() {
	for _, p := range append(append([]*process(nil), h.controls...), h.entries...) {
		if p.command != nil {
			p.kill()
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	for _, t := range h.targets {
		t.Close()
	}
	for _, px := range h.proxies {
		px.close()
	}
}

// documentState is what the operators know of the routes document.
type documentState struct {
	mu sync.Mutex
	// acked is the highest acknowledged number, body its text and ackedAt when it was
	// acknowledged.
	acked   int
	body    []byte
	ackedAt time.Time
	// unconfirmed holds the documents sent since then whose outcome is unknown, by number.
	unconfirmed map[int][]byte
	last        int
}

// routesDocument returns a routes document in the platform's format.
func routesDocument(number, base int) []byte {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "routeType": kind, "targetLatency": "400ms", "priority": 1, "sticky": true,
			"match":  map[string]string{"pathPrefix": "/" + name + "/"},
			"action": map[string]any{"service": "svc", "timeout": "2s", "maxAttempts": 2, "allowedRegions": []string{}},
		}
	}
	rules := []any{route("safe", "safe"), route("once", "unsafe"), route(fmt.Sprint("n", number), "safe")}
	body, err := json.Marshal(map[string]any{
		"version": number, "baseVersion": base,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeout": "3s", "idleTimeout": "15s"},
		"listeners": []any{map[string]any{"host": "a.example", "rules": rules}},
		"clusters":  []any{map[string]any{"name": "svc", "healthPath": "/health", "maxConns": 100, "warmup": "1s", "warmupPerS": 10}},
		"tenants":   workspaces(),
	})
	if err != nil {
		panic(err) // all values above can be encoded
	}
	return body
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// doRequest sends a request to one replica. Status 0 means that its outcome is unknown.
func doRequest(method, address, path string, body []byte) (status int, text []byte) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := operatorClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if text, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// sendUntilAnswered sends a request to the replicas in turn until one answers with 200 or
// 4xx. It returns 0 if none does within limit.
func (h *harness) sendUntilAnswered(method, path string, body []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		list := h.controlAddresses()
		status, _ := doRequest(method, list[i%len(list)], path, body)
		if status == http.StatusOK || status >= 400 && status < 500 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// putNextDocument sends a new routes document and reports whether it was accepted.
// Several operators may do so at the same time.
func (h *harness) putNextDocument(limit time.Duration) bool {
	c := &h.routes
	c.mu.Lock()
	c.last++
	number, base := c.last, c.acked
	body := routesDocument(number, base)
	c.mu.Unlock()
	called := h.history.now()
	outcome := verdictOf(h.sendUntilAnswered(http.MethodPut, "/ledgesill/config", body, limit))
	h.history.recordWrite(write{number, base}, called, outcome)
	if outcome == accepted {
		h.recordAcknowledged(number, body)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == unknown {
		c.unconfirmed[number] = body
	}
	return false
}

// readDocument reads the document from one replica and checks that it is not older than
// the last one acknowledged before the read.
func (h *harness) readDocument(address string) bool {
	h.routes.mu.Lock()
	acked, body, unconfirmed := h.routes.acked, h.routes.body, maps.Clone(h.routes.unconfirmed)
	h.routes.mu.Unlock()
	called := h.history.now()
	status, text := doRequest(http.MethodGet, address, "/ledgesill/config", nil)
	if status != http.StatusOK {
		return false
	}
	var read struct{ Version int }
	if err := json.Unmarshal(text, &read); err != nil {
		h.violations.add("a read of the document returned invalid JSON: %q", text)
		return false
	}
	h.history.recordRead(read.Version, called)
	if read.Version < acked {
		h.violations.add("a read returned document %d after %d was acknowledged", read.Version, acked)
	}
	if read.Version == acked && !bytes.Equal(text, body) {
		h.violations.add("a read of document %d returned other content than was sent", acked)
	}
	if want, ok := unconfirmed[read.Version]; ok && bytes.Equal(text, want) {
		h.recordAcknowledged(read.Version, want)
	}
	return true
}

// recordAcknowledged records a document that was acknowledged or found active by a read.
func (h *harness) recordAcknowledged(number int, body []byte) {
	h.routes.mu.Lock()
	defer h.routes.mu.Unlock()
	if number > h.routes.acked {
		h.routes.acked, h.routes.body, h.routes.ackedAt = number, body, time.Now()
		clear(h.routes.unconfirmed)
	}
}
