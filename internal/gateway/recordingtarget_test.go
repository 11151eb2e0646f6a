package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/quota"
	"ledgesill.dev/ledgesill/pkg/targetstatus"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// limitHeader is the header in which targets report their rate limit.
	limitHeader = "Test-Limit"
	// limitWindow is the window in which a rate-limited target counts requests.
	limitWindow = 4 * time.Second
	// limitExcess and limitSlack are how far the requests in a window may exceed the limit.
	// announceDelay is how long a box must have known the limit for its requests to count.
	limitExcess   = 1.5
	limitSlack    = 5
	announceDelay = 500 * time.Millisecond
)

// recordingTarget is a target that records its requests and may be rate-limited.
type recordingTarget struct {
	mu sync.Mutex
	// limit is the rate limit that it reports, empty for none.
	limit    string
	arrivals []arrival
	// activeRejection is the response to all requests, nil while they are served. backOffs are the
	// back-offs that it has asked for.
	activeRejection *rejection
	backOffs        []backOff
	// leaving tells that its responses report that it is shutting down, and leavingAnnouncedAt when
	// each box first got one that does.
	leaving            bool
	leavingAnnouncedAt map[int]time.Time
	// limitAnnouncedAt is when each box first got a response that reports a limit.
	limitAnnouncedAt map[int]time.Time
}

type arrival struct {
	at  time.Time
	box int
}

func (n *recordingTarget) setLimit(limit string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = limit
}

// serve serves the requests of one connection of a box.
func (n *recordingTarget) serve(box int, c net.Conn) {
	s := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		n.arrive(box)
		_, _ = io.Copy(io.Discard, r.Body)
		if n.reject(box, r, c) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
		headers := n.announceLeaving(box)
		if limit := n.announceLimit(box); limit != "" {
			headers += limitHeader + ": " + limit + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Test-Id"), headers)
		return true
	}}
	s.serve(c)
}

func (n *recordingTarget) arrive(box int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), box})
}

// announceLimit returns the limit to report to a box now.
func (n *recordingTarget) announceLimit(box int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.limitAnnouncedAt[box]; n.limit != "" && !known {
		n.limitAnnouncedAt[box] = time.Now()
	}
	return n.limit
}

// maxInWindow returns the most requests in any window that ends at from or later, from boxes that
// knew the limit.
func (n *recordingTarget) maxInWindow(from time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	var counted []time.Time
	for _, a := range n.arrivals {
		if announced, ok := n.limitAnnouncedAt[a.box]; ok && a.at.Sub(announced) >= announceDelay {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// maxPerSecond returns the most requests in any second that begins at from or later, from all
// boxes.
func (n *recordingTarget) maxPerSecond(from time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	var counted []time.Time
	for _, a := range n.arrivals {
		if a.at.Before(from) {
			continue
		}
		counted = append(counted, a.at)
		for a.at.Sub(counted[0]) > time.Second {
			counted = counted[1:]
		}
		most = max(most, len(counted))
	}
	return most
}

// countBetween counts all requests of a period.
func (n *recordingTarget) countBetween(from, to time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, a := range n.arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			count++
		}
	}
	return count
}

// fakeControl is a set of control replicas that issue permits of targets and distribute their
// limits, in virtual time. Its latency is that of another region.
type fakeControl struct {
	mu      sync.Mutex
	issuers map[string]*quota.TargetIssuer
	// down are the replicas that do not answer.
	down  map[string]bool
	calls int
}

const (
	controlLatency = 20 * time.Millisecond
	gossipInterval = 50 * time.Millisecond
)

func newFakeControl(replicas int) *fakeControl {
	c := &fakeControl{issuers: make(map[string]*quota.TargetIssuer), down: make(map[string]bool)}
	for _, a := range c.replicaNames(replicas) {
		c.start(a, c.replicaNames(replicas))
	}
	return c
}

func (c *fakeControl) replicaNames(replicas int) (out []string) {
	for i := range replicas {
		out = append(out, fmt.Sprint("replica", i))
	}
	return out
}

// start starts a replica without any state.
func (c *fakeControl) start(name string, all []string) {
	i := quota.NewTargetIssuer(name)
	i.SetReplicas(time.Now(), all)
	c.issuers[name] = i
}

func (c *fakeControl) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.issuers))
}

// setDown sets whether replicas answer.
func (c *fakeControl) setDown(down bool, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.down[name] = down
	}
}

