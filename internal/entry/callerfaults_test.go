package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"ledgesill.dev/ledgesill/pkg/caller"
)

// callerSet holds the contexts of requests in flight, which it can cancel as if their callers
// had left.
type callerSet struct {
	mu       sync.Mutex
	next     int
	cancels  map[int]context.CancelFunc
	canceled int
}

func newCallerSet() *callerSet { return &callerSet{cancels: make(map[int]context.CancelFunc)} }

// begin returns the context of a new request, and a function to be called when it ends.
func (l *callerSet) begin() (context.Context, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	id := l.next
	l.cancels[id] = cancel
	return ctx, func() {
		cancel()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.cancels, id)
	}
}

// cancelAll cancels all requests in flight.
func (l *callerSet) cancelAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.cancels {
		cancel()
		l.canceled++
	}
}

func (l *callerSet) canceledCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.canceled
}

// callerFault is a row of the matrix: which callers leave when the step is reached, whether
// they retry, and which other fault occurs at the same time.
type callerFault struct {
	name string
	// firstLeaves and secondLeaves say which of the two callers of a key leave. The second
	// caller only sends requests if twoCallers is set.
	firstLeaves, secondLeaves, twoCallers bool
	// retryAt returns the box at which a caller that left resends with its key; nil for none.
	retryAt    func(box string) string
	otherFault string
}

func sameBox(box string) string { return box }

func otherBox(box string) string {
	if box == "b1" {
		return "b3"
	}
	return "b1"
}

func callerFaults() []callerFault {
	return []callerFault{
		{name: "caller leaves", firstLeaves: true},
		{name: "leaves, again at the same box", firstLeaves: true, retryAt: sameBox},
		{name: "leaves, again at another box", firstLeaves: true, retryAt: otherBox},
		{name: "first of two leaves", firstLeaves: true, twoCallers: true},
		{name: "second of two leaves", secondLeaves: true, twoCallers: true},
		{name: "both of two leave", firstLeaves: true, secondLeaves: true, twoCallers: true},
		{name: "leaves + box killed", firstLeaves: true, retryAt: sameBox, otherFault: "box killed"},
		{name: "leaves + late answers", firstLeaves: true, retryAt: otherBox, otherFault: "late answers"},
	}
}

// callerCell is one cell of the matrix, with its traffic and callers.
type callerCell struct {
	*system
	row           callerFault
	step          string
	trigger       *trigger
	first, second *callerSet
}

// Guards against the effects of a caller that leaves at any step: its box crashes, a slot
// leaks, its request runs twice, or a request that ran is reported as not run.
func TestCallerFaultMatrix(t *testing.T) {
	var out strings.Builder
	for _, row := range callerFaults() {
		fmt.Fprintf(&out, "%-36s", row.name)
		for _, step := range requestSteps {
			problems, canceled := runCallerCell(t, row, step)
			t.Logf("%s at %s: %d requests canceled", row.name, step, canceled)
			if len(problems) > 0 {
				fmt.Fprintf(&out, " %s:FAILED", step)
				t.Errorf("%s at %s:\n  %s", row.name, step, strings.Join(problems, "\n  "))
				continue
			}
			fmt.Fprintf(&out, " %s:ok", step)
		}
		fmt.Fprintln(&out)
	}
	goldie.New(t).Assert(t, "callerfaults", []byte(out.String()))
}

func runCallerCell(t *testing.T, row callerFault, step string) (problems []string, canceled int) {
	runInBubble(t, func(t *testing.T) {
		c := &callerCell{system: newSystem(t, cellSlots), row: row, step: step, trigger: &trigger{}, first: newCallerSet(), second: newCallerSet()}
		c.hookNetwork(c.trigger)
		c.trigger.arm(step, c.injectFault)
		c.runTraffic()
		canceled = c.first.canceledCount() + c.second.canceledCount()
		if !c.trigger.fired() || canceled == 0 {
			c.addProblem("the step was not reached, or no caller left")
		}
		c.network.setHooks(func(string, string) {}, func(string, string, []byte) {})
		c.checkRecovery()
		c.close(cellSlots)
		problems = c.problems
	})
	return problems, canceled
}

