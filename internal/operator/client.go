package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Client asks the control replicas, going on to the next when one does not
// answer or is not the leader.
type Client struct {
	addresses []string
	token     string
	scheme    string
	http      *http.Client

	mu sync.Mutex
	// last is the replica that answered last; it is asked first.
	last string
}

const (
	attemptTimeout = 5 * time.Second
	retryPause     = 200 * time.Millisecond
	rounds         = 10
	maxAnswer      = 64 << 20
)

// NewClient returns a client of the replicas' operator addresses. It uses TLS
// if the transport is configured for it.
func NewClient(addresses []string, token string, transport *http.Transport) *Client {
	c := &Client{addresses: addresses, token: token, scheme: "http://"}
	if transport.TLSClientConfig != nil {
		c.scheme = "https://"
	}
	c.http = &http.Client{Transport: transport, Timeout: attemptTimeout}
	return c
}

// FailureError is an error answer of a control replica.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error implements error.
func (e *FailureError) Error() string { return e.Failure.Message + " (" + e.Failure.Code + ")" }

// UnreachableError says that no control replica gave an answer.
type UnreachableError struct {
	Addresses []string
	Last      error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control replica of %s answers: %v", strings.Join(e.Addresses, ", "), e.Last)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error { return e.Last }

// Do sends a request to the leader and decodes its answer. A change is safe to
// send again since it carries an id.
func (c *Client) Do(ctx context.Context, method, path string, body, into any) error {
	var last error
	order := c.order()
	for range rounds {
		for i := 0; i < len(order); i++ {
			leader, err := c.try(ctx, order[i], method, path, body, into)
			if err == nil || final(err) {
				c.answered(order[i])
				return err
			}
			last = err
			if leader != "" && leader != order[i] {
				order = append([]string{leader}, c.addresses...)
				break
			}
		}
		select {
		case <-ctx.Done():
			return &UnreachableError{c.addresses, last}
		case <-time.After(retryPause):
		}
	}
	return &UnreachableError{c.addresses, last}
}

// order returns the addresses to ask, the replica that answered last first.
func (c *Client) order() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last == "" {
		return c.addresses
	}
	return append([]string{c.last}, c.addresses...)
}

func (c *Client) answered(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = address
}

// final reports whether another replica would answer the same.
func final(err error) bool {
	f, ok := err.(*FailureError)
	if !ok {
		return false
	}
	switch f.Failure.Code {
	case CodeNotLeader, CodeNoQuorum, CodeOutcomeUnknown:
		return false
	}
	return true
}

func (c *Client) try(ctx context.Context, address, method, path string, body, into any) (leader string, err error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return "", fmt.Errorf("encoding the request: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.scheme+address+path, reader)
	if err != nil {
		return "", fmt.Errorf("making the request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("asking %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return "", fmt.Errorf("reading the answer of %s: %w", address, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		f := &FailureError{Status: response.StatusCode}
		if err := json.Unmarshal(data, &f.Failure); err != nil {
			f.Failure = Failure{Code: http.StatusText(response.StatusCode), Message: strings.TrimSpace(string(data))}
		}
		return f.Failure.Leader, f
	}
	if err := json.Unmarshal(data, into); err != nil {
		return "", fmt.Errorf("the answer of %s: %w", address, err)
	}
	return "", nil
}
