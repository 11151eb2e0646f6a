package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// Client sends requests to entry boxes.
type Client struct {
	deployment *Deployment
	http       *http.Client
}

func newClient(d *Deployment) *Client {
	return &Client{d, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func newAttemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request to a box and returns the status of the answer; zero if there was none.
func (c *Client) Send(method, path, attempt string, body io.Reader, box *Machine, deadline time.Duration) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+box.at(c.deployment.ports.front)+path, body)
	if err != nil {
		return 0, "", err
	}
	r.Host = hostName
	r.Header.Set("X-Ledgesill-Attempt-Id", attempt)
	r.Header.Set("X-Ledgesill-Request-Deadline", fmt.Sprint(deadline.Milliseconds()))
	response, err := c.http.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// awaitService waits until each box serves reads.
func awaitService(c *Client, boxes []*Machine) error {
	end := time.Now().Add(startBudget)
	for _, b := range boxes {
		for {
			status, _, err := c.Send(http.MethodGet, prefix+"0", newAttemptID(), nil, b, 2*time.Second)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s does not serve: %d %v", b.Name, status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
