package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/isolation"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/internal/tunnel"
	"ledgesill.dev/ledgesill/pkg/balance"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/pipelining"
	"ledgesill.dev/ledgesill/pkg/retry"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// routing is the active routes document with the tables built from it.
type routing struct {
	document catalog.Document
	table    *catalog.Table
	keys     *catalog.KeyTable
	// priorities are the highest priorities of the services' routes.
	priorities map[string]int
	// version is the version of the replicated state.
	version uint64
}

// Daemon is one entry box.
type Daemon struct {
	clock     *boottime.Clock
	config    Config
	process   *process.Process
	logWriter *process.LogWriter
	log       zerolog.Logger
	started   time.Time
	node      *link.Node
	follower  *relay.Follower
	// controlAge returns the time since the last contact with control.
	controlAge      func() time.Duration
	controlReplicas *replicas
	connections     *connectionPool
	targetContact   *targetContact
	// tunnelServer connects to targets for other boxes, which reach it at peerListener.
	tunnelServer *tunnel.Server
	peerListener net.Listener
	// bufferMemory limits the bodies and response heads that are buffered.
	bufferMemory  *pipelining.Budget
	shaper        *shaper
	linkQueue     *linkQueue
	overload      *overloadControl
	permits       *permits
	permitStreams *permitStreams
	// secondAttempts decides on hedged attempts by the learned run times.
	secondAttempts *secondAttempts
	// targetLimits tracks rate-limited targets.
	targetLimits      *targetLimits
	unusableWorkTimes unusableWorkTimes
	isolation         *isolation.Isolation
	// controlReachability and permitReachability track which replicas take reports and which issue
	// permits.
	controlReachability reachability
	permitReachability  reachability
	metrics             *metrics
	servedLineLimit     *process.LineLimiter
	otherLineLimit      *process.LineLimiter
	callerServer        *callerServer
	readyListener       net.Listener
	metricsListener     net.Listener

	// peersDigest is the digest of the peers that a replica named last; only fetchMembership uses it.
	peersDigest uint64

	// reportDue holds a token when the replicas must get a report at once.
	reportDue chan struct{}

	routing atomic.Pointer[routing]
	// lastState is the last state that was applied; only applyState uses it.
	lastState *catalog.State
	// stoppedRollouts are the numbers of the roll-outs for which logVersionStopped has logged; only
	// sendReports uses it.
	stoppedRollouts map[uint64]bool
	stopping        atomic.Bool
	// stopEnd is when requests in flight are cut off; nil until the box shuts down.
	stopEnd  atomic.Pointer[time.Time]
	inFlight atomic.Int64

	// balancing guards the state by which targets are chosen.
	balancing struct {
		lockorder.Mutex
		balancer     *balance.Balancer
		retryBudgets map[string]*retry.WindowBudget
		splits       map[string]*balance.Split
		boxCount     int
	}
}

// maxControlAge is the time without contact with control after which another replica is followed.
// Replicas send an update each second, and a target's drain must reach all boxes within 2 s.
const maxControlAge = 1600 * time.Millisecond

