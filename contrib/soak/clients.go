package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

const (
	clientPause   = 15 * time.Millisecond
	clientTimeout = 2500 * time.Millisecond
	lookupTTL     = time.Second
	// A client cancels one in cancelOneIn requests, at most maxCancelDelay after sending it.
	cancelOneIn    = 8
	maxCancelDelay = 30 * time.Millisecond
)

// client sends requests to the boxes that a lookup returned. It keeps using an open
// connection until that breaks.
type client struct {
	harness    *harness
	number     int
	http       *http.Client
	boxes      []string
	lookedUpAt time.Time
	records    []attemptRecord
	// random determines which requests the client cancels, and when.
	random *rand.Rand
}

func newClient(h *harness, number int) *client {
	random := rand.New(rand.NewPCG(h.seed, uint64(number)))
	return &client{harness: h, number: number, random: random, http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.refreshBoxes()
		switch {
		case len(c.boxes) == 0:
		case n%pipelineOneIn == 0:
			c.sendPipelined(n)
		default:
			c.send(n)
		}
		time.Sleep(clientPause)
	}
	c.http.CloseIdleConnections()
}

// refreshBoxes looks up the boxes again once the last result is older than lookupTTL. The
// result stays in use if the lookup fails.
func (c *client) refreshBoxes() {
	if time.Since(c.lookedUpAt) < lookupTTL {
		return
	}
	p := c.harness.controls[(c.number+int(time.Now().UnixMilli()))%len(c.harness.controls)]
	path := fmt.Sprintf("/ledgesill/resolve?name=a.example&region=%s&zone=%s", regionOf(zones[c.number%len(zones)]), zones[c.number%len(zones)])
	status, text := doRequest(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, lookupPort), path, nil)
	var response struct{ Addresses []string }
	if status == http.StatusOK && json.Unmarshal(text, &response) == nil && len(response.Addresses) > 0 {
		c.setBoxes(response.Addresses)
		c.lookedUpAt = time.Now()
	}
}

// keepEvery is the share of the clients, one in so many, that go on using boxes which lookups no longer
// name.
const keepEvery = 3

// setBoxes sets the boxes that the client uses.
func (c *client) setBoxes(named []string) {
	if c.number%keepEvery > 0 {
		c.boxes = named
		return
	}
	for _, address := range named {
		if !slices.Contains(c.boxes, address) {
			c.boxes = append(c.boxes, address)
		}
	}
}

func (c *client) send(n int) {
	id := fmt.Sprintf("r%d-%d-%d", c.harness.network, c.number, n)
	once := n%2 == 1
	path, method, body := fmt.Sprintf("/safe/%d", n), http.MethodGet, ""
	if once {
		path, method, body = fmt.Sprintf("/once/%d", n), http.MethodPost, strings.Repeat("b", n%300)
	}
	r, err := http.NewRequest(method, "http://"+c.boxes[n%len(c.boxes)]+path, strings.NewReader(body))
	if err != nil {
		return
	}
	r.Host = "a.example"
	r.GetBody = nil // keeps net/http from sending a request twice
	r.Header.Set("X-Ledgesill-Attempt-Id", id)
	r.Header.Set("X-Ledgesill-Affinity-Key", fmt.Sprint(n%20))
	r.Header.Set("X-Ledgesill-Request-Deadline", "2000")
	workspace := workspaceOf(c.number)
	r.Header.Set("Api-Key", apiKeyOf(workspace))
	r.Header.Set("X-Ledgesill-Tenant", "of the caller's own making")
	record := attemptRecord{id: id, unrepeatable: once, workspace: workspace, sent: time.Now(), box: r.URL.Host}
	ctx, cancel := c.requestContext()
	defer cancel()
	record.status = c.exchange(r.WithContext(ctx), standin.ResponseBody(id, path, []byte(body)))
	c.records = append(c.records, record)
	kind := "broken"
	if record.status != 0 {
		kind = fmt.Sprint(record.status)
	} else if ctx.Err() != nil {
		kind = "left"
		c.records[len(c.records)-1].left = true
	}
	c.harness.counts.countRequest(kind)
}

// requestContext returns the context of a request, which is canceled early for one in
// cancelOneIn requests.
func (c *client) requestContext() (context.Context, context.CancelFunc) {
	if c.random.IntN(cancelOneIn) > 0 {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), time.Duration(c.random.Int64N(int64(maxCancelDelay))))
}

func (c *client) exchange(r *http.Request, want []byte) int {
	response, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && !bytes.Equal(text, want) {
		c.harness.violations.add("request %s got a wrong response body: %.60q", r.Header.Get("X-Ledgesill-Attempt-Id"), text)
	}
	if bytes.HasPrefix(text, []byte(quarantinedBody)) {
		c.harness.violations.add("request %s was quarantined", r.Header.Get("X-Ledgesill-Attempt-Id"))
	}
	refused := response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests
	if refused && response.Header.Get("Retry-After") == "" {
		c.harness.violations.add("response with status %d has no Retry-After header", response.StatusCode)
	}
	return response.StatusCode
}

// runClients runs the clients until the context ends and returns their results.
func (h *harness) runClients(ctx context.Context, clients int) []attemptRecord {
	var running sync.WaitGroup
	all := make([]*client, clients)
	for i := range all {
		all[i] = newClient(h, i)
		running.Add(1)
		go func() {
			defer running.Done()
			all[i].run(ctx)
		}()
	}
	running.Wait()
	var out []attemptRecord
	for _, c := range all {
		out = append(out, c.records...)
	}
	return out
}
