package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

const (
	// One in pipelineOneIn turns of a client sends pipelinedRequests requests on one connection, the last
	// of which must run at most once.
	pipelineOneIn     = 6
	pipelinedRequests = 4
)

// pipelinedRequest is one of several requests that are sent before the first response.
type pipelinedRequest struct {
	record attemptRecord
	method string
	path   string
}

// sendPipelined sends several requests at once and checks that their responses come in order, each
// with the body of its own request.
func (c *client) sendPipelined(n int) {
	box := c.boxes[n%len(c.boxes)]
	requests := c.pipelined(n, box)
	conn, err := net.DialTimeout("tcp4", box, clientTimeout)
	if err != nil {
		c.recordPipelined(requests)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout)) // fails only if the connection is closed
	var text strings.Builder
	for _, p := range requests {
		fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Ledgesill-Attempt-Id: %s\r\nX-Ledgesill-Affinity-Key: %d\r\nX-Ledgesill-Request-Deadline: 2000\r\nApi-Key: %s\r\n",
			p.method, p.path, p.record.id, n%20, apiKeyOf(p.record.workspace))
		if p.method == http.MethodPost {
			text.WriteString("Content-Length: 0\r\n")
		}
		text.WriteString("\r\n")
	}
	if _, err := io.WriteString(conn, text.String()); err == nil {
		c.readPipelined(conn, requests)
	}
	c.recordPipelined(requests)
}

// pipelined returns the requests of one turn.
func (c *client) pipelined(n int, box string) []*pipelinedRequest {
	out := make([]*pipelinedRequest, pipelinedRequests)
	for i := range out {
		p := &pipelinedRequest{method: http.MethodGet, path: fmt.Sprintf("/safe/%d-%d", n, i)}
		p.record = attemptRecord{id: fmt.Sprintf("p%d-%d-%d-%d", c.harness.network, c.number, n, i), workspace: workspaceOf(c.number), sent: time.Now(), box: box}
		if i == len(out)-1 {
			p.method, p.path, p.record.unrepeatable = http.MethodPost, fmt.Sprintf("/once/%d-%d", n, i), true
		}
		out[i] = p
	}
	return out
}

// readPipelined reads the responses until one is missing, broken or closes the connection.
func (c *client) readPipelined(conn net.Conn, requests []*pipelinedRequest) {
	reader := bufio.NewReader(conn)
	for _, p := range requests {
		response, err := http.ReadResponse(reader, &http.Request{Method: p.method})
		if err != nil {
			return
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		p.record.status = response.StatusCode
		if response.StatusCode == http.StatusOK && !bytes.Equal(body, standin.ResponseBody(p.record.id, p.path, nil)) {
			c.harness.violations.add("pipelined request %s got a wrong response body: %.60q", p.record.id, body)
		}
		if response.Close {
			return
		}
	}
}

func (c *client) recordPipelined(requests []*pipelinedRequest) {
	answered := 0
	for _, p := range requests {
		c.records = append(c.records, p.record)
		if p.record.status == http.StatusOK {
			answered++
		}
	}
	c.harness.counts.countRequest("pipelined")
	c.harness.counts.countChecks("pipelined responses in order", answered)
}
