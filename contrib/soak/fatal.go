package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// A fatal request (a query of death) crashes each target that runs it. It is sent again and
// again, with another ID each time and to the boxes in turn.
const (
	fatalPath     = "/fatal"
	fatalInterval = 300 * time.Millisecond
	// targetRestartDelay is after how long a crashed target is replaced.
	targetRestartDelay = 2 * time.Second
	// propagationBound is how long news, such as that the request is fatal, may take to reach
	// all boxes without faults. maxLateRuns is how many targets the request may crash later
	// than that.
	propagationBound = 4 * time.Second
	maxLateRuns      = 3
	// quarantinedBody is the start of the response to a quarantined request.
	quarantinedBody = "quarantined"
)

// sendFatalRequests sends the fatal request until the context ends and returns the attempt
// IDs that it used.
func (h *harness) sendFatalRequests(ctx context.Context) []string {
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var ids []string
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("fatal%d-%d", h.network, n)
		box := h.entries[n%len(h.entries)]
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/safe%s", box.ip, callerPort, fatalPath), nil)
		if err != nil {
			h.violations.add("%v", err)
			return ids
		}
		r.Host = "a.example"
		r.Header.Set("X-Ledgesill-Attempt-Id", id)
		r.Header.Set("X-Ledgesill-Request-Deadline", "2000")
		r.Header.Set("Api-Key", apiKeyOf(unlimitedWorkspace))
		ids = append(ids, id)
		if response, err := client.Do(r); err == nil {
			text, _ := io.ReadAll(response.Body) // a truncated body counts as far as it was read
			_ = response.Body.Close()
			h.checkFatalResponse(response.StatusCode, text)
		}
		time.Sleep(fatalInterval)
	}
	return ids
}

// checkFatalResponse counts a response to the fatal request and checks that it is no success.
func (h *harness) checkFatalResponse(status int, text []byte) {
	kind := fmt.Sprint("fatal ", status)
	if bytes.HasPrefix(text, []byte(quarantinedBody)) {
		kind = "fatal held"
	}
	h.counts.countRequest(kind)
	if status == http.StatusOK {
		h.violations.add("a fatal request was answered with status 200")
	}
}

// checkFatal checks how often the fatal request reached targets later than propagationBound
// after both the last fault and the third crash.
func (h *harness) checkFatal(ids []string, faultsEnd time.Time) {
	var runs []time.Time
	for _, id := range ids {
		for _, r := range h.runLog.Runs(id) {
			runs = append(runs, r.At)
		}
	}
	if len(runs) < 3 {
		return
	}
	since := faultsEnd
	if runs[2].After(since) {
		since = runs[2]
	}
	late := 0
	for _, at := range runs {
		if at.After(since.Add(propagationBound + busySlack)) {
			late++
		}
	}
	if late > maxLateRuns {
		h.violations.add("a fatal request crashed %d targets, %d of them later than %s after both the third crash and the last fault", len(runs), late, propagationBound)
	}
}

// replaceCrashed starts a new target, with another ID, targetRestartDelay after one crashed
// under the fatal request.
func (h *harness) replaceCrashed(id string, px *proxy) {
	h.counts.countFault("target ended under a request")
	px.close()
	time.Sleep(targetRestartDelay)
	h.mu.Lock()
	closed := h.closed
	h.mu.Unlock()
	if closed {
		return
	}
	if err := h.addTarget(); err != nil {
		h.violations.add("replacing crashed target %s: %v", id, err)
	}
}

// runTraffic runs the clients and sends the fatal request until the context ends. It returns
// the clients' results and the attempt IDs of the fatal request.
func (h *harness) runTraffic(ctx context.Context, clients int) (records []attemptRecord, fatal []string) {
	var running sync.WaitGroup
	running.Go(func() { fatal = h.sendFatalRequests(ctx) })
	records = h.runClients(ctx, clients)
	running.Wait()
	return records, fatal
}