func (c *fakeControl) call(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error) {
	time.Sleep(controlLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[address] {
		return nil, errors.New("no answer")
	}
	c.calls++
	i := c.issuers[address]
	var asks []quota.SubjectRequest
	for _, a := range r.TargetAsks {
		i.Apply(time.Now(), targetstatus.UpdateOf(time.Now(), a.Limit))
		asks = append(asks, quota.SubjectRequest{Subject: a.Limit.Life, Count: int(a.Count)})
	}
	out := &wire.PermitAnswer{}
	for _, g := range i.Issue(time.Now(), asks) {
		out.Grants = append(out.Grants, &wire.PermitGrant{Workspace: g.Subject, Count: uint32(g.Count), LifeMilli: g.TTL.Milliseconds(), WaitMilli: g.RetryAfter.Milliseconds()})
	}
	return out, nil
}

// gossip distributes the updates that boxes received to all replicas, and from these to all boxes.
func (c *fakeControl) gossip(ctx context.Context, boxes []*Daemon) {
	known := make(map[string]uint64)
	for ctx.Err() == nil {
		time.Sleep(gossipInterval)
		var reports []*wire.TargetLimit
		for _, d := range boxes {
			reports = append(reports, d.targetLimits.pendingReports()...)
		}
		var news []*wire.TargetLimit
		c.mu.Lock()
		for name, i := range c.issuers {
			if c.down[name] {
				continue
			}
			for _, report := range reports {
				i.Apply(time.Now(), targetstatus.UpdateOf(time.Now(), report))
			}
			updates, last := i.Targets().ChangedSince(known[name])
			known[name] = last
			for _, update := range updates {
				news = append(news, update.Message(time.Now()))
			}
		}
		c.mu.Unlock()
		time.Sleep(controlLatency)
		for _, d := range boxes {
			d.mergeUpdates(news)
		}
	}
}

// testCluster is a set of boxes that share targets, in virtual time.
type testCluster struct {
	boxes   []*Daemon
	targets []*recordingTarget
	control *fakeControl
	// suspended is how long the machine of each box was suspended, in nanoseconds.
	suspended []*atomic.Int64
	random    *rand.Rand
	sent      int
	// served and refused count the responses to callers. retryAfters are the Retry-After headers of
	// refusals, and slowestRefusal is the longest time that one took.
	mu              sync.Mutex
	served, refused int
	retryAfters     map[string]bool
	slowestRefusal  time.Duration
	// inTime counts the requests that were served within fullObjective. deadline is the deadline
	// that callers send, in milliseconds.
	inTime   int
	deadline string
}

func newTestCluster(t *testing.T, boxes, targets int) *testCluster {
	t.Helper()
	s := &testCluster{random: rand.New(rand.NewPCG(1, 1)), control: newFakeControl(6), retryAfters: make(map[string]bool), deadline: "1500"}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var addresses []string
	for i := range targets {
		s.targets = append(s.targets, &recordingTarget{limitAnnouncedAt: make(map[int]time.Time), leavingAnnouncedAt: make(map[int]time.Time)})
		addresses = append(addresses, fmt.Sprint(i))
	}
	var list []*wire.EntryBox
	for i := range boxes {
		list = append(list, &wire.EntryBox{Name: fmt.Sprint("box", i), Zone: "z", Region: "r"})
	}
	for i := range boxes {
		config := testConfig()
		config.Name = list[i].Name
		asleep := &atomic.Int64{}
		s.suspended = append(s.suspended, asleep)
		config.Clock = boottime.NewClock(func() time.Duration { return time.Duration(asleep.Load()) })
		d := newDaemon(t, config, addresses...)
		d.setEntryBoxes(list)
		d.connections.dial = s.dialer(func(n int, c net.Conn) { s.targets[n].serve(i, c) })
		d.targetLimits.permits.call = s.control.call
		d.targetLimits.permits.replicas = s.control.addresses
		running.Go(func() { _ = d.targetLimits.permits.run(ctx) }) // ends with the test
		s.boxes = append(s.boxes, d)
	}
	running.Go(func() { s.control.gossip(ctx, s.boxes) })
	t.Cleanup(func() {
		for _, d := range s.boxes {
			d.connections.close()
			_ = d.callerServer.listener.Close()
			_ = d.readyListener.Close()
		}
	})
	return s
}

// dialer connects a box to targets, which serve the other ends of the connections.
func (s *testCluster) dialer(serve func(target int, c net.Conn)) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) {
		var n int
		if _, err := fmt.Sscan(address, &n); err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		go serve(n, far)
		return near, nil
	}
}

// sendLoad sends requests for some time, each to a random box.
func (s *testCluster) sendLoad(perSecond int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		s.sent++
		go s.send(s.boxes[s.random.IntN(len(s.boxes))], s.sent)
	}
}

// waitForResponses waits until all requests have been answered.
func (s *testCluster) waitForResponses() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func (s *testCluster) send(d *Daemon, n int) {
	r := httptest.NewRequest(http.MethodPost, "/safe/", strings.NewReader(""))
	r.Host = "a.example"
	r.Header.Set("Test-Id", fmt.Sprint("id", n))
	r.Header.Set("Test-Key", fmt.Sprint("key", n))
	r.Header.Set("Test-Deadline", s.deadline)
	w := httptest.NewRecorder()
	began := time.Now()
	d.ServeHTTP(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.Code == http.StatusOK {
		s.served++
		if time.Since(began) <= fullObjective {
			s.inTime++
		}
		return
	}
	s.refused++
	s.retryAfters[w.Header().Get("Retry-After")] = true
	s.slowestRefusal = max(s.slowestRefusal, time.Since(began))
}

func maxAllowedInWindow(limit float64) int {
	return int(limitExcess*limit*limitWindow.Seconds() + limitSlack)
}
