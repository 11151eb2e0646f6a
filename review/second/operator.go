package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callTimeout is how long callers of the control API wait for a response before they move on.
const callTimeout = time.Second

// Operator sends orders to the control API as the pages say: after a failure, a 5xx, a 408 or 429, or
// a second without a response the same order goes to another node.
type Operator struct {
	deployment *Deployment
	client     *http.Client
}

func newOperator(d *Deployment) *Operator {
	return &Operator{d, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Order sends an order to the first of the given nodes, then to the others in turn, until it is
// answered with a 2xx or 4xx, for at most the limit. It returns the status.
func (o *Operator) Order(method, path, body string, nodes []*Machine, limit time.Duration) (int, error) {
	pause := 50 * time.Millisecond
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		node := nodes[i%len(nodes)]
		status, text, err := o.send(method, path, body, node)
		o.deployment.record.Add("operator: %s %s at %s: %d %s %v", method, path, node.Name, status, bytes.TrimSpace([]byte(text)), err)
		if err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests {
			return status, nil
		}
		time.Sleep(pause)
		pause *= 2
	}
	return 0, fmt.Errorf("no clear answer to %s %s in %s", method, path, limit)
}

func (o *Operator) send(method, path, body string, node *Machine) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var content io.Reader
	if body != "" {
		content = bytes.NewReader([]byte(body))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node.at(o.deployment.ports.control)+path, content)
	if err != nil {
		return 0, "", err
	}
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Configuration returns a configuration with one route to one service.
type Configuration struct {
	Version, Base int
	RouteType     string
	Timeout       string
	WarmupPerS    float64
	MaxAttempts   int
}

const (
	hostName = "site.example"
	prefix   = "/items/"
	service  = "items"
)

// Text returns the configuration as it is sent.
func (c Configuration) Text() string {
	return fmt.Sprintf(`{"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"baseVersion":%d,`+
		`"listeners":[{"host":%q,"rules":[{"name":"r-items","routeType":%q,"targetLatency":"400ms","priority":1,"sticky":false,"match":{"pathPrefix":%q},`+
		`"action":{"service":%q,"timeout":%q,"maxAttempts":%d,"allowedRegions":[]}}]}],`+
		`"clusters":[{"name":%q,"healthPath":"/health","maxConns":330,"protocol":"h1","tls":false,"warmup":"3s","warmupPerS":%g}]}`,
		c.Version, c.Base, hostName, c.RouteType, prefix, service, c.Timeout, max(c.MaxAttempts, 1), service, c.WarmupPerS)
}

// Configure has the first configuration taken.
func (o *Operator) Configure(c Configuration) error {
	status, err := o.Order(http.MethodPut, "/ledgesill/config", c.Text(), o.deployment.Controls, startBudget)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the configuration was answered %d", status)
	}
	return err
}
