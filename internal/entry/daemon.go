// Package entry is the daemon of an entry box: it answers look-ups, admits
// requests to the targets of its own availability zone and passes others on to
// the boxes of their zones, and relays the state to the boxes below it.
package entry

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/lease"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// inForce is one version of the state with what is derived from it.
type inForce struct {
	state steering.State
	tree  settings.Tree
	table *lookup.Table
	zone  settings.Zone
	boxes map[string]settings.Box
}

// Daemon is one entry box.
type Daemon struct {
	config     config.Entry
	process    *process.Process
	seed       uint64
	network    link.Network
	node       *link.Node
	publishing *relay.Publishing
	following  *following
	callers    net.Listener
	operators  net.Listener
	forwarded  *link.StreamListener
	toTargets  *http.Transport
	probes     *http.Client
	toPeers    *http.Transport
	keys       *keys
	peers      *peers
	stop       *stopping
	current    atomic.Pointer[inForce]
	nextID     atomic.Uint64
	inFlight   atomic.Int64

	votes struct {
		sync.Mutex
		voter *lease.Voter
	}
	budgets struct {
		sync.Mutex
		byService map[string]*retry.Budget
	}
	pools struct {
		sync.Mutex
		byService map[string]*runningPool
		tree      *suture.Supervisor
	}
	leaving struct {
		sync.Mutex
		addresses map[string]bool
	}

	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	latency  *prometheus.HistogramVec
}

type runningPool struct {
	pool  *pool
	token suture.ServiceToken
}

const (
	dialTargetTimeout = time.Second
	idleTimeout       = 90 * time.Second
	idlePerTarget     = 64
	readHeaderTimeout = 5 * time.Second
)

// Open listens on a network. Run must follow. Without an operator address
// nothing is served to operators.
func Open(c config.Entry, log io.Writer, network link.Network) (*Daemon, error) {
	p, err := process.New(c.Name, log, c.Level(), "")
	if err != nil {
		return nil, err
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.Name + p.Incarnation)) // a hash takes every write
	d := &Daemon{config: c, process: p, seed: seed.Sum64(), network: network}
	d.votes.voter = lease.NewVoter(time.Now(), c.Name, longestLease)
	d.budgets.byService = make(map[string]*retry.Budget)
	d.pools.byService = make(map[string]*runningPool)
	d.leaving.addresses = make(map[string]bool)
	d.put(steering.State{})
	d.following = newFollowing(d)
	d.publishing = relay.NewPublishing(steering.State{}, d.following.age, p.Clock.Stamp)
	d.keys = newKeys(d)
	d.peers = newPeers(d)
	d.stop = &stopping{}
	d.registerMetrics()
	return d, d.listen()
}

// longestLease is the largest leaseMillis that settings allow, and so the time for which
// a restarted voter grants nothing.
const longestLease = 2 * time.Second

func (d *Daemon) listen() error {
	secure, err := d.config.TLS()
	if err != nil {
		return err
	}
	id := link.Identity{Name: d.config.Name, Incarnation: d.process.Incarnation}
	handlers := link.Handlers{Subscribe: d.serveSubscriber, Call: d.serveCall, Forward: d.serveForward}
	if d.callers, err = d.network.Listen(d.config.CallerAddress); err != nil {
		return fmt.Errorf("listening for callers: %w", err)
	}
	if d.config.OperatorAddress != "" {
		if d.operators, err = d.network.Listen(d.config.OperatorAddress); err != nil {
			return errors.Join(fmt.Errorf("listening for operators: %w", err), d.callers.Close())
		}
	}
	d.forwarded = link.NewStreamListener(d.callers.Addr())
	if d.node, err = link.Listen(d.network, d.config.PeerAddress, id, d.process.Clock, handlers, secure); err != nil {
		return errors.Join(err, d.callers.Close())
	}
	d.toTargets = &http.Transport{
		DialContext:         d.dialTarget,
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	d.probes = &http.Client{Transport: &http.Transport{DialContext: d.dialTarget}, Timeout: probeTimeout}
	d.toPeers = &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return d.node.Forward(ctx, address)
		},
		MaxIdleConnsPerHost: idlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	d.process.Gauge("control_bytes_sent", "Bytes sent to other processes, forwarded requests left out.", func() float64 { return float64(d.node.Control.Sent.Load()) })
	d.process.Gauge("control_bytes_received", "Bytes received from other processes, forwarded requests left out.", func() float64 { return float64(d.node.Control.Received.Load()) })
	return nil
}