// Open listens on the configured addresses. Run must follow.
func Open(c Config, log io.Writer) (*Daemon, error) {
	lines := process.NewLogWriter(log)
	p, err := process.New(c.Name, lines, c.LogLevel, "")
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		config:          c,
		process:         p,
		logWriter:       lines,
		log:             p.Log,
		started:         c.Clock.Now(),
		clock:           c.Clock,
		metrics:         newMetrics(p.Metrics),
		servedLineLimit: process.NewLineLimiter(servedLinesPerSecond),
		otherLineLimit:  process.NewLineLimiter(otherLinesPerSecond),
		reportDue:       make(chan struct{}, 1),
		stoppedRollouts: make(map[uint64]bool),
	}
	p.BootClock = c.Clock
	d.balancing.Rank = lockorder.Balancing
	d.balancing.balancer = balance.New(balance.Config{
		Box: c.Name, Zone: c.Zone, Region: c.Region,
		DividesObjects: func(service string) bool { return d.secondAttempts.dividesObjects(service) },
	})
	d.balancing.retryBudgets = make(map[string]*retry.WindowBudget)
	d.balancing.splits = make(map[string]*balance.Split)
	d.targetContact = newTargetContact(d.clock)
	d.secondAttempts = newSecondAttempts(c, d.started)
	d.connections = newConnectionPool()
	d.connections.clock = d.clock
	if c.TargetAddress != nil {
		dial := d.connections.dial
		d.connections.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			return dial(ctx, network, c.TargetAddress(address))
		}
	}
	d.connections.onDial = d.recordDial
	d.connections.onTunnel = d.recordTunnel
	d.connections.onPlan = d.metrics.recordHedgeDelay
	d.connections.onHedge = d.metrics.countHedgedConnect
	d.connections.paths = newPaths(targetpath.Config{Zone: c.Zone, Region: c.Region}, d.recordPathChange)
	p.Gauge("cut_off_zones", "Availability zones with targets that this box reaches through other boxes only.", func() float64 { return float64(len(d.connections.paths.cutOffZones())) })
	p.Gauge("log_lines_dropped", "Log lines that the reader did not take in time.", func() float64 { return float64(lines.Dropped()) })
	p.Gauge("control_age_seconds", "Age of the word of control.", func() float64 { return d.follower.ControlAge().Seconds() })
	p.Gauge("target_contact_age_seconds", "Time since a target last answered this box or accepted a connection.", func() float64 { return d.targetContact.age().Seconds() })
	d.bufferMemory = newBufferMemory()
	p.Gauge("buffered_bytes", "Bytes reserved for bodies of requests and responses, and for long response heads.", func() float64 { return float64(d.bufferMemory.Used()) })
	d.shaper = newShaper(c.LinkBytes)
	d.shaper.clock = d.clock
	d.connections.tunnels, d.tunnelServer = d.newTunnels()
	p.Gauge("tunnels_open", "Connections to targets that this box carries for other boxes.", func() float64 { return float64(d.tunnelServer.Open()) })
	d.linkQueue = newLinkQueue(c.LinkBytes)
	d.overload = newOverloadControl(c.Name, p.Metrics)
	d.controlReplicas = newReplicas(c.Seeds)
	d.permits = newPermits(d.clock)
	d.permitStreams = newPermitStreams(func(ctx context.Context, address string) (*link.Messages, error) { return d.node.Permits(ctx, address) })
	d.permits.call = d.permitStreams.call
	d.permits.replicas = d.controlReplicas.all
	d.permits.buildRequest = d.workspaceRequest
	d.permits.onResult = d.recordPermitCall
	d.targetLimits = newTargetLimits(c.Name, d.clock)
	d.targetLimits.permits.call = d.permitStreams.call
	d.targetLimits.permits.replicas = d.controlReplicas.membersOrSeeds
	d.targetLimits.permits.onResult = d.recordPermitCall
	p.Gauge("backed_off_targets", "Targets that this box sends nothing at their request.", d.backedOffTargets)
	d.isolation = d.newIsolation()
	p.Gauge("quarantine_suspects", "Requests under which a target ended at this box.", func() float64 { return float64(d.isolation.SuspectCount()) })
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.Name + p.Incarnation)) // writing to a hash never fails
	d.follower = relay.NewFollower(relay.FollowerConfig{
		Box:         c.Name,
		Incarnation: p.Incarnation,
		Zone:        c.Zone,
		PeerAddress: c.PeerAddress,
		Node:        func() *link.Node { return d.node },
		Clock:       p.Clock,
		BootClock:   d.clock,
		Seed:        seed.Sum64(),
		StaleAfter:  maxControlAge,
		Sources:     d.sources,
		ApplyState:  d.applyState,
		EntryBoxes:  d.setEntryBoxes,
		Limits:      d.mergeUpdates,
		Event:       d.recordEvent,
	})
	d.controlAge = d.follower.ControlAge
	return d, d.listen()
}

// recordEvent adds an event to the timeline. States that are applied have log lines of their own,
// one for many commands; other events are logged here.
func (d *Daemon) recordEvent(e *wire.TimelineEvent) {
	if e.Kind == relay.EventActive {
		d.process.Event(e)
		return
	}
	d.process.RecordStateChange(e)
}