// injectFault makes callers leave and injects the other fault of the row.
func (c *callerCell) injectFault(at location) {
	if c.row.firstLeaves {
		c.first.cancelAll()
	}
	if c.row.secondLeaves {
		c.second.cancelAll()
	}
	for _, f := range requestFaults() {
		if f.name == c.row.otherFault {
			f.inject(c.system, at)
		}
	}
}

// runTraffic sends toggles and exports until the duration of a cell has passed. For the step
// "queue", eight callers send toggles, so that some wait for a slot.
func (c *callerCell) runTraffic() {
	end := time.Now().Add(cellDuration)
	toggles := 2
	if c.step == "queue" {
		toggles = 8
	}
	var running sync.WaitGroup
	for w := range toggles {
		running.Go(func() {
			client := c.client("flags")
			for n := 0; time.Now().Before(end); n++ {
				if n == 3 && w == toggles-1 {
					c.reachStep(client)
				}
				c.sendToggle(client, fmt.Sprintf("caller-%d-%d-", w, n))
				time.Sleep(7 * time.Millisecond)
			}
		})
	}
	running.Go(func() {
		client := c.client("flags")
		for time.Now().Before(end) {
			c.download(client)
			time.Sleep(50 * time.Millisecond)
		}
	})
	running.Wait()
}

// reachStep fires the trigger for the steps that can't be observed on the network.
func (c *callerCell) reachStep(client *caller.Client) {
	switch c.step {
	case "lookUp":
		callers := c.first
		if !c.row.firstLeaves {
			callers = c.second
		}
		ctx, ended := callers.begin()
		defer ended()
		_, _ = client.Lookup(ctx) // only the call itself matters
		c.trigger.reach("lookUp", location{c.holderOf("za"), "a1"})
	case "queue":
		c.waitQueued()
		c.trigger.reach("queue", location{c.holderOf("za"), "a1"})
	}
}

// sendToggle sends a request from one or two callers, which may resend it with its key.
func (c *callerCell) sendToggle(client *caller.Client, name string) {
	lookup, err := client.Lookup(context.Background())
	if err != nil {
		return // nothing was sent
	}
	if c.step == "body" {
		name += strings.Repeat("x", 20_000)
	}
	key := lookup.KeyScope + "~" + name[:min(len(name), 20)]
	var running sync.WaitGroup
	if c.row.twoCallers {
		running.Go(func() {
			other := c.client("flags")
			c.sendAttempt(c.second, other, name, key)
		})
	}
	outcome := c.sendAttempt(c.first, client, name, key)
	running.Wait()
	if c.row.retryAt != nil && outcome == caller.Unknown {
		retrier := c.client("flags")
		retrier.Pin(boxHosts[c.row.retryAt(lookup.Boxes[0].Name)] + ":1")
		outcome = c.sendAttempt(newCallerSet(), retrier, name, key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.row.twoCallers {
		outcome = caller.Unknown // the two callers may get different outcomes; only the number of runs is checked
	}
	c.sent[name] = outcome
}

func (c *callerCell) sendAttempt(callers *callerSet, client *caller.Client, name, key string) caller.Outcome {
	ctx, ended := callers.begin()
	defer ended()
	// An error of the lookup does not change the outcome of what was sent before.
	a, _ := client.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/toggle", Body: []byte(name), Timeout: leavingTimeout, Key: key})
	return a.Outcome
}

func (c *callerCell) download(client *caller.Client) {
	ctx, ended := c.first.begin()
	defer ended()
	path := fmt.Sprintf("/export?size=%d", exportBytes)
	// The checks at the end of the cell find what the download left behind.
	_, _ = client.Do(ctx, caller.Request{Method: http.MethodGet, Path: path, Timeout: leavingTimeout, Repeatable: true})
}