func (d *Daemon) dialTarget(ctx context.Context, _, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTargetTimeout)
	defer cancel()
	return d.network.Dial(ctx, address)
}

func (d *Daemon) registerMetrics() {
	d.requests = d.process.Counter("requests_total", "Requests answered, by service and outcome.", "service", "outcome")
	d.refusals = d.process.Counter("refusals_total", "Requests that got no slot, by service and reason.", "service", "reason")
	d.retries = d.process.Counter("retries_total", "Attempts after the first, by service.", "service")
	d.latency = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "ledgesill_request_seconds",
		Help:    "Time to the answer of a request, by service.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
	}, []string{"service"})
	d.process.Metrics.MustRegister(d.latency)
	d.process.Gauge("version", "Version of the state in force.", func() float64 { return float64(d.current.Load().state.Version()) })
	d.process.Gauge("control_age_seconds", "Age of the word of control; a box that is cut off shows it growing.", func() float64 { return d.following.age().Seconds() })
	d.process.Gauge("in_flight", "Requests in flight.", func() float64 { return float64(d.inFlight.Load()) })
	d.process.Gauge("request_keys", "Request keys kept.", func() float64 { return float64(d.keys.len()) })
}

// put puts a state in force.
func (d *Daemon) put(s steering.State) {
	f := &inForce{state: s, tree: s.Tree(), table: s.Table(), boxes: make(map[string]settings.Box)}
	f.zone, _ = f.tree.Zone(d.config.Zone)
	for _, z := range f.tree.Zones() {
		for _, b := range z.Boxes {
			f.boxes[b.Name] = b
		}
	}
	d.current.Store(f)
}

// Run serves until the context ends, stops as planned and closes.
func (d *Daemon) Run(ctx context.Context) error {
	pools := d.process.Supervisor()
	d.pools.tree = pools
	root := d.process.Supervisor()
	root.Add(pools)
	root.Add(process.Service{Name: "following", Run: d.following.run})
	root.Add(process.Service{Name: "peers", Run: d.peers.run})
	root.Add(process.Service{Name: "health", Run: d.probeTargets})
	root.Add(process.Service{Name: "platform", Run: d.watchPlatform})
	if d.operators != nil {
		root.Add(process.Service{Name: "operators", Run: d.serveOperators})
	}
	tree, stopTree := context.WithCancel(context.Background())
	ended := root.ServeBackground(tree)

	server := &http.Server{Handler: d.handler(), ReadHeaderTimeout: readHeaderTimeout}
	serving := make(chan error, 2)
	go func() { serving <- server.Serve(d.callers) }()
	go func() { serving <- server.Serve(d.forwarded) }()

	var err error
	select {
	case <-ctx.Done():
		d.stopAsPlanned()
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
	d.toTargets.CloseIdleConnections()
	d.toPeers.CloseIdleConnections()
	d.probes.CloseIdleConnections()
	return errors.Join(d.node.Close(), d.process.Close())
}

func (d *Daemon) serveSubscriber(ctx context.Context, _ string, m *link.Messages) {
	d.publishing.Serve(ctx, m)
}

func (d *Daemon) serveForward(c net.Conn) { d.forwarded.Put(c) }

func (d *Daemon) serveCall(_ context.Context, _ string, request *wire.CallRequest) *wire.CallAnswer {
	switch {
	case request.Hello != nil:
		return &wire.CallAnswer{Hello: d.hello()}
	case request.Lease != nil:
		return &wire.CallAnswer{Lease: d.vote(request.Lease)}
	case request.Witness != nil:
		return &wire.CallAnswer{Witness: d.keys.testify(request.Witness)}
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
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	for _, p := range d.poolList() {
		if v, err := p.look(ctx); err == nil && v.held {
			h.PoolsHeld = append(h.PoolsHeld, p.service)
		}
	}
	return h
}

const lookTimeout = 200 * time.Millisecond

func (d *Daemon) vote(m *wire.LeaseRequest) *wire.LeaseAnswer {
	d.votes.Lock()
	defer d.votes.Unlock()
	return d.votes.voter.Handle(time.Now(), m)
}

// holder returns the box that holds a pool of this zone, as far as this box's
// own vote tells, or the votes of others if it has none.
func (d *Daemon) holder(service string) (settings.Box, bool) {
	f := d.current.Load()
	d.votes.Lock()
	name, ok := d.votes.voter.Holder(time.Now(), poolName(service, d.config.Zone))
	d.votes.Unlock()
	if !ok && !slices.Contains(f.zone.Voters(), d.config.Name) {
		name, ok = d.toldHolder(service)
	}
	if !ok {
		return settings.Box{}, false
	}
	b, ok := f.boxes[name]
	return b, ok
}

// toldHolder returns the holder that the voters last named to a box that has no
// vote itself. It is not asked for where a box votes: its own vote is newer.
func (d *Daemon) toldHolder(service string) (name string, ok bool) {
	p := d.pool(service)
	if p == nil {
		return "", false
	}
	other := p.other.Load()
	if other == nil || *other == "" || !d.peers.usable(*other) {
		return "", false
	}
	return *other, true
}

// askVoters sends the lease requests of a pool, each on its own so that a dead
// voter delays none of the others.
func (d *Daemon) askVoters(p *pool, requests []lease.Request) {
	f := d.current.Load()
	for _, q := range requests {
		if q.To == d.config.Name {
			a := d.vote(q.Message)
			go func() { p.inbox <- poolLeaseAnswer{a} }()
			continue
		}
		b, ok := f.boxes[q.To]
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), voteTimeout)
			defer cancel()
			a, err := d.node.Call(ctx, b.PeerAddress, &wire.CallRequest{Lease: q.Message})
			if err == nil && a.Lease != nil {
				p.inbox <- poolLeaseAnswer{a.Lease}
			}
		}()
	}
}

