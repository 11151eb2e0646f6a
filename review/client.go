package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "shop.example"

var attempts atomic.Int64

// reply is what a client saw of one attempt.
type reply struct {
	attempt    string
	status     int
	retryAfter string
	sealed     bool
	err        error
}

func (r reply) ok() bool { return r.err == nil && r.status == http.StatusOK && r.sealed }

// client sends requests from one loopback address.
type client struct {
	log    *record
	source string
}

// send sends one attempt on a new connection and waits for its answer.
func (c *client) send(n *node, method, path string, body []byte, wait time.Duration) reply {
	out := reply{attempt: fmt.Sprintf("a%d", attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, callerPort, path), bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	r.Host = host
	r.Header.Set("X-Ledgesill-Attempt-Id", out.attempt)
	r.Header.Set("X-Ledgesill-Request-Deadline", fmt.Sprint(wait.Milliseconds()))
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.source)}}
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext, DisableCompression: true}}
	c.log.add("client %s: %s %s %s to %s", c.source, out.attempt, method, path, n.name)
	response, err := h.Do(r)
	if err == nil {
		out.status = response.StatusCode
		out.retryAfter = response.Header.Get("Retry-After")
		out.sealed = response.Header.Get("X-Ledgesill-Server-Seal") != ""
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	out.err = err
	c.log.add("client %s: %s gets status %d, Retry-After %q, sealed %v, error %v", c.source, out.attempt, out.status, out.retryAfter, out.sealed, out.err)
	return out
}

// tally counts what clients got.
type tally struct {
	mu         sync.Mutex
	sent, good int
	last       reply
}

func (t *tally) add(r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if r.ok() {
		t.good++
	}
	t.last = r
}

func (t *tally) counts() (sent, good int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sent, t.good
}

// isReady asks a node as the platform's checks do.
func (c *cluster) isReady(n *node) bool {
	h := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := h.Get(fmt.Sprintf("http://%s:%d/ledgesill/ready", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
