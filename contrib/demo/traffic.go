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

// kind is one kind of request of the demo.
type kind struct {
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

func kinds() []kind {
	return []kind{
		{name: "flag read", service: 0, method: http.MethodGet, path: "/flag", workers: 24, pause: 5 * time.Millisecond, repeatable: true},
		{name: "toggle", service: 0, method: http.MethodPost, path: "/toggle", workers: 6, pause: 20 * time.Millisecond},
		{name: "webhook", service: 1, method: http.MethodPost, path: "/webhook", workers: 3, pause: 100 * time.Millisecond},
		{name: "export", service: 1, method: http.MethodGet, path: fmt.Sprintf("/export?size=%d", exportSize), workers: 3, pause: 100 * time.Millisecond, repeatable: true, size: exportSize},
	}
}

// tally counts what became of the requests of one kind.
type tally struct {
	mu       sync.Mutex
	asked    int
	answered int
	notRun   int
	unknown  int
	cut      int
	resent   int
	latency  *hdrhistogram.Histogram
	// sent maps the names of requests that may not be repeated to their
	// outcome.
	sent map[string]caller.Outcome
}

type traffic struct {
	driver  *driver
	kinds   []kind
	tallies []*tally
	nonce   atomic.Uint64
}

const (
	highestLatency = int64(60 * time.Second)
	requestTimeout = 8 * time.Second
)

func newTraffic(d *driver) *traffic {
	t := &traffic{driver: d, kinds: kinds()}
	for range t.kinds {
		t.tallies = append(t.tallies, &tally{latency: hdrhistogram.New(1, highestLatency, 3), sent: make(map[string]caller.Outcome)})
	}
	return t
}

// run sends traffic from callers of all regions and waits for all answers.
func (t *traffic) run(ctx context.Context, length time.Duration) {
	end := time.Now().Add(length)
	var running sync.WaitGroup
	for i, k := range t.kinds {
		for w := range k.workers {
			running.Go(func() { t.work(ctx, end, k, t.tallies[i], w) })
		}
	}
	running.Wait()
}

func (t *traffic) work(ctx context.Context, end time.Time, k kind, y *tally, worker int) {
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
		t.send(ctx, c, k, y, fmt.Sprintf("%s-%d-%d", k.name, worker, n))
		time.Sleep(k.pause)
	}
}

func (t *traffic) send(ctx context.Context, c *caller.Client, k kind, y *tally, name string) {
	r := caller.Request{Method: k.method, Path: k.path, Timeout: requestTimeout, Repeatable: k.repeatable}
	if k.method == http.MethodPost {
		r.Body = []byte(name)
	}
	began := time.Now()
	a, err := c.Do(ctx, r)
	took := time.Since(began)
	y.mu.Lock()
	defer y.mu.Unlock()
	y.asked++
	y.resent += max(a.Attempts-1, 0)
	if k.method == http.MethodPost {
		y.sent[name] = a.Outcome
	}
	switch {
	case err != nil || a.Outcome == caller.NotRun:
		y.notRun++
	case a.Outcome == caller.Unknown:
		y.unknown++
	case !whole(a, k, name):
		y.cut++
	default:
		y.answered++
		_ = y.latency.RecordValue(int64(took)) // longer than the highest is not possible
	}
}

// whole reports whether an answer is the whole answer to its own request.
func whole(a caller.Answer, k kind, name string) bool {
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

type report struct {
	inForce time.Duration
	drain   time.Duration
	runs    targetRuns
}

// report prints the table and fails if a promise was broken.
func (t *traffic) report(r *report, l layout.Layout) error {
	doubledInAll, falseNotRun, lost, cut := 0, 0, 0, 0
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "request\tasked\tanswered\tnot run\tunknown\tdoubled\tcut\tresent\tp50 ms\tp99 ms\t")
	for i, k := range t.kinds {
		y := t.tallies[i]
		doubled := 0
		for name, outcome := range y.sent {
			n := r.runs.Runs[name]
			if n > 1 {
				doubled++
			}
			if n > 0 && outcome == caller.NotRun {
				falseNotRun++
			}
			if n == 0 && outcome == caller.Ran {
				lost++
			}
		}
		doubledInAll += doubled
		cut += y.cut
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", k.name, y.asked, y.answered, y.notRun, y.unknown, doubled, y.cut, y.resent,
			quantile(y, 50), quantile(y, 99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	over := 0
	for i, g := range l.Targets {
		if r.runs.Most[fmt.Sprint(i)] > g.Slots {
			over++
		}
	}
	fmt.Printf("time to in force on %d boxes: %d ms\n", len(l.Boxes), r.inForce.Milliseconds())
	fmt.Printf("drain time of %s: %d ms\n", l.Boxes[stoppedBox].Name, r.drain.Milliseconds())
	fmt.Printf("targets that had more requests at once than slots: %d\n", over)
	if doubledInAll+falseNotRun+lost+cut > 0 {
		return fmt.Errorf("promises broken: %d doubled, %d ran though said not to, %d lost, %d cut", doubledInAll, falseNotRun, lost, cut)
	}
	return nil
}

func quantile(y *tally, q float64) float64 {
	return float64(y.latency.ValueAtQuantile(q)) / float64(time.Millisecond)
}