const voteTimeout = 500 * time.Millisecond

// configurePools starts a pool for each service of this zone, ends those of
// services that are gone and gives all the settings in force.
func (d *Daemon) configurePools() {
	f := d.current.Load()
	d.pools.Lock()
	defer d.pools.Unlock()
	for service, running := range d.pools.byService {
		if !slices.Contains(f.zone.Services, service) {
			_ = d.pools.tree.Remove(running.token) // it ends by itself otherwise
			delete(d.pools.byService, service)
		}
	}
	for _, service := range f.zone.Services {
		running := d.pools.byService[service]
		if running == nil {
			running = d.startPool(service)
			d.pools.byService[service] = running
		}
		s := f.tree.Service(f.zone.Region, f.zone.Name, service)
		running.pool.inbox <- poolSettings{service: s, zone: f.zone, leaving: d.leavingAddresses()}
	}
}

func (d *Daemon) startPool(service string) *runningPool {
	p := newPool(service, d.config.Name, d.process.Incarnation, d.seed)
	p.ask = func(requests []lease.Request) { d.askVoters(p, requests) }
	p.refused = func(reason admissionReason) { d.refusals.WithLabelValues(service, string(reason)).Inc() }
	p.changed = func(held bool) {
		detail := "gave up or lost the lease on " + service
		if held {
			detail = "holds the lease on " + service
		}
		d.process.StateChange(&wire.TimelineEvent{Kind: "lease", Box: d.config.Name, Detail: detail})
	}
	return &runningPool{p, d.pools.tree.Add(process.Service{Name: "pool " + service, Run: p.run})}
}

func (d *Daemon) pool(service string) *pool {
	d.pools.Lock()
	defer d.pools.Unlock()
	if running := d.pools.byService[service]; running != nil {
		return running.pool
	}
	return nil
}

func (d *Daemon) poolList() []*pool {
	d.pools.Lock()
	defer d.pools.Unlock()
	out := make([]*pool, 0, len(d.pools.byService))
	for _, running := range d.pools.byService {
		out = append(out, running.pool)
	}
	return out
}

func (d *Daemon) budgetOf(service string, share int) *retry.Budget {
	d.budgets.Lock()
	defer d.budgets.Unlock()
	b := d.budgets.byService[service]
	if b == nil {
		b = retry.NewBudget(share)
		d.budgets.byService[service] = b
	}
	b.SetShare(share)
	return b
}
