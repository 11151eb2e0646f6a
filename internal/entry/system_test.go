package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	controlHost = "10.0.9.1"
	callerHost  = "10.0.8.1"
	serviceTime = 10 * time.Millisecond
	exportBytes = 300_000
)

// system runs three real entry boxes, two in zone a and one in zone b, with two targets in each
// zone, a control replica that only publishes, and callers, all in memory within a synctest
// bubble.
type system struct {
	t         *testing.T
	network   *fakeNetwork
	state     steering.State
	publisher *relay.Publisher
	// stopPublisher stops the publisher's loop.
	stopPublisher func()
	control       *link.Node
	boxes         map[string]*runningBox
	targets       map[string]*runningTarget
	// runs counts the runs of each toggle on targets that have stopped.
	runs map[string]int
	// overloaded is the number of targets that had more requests at once than slots.
	overloaded int
	// killed holds the done channels of killed boxes.
	killed  []chan error
	clients []*http.Client
	nonce   int
	// platform is the URL of the platform's list, or empty.
	platform string
	// onEvidence is called with the evidence that boxes send about requests which crashed targets.
	onEvidence func(*wire.Evidence)

	mu       sync.Mutex
	problems []string
	// sent holds the outcome of each toggle as its caller got it.
	sent map[string]caller.Outcome
}

type runningBox struct {
	name, host, zone string
	daemon           *Daemon
	cancel           context.CancelFunc
	done             chan error
	// suspended is how long the box's machine has been suspended, in nanoseconds. Virtual time
	// does not advance in a suspension, and neither does the steady clock of a real machine.
	suspended *atomic.Int64
}

// suspend simulates a suspension of the box's machine.
func (b *runningBox) suspend(d time.Duration) { b.suspended.Add(int64(d)) }

type runningTarget struct {
	host   string
	zone   string
	target *standin.Target
	cancel context.CancelFunc
	done   chan error
	onRun  func()
}

var boxHosts = map[string]string{"b1": "10.0.0.1", "b2": "10.0.0.2", "b3": "10.0.0.3"}

func zoneOfBox(name string) string {
	if name == "b3" {
		return "zb"
	}
	return "za"
}

func newSystem(t *testing.T, slots int) *system { return newSystemWith(t, slots, "") }

func newSystemWith(t *testing.T, slots int, platform string) *system {
	s := &system{
		platform: platform,
		t:        t, network: newFakeNetwork(), boxes: make(map[string]*runningBox), targets: make(map[string]*runningTarget),
		runs: make(map[string]int), sent: make(map[string]caller.Outcome),
	}
	for name, host := range boxHosts {
		s.network.setZone(host, zoneOfBox(name))
	}
	s.network.setZone(controlHost, "zc")
	s.startControl()
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		s.startTarget(name, slots, nil)
	}
	s.change(s.initialSettings(slots)...)
	for name := range boxHosts {
		s.startBox(name)
	}
	time.Sleep(4 * time.Second)
	return s
}

// runInBubble runs a test in a synctest bubble. Channels that a library keeps in a sync.Pool
// must not move from one bubble to the next; two garbage collections empty all pools.
func runInBubble(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	bubble.Test(t, run)
}

func (s *system) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.problems) < 6 {
		s.problems = append(s.problems, fmt.Sprintf(format, args...))
	}
}

func (s *system) initialSettings(slots int) []*wire.Edit {
	set := func(path, key, value string) *wire.Edit { return &wire.Edit{Path: path, Key: key, Value: value} }
	return []*wire.Edit{
		set("/", "slots", fmt.Sprint(slots)),
		set("/", "requestTimeoutMillis", "4000"),
		set("/", "queueWaitMillis", "300"),
		set("/", "rampMillis", "0"),
		set("/east/za", "entryBoxes", "b1=10.0.0.1:1+10.0.0.1:2,b2=10.0.0.2:1+10.0.0.2:2"),
		set("/east/za", "leaseWitness", "b3"),
		set("/east/zb", "entryBoxes", "b3=10.0.0.3:1+10.0.0.3:2"),
		set("/east/za:flags", "targets", "a1=10.0.1.1:1,a2=10.0.1.2:1"),
		set("/east/zb:flags", "targets", "b1=10.0.2.1:1,b2=10.0.2.2:1"),
	}
}

