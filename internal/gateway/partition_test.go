package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// largePartitions adds 60 and 300 boxes to the sizes of TestPartitionsOfManyBoxesAreBridged.
var largePartitions = flag.Bool("large-partitions", false, "cut off boxes of 60 and 300 too")

// partition is how the links between a box and targets fail.
type partition int

const (
	connected partition = iota
	// hangAndClose: new connections hang, open ones are reset.
	hangAndClose
	// resetAndClose: new connections are reset, and so are open ones.
	resetAndClose
	// refuseAndClose: new connections are refused, open ones are reset.
	refuseAndClose
	// refuseNew: new connections are refused, open ones stay usable.
	refuseNew
	// hangAndSilence: new connections hang, open ones go silent.
	hangAndSilence
)

var partitions = []partition{hangAndClose, resetAndClose, refuseAndClose, refuseNew, hangAndSilence}

func (p partition) String() string {
	return [...]string{"connected", "hang and close", "reset and close", "refuse and close", "refuse new", "hang and silence"}[p]
}

// linkDelay is the one-way delay between a box and a target.
const linkDelay = time.Millisecond

// targetLinks are the links between one box and all targets.
type targetLinks struct {
	mu    sync.Mutex
	state map[string]partition
	// changed is closed at the next change of the state.
	changed chan struct{}
	open    map[*linkedConn]bool
}

func newTargetLinks() *targetLinks {
	return &targetLinks{state: make(map[string]partition), changed: make(chan struct{}), open: make(map[*linkedConn]bool)}
}

// set sets the state of the links to the targets at some addresses.
func (l *targetLinks) set(p partition, addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		l.state[a] = p
	}
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.open {
		if now := l.state[c.address]; now == hangAndClose || now == resetAndClose || now == refuseAndClose {
			c.reset()
			delete(l.open, c)
		}
	}
}

func (l *targetLinks) get(address string) (partition, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state[address], l.changed
}

// dial connects to the target at an address, which serves the other end.
func (l *targetLinks) dial(ctx context.Context, address string, serve func(net.Conn)) (net.Conn, error) {
	time.Sleep(2 * linkDelay)
	switch p, _ := l.get(address); p {
	case hangAndClose, hangAndSilence:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: ctx.Err()}
	case resetAndClose:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNRESET}
	case refuseNew, refuseAndClose:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: syscall.ECONNREFUSED}
	}
	near, nearLink := net.Pipe()
	farLink, far := net.Pipe()
	c := &linkedConn{Conn: near, address: address, ends: []net.Conn{near, nearLink, farLink, far}, closed: make(chan struct{})}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	go serve(far)
	go l.pump(c, nearLink, farLink)
	go l.pump(c, farLink, nearLink)
	return c, nil
}

