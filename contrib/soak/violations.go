package main

import (
	"fmt"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// violationList collects descriptions of violated guarantees.
type violationList struct {
	mu       sync.Mutex
	messages []string
}

// maxViolations bounds how many violations of one run are kept.
const maxViolations = 20

func (p *violationList) add(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.messages) < maxViolations {
		p.messages = append(p.messages, fmt.Sprintf(format, args...))
	}
}

func (p *violationList) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.messages...)
}

// attemptRecord is the result of one request as its caller saw it.
type attemptRecord struct {
	id           string
	unrepeatable bool
	status       int // 0 if the connection broke or the client canceled the request
	sent         time.Time
	// workspace is the workspace whose key the request carried.
	workspace string
	// box is the address of the entry box that the request was sent to.
	box string
	// left tells that the client canceled the request.
	left bool
}

// checkRuns compares the responses that callers got with what ran on the targets.
func (h *harness) checkRuns(records []attemptRecord) {
	for _, r := range records {
		runs := h.runLog.Runs(r.id)
		if r.unrepeatable && len(runs) > 1 {
			h.violations.add("unrepeatable request %s ran %d times: %v", r.id, len(runs), runs)
		}
		refused := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
		if r.unrepeatable && refused && len(runs) > 0 {
			h.violations.add("request %s ran although it was answered with status %d", r.id, r.status)
		}
		if r.status == 200 && len(runs) == 0 {
			h.violations.add("request %s was answered with status 200 and did not run", r.id)
		}
		for _, run := range runs {
			h.checkDrain(r, run)
			h.checkWorkspace(r, run)
		}
	}
	h.checkLimit(records)
}

// checkDrain checks that a target runs no request later than drainBound after its drain
// was acknowledged.
func (h *harness) checkDrain(r attemptRecord, run standin.Run) {
	for _, t := range h.targets {
		at := t.DrainedAt()
		if t.ID == run.Target && !at.IsZero() && run.At.After(at.Add(drainBound+busySlack)) {
			h.violations.add("request %s ran at %s %s after its drain was acknowledged", r.id, t.ID, run.At.Sub(at))
		}
	}
}

// checkExits reports processes that exited without a signal of the harness.
func (h *harness) checkExits() {
	for _, p := range append(append([]*process(nil), h.controls...), h.entries...) {
		if err, ended := p.exitedUnexpectedly(); ended {
			h.violations.add("%s exited unexpectedly: %v", p.name, err)
		}
	}
}
