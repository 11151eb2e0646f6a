package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

const (
	clientPause   = 15 * time.Millisecond
	clientTimeout = 2500 * time.Millisecond
	holdAnswer    = time.Second
	// leaveOneOf is how many requests a client sends for one that it leaves, and leaveWithin
	// in what time it does.
	leaveOneOf  = 8
	leaveWithin = 30 * time.Millisecond
)

// client sends requests to the boxes that look-ups name. It goes on using an
// open connection until that breaks.
type client struct {
	world   *world
	number  int
	http    *http.Client
	boxes   []string
	asked   time.Time
	records []attemptRecord
	// random draws which requests the client leaves, and when.
	random *rand.Rand
}

func newClient(w *world, number int) *client {
	random := rand.New(rand.NewPCG(w.seed, uint64(number)))
	return &client{world: w, number: number, random: random, http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

func (c *client) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.lookUp()
		if len(c.boxes) > 0 {
			c.send(n)
		}
		time.Sleep(clientPause)
	}
	c.http.CloseIdleConnections()
}

// lookUp asks for boxes once the answer at hand is old; a failed question
// leaves it as it is.
func (c *client) lookUp() {
	if time.Since(c.asked) < holdAnswer {
		return
	}
	p := c.world.controls[(c.number+int(time.Now().UnixMilli()))%len(c.world.controls)]
	path := fmt.Sprintf("/ledgesill/resolve?name=a.example&region=%s&zone=%s", regionOf(zones[c.number%len(zones)]), zones[c.number%len(zones)])
	status, text := call(http.MethodGet, fmt.Sprintf("%s:%d", p.ip, lookupPort), path, nil)
	var answer struct{ Addresses []string }
	if status == http.StatusOK && json.Unmarshal(text, &answer) == nil && len(answer.Addresses) > 0 {
		c.boxes = answer.Addresses
		c.asked = time.Now()
	}
}

func (c *client) send(n int) {
	id := fmt.Sprintf("r%d-%d-%d", c.world.run, c.number, n)
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
	r.GetBody = nil // the client itself must not send a request twice
	r.Header.Set("X-Ledgesill-Attempt-Id", id)
	r.Header.Set("X-Ledgesill-Affinity-Key", fmt.Sprint(n%20))
	r.Header.Set("X-Ledgesill-Request-Deadline", "2000")
	workspace := workspaceOf(c.number)
	r.Header.Set("Api-Key", keyOf(workspace))
	r.Header.Set("X-Ledgesill-Tenant", "of the caller's own making")
	record := attemptRecord{id: id, once: once, workspace: workspace, sent: time.Now(), box: r.URL.Host}
	ctx, left := c.patience()
	defer left()
	record.status = c.exchange(r.WithContext(ctx), standin.Answer(id, path, []byte(body)))
	c.records = append(c.records, record)
	kind := "broken"
	if record.status != 0 {
		kind = fmt.Sprint(record.status)
	} else if ctx.Err() != nil {
		kind = "left"
	}
	c.world.counts.request(kind)
}

// patience returns a context that ends when the client leaves, which it does now and then.
func (c *client) patience() (context.Context, context.CancelFunc) {
	if c.random.IntN(leaveOneOf) > 0 {
		return context.Background(), func() {}
	}
	return context.WithTimeout(context.Background(), time.Duration(c.random.Int64N(int64(leaveWithin))))
}

func (c *client) exchange(r *http.Request, want []byte) int {
	answer, err := c.http.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0
	}
	if answer.StatusCode == http.StatusOK && !bytes.Equal(text, want) {
		c.world.promises.broken("%s got another answer: %.60q", r.Header.Get("X-Ledgesill-Attempt-Id"), text)
	}
	if bytes.HasPrefix(text, []byte(heldBody)) {
		c.world.promises.broken("%s was kept from targets", r.Header.Get("X-Ledgesill-Attempt-Id"))
	}
	refused := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	if refused && answer.Header.Get("Retry-After") == "" {
		c.world.promises.broken("a refusal without a time to come back")
	}
	return answer.StatusCode
}

// traffic runs the clients until the context ends and returns what they saw.
func (w *world) traffic(ctx context.Context, clients int) []attemptRecord {
	var running sync.WaitGroup
	all := make([]*client, clients)
	for i := range all {
		all[i] = newClient(w, i)
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