// pump carries the data of one direction of a connection; a silent link holds it back.
func (l *targetLinks) pump(c *linkedConn, from, to net.Conn) {
	chunks := make(chan []byte, 1<<12)
	go func() {
		defer close(chunks)
		for {
			chunk := make([]byte, 32<<10)
			n, err := from.Read(chunk)
			if n > 0 {
				chunks <- chunk[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	for chunk := range chunks {
		time.Sleep(linkDelay)
		if !l.awaitSound(c) {
			break
		}
		_, _ = to.Write(chunk) // fails once the other end is closed, which ends the loop
	}
	l.awaitSound(c)
	_ = to.Close()
}

// awaitSound waits while the link of a connection is silent and reports whether it carries data.
func (l *targetLinks) awaitSound(c *linkedConn) bool {
	for {
		p, changed := l.get(c.address)
		if p != hangAndSilence {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// linkedConn is the box's end of a connection to a target.
type linkedConn struct {
	net.Conn
	address string
	ends    []net.Conn
	once    sync.Once
	closed  chan struct{}
	// wasReset is set once the connection was reset, as the system tells of an idle connection.
	wasReset atomic.Bool
}

// Close implements net.Conn.
func (c *linkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *linkedConn) reset() {
	c.wasReset.Store(true)
	for _, end := range c.ends {
		_ = end.Close()
	}
}

// boxCount counts the first tries at one box in one phase.
type boxCount struct{ sent, served int }

func (c boxCount) share() float64 { return float64(c.served) / float64(max(c.sent, 1)) }

// rejectedFor is the back-off that targets ask for.
const rejectedFor = 3 * time.Second

// partitionCluster is a set of boxes and targets in virtual time whose links fail by box.
type partitionCluster struct {
	// ctx ends with the test.
	ctx     context.Context
	boxes   []*Daemon
	links   []*targetLinks
	targets []string
	// serviceTime is how long a target works on a request.
	serviceTime time.Duration

	mu sync.Mutex
	// runs counts by id how often a request was run.
	runs map[string]int
	// counts are by the phase and the box.
	counts   map[string]map[int]boxCount
	phase    string
	problems []string
	// names are the indices of the boxes by name.
	names map[string]int
	// reject reports whether the target at an address rejects a request from a box and asks for a
	// back-off of rejectedFor; it may be nil.
	reject func(box, address string) bool
	// down are the boxes that answer nobody.
	down map[int]bool
	// peerConns are the connections from other boxes by box.
	peerConns map[int][]net.Conn
}

// newPartitionCluster opens boxes and targets in the given availability zones; the zones of a
// region share their first letter.
func newPartitionCluster(t *testing.T, boxZones, targetZones []string) *partitionCluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var s *partitionCluster
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, d := range s.boxes {
			d.connections.close()
			_ = d.callerServer.listener.Close()
			_ = d.readyListener.Close()
		}
	})
	s = &partitionCluster{ctx: ctx, down: make(map[int]bool), peerConns: make(map[int][]net.Conn), names: make(map[string]int), runs: make(map[string]int), counts: make(map[string]map[int]boxCount), serviceTime: 20 * time.Millisecond}
	state, _ := steering.State{}.Apply(&wire.Command{Routes: &wire.RoutesCommand{Document: &wire.RoutesDocument{Number: 1, Text: []byte("x")}}})
	regions := make(map[string]string)
	for i, zone := range targetZones {
		address := fmt.Sprint("10.0.0.", i+1, ":80")
		s.targets = append(s.targets, address)
		regions[zone] = zone[:1]
		state, _ = state.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id: fmt.Sprint("t", i), Service: "s", Address: address, Zone: zone, Slots: 9, Sequence: 1,
		}}})
	}
	var list []*wire.EntryBox
	for i, zone := range boxZones {
		regions[zone] = zone[:1]
		list = append(list, &wire.EntryBox{Name: fmt.Sprint("box", i), Zone: zone, Region: zone[:1]})
	}
	for _, b := range list {
		config := testConfig()
		config.Name, config.Zone, config.Region, config.RegionOf = b.Name, b.Zone, b.Region, regions
		d, err := Open(config, io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		d.controlAge = func() time.Duration { return 0 }
		links := newTargetLinks()
		d.connections.dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return links.dial(ctx, address, func(c net.Conn) { s.serve(b.Name, address, c) })
		}
		d.applyState(state, nil)
		d.setEntryBoxes(list)
		s.names[b.Name] = len(s.boxes)
		d.connections.tunnels.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return s.dialPeer(ctx, address)
		}
		d.setPeers(lookup.Peers(locations(list), b.Name, b.Region, b.Zone))
		d.connections.reusable = func(c net.Conn) bool {
			link, ok := c.(*linkedConn)
			return isReusable(c) && !(ok && link.wasReset.Load())
		}
		for _, run := range []func(context.Context) error{d.isolation.Run, d.probePaths, d.sweep} {
			running.Go(func() { _ = run(ctx) }) // ends with the test
		}
		s.boxes, s.links = append(s.boxes, d), append(s.links, links)
	}
	return s
}

// locations returns the boxes as control knows them; their peer addresses are their names.
func locations(list []*wire.EntryBox) (out []lookup.BoxLocation) {
	for _, b := range list {
		out = append(out, lookup.BoxLocation{Name: b.Name, Zone: b.Zone, Region: b.Region, PeerAddress: b.Name})
	}
	return out
}

