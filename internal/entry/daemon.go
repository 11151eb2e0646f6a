// Package entry implements the daemon of an entry box. It answers lookups, admits requests to
// the targets of its own availability zone, forwards other requests to the boxes of their
// zones, and relays the steering state to the boxes that subscribe to it.
package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/internal/tcpconn"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/responsehead"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// activeState is one version of the steering state, with data derived from it.
type activeState struct {
	state steering.State
	tree  settings.Tree
	table *lookup.Table
	zone  settings.Zone
	boxes map[string]settings.Box
}

// Daemon is one entry box.
type Daemon struct {
	clock            *boottime.Clock
	config           config.Entry
	process          *process.Process
	seed             uint64
	network          link.Network
	node             *link.Node
	publisher        *relay.Publisher
	follower         *relay.Follower
	callerListener   net.Listener
	operatorListener net.Listener
	forwardListener  *link.StreamListener
	targetTransport  transport
	probeClient      *http.Client
	peerTransport    transport
	keys             *keys
	peers            *peers
	stop             *gracefulStop
	isolation        *isolation.Isolation
	current          atomic.Pointer[activeState]
	nextID           atomic.Uint64
	inFlight         atomic.Int64

	votes struct {
		lockorder.Mutex
		voter *lease.Voter
	}
	budgets struct {
		lockorder.Mutex
		byService map[string]*retry.Budget
	}
	// configuring keeps the settings that pools get in order.
	configuring lockorder.Mutex
	pools       struct {
		lockorder.Mutex
		byService  map[string]*runningPool
		supervisor *suture.Supervisor
	}
	leaving struct {
		lockorder.Mutex
		addresses map[string]bool
	}

	requests  *prometheus.CounterVec
	refusals  *prometheus.CounterVec
	backOffs  *prometheus.CounterVec
	brokenOff *prometheus.CounterVec
	retries   *prometheus.CounterVec
	latency   *prometheus.HistogramVec
}

type runningPool struct {
	pool  *pool
	token suture.ServiceToken
}

const (
	dialTargetTimeout = time.Second
	idleTimeout       = 90 * time.Second
	maxIdlePerHost    = 64
	readHeaderTimeout = 5 * time.Second
)

// Open listens on a network; Run must be called afterwards. Without an operator address the
// operator API is not served.
func Open(c config.Entry, log io.Writer, network link.Network) (*Daemon, error) {
	p, err := process.New(c.Name, log, c.Level(), "")
	if err != nil {
		return nil, err
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.Name + p.Incarnation)) // a hash never returns an error
	p.BootClock = c.Clock
	d := &Daemon{config: c, clock: c.Clock, process: p, seed: seed.Sum64(), network: network}
	d.votes.voter = lease.NewVoter(d.clock.Now(), c.Name, maxLease)
	d.budgets.byService = make(map[string]*retry.Budget)
	d.configuring.Rank = lockorder.PoolSettings
	d.pools.byService = make(map[string]*runningPool)
	d.leaving.addresses = make(map[string]bool)
	d.setState(steering.State{})
	d.follower = newFollower(d)
	d.publisher = relay.NewPublisher(steering.State{}, d.follower.ControlAge, p.Clock.Stamp)
	d.keys = newKeys(d)
	d.peers = newPeers(d)
	d.publisher.SetClock(d.clock)
	d.stop = &gracefulStop{clock: d.clock}
	d.isolation = d.newIsolation()
	d.registerMetrics()
	return d, d.listen()
}

// maxLease is the largest leaseMillis that the settings allow. A restarted voter grants
// nothing for this time.
const maxLease = 2 * time.Second

func (d *Daemon) listen() error {
	secure, err := d.config.TLS()
	if err != nil {
		return err
	}
	id := link.Identity{Name: d.config.Name, Incarnation: d.process.Incarnation}
	handlers := link.Handlers{Subscribe: d.serveSubscriber, Call: d.serveCall, Forward: d.serveForward, Refused: d.process.RecordRefusedLink}
	if d.callerListener, err = d.network.Listen(d.config.CallerAddress); err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	if d.config.OperatorAddress != "" {
		if d.operatorListener, err = d.network.Listen(d.config.OperatorAddress); err != nil {
			return errors.Join(fmt.Errorf("listening for operators: %w", err), d.callerListener.Close())
		}
	}
	d.forwardListener = link.NewStreamListener(d.callerListener.Addr())
	if d.node, err = link.Listen(d.network, d.config.PeerAddress, id, d.process.Clock, handlers, secure); err != nil {
		return errors.Join(err, d.callerListener.Close())
	}
	d.targetTransport = newTransport(d.dialForSlot)
	probes := transport{&http.Transport{DialContext: d.dialTarget, MaxResponseHeaderBytes: maxResponseHeaderBytes}}
	d.probeClient = &http.Client{Transport: probes, Timeout: probeTimeout}
	d.peerTransport = newTransport(func(ctx context.Context, _, address string) (net.Conn, error) {
		return d.node.Forward(ctx, address)
	})
	d.process.Gauge("control_bytes_sent", "Bytes sent to other processes, forwarded requests left out.", func() float64 { return float64(d.node.Control.Sent.Load()) })
	d.process.Gauge("control_bytes_received", "Bytes received from other processes, forwarded requests left out.", func() float64 { return float64(d.node.Control.Received.Load()) })
	return nil
}

func (d *Daemon) dialTarget(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTargetTimeout)
	defer cancel()
	conn, err := d.network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return tcpconn.Wrap(conn), nil // tells a reset from the end of a response
}

