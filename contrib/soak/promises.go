package main

import (
	"fmt"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// promises collects what was seen broken.
type promises struct {
	mu     sync.Mutex
	failed []string
}

// maxFailed bounds what is kept of one run.
const maxFailed = 20

func (p *promises) broken(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.failed) < maxFailed {
		p.failed = append(p.failed, fmt.Sprintf(format, args...))
	}
}

func (p *promises) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.failed...)
}

// attemptRecord is one request as its caller saw it.
type attemptRecord struct {
	id     string
	once   bool
	status int // 0 if the connection broke or its client left
	sent   time.Time
	// workspace is the one whose key it carried.
	workspace string
	// box is the address of the entry box that it was sent to.
	box string
}

// checkRuns compares what callers were told with what targets ran.
func (w *world) checkRuns(records []attemptRecord) {
	for _, r := range records {
		runs := w.ledger.Runs(r.id)
		if r.once && len(runs) > 1 {
			w.promises.broken("request %s, to run once, ran %d times: %v", r.id, len(runs), runs)
		}
		refused := r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421
		if r.once && refused && len(runs) > 0 {
			w.promises.broken("request %s was told not to have run (%d) and ran", r.id, r.status)
		}
		if r.status == 200 && len(runs) == 0 {
			w.promises.broken("request %s was answered and did not run", r.id)
		}
		for _, run := range runs {
			w.checkDrain(r, run)
			w.checkWorkspace(r, run)
		}
	}
	w.checkLimit(records)
}

func (w *world) checkDrain(r attemptRecord, run standin.Run) {
	for _, t := range w.targets {
		at := t.DrainedAt()
		if t.ID == run.Target && !at.IsZero() && run.At.After(at.Add(drainBound+busySlack)) {
			w.promises.broken("request %s ran at %s %s after its drain was acknowledged", r.id, t.ID, run.At.Sub(at))
		}
	}
}

// checkEnds reports processes that ended without being asked to.
func (w *world) checkEnds() {
	for _, p := range append(append([]*process(nil), w.controls...), w.entries...) {
		if err, ended := p.endedByItself(); ended {
			w.promises.broken("%s ended by itself: %v", p.name, err)
		}
	}
}