// dialPeer connects to the box at an address.
func (s *partitionCluster) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	time.Sleep(2 * linkDelay)
	i := s.names[address]
	if s.isDown(i) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	s.mu.Lock()
	s.peerConns[i] = append(s.peerConns[i], far)
	s.mu.Unlock()
	go s.boxes[i].tunnelServer.ServeConn(s.ctx, far)
	return near, nil
}

// kill ends a box: it answers nobody any more and its connections close.
func (s *partitionCluster) kill(box int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[box] = true
	for _, c := range s.peerConns[box] {
		_ = c.Close()
	}
}

// isDown reports whether a box answers nobody.
func (s *partitionCluster) isDown(box int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down[box]
}

// serve serves one connection of a box to the target at an address.
func (s *partitionCluster) serve(box, address string, c net.Conn) {
	at := &target{script: func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Test-Id")
		if s.rejects(box, address) {
			fmt.Fprintf(c, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Executed: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", id, int(rejectedFor.Seconds()))
			return true
		}
		s.mu.Lock()
		s.runs[id]++
		serviceTime := s.serviceTime
		s.mu.Unlock()
		time.Sleep(serviceTime)
		writeResponse(c, id, "hello")
		return true
	}}
	at.serve(c)
}

// spread returns the indices of every nth box.
func spread(boxes, nth int) (out []int) {
	for i := 0; i < boxes; i += nth {
		out = append(out, i)
	}
	return out
}

// inZone returns the indices of the boxes whose zone begins with a prefix.
func (s *partitionCluster) inZone(prefix string) (out []int) {
	for i, d := range s.boxes {
		if strings.HasPrefix(d.config.Zone, prefix) {
			out = append(out, i)
		}
	}
	return out
}

// total sums the first tries of some boxes in a phase.
func (s *partitionCluster) total(phase string, boxes []int) (sum boxCount) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range boxes {
		sum.sent += s.counts[phase][i].sent
		sum.served += s.counts[phase][i].served
	}
	return sum
}

// rejects reports whether the target at an address rejects a request from a box.
func (s *partitionCluster) rejects(box, address string) bool {
	s.mu.Lock()
	reject := s.reject
	s.mu.Unlock()
	return reject != nil && reject(box, address)
}

// setReject sets how targets reject requests.
func (s *partitionCluster) setReject(reject func(box, address string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject = reject
}

// setServiceTime sets how long a target works on a request.
func (s *partitionCluster) setServiceTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTime = d
}

// cut sets the state of the links between some boxes and all targets.
func (s *partitionCluster) cut(p partition, boxes ...int) {
	for _, i := range boxes {
		s.links[i].set(p, s.targets...)
	}
}

// sendLoad sends requests to every box for some time, every second of them repeatable.
func (s *partitionCluster) sendLoad(phase string, perSecond int, length time.Duration) {
	s.mu.Lock()
	s.phase = phase
	s.counts[phase] = make(map[int]boxCount)
	s.mu.Unlock()
	interval := time.Second / time.Duration(perSecond)
	for n := range int(length / interval) {
		for i := range s.boxes {
			go s.send(phase, i, n)
		}
		time.Sleep(interval)
	}
}

// sendOne sends a request to a box and returns the response.
func (s *partitionCluster) sendOne(ctx context.Context, box int, id, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(id))
	r.Host = "a.example"
	r.Header.Set("Test-Id", id)
	r.Header.Set("Test-Key", "key"+id[max(len(id)-2, 0):])
	r.Header.Set("Test-Deadline", "2000")
	w := httptest.NewRecorder()
	s.boxes[box].ServeHTTP(w, r)
	return w
}

