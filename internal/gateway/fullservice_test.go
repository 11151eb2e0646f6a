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
	// fullRequestTime is what a request takes in its slot, and fullRate what a target serves a
	// second.
	fullRequestTime = 200 * time.Millisecond
	fullRate        = 20
	// fullBackOff is what a target asks for whose queue is full, in seconds.
	fullBackOff = 3
	// maxBackOffLoss is the part of all requests that back-offs may cost: what targets teach all
	// boxes at the first burst.
	maxBackOffLoss = 0.03
	// fullObjective is the route's of these tests.
	fullObjective = time.Second
)

// slotQueue is what a target with slots and a queue has in them. It rejects what is beyond.
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

// enter reports whether a request was taken; it has then waited for its slot.
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

// serveFull answers the requests of one connection of a box within the target's capacity.
func (n *recordingTarget) serveFull(box int, c net.Conn, room *slotQueue) {
	s := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		n.arrive(box)
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Test-Id")
		if !room.enter() {
			asks := ""
			if room.asksBackOff {
				asks = fmt.Sprintf("Retry-After: %d\r\n", fullBackOff)
				n.mu.Lock()
				n.backOffs = append(n.backOffs, backOff{box: box, at: time.Now(), lasts: fullBackOff * time.Second})
				n.mu.Unlock()
			}
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Executed: 1\r\nTest-Load: %s\r\n%sContent-Length: 0\r\n\r\n", id, room.load(), asks)
			return true
		}
		time.Sleep(fullRequestTime)
		load := room.load()
		<-room.slots
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\nTest-Load: %s\r\nContent-Length: 2\r\n\r\nok", id, load)
		return true
	}}
	s.serve(c)
}

// fullServiceResult is how a service does whose targets reject what they have no room for.
type fullServiceResult struct {
	inTime, refused float64
	rejections      int
	maxInBackOff    int
}

func runFullService(t *testing.T, boxes int, load float64, backsOff bool) (out fullServiceResult) {
	t.Helper()
	s := newTestCluster(t, boxes, fullTargets)
	rooms := make([]*slotQueue, fullTargets)
	for i := range rooms {
		rooms[i] = newSlotQueue(backsOff)
	}
	for i, d := range s.boxes {
		d.connections.dial = s.dialer(func(n int, c net.Conn) { s.targets[n].serveFull(i, c, rooms[n]) })
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

// Guards against a service whose boxes obey back-offs and serve much less than its targets
// could: what those that are backed off don't get fills the others, until all are.
func TestFullServiceServesOnWhileTargetsAskForBackOffs(t *testing.T) {
	for _, boxes := range []int{1, 9, 60} {
		for _, load := range []float64{0.9, 1.1} {
			t.Run(fmt.Sprint(boxes, " boxes, load ", load), func(t *testing.T) {
				var ignored, obeyed fullServiceResult
				inVirtualTime(t, func(t *testing.T) { ignored = runFullService(t, boxes, load, false) })
				inVirtualTime(t, func(t *testing.T) { obeyed = runFullService(t, boxes, load, true) })
				t.Logf("without back-offs %+v", ignored)
				t.Logf("with back-offs %+v", obeyed)
				if obeyed.inTime < ignored.inTime-maxBackOffLoss {
					t.Errorf("%.3f of the requests are served in time, %.3f where targets ask for no back-offs", obeyed.inTime, ignored.inTime)
				}
				if obeyed.maxInBackOff > backOffSlack {
					t.Errorf("%d requests came in a back-off", obeyed.maxInBackOff)
				}
			})
		}
	}
}
