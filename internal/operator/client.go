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

// Client sends requests to the control replicas. It tries the next one if a replica
// does not answer or is not the leader.
type Client struct {
	addresses []string
	token     string
	scheme    string
	http      *http.Client

	mu sync.Mutex
	// preferred is the replica that answered last; it is tried first.
	preferred string
}

const (
	attemptTimeout   = 5 * time.Second
	retryInterval    = 200 * time.Millisecond
	maxRounds        = 10
	maxResponseBytes = 64 << 20
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

// FailureError is an error that a control replica returned.
type FailureError struct {
	Status  int
	Failure Failure
}

// Error implements error.
func (e *FailureError) Error() string { return e.Failure.Message + " (" + e.Failure.Code + ")" }

// UnreachableError reports that no control replica answered.
type UnreachableError struct {
	Addresses []string
	Last      error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no control replica of %s answers: %v", strings.Join(e.Addresses, ", "), e.Last)
}

// Unwrap returns the last error.
func (e *UnreachableError) Unwrap() error { return e.Last }

// Do sends a request to the leader and decodes its answer. Changes carry an ID, so
// that they can be sent again.
func (c *Client) Do(ctx context.Context, method, path string, body, into any) error {
	var last error
	candidates := c.candidates()
	for range maxRounds {
		for i := 0; i < len(candidates); i++ {
			leader, err := c.attempt(ctx, candidates[i], method, path, body, into)
			if err == nil || isFinal(err) {
				c.setPreferred(candidates[i])
				return err
			}
			last = err
			if leader != "" && leader != candidates[i] {
				candidates = append([]string{leader}, c.addresses...)
				break
			}
		}
		select {
		case <-ctx.Done():
			return &UnreachableError{c.addresses, last}
		case <-time.After(retryInterval):
		}
	}
	return &UnreachableError{c.addresses, last}
}

// candidates returns the addresses to try, the replica that answered last first.
func (c *Client) candidates() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.preferred == "" {
		return c.addresses
	}
	return append([]string{c.preferred}, c.addresses...)
}

func (c *Client) setPreferred(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.preferred = address
}

// isFinal reports whether every replica would return the same error.
func isFinal(err error) bool {
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

func (c *Client) attempt(ctx context.Context, address, method, path string, body, into any) (leader string, err error) {
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
		return "", fmt.Errorf("creating the request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return "", fmt.Errorf("sending the request to %s: %w", address, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
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
		return "", fmt.Errorf("decoding the answer of %s: %w", address, err)
	}
	return "", nil
}
