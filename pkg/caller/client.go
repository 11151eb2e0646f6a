package caller

import (
	"bytes"
	"cmp"
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

	"ledgesill.dev/ledgesill/pkg/responsehead"
)

// Config configures a Client.
type Config struct {
	// Boxes are the addresses of the entry boxes to query first.
	Boxes   []string
	Service string
	// Home and Block are the caller's home region and block.
	Home  string
	Block string
	HTTP  *http.Client
	// Nonce returns a text that is unique among all requests of all callers.
	Nonce func() string
	// MaxAnswerBytes bounds the body of an answer; zero means 256 MB.
	MaxAnswerBytes int
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	config Config

	mu       sync.Mutex
	answer   LookupAnswer
	expires  time.Time
	rotation int
	pinned   string
}

// NewClient returns a client with an empty lookup cache.
func NewClient(c Config) *Client {
	c.MaxAnswerBytes = cmp.Or(c.MaxAnswerBytes, defaultMaxAnswerBytes)
	return &Client{config: c}
}

// Request is a request to the client's service.
type Request struct {
	Method string
	Path   string
	Body   []byte
	Header http.Header
	// Timeout is how long to wait for the final answer, including resends.
	Timeout time.Duration
	// Repeatable requests may run more than once. All others get a request key.
	Repeatable bool
	// Key is the key of an earlier request to resend. If empty, a new key is used.
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
	// Attempts is the number of times the request was sent.
	Attempts int
	// RetryAfter is the delay after which to retry a refused request.
	RetryAfter time.Duration
}

// NoBoxError is returned if no entry box answered a lookup.
type NoBoxError struct{ Last error }

// Error implements error.
func (e *NoBoxError) Error() string { return fmt.Sprintf("no entry box answers: %v", e.Last) }

// Unwrap returns the error of the last lookup.
func (e *NoBoxError) Unwrap() error { return e.Last }

const (
	defaultTimeout = 10 * time.Second
	lookupTimeout  = time.Second
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second

	defaultMaxAnswerBytes = 256 << 20
	// maxLookupBytes bounds a lookup answer, at about 60 bytes a box.
	maxLookupBytes = 1 << 20
)

// Lookup returns the entry boxes to use, from the cache while the cached answer is
// valid.
func (c *Client) Lookup(ctx context.Context) (LookupAnswer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.answer, nil
	}
	var last error
	for _, address := range c.lookupAddresses() {
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

// lookupAddresses returns the addresses to query: the pinned one if any, those of the last
// answer, then the configured ones, starting from another of these each time.
func (c *Client) lookupAddresses() []string {
	var out []string
	if c.pinned != "" {
		out = append(out, c.pinned)
	}
	for _, b := range c.answer.Boxes {
		out = append(out, b.Address)
	}
	c.rotation++
	for i := range c.config.Boxes {
		out = append(out, c.config.Boxes[(c.rotation+i)%len(c.config.Boxes)])
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
	if err := responsehead.CheckParsed(response); err != nil {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %w", address, err)
	}
	if response.StatusCode != http.StatusOK {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %s", address, response.Status)
	}
	text, err := readAnswer(response.Body, address, maxLookupBytes)
	if err != nil {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %w", address, err)
	}
	var a LookupAnswer
	if err := json.Unmarshal(text, &a); err != nil {
		return LookupAnswer{}, fmt.Errorf("looking up at %s: %w", address, err)
	}
	return a, nil
}

// invalidate drops the cached lookup answer after a request to one of its boxes failed.
func (c *Client) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// Do sends a request and returns its final answer. A request that must not be repeated
// is resent with the same key, so that it runs at most once. A new key is used only
// after an answer that says that the request did not run.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	key := r.Key
	backoff := initialBackoff
	sent := r.Key != "" // a resend: the request may have run when it was first sent
	out := Answer{Outcome: NotRun}
	if sent {
		out.Outcome = Unknown
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		found, err := c.Lookup(ctx)
		if err != nil {
			if !sleep(ctx, backoff) {
				out.Key = key // with the key, a resend can't run the request twice
				return out, err
			}
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if key == "" && !r.Repeatable {
			key = found.KeyScope + "~" + c.config.Nonce()
		}
		box := found.Boxes[attempt%len(found.Boxes)]
		out.Attempts++
		a, err := c.send(ctx, box.Address, r, key)
		a.Attempts = out.Attempts
		a.Key = key
		if err == nil && a.Outcome == Ran {
			return a, nil
		}
		var tooLong *AnswerTooLongError
		if errors.As(err, &tooLong) {
			out.Outcome = Unknown
			out.Key = key
			return out, err
		}
		if err == nil {
			out = a
		}
		if err == nil && a.Outcome == Unknown && !r.Repeatable {
			return out, nil
		}
		if err != nil || a.Outcome == Unknown {
			sent = sent || !neverSent(err)
			if sent {
				out.Outcome = Unknown
			}
			c.invalidate()
		}
		if err == nil && a.Outcome == NotRun {
			sent = false
			c.invalidate()
			if r.Key == "" {
				key = ""
			}
			backoff = max(backoff, a.RetryAfter)
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	out.Key = key
	return out, nil
}

func sleep(ctx context.Context, backoff time.Duration) bool {
	if at, ok := ctx.Deadline(); ok && time.Until(at) < backoff {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(backoff):
		return true
	}
}

// neverSent reports whether a request certainly did not leave this process.
func neverSent(err error) bool {
	var unsent *unsentError
	return errors.As(err, &unsent)
}

// unsentError is an error that occurred before a request was sent.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unsentError) Unwrap() error { return e.err }

func (c *Client) send(ctx context.Context, address string, r Request, key string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+ServicePrefix+c.config.Service+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Answer{}, &unsentError{fmt.Errorf("making the request: %w", err)}
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
	if err := responsehead.CheckParsed(response); err != nil {
		return Answer{}, fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	body, err := readAnswer(response.Body, address, c.config.MaxAnswerBytes)
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

// Pin makes the client use a single entry box for lookups and requests. If a lookup there
// fails, the client uses the answer of another box until that answer expires.
func (c *Client) Pin(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pinned = address
	c.expires = time.Time{}
}

// readAnswer reads a body of at most limit bytes. The error of a longer one is an
// AnswerTooLongError.
func readAnswer(body io.Reader, box string, limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && len(text) > limit {
		return nil, &AnswerTooLongError{Box: box, Limit: limit}
	}
	return text, err
}

// AnswerTooLongError is returned if the body of an answer is longer than Config.MaxAnswerBytes, or a
// lookup answer longer than its own limit. The request may have run.
type AnswerTooLongError struct {
	Box string
	// Limit is in bytes.
	Limit int
}

// Error implements error.
func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("the answer of %s is longer than %d bytes", e.Box, e.Limit)
}