func (d *Daemon) listen() error {
	id := link.Identity{Name: d.config.Name, Incarnation: d.process.Incarnation}
	d.node = link.NewClient(id, d.process.Clock, nil)
	callers, err := newCallerServer(d)
	if err != nil {
		return err
	}
	d.callerServer = callers
	if d.readyListener, err = net.Listen("tcp4", d.config.ReadyAddress); err != nil {
		return errors.Wrap(err, "listening for readiness checks")
	}
	if err := d.listenForPeers(); err != nil {
		return err
	}
	if d.config.MetricsAddress == "" {
		return nil
	}
	if d.metricsListener, err = net.Listen("tcp4", d.config.MetricsAddress); err != nil {
		return errors.Wrap(err, "listening for metrics")
	}
	return nil
}

const (
	sweepInterval = time.Second
	// suppressedLinesInterval is how often the number of suppressed log lines is logged.
	suppressedLinesInterval = 5 * time.Second
)

// Run serves until the context ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info().Str("kind", "start").Str("zone", d.config.Zone).Str("region", d.config.Region).
		Str("incarnation", d.process.Incarnation).Strs("seeds", d.config.Seeds).Msg("entry box starting")
	logging, stopLogging := context.WithCancel(context.Background())
	logged := make(chan error, 1)
	go func() { logged <- d.logWriter.Run(logging) }()

	root := d.process.Supervisor()
	for _, s := range d.services() {
		root.Add(s)
	}
	tree, stopTree := context.WithCancel(context.Background())
	ended := root.ServeBackground(tree)
	served := d.callerServer.serve()

	var err error
	select {
	case <-ctx.Done():
		d.shutdown()
	case err = <-served:
	}
	stopTree()
	<-ended
	d.connections.close()
	d.permitStreams.close()
	err = errors.CombineErrors(err, d.node.Close())
	d.log.Info().Str("kind", "stop").Int64("inFlight", d.inFlight.Load()).Msg("entry box stopped")
	stopLogging()
	<-logged
	return errors.CombineErrors(err, d.process.Close())
}

func (d *Daemon) services() []suture.Service {
	out := []suture.Service{
		process.Service{Name: "following", Run: d.follower.Run},
		process.Service{Name: "controls", Run: d.refreshMembership},
		process.Service{Name: "reports", Run: d.sendReports},
		process.Service{Name: "permits", Run: d.permits.run},
		process.Service{Name: "targetPermits", Run: d.targetLimits.permits.run},
		process.Service{Name: "isolation", Run: d.isolation.Run},
		process.Service{Name: "paths", Run: d.probePaths},
		process.Service{Name: "ready", Run: func(ctx context.Context) error {
			return process.ServeHTTP(ctx, d.readyListener, d.config.ReadyHandler(d.isReady))
		}},
		process.Service{Name: "sweep", Run: d.sweep},
		process.Service{Name: "suspensions", Run: d.process.LogSuspensions},
	}
	if d.peerListener != nil {
		out = append(out, process.Service{Name: "tunnels", Run: func(ctx context.Context) error { return d.tunnelServer.Serve(ctx, d.peerListener) }})
	}
	if d.metricsListener != nil {
		out = append(out, process.Service{Name: "metrics", Run: d.serveMetrics})
	}
	return out
}

// isReady reports whether the box can serve callers.
func (d *Daemon) isReady() bool { return d.routing.Load() != nil && !d.stopping.Load() }

// sweep closes connections that have been idle for too long, to callers and to targets, and drops
// expired entries.
func (d *Daemon) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lines := time.NewTicker(suppressedLinesInterval)
	defer lines.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := d.clock.Now()
			d.connections.closeExpired(now, d.isRegistered)
			d.callerServer.closeExpired(now)
			d.setLocalShares()
			d.permits.prune(now)
			d.overload.prune(now)
			d.targetLimits.prune(now, d.isRegistered)
			d.unusableWorkTimes.prune(d.isRegistered)
			d.logEndedBackOffs()
		case <-lines.C:
			d.logSuppressedLines()
		}
	}
}

// CallerAddress returns the address on which the box listens for callers.
func (d *Daemon) CallerAddress() string { return d.callerServer.listener.Addr().String() }

// Log returns the log of the process.
func (d *Daemon) Log() zerolog.Logger { return d.log }

// SetSeeds replaces the control replicas that were configured at the start.
func (d *Daemon) SetSeeds(seeds []string) {
	d.controlReplicas.setSeeds(seeds)
	d.follower.SourcesChanged()
}
