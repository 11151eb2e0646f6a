package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// Config is what a Client is told.
type Config struct {
	// Boxes are addresses of entry boxes to ask first.
	Boxes   []string
	Service string
	// Home and Block say where this caller comes from.
	Home  string
	Block string
	HTTP  *http.Client
	// Nonce returns a text that no other request of any caller has.
	Nonce func() string
}

// Client sends requests of one service. It is safe for concurrent use.
type Client struct {
	config Config

	mu      sync.Mutex
	answer  LookupAnswer
	expires time.Time
	first   int
	pinned  string
}

// NewClient returns a client that has not looked up anything yet.
func NewClient(c Config) *Client { return &Client{config: c} }

// Request is one request.
type Request struct {
	Method string
	Path   string
	Body   []byte
	Header http.Header
	// Timeout is how long to wait for the final answer, resends included.
	Timeout time.Duration
	// Repeatable requests may run more than once; others get a request key.
	Repeatable bool
	// Key is set to resend an earlier request; empty for a new key.
	Key string
}

// Answer is the final answer to a request.
type Answer struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Key is the request key that was used, if any.
	Key string
	// Attempts is how often the request was sent.
	Attempts int
	// RetryAfter says when to come back after a refusal.
	RetryAfter time.Duration
}

// NoBoxError says that no entry box answered a look-up.
type NoBoxError struct{ Last error }

// Error implements error.
func (e *NoBoxError) Error() string { return fmt.Sprintf("no entry box answers: %v", e.Last) }

// Unwrap returns the last failure.
func (e *NoBoxError) Unwrap() error { return e.Last }

const (
	defaultTimeout = 10 * time.Second
	lookupTimeout  = time.Second
	firstPause     = 20 * time.Millisecond
	maxPause       = time.Second
	maxAnswerBytes = 256 << 20
)

// Lookup returns the entry boxes to use, from the cache while it is valid.
func (c *Client) Lookup(ctx context.Context) (LookupAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.answer, nil
	}
	var last error
	for _, address := range c.known() {
		a, err := c.lookupAt(ctx, address)
		if err != nil {
			last = err
			continue
		}
		if address == c.pinned {
			a.Boxes = []Box{{Address: address}}
		}
		c.answer = a
		c.expires = time.Now().Add(a.TTL())
		return a, nil
	}
	return LookupAnswer{}, &NoBoxError{last}
}

// known returns the addresses to ask: those of the last answer and then the
// configured ones, from another place each time.
func (c *Client) known() []string {
	var out []string
	if c.pinned != "" {
		out = append(out, c.pinned)
	}
	for _, b := range c.answer.Boxes {
		out = append(out, b.Address)
	}
	c.first++
	for i := range c.config.Boxes {
		out = append(out, c.config.Boxes[(c.first+i)%len(c.config.Boxes)])
	}
	return out
}

func (c *Client) lookupAt(ctx context.Context, address string) (LookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	query := url.Values{"service": {c.config.Service}, "home": {c.config.Home}, "block": {c.config.Block}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+LookupPath+"?"+query.Encode(), nil)
	if err != nil {
		return LookupAnswer{}, fmt.Errorf("making a look-up: %w", err)
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %s", address, response.Status)
	}
	var a LookupAnswer
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %w", address, err)
	}
	return a, nil
}

// forget drops the cached answer after it led nowhere.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// Do sends a request and returns its final answer. A request that may not be
// repeated is resent under the same key, so that it runs at most once; a new
// key is taken only after an answer that says it did not run.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	key := r.Key
	pause := firstPause
	sent := r.Key != "" // a resend: it may have run when it was sent before
	out := Answer{Outcome: NotRun}
	if sent {
		out.Outcome = Unknown
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		look, err := c.Lookup(ctx)
		if err != nil {
			if !wait(ctx, pause) {
				out.Key = key // with it the request can be sent again without a second run
				return out, err
			}
			pause = min(2*pause, maxPause)
			continue
		}
		if key == "" && !r.Repeatable {
			key = look.KeyScope + "~" + c.config.Nonce()
		}
		box := look.Boxes[attempt%len(look.Boxes)]
		out.Attempts++
		a, err := c.send(ctx, box.Address, r, key)
		a.Attempts = out.Attempts
		a.Key = key
		if err == nil && a.Outcome == Ran {
			return a, nil
		}
		if err == nil {
			out = a
		}
		if err == nil && a.Outcome == Unknown && !r.Repeatable {
			return out, nil
		}
		if err != nil || a.Outcome == Unknown {
			sent = sent || !notSent(err)
			if sent {
				out.Outcome = Unknown
			}
			c.forget()
		}
		if err == nil && a.Outcome == NotRun {
			sent = false
			c.forget()
			if r.Key == "" {
				key = ""
			}
			pause = max(pause, a.RetryAfter)
		}
		if !wait(ctx, pause) {
			break
		}
		pause = min(2*pause, maxPause)
	}
	out.Key = key
	return out, nil
}

func wait(ctx context.Context, pause time.Duration) bool {
	if at, ok := ctx.Deadline(); ok && time.Until(at) < pause {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(pause):
		return true
	}
}

// notSent reports whether a request surely did not leave this process.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial)
}

// dialError says that no connection to an entry box could be opened.
type dialError struct{ err error }

// Error implements error.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

func (c *Client) send(ctx context.Context, address string, r Request, key string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+ServicePrefix+c.config.Service+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &dialError{fmt.Errorf("making the request: %w", err)}
	}
	for name, values := range r.Header {
		request.Header[name] = values
	}
	if at, ok := ctx.Deadline(); ok {
		request.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(at).Milliseconds(), 10))
	}
	request.Header.Set(HeaderRepeatable, strconv.FormatBool(r.Repeatable))
	request.Header.Set(HeaderHome, c.config.Home)
	request.Header.Set(HeaderBlock, c.config.Block)
	if key != "" && !r.Repeatable {
		request.Header.Set(HeaderKey, key)
	}
	response, err := c.config.HTTP.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("sending to %s: %w", address, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	a := Answer{
		Outcome: Outcome(response.Header.Get(HeaderOutcome)),
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    body,
	}
	if millis, err := strconv.Atoi(response.Header.Get(HeaderRetryAfter)); err == nil {
		a.RetryAfter = time.Duration(millis) * time.Millisecond
	}
	return a, nil
}

// Pin makes the client use one entry box until its next look-up fails: it looks
// up there and sends its requests there.
func (c *Client) Pin(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = address
	c.expires = time.Time{}
}