// change applies a change of settings and publishes it.
func (s *system) change(edits ...*wire.Edit) {
	c := &wire.Command{Change: &wire.Change{Id: fmt.Sprint(s.state.Version()), BaseVersion: s.state.SettingsVersion(), Edits: edits}}
	next, result := s.state.Apply(c)
	if !result.Changed {
		s.t.Fatalf("the change was refused: %v", result.Verdict)
	}
	s.state = next
	s.publisher.SetState(next, []*wire.Command{c})
}

func (s *system) startControl() {
	clock := timeline.NewClock(time.Now)
	s.publisher = relay.NewPublisher(steering.State{}, func() time.Duration { return 0 }, clock.Stamp)
	ctx, cancel := context.WithCancel(context.Background())
	published := make(chan error, 1)
	go func() { published <- s.publisher.Run(ctx) }()
	s.stopPublisher = func() {
		cancel()
		<-published
	}
	handlers := link.Handlers{
		Subscribe: func(ctx context.Context, _ string, m *link.Messages) { s.publisher.Serve(ctx, m) },
		Call: func(_ context.Context, _ string, r *wire.CallRequest) *wire.CallAnswer {
			if r.Evidence != nil && s.onEvidence != nil {
				s.onEvidence(r.Evidence)
			}
			return &wire.CallAnswer{}
		},
	}
	s.network.setFramed(controlHost + ":1")
	node, err := link.Listen(s.networkOf(controlHost), controlHost+":1", link.Identity{Name: "control"}, clock, handlers, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	s.control = node
}

func (s *system) networkOf(host string) link.Network {
	return link.Network{
		Listen: s.network.listen,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return s.network.dial(ctx, host, address)
		},
	}
}

func targetHost(name string) string {
	zone := map[byte]string{'a': "1", 'b': "2"}[name[0]]
	return "10.0." + zone + "." + name[1:]
}

func (s *system) startTarget(name string, slots int, onRun func()) {
	r := &runningTarget{host: targetHost(name), zone: "z" + name[:1], done: make(chan error, 1), onRun: onRun}
	r.target = standin.NewTarget(standin.TargetConfig{
		Name: name, Slots: slots, Connections: 330, ServiceTime: serviceTime,
		OnRun: func() {
			if r.onRun != nil {
				r.onRun()
			}
		},
	})
	s.network.setZone(r.host, r.zone)
	s.network.restart(r.host)
	l, err := s.network.listen(r.host + ":1")
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { r.done <- r.target.Serve(ctx, l) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name] = r
}

func (s *system) target(name string) *runningTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[name]
}

func (s *system) box(name string) *runningBox {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boxes[name]
}

func (s *system) allTargets() map[string]*runningTarget {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.targets)
}

func (s *system) allBoxes() map[string]*runningBox {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.boxes)
}

// stopTarget stops a target and keeps the record of what it has run.
func (s *system) stopTarget(name string, slots int) {
	r := s.target(name)
	r.cancel()
	<-r.done
	runs, maxConcurrent := r.target.Runs()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range runs {
		s.runs[id] += n
	}
	if maxConcurrent > slots {
		s.overloaded++
	}
	delete(s.targets, name)
}

