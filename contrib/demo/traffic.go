package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ledgesill.dev/ledgesill/contrib/layout"
	"ledgesill.dev/ledgesill/contrib/standin"
	"ledgesill.dev/ledgesill/pkg/caller"
)

// requestKind describes one kind of request of the demo.
type requestKind struct {
	name       string
	service    int
	method     string
	path       string
	workers    int
	pause      time.Duration
	repeatable bool
	size       int
}

const exportSize = 3 << 20

func kinds() []requestKind {
	return []requestKind{
		{name: "flag read", service: 0, method: http.MethodGet, path: "/flag", workers: 24, pause: 5 * time.Millisecond, repeatable: true},
		{name: "toggle", service: 0, method: http.MethodPost, path: "/toggle", workers: 6, pause: 20 * time.Millisecond},
		{name: "webhook", service: 1, method: http.MethodPost, path: "/webhook", workers: 3, pause: 100 * time.Millisecond},
		{name: "export", service: 1, method: http.MethodGet, path: fmt.Sprintf("/export?size=%d", exportSize), workers: 3, pause: 100 * time.Millisecond, repeatable: true, size: exportSize},
	}
}

// kindResults counts the outcomes of the requests of one kind.
type kindResults struct {
	mu        sync.Mutex
	sent      int
	answered  int
	notRun    int
	unknown   int
	truncated int
	retries   int
	latency   *hdrhistogram.Histogram
	// outcomes maps the names of unrepeatable requests to their outcomes.
	outcomes map[string]caller.Outcome
}

// traffic sends requests of all kinds and collects their results.
type traffic struct {
	driver  *driver
	kinds   []requestKind
	results []*kindResults
	nonce   atomic.Uint64
}

const (
	highestLatency = int64(60 * time.Second)
	requestTimeout = 8 * time.Second
)

func newTraffic(d *driver) *traffic {
	t := &traffic{driver: d, kinds: kinds()}
	for range t.kinds {
		t.results = append(t.results, &kindResults{latency: hdrhistogram.New(1, highestLatency, 3), outcomes: make(map[string]caller.Outcome)})
	}
	return t
}

// run sends requests from callers of all regions for a length of time and waits for all responses.
func (t *traffic) run(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	var running sync.WaitGroup
	for i, k := range t.kinds {
		for w := range k.workers {
			running.Go(func() { t.runWorker(ctx, end, k, t.results[i], w) })
		}
	}
	running.Wait()
}

func (t *traffic) runWorker(ctx context.Context, end time.Time, k requestKind, results *kindResults, worker int) {
	l := t.driver.layout
	var boxes []string
	for _, b := range l.Boxes {
		boxes = append(boxes, b.Caller)
	}
	c := caller.NewClient(caller.Config{
		Boxes:   append(boxes[worker%len(boxes):], boxes[:worker%len(boxes)]...),
		Service: l.Services[k.service].Name,
		Home:    l.Regions[worker%len(l.Regions)],
		Block:   fmt.Sprintf("block-%s-%d", k.name, worker),
		HTTP:    t.driver.http,
		Nonce:   func() string { return fmt.Sprint(t.nonce.Add(1)) },
	})
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		t.send(ctx, c, k, results, fmt.Sprintf("%s-%d-%d", k.name, worker, n))
		time.Sleep(k.pause)
	}
}

func (t *traffic) send(ctx context.Context, c *caller.Client, k requestKind, results *kindResults, name string) {
	r := caller.Request{Method: k.method, Path: k.path, Timeout: requestTimeout, Repeatable: k.repeatable}
	if k.method == http.MethodPost {
		r.Body = []byte(name)
	}
	began := time.Now()
	a, err := c.Do(ctx, r)
	took := time.Since(began)
	results.mu.Lock()
	defer results.mu.Unlock()
	results.sent++
	results.retries += max(a.Attempts-1, 0)
	if k.method == http.MethodPost {
		results.outcomes[name] = a.Outcome
	}
	switch {
	case err != nil || a.Outcome == caller.NotRun:
		results.notRun++
	case a.Outcome == caller.Unknown:
		results.unknown++
	case !isComplete(a, k, name):
		results.truncated++
	default:
		results.answered++
		_ = results.latency.RecordValue(int64(took)) // no request takes longer than the highest value
	}
}

// isComplete reports whether a response has the whole body that belongs to its request.
func isComplete(a caller.Answer, k requestKind, name string) bool {
	if a.Status != http.StatusOK {
		return false
	}
	if k.size > 0 {
		return bytes.Equal(a.Body, standin.ExportContent(k.size))
	}
	if k.method == http.MethodPost {
		return string(a.Body) == k.path+" "+name
	}
	return string(a.Body) == k.path+" "
}

// measurements are the results of the demo beside those of the requests.
type measurements struct {
	activationTime time.Duration
	drainTime      time.Duration
	runs           targetRuns
}

// report prints the table and returns an error if a guarantee was violated.
func (t *traffic) report(r *measurements, l layout.Layout) error {
	allDuplicated, falseNotRun, lost, truncated := 0, 0, 0, 0
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tasked\tanswered\tnot run\tunknown\tdoubled\tcut\tresent\tp50 ms\tp99 ms\t")
	for i, k := range t.kinds {
		results := t.results[i]
		duplicated := 0
		for name, outcome := range results.outcomes {
			n := r.runs.Runs[name]
			if n > 1 {
				duplicated++
			}
			if n > 0 && outcome == caller.NotRun {
				falseNotRun++
			}
			if n == 0 && outcome == caller.Ran {
				lost++
			}
		}
		allDuplicated += duplicated
		truncated += results.truncated
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.name, results.sent, results.answered, results.notRun, results.unknown, duplicated, results.truncated, results.retries,
			quantile(results, 50), quantile(results, 99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	over := 0
	for i, g := range l.Targets {
		if r.runs.MaxConcurrent[fmt.Sprint(i)] > g.Slots {
			over++
		}
	}
	fmt.Printf("time to in force on %d boxes: %d ms\n", len(l.Boxes), r.activationTime.Milliseconds())
	fmt.Printf("drain time of %s: %d ms\n", l.Boxes[stoppedBox].Name, r.drainTime.Milliseconds())
	fmt.Printf("targets that had more requests at once than slots: %d\n", over)
	if allDuplicated+falseNotRun+lost+truncated > 0 {
		return fmt.Errorf("guarantees violated: %d requests duplicated, %d ran despite the outcome not run, %d lost despite the outcome ran, %d truncated", allDuplicated, falseNotRun, lost, truncated)
	}
	return nil
}

func quantile(results *kindResults, q float64) float64 {
	return float64(results.latency.ValueAtQuantile(q)) / float64(time.Millisecond)
}