func (s *partitionCluster) send(phase string, box, n int) {
	route := "safe"
	if n%2 == 0 {
		route = "unsafe"
	}
	id := fmt.Sprint(phase, "-", box, "-", n)
	w := s.sendOne(context.Background(), box, id, http.MethodPost, "/"+route+"/")
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.counts[phase][box]
	count.sent++
	if w.Code == http.StatusOK {
		count.served++
	}
	s.counts[phase][box] = count
	if w.Code == http.StatusServiceUnavailable && s.runs[id] > 0 && route == "unsafe" {
		s.problems = append(s.problems, fmt.Sprintf("request %s has run and got 503", id))
	}
	if s.runs[id] > 1 && route == "unsafe" {
		s.problems = append(s.problems, fmt.Sprintf("request %s ran %d times", id, s.runs[id]))
	}
}

// check waits until all requests have ended and checks that none broke a promise.
func (s *partitionCluster) check(t *testing.T) {
	t.Helper()
	time.Sleep(5 * time.Second)
	synctest.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.problems {
		t.Error(p)
	}
	for i, d := range s.boxes {
		if n := d.inFlight.Load(); n != 0 {
			t.Errorf("box %d still has %d requests in flight", i, n)
		}
	}
}

// minServedShare is the least share of first tries that a box serves that is cut off from its
// targets, of the share that the other boxes serve.
const minServedShare = 0.9

// wantServed checks the share of first tries that a cut off box served in a phase, by that of a box
// that was not cut off.
func (s *partitionCluster) wantServed(t *testing.T, phase string, cut, other int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	got, want := s.counts[phase][cut], s.counts[phase][other]
	t.Logf("%s: the cut off box served %d of %d, another %d of %d", phase, got.served, got.sent, want.served, want.sent)
	if got.share() < minServedShare*want.share() {
		t.Errorf("%s: the cut off box served %d of %d first tries, another %d of %d", phase, got.served, got.sent, want.served, want.sent)
	}
}

// TestBoxCutOffFromTargetsServesItsCallers guards against a box that refuses all its callers while it has lost
// its links to all targets, although the other boxes have theirs.
func TestBoxCutOffFromTargetsServesItsCallers(t *testing.T) {
	for _, p := range partitions {
		t.Run(p.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a1", "a1", "a2", "a2", "a2", "a2"})
				s.sendLoad("before", 40, 4*time.Second)
				s.cut(p, 0)
				s.sendLoad("first second", 40, time.Second)
				s.sendLoad("from 1 s on", 40, 12*time.Second)
				s.cut(connected, 0)
				s.sendLoad("first 2 s after the end", 40, 2*time.Second)
				s.sendLoad("after", 40, 2*time.Second)
				s.check(t)
				first := s.counts["first second"][0]
				t.Logf("first second: the cut off box served %d of %d", first.served, first.sent)
				for _, phase := range []string{"before", "from 1 s on", "first 2 s after the end", "after"} {
					s.wantServed(t, phase, 0, 1)
				}
			})
		})
	}
}

// TestPartitionIsNotTakenForCrashes guards against putting requests on probation that a partition broke off: their
// connections are reset and new ones refused, as if their targets had crashed under them.
func TestPartitionIsNotTakenForCrashes(t *testing.T) {
	for _, p := range partitions {
		t.Run(p.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a2", "a2"})
				s.setServiceTime(300 * time.Millisecond)
				s.sendLoad("before", 40, 2*time.Second)
				s.cut(p, 0)
				s.sendLoad("cut off", 40, 3*time.Second)
				s.check(t)
				for i, d := range s.boxes {
					if n := d.isolation.SuspectCount(); n > 0 {
						t.Errorf("box %d has evidence against %d requests, but no target crashed", i, n)
					}
				}
			})
		})
	}
}

// sixZones are the zones of n boxes in three regions of two zones.
func sixZones(n int) (out []string) {
	for i := range n {
		out = append(out, []string{"a1", "b1", "c1", "a2", "b2", "c2"}[i%6])
	}
	return out
}

