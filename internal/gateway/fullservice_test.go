package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	fullTargets = 12
	fullSlots   = 4
	fullQueue   = 6
	// fullRequestTime is how long a request occupies its slot, and fullRate how many requests a
	// target serves per second.
	fullRequestTime = 200 * time.Millisecond
	fullRate        = 20
	// fullBackOff is the back-off, in seconds, that a target with a full queue asks for.
	fullBackOff = 3
	// maxBackOffLoss is the fraction of all requests that back-offs may cost: those of the first
	// burst, from which all boxes learn how much the targets take.
	maxBackOffLoss = 0.03
	// fullObjective is the objective of the route in these tests.
	fullObjective = time.Second
)

// slotQueue is the slots and the queue of a target. Requests beyond them are rejected.
type slotQueue struct {
	slots   chan struct{}
	mu      sync.Mutex
	waiting int
	// asksBackOff tells that rejections ask for a back-off.
	asksBackOff bool
}

func newSlotQueue(backsOff bool) *slotQueue {
	return &slotQueue{slots: make(chan struct{}, fullSlots), asksBackOff: backsOff}
}

// enter waits for a slot and reports whether the request was accepted.
func (c *slotQueue) enter() bool {
	c.mu.Lock()
	if len(c.slots) == fullSlots && c.waiting >= fullQueue {
		c.mu.Unlock()
		return false
	}
	c.waiting++
	c.mu.Unlock()
	c.slots <- struct{}{}
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
	return true
}

func (c *slotQueue) load() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", len(c.slots), c.waiting, fullSlots)
}

// serveFull serves the requests of one connection of a box within the target's capacity.
func (n *recordingTarget) serveFull(box int, c net.Conn, queue *slotQueue) {
	s := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		n.arrive(box)
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Test-Id")
		if !queue.enter() {
			retryAfter := ""
			if queue.asksBackOff {
				retryAfter = fmt.Sprintf("Retry-After: %d\r\n", fullBackOff)
				n.mu.Lock()
				n.backOffs = append(n.backOffs, backOff{box: box, at: time.Now(), lasts: fullBackOff * time.Second})
				n.mu.Unlock()
			}
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Executed: 1\r\nTest-Load: %s\r\n%sContent-Length: 0\r\n\r\n", id, queue.load(), retryAfter)
			return true
		}
		time.Sleep(fullRequestTime)
		load := queue.load()
		<-queue.slots
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Load: %s\r\nContent-Length: 2\r\n\r\nok", id, load)
		return true
	}}
	s.serve(c)
}

// fullServiceResult is the result of a run in which targets reject what exceeds their capacity.
type fullServiceResult struct {
	inTime, refused float64
	rejections      int
	maxInBackOff    int
}

func runFullService(t *testing.T, boxes int, load float64, backsOff bool) (out fullServiceResult) {
	t.Helper()
	s := newTestCluster(t, boxes, fullTargets)
	queues := make([]*slotQueue, fullTargets)
	for i := range queues {
		queues[i] = newSlotQueue(backsOff)
	}
	for i, d := range s.boxes {
		d.connections.dial = s.dialer(func(n int, c net.Conn) { s.targets[n].serveFull(i, c, queues[n]) })
	}
	s.deadline = "2000"
	perSecond := int(load * fullRate * fullTargets)
	s.sendLoad(perSecond, 5*time.Second)
	s.sendLoad(perSecond*3/2, 3*time.Second)
	s.sendLoad(perSecond, 32*time.Second)
	s.waitForResponses()
	out.inTime = float64(s.inTime) / float64(s.sent)
	out.refused = float64(s.refused) / float64(s.sent)
	for _, n := range s.targets {
		out.rejections += len(n.backOffs)
		out.maxInBackOff = max(out.maxInBackOff, n.maxInBackOff())
	}
	return out
}

// Guards against boxes that obey back-offs and thereby serve much less than the targets could: the
// requests that backed-off targets don't get would fill up the others, until all are backed off.
func TestFullServiceIsServedDespiteBackOffs(t *testing.T) {
	for _, boxes := range []int{1, 9, 60} {
		for _, load := range []float64{0.9, 1.1} {
			t.Run(fmt.Sprint(boxes, " boxes, load ", load), func(t *testing.T) {
				var ignored, obeyed fullServiceResult
				inVirtualTime(t, func(t *testing.T) { ignored = runFullService(t, boxes, load, false) })
				inVirtualTime(t, func(t *testing.T) { obeyed = runFullService(t, boxes, load, true) })
				t.Logf("without back-offs %+v", ignored)
				t.Logf("with back-offs %+v", obeyed)
				if obeyed.inTime < ignored.inTime-maxBackOffLoss {
					t.Errorf("%.3f of the requests were served in time, %.3f without back-offs", obeyed.inTime, ignored.inTime)
				}
				if obeyed.maxInBackOff > backOffSlack {
					t.Errorf("%d requests arrived during a back-off", obeyed.maxInBackOff)
				}
			})
		}
	}
}
