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

// leavers are the contexts of requests in flight, whose callers can be made to leave.
type leavers struct {
	mu      sync.Mutex
	next    int
	cancels map[int]context.CancelFunc
	left    int
}

func newLeavers() *leavers { return &leavers{cancels: make(map[int]context.CancelFunc)} }

// begin returns the context of a request; the function must be called at its end.
func (l *leavers) begin() (context.Context, func()) {
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

// leave has all callers leave whose requests are in flight.
func (l *leavers) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.cancels {
		cancel()
		l.left++
	}
}

func (l *leavers) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// callerFault is a row: which callers leave when the step is reached, what they do then, and
// what else happens.
type callerFault struct {
	name string
	// first and second tell which of two callers of a key leave; only the first sends unless
	// two is set.
	first, second, two bool
	// again returns the box where a caller that left comes again with its key; nil for nowhere.
	again  func(box string) string
	beside string
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
		{name: "caller leaves", first: true},
		{name: "leaves, again at the same box", first: true, again: sameBox},
		{name: "leaves, again at another box", first: true, again: otherBox},
		{name: "first of two leaves", first: true, two: true},
		{name: "second of two leaves", second: true, two: true},
		{name: "both of two leave", first: true, second: true, two: true},
		{name: "leaves + box killed", first: true, again: sameBox, beside: "box killed"},
		{name: "leaves + late answers", first: true, again: otherBox, beside: "late answers"},
	}
}

// callerCell is one cell of the matrix: its traffic and the callers in it.
type callerCell struct {
	*system
	row           callerFault
	step          string
	trigger       *trigger
	first, second *leavers
}

// Guards against a caller that leaves at any step and ends its box, keeps a slot, has its
// request run twice, or is told that what ran did not.
func TestCallerFaultMatrix(t *testing.T) {
	var out strings.Builder
	for _, row := range callerFaults() {
		fmt.Fprintf(&out, "%-36s", row.name)
		for _, step := range requestSteps {
			problems, left := runCallerCell(t, row, step)
			t.Logf("%s at %s: %d callers left", row.name, step, left)
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

func runCallerCell(t *testing.T, row callerFault, step string) (problems []string, left int) {
	bubble(t, func(t *testing.T) {
		c := &callerCell{system: newSystem(t, cellSlots), row: row, step: step, trigger: &trigger{}, first: newLeavers(), second: newLeavers()}
		c.watch(c.trigger)
		c.trigger.arm(step, c.strike)
		c.traffic()
		left = c.first.count() + c.second.count()
		if !c.trigger.fired() || left == 0 {
			c.problem("the step was not reached by a caller that left")
		}
		c.network.hooks(func(string, string) {}, func(string, string, []byte) {})
		c.recovers()
		c.close(cellSlots)
		problems = c.problems
	})
	return problems, left
}

// strike has callers leave and does what else the row says.
func (c *callerCell) strike(at reached) {
	if c.row.first {
		c.first.leave()
	}
	if c.row.second {
		c.second.leave()
	}
	for _, f := range requestFaults() {
		if f.name == c.row.beside {
			f.do(c.system, at)
		}
	}
}

// traffic sends toggles and exports until the length of a cell is over.
func (c *callerCell) traffic() {
	end := time.Now().Add(cellLength)
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
					c.reachByTraffic(client)
				}
				c.send(client, fmt.Sprintf("caller-%d-%d-", w, n))
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

// reachByTraffic tells the trigger of the steps that can't be seen on the network.
func (c *callerCell) reachByTraffic(client *caller.Client) {
	switch c.step {
	case "lookUp":
		leavers := c.first
		if !c.row.first {
			leavers = c.second
		}
		ctx, ended := leavers.begin()
		defer ended()
		_, _ = client.Lookup(ctx) // only that it was made counts
		c.trigger.reach("lookUp", reached{c.holderOf("za"), "a1"})
	case "queue":
		c.waitQueued()
		c.trigger.reach("queue", reached{c.holderOf("za"), "a1"})
	}
}

// send sends a request by one or two callers, who may come again with its key.
func (c *callerCell) send(client *caller.Client, name string) {
	look, err := client.Lookup(context.Background())
	if err != nil {
		return // nothing was sent
	}
	if c.step == "body" {
		name += strings.Repeat("x", 20_000)
	}
	key := look.KeyScope + "~" + name[:min(len(name), 20)]
	var running sync.WaitGroup
	if c.row.two {
		running.Go(func() {
			other := c.client("flags")
			c.sendOnce(c.second, other, name, key)
		})
	}
	ended := c.sendOnce(c.first, client, name, key)
	running.Wait()
	if c.row.again != nil && ended == caller.Unknown {
		again := c.client("flags")
		again.Pin(boxHosts[c.row.again(look.Boxes[0].Name)] + ":1")
		ended = c.sendOnce(newLeavers(), again, name, key)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.row.two {
		ended = caller.Unknown // two callers may be told different things; only the runs count
	}
	c.sent[name] = ended
}

func (c *callerCell) sendOnce(l *leavers, client *caller.Client, name, key string) caller.Outcome {
	ctx, ended := l.begin()
	defer ended()
	// The error of a look-up leaves the outcome of what was sent before.
	a, _ := client.Do(ctx, caller.Request{Method: http.MethodPost, Path: "/toggle", Body: []byte(name), Timeout: leavingTimeout, Key: key})
	return a.Outcome
}

func (c *callerCell) download(client *caller.Client) {
	ctx, ended := c.first.begin()
	defer ended()
	path := fmt.Sprintf("/export?size=%d", exportBytes)
	// The checks at the end tell whether it left anything behind.
	_, _ = client.Do(ctx, caller.Request{Method: http.MethodGet, Path: path, Timeout: leavingTimeout, Repeatable: true})
}