func (s *system) startBox(name string) {
	host := boxHosts[name]
	s.network.restart(host)
	suspended := &atomic.Int64{}
	clock := boottime.NewClock(func() time.Duration { return time.Duration(suspended.Load()) })
	c := config.Entry{
		Common:        config.Common{Clock: clock, Name: name, PeerAddress: host + ":2", LogLevel: "error"},
		CallerAddress: host + ":1",
		Region:        "east",
		Zone:          zoneOfBox(name),
		Controls:      []string{controlHost + ":1"},
		PlatformList:  s.platform,
	}
	s.network.setFramed(c.PeerAddress)
	d, err := Open(c, io.Discard, s.networkOf(host))
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &runningBox{name: name, host: host, zone: c.Zone, daemon: d, cancel: cancel, done: make(chan error, 1), suspended: suspended}
	go func() { b.done <- d.Run(ctx) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[name] = b
}

// killBox resets all connections of a box, as if its process had been killed. Its goroutines
// end in the background, and close waits for them. startBox starts the box anew.
func (s *system) killBox(name string) {
	b := s.box(name)
	s.network.kill(b.host)
	b.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = append(s.killed, b.done)
}

func (s *system) client(service string) *caller.Client {
	h := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return s.network.dial(ctx, callerHost, address)
	}}}
	s.mu.Lock()
	s.clients = append(s.clients, h)
	s.mu.Unlock()
	return caller.NewClient(caller.Config{
		Boxes: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, Service: service, Home: "east", Block: "block-1", HTTP: h,
		Nonce: func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.nonce++
			return fmt.Sprint(s.nonce)
		},
	})
}

// toggle sends an unrepeatable request and records its outcome.
func (s *system) toggle(c *caller.Client, name string, timeout time.Duration) caller.Answer {
	a, err := c.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/toggle", Body: []byte(name), Timeout: timeout})
	if err == nil && a.Outcome == caller.Ran && a.Status == http.StatusOK && !strings.HasPrefix(string(a.Body), "/toggle "+name[:min(len(name), 20)]) {
		s.addProblem("toggle %.20s got the answer %.40q", name, a.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent[name] = a.Outcome
	return a
}

func (s *system) read(c *caller.Client, timeout time.Duration) caller.Answer {
	a, _ := c.Do(context.Background(), caller.Request{Method: http.MethodGet, Path: "/flag", Timeout: timeout, Repeatable: true})
	if a.Outcome == caller.Ran && a.Status == http.StatusOK && string(a.Body) != "/flag " {
		s.addProblem("a read got the answer %.40q", a.Body)
	}
	return a
}

func (s *system) export(c *caller.Client, timeout time.Duration) caller.Answer {
	path := fmt.Sprintf("/export?size=%d", exportBytes)
	a, _ := c.Do(context.Background(), caller.Request{Method: http.MethodGet, Path: path, Timeout: timeout, Repeatable: true})
	if a.Outcome == caller.Ran && a.Status == http.StatusOK && !bytes.Equal(a.Body, standin.ExportContent(exportBytes)) {
		s.addProblem("an export of %d bytes came back as %d bytes with other content", exportBytes, len(a.Body))
	}
	return a
}

// close stops everything and checks what has run.
func (s *system) close(slots int) {
	boxes := s.allBoxes()
	for _, b := range boxes {
		b.cancel()
	}
	for _, b := range boxes {
		<-b.done
	}
	for _, done := range s.killed {
		<-done
	}
	for name := range s.allTargets() {
		s.stopTarget(name, slots)
	}
	_ = s.control.Close()
	s.stopPublisher()
	for _, h := range s.clients {
		h.CloseIdleConnections()
	}
	for name, outcome := range s.sent {
		n := s.runs[name]
		if n > 1 {
			s.addProblem("toggle %.20s ran %d times", name, n)
		}
		if n > 0 && outcome == caller.NotRun {
			s.addProblem("toggle %.20s ran, but its outcome is not run", name)
		}
		if n == 0 && outcome == caller.Ran {
			s.addProblem("toggle %.20s did not run, but its outcome is ran", name)
		}
	}
	if s.overloaded > 0 {
		s.addProblem("%d targets had more requests at once than slots", s.overloaded)
	}
}
