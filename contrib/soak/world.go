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

// Bounds of the promises that are checked, with room for a busy machine.
const (
	drainBound    = 2500 * time.Millisecond
	evacuateBound = 5 * time.Second
	applyBound    = 2500 * time.Millisecond
	busySlack     = 1500 * time.Millisecond
	stopBound     = 6500 * time.Millisecond
)

// size says how many processes and stand-ins a run has, and whether all processes
// end at once in its middle.
type size struct {
	controls, entries, targets, clients int
	allOff                              bool
}

// world is one run: real processes, stand-ins and what was seen of them.
type world struct {
	random   *rand.Rand
	seed     uint64
	folder   string
	controls []*process
	entries  []*process
	proxies  map[string]*proxy // of control replicas, by name and use, and of targets
	ledger   *standin.Ledger
	promises promises
	counts   counts
	history  *history

	mu      sync.Mutex
	targets []*standin.Served
	closed  bool
	needs   []need
	inNeed  map[string]bool
	next    int
	run     int
	config  configState
}

// counts are what a run reports.
type counts struct {
	mu       sync.Mutex
	requests map[string]int
	faults   map[string]int
	checks   map[string]int
}

func (c *counts) request(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[kind]++
}

// checked tells how often something was looked at that must hold.
func (c *counts) checked(kind string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks[kind] += count
}

func (c *counts) fault(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults[kind]++
}

func newWorld(binary, folder string, run int, seed uint64, n size) (*world, error) {
	w := &world{
		random:  rand.New(rand.NewPCG(seed, 7)),
		seed:    seed,
		folder:  folder,
		proxies: make(map[string]*proxy),
		ledger:  standin.NewLedger(),
		run:     run,
		history: newHistory(),
		inNeed:  make(map[string]bool),
	}
	w.config.doubtful = make(map[int][]byte)
	w.counts.requests, w.counts.faults, w.counts.checks = make(map[string]int), make(map[string]int), make(map[string]int)
	for i := range n.controls {
		w.controls = append(w.controls, w.newProcess(binary, fmt.Sprint("control", i), true, i))
	}
	for i := range n.entries {
		w.entries = append(w.entries, w.newProcess(binary, fmt.Sprint("entry", i), false, i))
	}
	for _, p := range w.controls {
		for use, port := range map[string]int{"calls": controlPort, "peers": peerPort} {
			x, err := newProxy(fmt.Sprintf("%s:%d", p.told, port), fmt.Sprintf("%s:%d", p.ip, port))
			if err != nil {
				return w, err
			}
			w.proxies[p.name+" "+use] = x
		}
	}
	for _, p := range append(append([]*process(nil), w.controls...), w.entries...) {
		if err := os.MkdirAll(p.folder, 0o700); err != nil {
			return w, fmt.Errorf("making a folder: %w", err)
		}
		if err := p.start(); err != nil {
			return w, err
		}
	}
	for range n.targets {
		if err := w.addTarget(); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) newProcess(binary, name string, control bool, i int) *process {
	host := i + 1
	if !control {
		host += 100
	}
	p := &process{
		name: name, control: control, zone: zones[i%len(zones)], binary: binary,
		ip: fmt.Sprintf("127.77.%d.%d", w.run, host), told: fmt.Sprintf("127.78.%d.%d", w.run, host),
		folder: filepath.Join(w.folder, name),
	}
	p.settings = func(first bool) string { return settingsOf(p, w, first) }
	return p
}

// addTarget starts a target behind a proxy.
func (w *world) addTarget() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	id := fmt.Sprintf("i-%d", w.next)
	host := w.next%250 + 1
	s, err := standin.NewServed(id, "svc", zones[w.next%len(zones)], fmt.Sprintf("127.79.%d.%d:0", w.run, host), 5*time.Millisecond, w.ledger)
	if err != nil {
		return err
	}
	x, err := newProxy(fmt.Sprintf("127.80.%d.%d:0", w.run, host), s.Address())
	if err != nil {
		return err
	}
	s.Announced = x.address()
	s.Controls = w.controlAddresses
	s.EndsUnder = fatalPath
	s.Ended = func() { w.replaceEnded(id, x) }
	w.proxies[id] = x
	w.targets = append(w.targets, s)
	s.Start()
	return nil
}

func (w *world) controlAddresses() []string {
	var out []string
	for _, p := range w.controls {
		out = append(out, fmt.Sprintf("%s:%d", p.told, controlPort))
	}
	return out
}

func (w *world) close() {
	for _, p := range append(append([]*process(nil), w.controls...), w.entries...) {
		if p.command != nil {
			p.kill()
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, t := range w.targets {
		t.Close()
	}
	for _, x := range w.proxies {
		x.close()
	}
}

// configState is what the operator knows of the document of routes.
type configState struct {
	mu sync.Mutex
	// acked is the newest acknowledged number, body its text and at when it
	// was acknowledged.
	acked int
	body  []byte
	at    time.Time
	// doubtful holds numbers without a clear answer since then.
	doubtful map[int][]byte
	number   int
}

func document(number, base int) []byte {
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
		panic(err) // all values are of this function
	}
	return body
}

var operatorClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends an order or question to one replica; status 0 stands for no
// clear answer.
func call(method, address, path string, body []byte) (status int, text []byte) {
	r, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	answer, err := operatorClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	if text, err = io.ReadAll(answer.Body); err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// settle sends an order to one replica after the other until one gives a clear
// answer or the time is over.
func (w *world) settle(method, path string, body []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		list := w.controlAddresses()
		status, _ := call(method, list[i%len(list)], path, body)
		if status == http.StatusOK || status >= 400 && status < 500 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// changeConfig puts a next document in force; several operators may do so at once.
func (w *world) changeConfig(limit time.Duration) bool {
	c := &w.config
	c.mu.Lock()
	c.number++
	number, base := c.number, c.acked
	body := document(number, base)
	c.mu.Unlock()
	called := w.history.now()
	told := verdictOf(w.settle(http.MethodPut, "/ledgesill/config", body, limit))
	w.history.wrote(write{number, base}, called, told)
	if told == accepted {
		w.adopt(number, body)
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if told == unclear {
		c.doubtful[number] = body
	}
	return false
}

// readConfig reads the document from one replica and checks that it is not
// older than what was acknowledged before the read.
func (w *world) readConfig(address string) bool {
	w.config.mu.Lock()
	acked, body, doubtful := w.config.acked, w.config.body, maps.Clone(w.config.doubtful)
	w.config.mu.Unlock()
	called := w.history.now()
	status, text := call(http.MethodGet, address, "/ledgesill/config", nil)
	if status != http.StatusOK {
		return false
	}
	var read struct{ Version int }
	if err := json.Unmarshal(text, &read); err != nil {
		w.promises.broken("a read of the document gave %q", text)
		return false
	}
	w.history.readNumber(read.Version, called)
	if read.Version < acked {
		w.promises.broken("a read gave document %d after %d was acknowledged", read.Version, acked)
	}
	if read.Version == acked && !bytes.Equal(text, body) {
		w.promises.broken("document %d reads different from what was sent", acked)
	}
	if want, ok := doubtful[read.Version]; ok && bytes.Equal(text, want) {
		w.adopt(read.Version, want)
	}
	return true
}

// adopt takes a document as acknowledged that was found in force.
func (w *world) adopt(number int, body []byte) {
	w.config.mu.Lock()
	defer w.config.mu.Unlock()
	if number > w.config.acked {
		w.config.acked, w.config.body, w.config.at = number, body, time.Now()
		clear(w.config.doubtful)
	}
}