// TestPartitionsOfManyBoxesAreBridged cuts off one box, a third of the boxes, a zone and a region, and checks that
// callers of these are served like those of the others, also in the first second after the end, that nothing ran
// twice, that what was refused as not run has not run, and that nobody is cut off in the end.
func TestPartitionsOfManyBoxesAreBridged(t *testing.T) {
	sizes := []int{9}
	if *largePartitions {
		sizes = append(sizes, 60, 300)
	}
	for _, n := range sizes {
		for name, choose := range map[string]func(s *partitionCluster) []int{
			"one box":  func(*partitionCluster) []int { return []int{0} },
			"a third":  func(*partitionCluster) []int { return spread(n, 3) },
			"a zone":   func(s *partitionCluster) []int { return s.inZone("a1") },
			"a region": func(s *partitionCluster) []int { return s.inZone("a") },
		} {
			for _, p := range partitions {
				t.Run(fmt.Sprint(n, " boxes, ", name, ", ", p), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						s := newPartitionCluster(t, sixZones(n), sixZones(24))
						cut := choose(s)
						others := s.except(cut)
						const perSecond = 20
						s.sendLoad("before", perSecond, 2*time.Second)
						s.cut(p, cut...)
						s.sendLoad("first second", perSecond, time.Second)
						s.sendLoad("from 1 s on", perSecond, 4*time.Second)
						s.cut(connected, cut...)
						s.sendLoad("after", perSecond, 2*time.Second)
						s.check(t)
						first := s.total("first second", cut)
						t.Logf("first second: cut off boxes served %d of %d", first.served, first.sent)
						for _, phase := range []string{"from 1 s on", "after"} {
							got, want := s.total(phase, cut), s.total(phase, others)
							t.Logf("%s: cut off boxes served %d of %d, others %d of %d", phase, got.served, got.sent, want.served, want.sent)
							if got.share() < minServedShare*want.share() {
								t.Errorf("%s: cut off boxes served %d of %d first tries, others %d of %d", phase, got.served, got.sent, want.served, want.sent)
							}
						}
						for i, d := range s.boxes {
							if zones := d.connections.paths.cutOffZones(); len(zones) > 0 {
								t.Errorf("box %d still counts as cut off from %v", i, zones)
							}
							if d.tunnelServer.Open() > 0 {
								t.Errorf("box %d still carries %d connections", i, d.tunnelServer.Open())
							}
						}
					})
				})
			}
		}
	}
}

// except returns the indices of all boxes but some.
func (s *partitionCluster) except(some []int) (out []int) {
	for i := range s.boxes {
		if !slices.Contains(some, i) {
			out = append(out, i)
		}
	}
	return out
}

// TestCutOffBoxReportsItself guards against lookups that go on naming a box first that reaches no target of its region
// itself, and against a box that is never named again: it probes without any requests.
func TestCutOffBoxReportsItself(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a2", "a2"})
		s.sendLoad("before", 40, time.Second)
		s.cut(hangAndClose, 0)
		s.sendLoad("cut off", 40, 2*time.Second)
		for i, d := range s.boxes {
			if got := d.boxReport().CutOff; got != (i == 0) {
				t.Errorf("box %d reports that it is cut off: %v", i, got)
			}
		}
		s.cut(connected, 0)
		time.Sleep(2 * time.Second)
		if s.boxes[0].boxReport().CutOff {
			t.Error("the box still reports that it is cut off 2 s after the end")
		}
	})
}

// TestBoxCutOffFromOneZoneIsNotCutOff: a box that reaches other zones of its region serves from there and is named as
// before.
func TestBoxCutOffFromOneZoneIsNotCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a2", "a2"})
		s.sendLoad("before", 40, time.Second)
		s.links[0].set(hangAndClose, s.targets[0], s.targets[1])
		s.sendLoad("cut off", 40, 2*time.Second)
		if zones := s.boxes[0].connections.paths.cutOffZones(); !slices.Equal(zones, []string{"a1"}) {
			t.Errorf("cut off from %v, want a1", zones)
		}
		if s.boxes[0].boxReport().CutOff {
			t.Error("the box reports that it is cut off")
		}
		s.check(t)
	})
}
