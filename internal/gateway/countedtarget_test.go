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
	// limitHeader is how the targets of these tests name their limit.
	limitHeader = "Test-Limit"
	// needWindow is the span in which a rate-limited target counts what it gets.
	needWindow = 4 * time.Second
	// needExcess and needSlack are what it may get in it beyond its limit, and toldBefore is
	// how long ago a box must have been told for its requests to count.
	needExcess = 1.5
	needSlack  = 5
	toldBefore = 500 * time.Millisecond
)

// countedTarget is a target that may be rate-limited. It counts what reaches it.
type countedTarget struct {
	mu sync.Mutex
	// limit is what it names, empty for nothing.
	limit    string
	arrivals []arrival
	// rejects is what it rejects requests with, nil where it serves them, and rejections
	// are those that asked for a back-off.
	rejects    *rejection
	rejections []backOff
	// leaving tells that its answers say that it leaves, and toldLeaving when each box first
	// got one that does.
	leaving     bool
	toldLeaving map[int]time.Time
	// told are when each box first got an answer that names a limit.
	told map[int]time.Time
}

type arrival struct {
	at  time.Time
	box int
}

func (n *countedTarget) name(limit string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = limit
}

// serve answers the requests of one connection of a box.
func (n *countedTarget) serve(box int, c net.Conn) {
	s := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		n.arrive(box)
		_, _ = io.Copy(io.Discard, r.Body)
		if n.reject(box, r, c) {
			return true
		}
		time.Sleep(20 * time.Millisecond)
		named := n.sayLeaving(box)
		if limit := n.tell(box); limit != "" {
			named += limitHeader + ": " + limit + "\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTest-Id: %s\r\n%sContent-Length: 2\r\n\r\nok", r.Header.Get("Test-Id"), named)
		return true
	}}
	s.serve(c)
}

func (n *countedTarget) arrive(box int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.arrivals = append(n.arrivals, arrival{time.Now(), box})
}

// tell returns the limit that is named to a box now.
func (n *countedTarget) tell(box int) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, told := n.told[box]; n.limit != "" && !told {
		n.told[box] = time.Now()
	}
	return n.limit
}

// most returns the most requests in any window that ends at from or later, of boxes that
// had been told.
func (n *countedTarget) most(from time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	var counted []time.Time
	for _, a := range n.arrivals {
		if told, ok := n.told[a.box]; ok && a.at.Sub(told) >= toldBefore {
			counted = append(counted, a.at)
		}
	}
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) > needWindow {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// inSecond returns the most requests in any second that begins at from or later, of all
// boxes.
func (n *countedTarget) inSecond(from time.Time) int {
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

// between counts all requests of a span.
func (n *countedTarget) between(from, to time.Time) int {
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

// controlScene is some control replicas that issue permits of targets and tell boxes of
// limits, in virtual time. It is as far from all boxes as another region is from half of
// them.
type controlScene struct {
	mu      sync.Mutex
	issuers map[string]*quota.TargetIssuer
	// off tells replicas that do not answer.
	off   map[string]bool
	asked int
}

const (
	controlWay  = 20 * time.Millisecond
	gossipPause = 50 * time.Millisecond
)

func newControlScene(replicas int) *controlScene {
	c := &controlScene{issuers: make(map[string]*quota.TargetIssuer), off: make(map[string]bool)}
	for _, a := range c.names(replicas) {
		c.start(a, c.names(replicas))
	}
	return c
}

func (c *controlScene) names(replicas int) (out []string) {
	for i := range replicas {
		out = append(out, fmt.Sprint("replica", i))
	}
	return out
}

// start has a replica begin without any memory.
func (c *controlScene) start(name string, all []string) {
	i := quota.NewTargetIssuer(name)
	i.SetReplicas(time.Now(), all)
	c.issuers[name] = i
}

func (c *controlScene) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.issuers))
}

// setOff has replicas answer no more, or again.
func (c *controlScene) setOff(off bool, names ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range names {
		c.off[name] = off
	}
}

func (c *controlScene) call(ctx context.Context, address string, r *wire.PermitRequest) (*wire.PermitAnswer, error) {
	time.Sleep(controlWay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.off[address] {
		return nil, errors.New("no answer")
	}
	c.asked++
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

// gossip carries what boxes were told to all replicas and from these to all boxes.
func (c *controlScene) gossip(ctx context.Context, boxes []*Daemon) {
	known := make(map[string]uint64)
	for ctx.Err() == nil {
		time.Sleep(gossipPause)
		var told []*wire.TargetLimit
		for _, d := range boxes {
			told = append(told, d.targetLimits.pendingReports()...)
		}
		var news []*wire.TargetLimit
		c.mu.Lock()
		for name, i := range c.issuers {
			if c.off[name] {
				continue
			}
			for _, w := range told {
				i.Apply(time.Now(), targetstatus.UpdateOf(time.Now(), w))
			}
			words, last := i.Targets().ChangedSince(known[name])
			known[name] = last
			for _, w := range words {
				news = append(news, w.Message(time.Now()))
			}
		}
		c.mu.Unlock()
		time.Sleep(controlWay)
		for _, d := range boxes {
			d.takeUpdates(news)
		}
	}
}

// targetScene is some boxes that share targets in virtual time.
type targetScene struct {
	boxes   []*Daemon
	targets []*countedTarget
	control *controlScene
	// asleep is for how long the machine of each box was suspended, in nanoseconds.
	asleep []*atomic.Int64
	random *rand.Rand
	asked  int
	// served and refused count the answers to callers; told are the times that refused ones
	// got, and slowest is how long a refusal took at most.
	mu              sync.Mutex
	served, refused int
	told            map[string]bool
	slowest         time.Duration
	// inTime counts those that were served within fullObjective, and deadline is what
	// callers say that they wait, in milliseconds.
	inTime   int
	deadline string
}

func newTargetScene(t *testing.T, boxes, targets int) *targetScene {
	t.Helper()
	s := &targetScene{random: rand.New(rand.NewPCG(1, 1)), control: newControlScene(6), told: make(map[string]bool), deadline: "1500"}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	var addresses []string
	for i := range targets {
		s.targets = append(s.targets, &countedTarget{told: make(map[int]time.Time), toldLeaving: make(map[int]time.Time)})
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
		s.asleep = append(s.asleep, asleep)
		config.Clock = boottime.NewClock(func() time.Duration { return time.Duration(asleep.Load()) })
		d := newDaemon(t, config, addresses...)
		d.setBoxes(list)
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
			_ = d.callers.listener.Close()
			_ = d.ready.Close()
		}
	})
	return s
}

// dialer connects a box to targets, which serve their ends of the connections.
func (s *targetScene) dialer(serve func(target int, c net.Conn)) func(context.Context, string, string) (net.Conn, error) {
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

// load has callers send requests for a time, each at a box by lot.
func (s *targetScene) load(perSecond int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		s.asked++
		go s.ask(s.boxes[s.random.IntN(len(s.boxes))], s.asked)
	}
}

// settle waits until all requests have been answered.
func (s *targetScene) settle() {
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func (s *targetScene) ask(d *Daemon, n int) {
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
	s.told[w.Header().Get("Retry-After")] = true
	s.slowest = max(s.slowest, time.Since(began))
}

func allowedInWindow(limit float64) int {
	return int(needExcess*limit*needWindow.Seconds() + needSlack)
}