func (d *Daemon) registerMetrics() {
	d.requests = d.process.Counter("requests_total", "Requests answered, by service and outcome.", "service", "outcome")
	d.refusals = d.process.Counter("refusals_total", "Requests that got no slot, by service and reason.", "service", "reason")
	d.backOffs = d.process.Counter("back_offs_total", "Back-offs that targets asked this box for, by service.", "service")
	d.process.Gauge("backed_off_targets", "Targets that this box sends nothing at their request.", d.backedOffTargets)
	d.brokenOff = d.process.Counter("broken_off_requests_total", "Requests broken off while their targets ran them, by service and by whether the target stopped or its slot was reclaimed.", "service", "end")
	d.retries = d.process.Counter("retries_total", "Attempts after the first, by service.", "service")
	d.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "ledgesill_request_seconds",
		Help:    "Time to the answer of a request, by service.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	}, []string{"service"})
	d.process.Metrics.MustRegister(d.latency)
	d.process.Gauge("version", "Version of the state in force.", func() float64 { return float64(d.current.Load().state.Version()) })
	d.process.Gauge("control_age_seconds", "Age of the word of control; a box that is cut off shows it growing.", func() float64 { return d.follower.ControlAge().Seconds() })
	d.process.Gauge("in_flight", "Requests in flight.", func() float64 { return float64(d.inFlight.Load()) })
	d.process.Gauge("request_keys", "Request keys kept.", func() float64 { return float64(d.keys.len()) })
}

// setState makes a state the active one.
func (d *Daemon) setState(s steering.State) {
	active := &activeState{state: s, tree: s.Tree(), table: s.Table(), boxes: make(map[string]settings.Box)}
	active.zone, _ = active.tree.Zone(d.config.Zone)
	for _, z := range active.tree.Zones() {
		for _, b := range z.Boxes {
			active.boxes[b.Name] = b
		}
	}
	d.current.Store(active)
}

// Run serves until the context ends, then stops gracefully and closes.
func (d *Daemon) Run(ctx context.Context) error {
	pools := d.process.Supervisor()
	d.pools.supervisor = pools
	root := d.process.Supervisor()
	root.Add(pools)
	root.Add(process.Service{Name: "publishing", Run: d.publisher.Run})
	root.Add(process.Service{Name: "following", Run: d.follower.Run})
	root.Add(process.Service{Name: "peers", Run: d.peers.run})
	root.Add(process.Service{Name: "health", Run: d.probeTargets})
	root.Add(process.Service{Name: "isolation", Run: d.isolation.Run})
	root.Add(process.Service{Name: "suspensions", Run: d.process.LogSuspensions})
	root.Add(process.Service{Name: "platform", Run: d.watchPlatform})
	if d.operatorListener != nil {
		root.Add(process.Service{Name: "operators", Run: d.serveOperators})
	}
	treeCtx, stopTree := context.WithCancel(context.Background())
	ended := root.ServeBackground(treeCtx)

	server := &http.Server{Handler: d.handler(), ReadHeaderTimeout: readHeaderTimeout}
	serving := make(chan error, 2)
	go func() { serving <- server.Serve(d.callerListener) }()
	go func() { serving <- server.Serve(d.forwardListener) }()

	var err error
	select {
	case <-ctx.Done():
		d.stopGracefully()
	case err = <-serving:
		serving <- err
	}
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err = errors.Join(err, server.Shutdown(shutdown))
	<-serving
	<-serving
	d.releasePools()
	stopTree()
	<-ended
	return errors.Join(ignoreClosed(err), d.close())
}

const shutdownTimeout = 5 * time.Second

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (d *Daemon) close() error {
	d.targetTransport.CloseIdleConnections()
	d.peerTransport.CloseIdleConnections()
	d.probeClient.CloseIdleConnections()
	return errors.Join(d.node.Close(), d.process.Close())
}

func (d *Daemon) serveSubscriber(ctx context.Context, _ string, m *link.Messages) {
	d.publisher.Serve(ctx, m)
}

func (d *Daemon) serveForward(c net.Conn) { d.forwardListener.Deliver(c) }

func (d *Daemon) serveCall(_ context.Context, _ string, request *wire.CallRequest) *wire.CallAnswer {
	switch {
	case request.Hello != nil:
		return &wire.CallAnswer{Hello: d.hello()}
	case request.Lease != nil:
		return &wire.CallAnswer{Lease: d.handleLeaseRequest(request.Lease)}
	case request.Witness != nil:
		return &wire.CallAnswer{Witness: d.keys.answerAsWitness(request.Witness)}
	case request.Timeline != nil:
		return &wire.CallAnswer{Timeline: d.process.Ring.Events(request.Timeline)}
	}
	return &wire.CallAnswer{Error: "an entry box does not answer this"}
}

func (d *Daemon) hello() *wire.HelloAnswer {
	h := &wire.HelloAnswer{
		Id:          d.config.Name,
		Incarnation: d.process.Incarnation,
		Version:     d.current.Load().state.Version(),
		Zone:        d.config.Zone,
		Stopping:    d.stop.begun(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), viewTimeout)
	defer cancel()
	for _, p := range d.poolList() {
		if v, err := p.view(ctx); err == nil && v.held {
			h.PoolsHeld = append(h.PoolsHeld, p.service)
		}
	}
	return h
}

const viewTimeout = 200 * time.Millisecond

// transport sends requests and returns only what counts as a response.
type transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. The error is a responsehead.InvalidError if the bytes that came
// back are no response.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := responsehead.CheckParsed(response); err != nil {
		_ = response.Body.Close() // it is no body either
		return nil, err
	}
	return response, nil
}

// newTransport returns a transport for requests of callers.
func newTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) transport {
	return transport{&http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}
