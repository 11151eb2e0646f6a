package control

import (
	"cmp"
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

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Daemon is one control replica.
type Daemon struct {
	config       config.Control
	clock        *boottime.Clock
	process      *process.Process
	journal      *journal.Journal
	replica      *replica
	node         *link.Node
	transport    *transport
	publisher    *relay.Publisher
	permitIssuer *permitIssuer
	// targetLimits issues permits for targets that report a rate limit.
	targetLimits *targetLimits
	routes       *routesDecoder
	targetIndex  targetIndex
	// commandFor returns the command that is submitted for a registration update, and prelude those that
	// must precede it in the log.
	commandFor    func(s catalog.State, c *wire.RegistrationCommand) *wire.RegistrationCommand
	prelude       func(s catalog.State, c *wire.RegistrationCommand) []*wire.RegistrationCommand
	updateLog     *updateLog
	registrations *registrationQueue
	evidence      *evidence
	leadership    *leaderWatch
	rollouts      *rolloutTracker
	serving       servingBoxes
	// rejectedUpdates counts registration updates that were rejected, and rejectedLogLimiter
	// bounds the log lines about them.
	rejectedUpdates    prometheus.Counter
	rejectedLogLimiter *process.LineLimiter
	// readmissions counts updates that register a departed target again.
	readmissions     prometheus.Counter
	operatorListener net.Listener
	extraServices    []process.Service

	started time.Time
	// lastContact is the last time at which the published state was known to hold everything that
	// was committed, in nanoseconds after started, or noContact. It does not depend on the time of
	// day.
	lastContact atomic.Int64

	// reportedTo is the leader that reports of boxes are sent to, and filter selects those that have
	// changed or are due again. Only refreshView uses them.
	reportedTo string
	filter     *relay.ReportFilter

	mu         lockorder.Mutex
	addresses  map[string]string
	joining    map[string]*wire.Replica
	discovered []string // addresses of replicas learned from other replicas
	// reportedLeader is the address of the leader that another replica reported last.
	reportedLeader string
	repairs        map[string]consensus.RepairStep
	laggingSince   map[string]time.Time
	shiftReasons   map[string]string // why a shift is waiting, by shift id
	startupGate    *lookup.StartupGate
}

// Open recovers the replica and starts to listen. Run must be called afterwards.
func Open(c config.Control, log io.Writer) (*Daemon, error) { return openOn(link.TCP(), c, log) }

func openOn(network link.Network, c config.Control, log io.Writer) (*Daemon, error) {
	if err := journal.MakeDir(c.DataDir); err != nil {
		return nil, fmt.Errorf("creating the data directory: %w", err)
	}
	eventsDir := c.DataDir
	if c.PeersAreSeeds {
		eventsDir = "" // the replica's loop must not wait for the disk to record an event
	}
	p, err := process.New(c.Name, log, c.Level(), eventsDir)
	if err != nil {
		return nil, err
	}
	j, found, err := journal.Open(c.DataDir, c.Name, journal.OSFiles())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("opening the data directory: %w", err), p.Close())
	}
	p.BootClock = c.Clock
	d := &Daemon{
		config:       c,
		clock:        c.Clock,
		process:      p,
		journal:      j,
		started:      c.Clock.Now(),
		addresses:    make(map[string]string),
		joining:      make(map[string]*wire.Replica),
		repairs:      make(map[string]consensus.RepairStep),
		laggingSince: make(map[string]time.Time),
		shiftReasons: make(map[string]string),
	}
	d.lastContact.Store(noContact)
	if err := d.open(network, found); err != nil {
		return nil, errors.Join(err, j.Close(), p.Close())
	}
	return d, nil
}

func (d *Daemon) open(network link.Network, found *journal.Recovered) error {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(found.ID + d.process.Incarnation)) // hash writes never fail
	cc := consensus.Config{ElectionTimeout: d.config.ElectionTimeout, Seed: seed.Sum64()}
	r, err := openReplica(d.clock.Now, cc, d.journal, found, d.config.SnapshotEvery)
	if err != nil {
		return err
	}
	r.clock, r.inbox.clock = d.clock, d.clock
	d.replica = r
	d.startupGate = lookup.NewStartupGate(len(r.machine.Membership().GetVoters()) > 0)
	if found.TruncatedBytes > 0 {
		detail := fmt.Sprintf("cut %d bytes of an unfinished write off the journal", found.TruncatedBytes)
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "journalCut", Detail: detail})
	}
	d.publisher = relay.NewPublisher(r.state, d.controlAge, d.process.Clock.Stamp)
	d.targetLimits = newTargetLimits(d.config.PeerAddress)
	d.publisher.SetLimits(d.targetLimits.since)
	d.publisher.SetClock(d.clock)
	d.targetLimits.clock = d.clock
	d.routes = &routesDecoder{decode: d.decodeRoutes, onError: d.logInvalidRoutes}
	d.serving.mu.Rank = lockorder.ServingBoxes
	d.leadership = newLeaderWatch()
	d.updateLog = newUpdateLog(d.process.Log)
	d.rollouts = newRolloutTracker(d.clock.Now())
	d.registrations = newRegistrationQueue()
	d.registrations.clock = d.clock
	d.evidence = newEvidence()
	d.evidence.hello = d.askHello
	d.registrations.commit = d.commitUpdates
	d.commandFor = d.targetIndex.commandFor
	d.prelude = d.targetIndex.prelude
	d.permitIssuer = newPermitIssuer(d.config.LimitBound, d.routes)
	d.targetIndex.follow(r.state.Catalog(), false)
	d.permitIssuer.setState(r.state)
	tlsConfig, err := d.config.TLS()
	if err != nil {
		return err
	}
	id := link.Identity{Name: d.config.Name, Incarnation: d.process.Incarnation}
	handlers := link.Handlers{Consensus: d.serveConsensus, Subscribe: d.serveSubscriber, Call: d.serveCall, Permits: d.servePermits, Refused: d.process.RecordRefusedLink}
	listen := cmp.Or(d.config.PeerListenAddress, d.config.PeerAddress)
	if d.node, err = link.Listen(network, listen, id, d.process.Clock, handlers, tlsConfig); err != nil {
		return err
	}
	if d.operatorListener, err = net.Listen("tcp", d.config.OperatorAddress); err != nil {
		return errors.Join(fmt.Errorf("listening for operators: %w", err), d.node.Close())
	}
	d.transport = newTransport(d.node)
	d.connectReplica(found.ID)
	return nil
}

// connectReplica sets the callbacks of the replica's loop and registers metrics.
func (d *Daemon) connectReplica(id string) {
	syncs := d.process.Counter("journal_syncs_total", "Syncs of the journal.").WithLabelValues()
	syncTime := d.process.Counter("journal_sync_seconds_total", "Time spent in syncs of the journal.").WithLabelValues()
	d.rejectedUpdates = d.process.Counter("target_words_unread_total", "Words of targets that can't be used.").WithLabelValues()
	d.rejectedLogLimiter = process.NewLineLimiter(maxRejectedLogsPerSecond)
	d.readmissions = d.process.Counter("target_readmissions_total", "Registration updates that register a departed target again.").WithLabelValues()
	verdicts := d.process.Counter("changes_settled_total", "Changes that got a verdict, by verdict.", "verdict")
	d.replica.send = func(m *wire.ConsensusMessage) {
		m.FromAddress = d.config.PeerAddress
		d.transport.send(d.addressOf(m.To), m)
	}
	d.replica.publish = func(s steering.State, commands []*wire.Command) {
		d.targetIndex.follow(s.Catalog(), len(commands) > 0 && d.controlAge() <= maxFollowedAge)
		d.permitIssuer.setState(s)
		d.publisher.SetState(s, commands)
	}
	d.replica.onCurrent = d.recordCurrent
	d.replica.onSynced = func(took time.Duration) {
		syncs.Inc()
		syncTime.Add(took.Seconds())
	}
	d.addLoopMetrics(d.process)
	d.replica.onDiskChange = d.recordDisk
	d.replica.onNotice = func(n consensus.Notice) {
		d.leadership.notify()
		detail := fmt.Sprintf("%s in term %d: %s", n.Role, n.Term, n.Reason)
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "role", Box: id, Detail: detail})
	}
	d.replica.onApplied = func(c *wire.Command, result steering.Result) {
		d.recordApplied(c, result)
		if v := result.Verdict; v != nil {
			verdicts.WithLabelValues(verdictName(v.Kind)).Inc()
		}
	}
	d.process.Gauge("quarantine_suspects", "Requests under which targets ended, as boxes told.", func() float64 { return float64(d.evidence.len()) })
	d.process.Gauge("target_limits", "Targets that name how much they take from all boxes together.", func() float64 { return float64(d.targetLimits.limitedCount()) })
	d.process.Gauge("control_bytes_sent", "Bytes sent to other processes.", func() float64 { return float64(d.node.Control.Sent.Load()) })
	d.process.Gauge("control_bytes_received", "Bytes received from other processes.", func() float64 { return float64(d.node.Control.Received.Load()) })
	d.process.Gauge("control_age_seconds", "Age of the update of a leader with a quorum; a replica that is cut off shows it growing.", func() float64 { return d.controlAge().Seconds() })
}

func (d *Daemon) recordApplied(c *wire.Command, result steering.Result) {
	switch {
	case c.Change != nil:
		detail := fmt.Sprintf("%s at version %d", verdictName(result.Verdict.Kind), result.Verdict.Version)
		d.process.Event(&wire.TimelineEvent{Kind: "changeSettled", Change: c.Change.Id, Detail: detail})
	case c.Shift != nil && result.Changed:
		detail := c.Shift.Action.String()
		if c.Shift.Step != nil {
			detail = fmt.Sprintf("step %d moves %d points", c.Shift.Step.Number, c.Shift.Step.Points)
		}
		d.process.Event(&wire.TimelineEvent{Kind: "shift", Shift: c.Shift.Shift.Id, Detail: detail})
	}
}

// PeerAddress returns the address at which the replica listens for other processes.
func (d *Daemon) PeerAddress() string { return d.node.Address() }

// OperatorAddress returns the address at which the replica listens for operators.
func (d *Daemon) OperatorAddress() string { return d.operatorListener.Addr().String() }

const (
	// connectionBytes is the memory that an open HTTP connection takes: buffers, the stack of its
	// goroutine and the share of garbage that is collected late.
	connectionBytes = 48 << 10
	// connectionMemoryShare is the share of the memory limit that the connections of one handler may
	// take.
	connectionMemoryShare = 0.2
)

// AddHandler serves an additional HTTP handler on an address once Run is called.
func (d *Daemon) AddHandler(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Join(fmt.Errorf("listening for %s: %w", name, err), d.close())
	}
	run := func(ctx context.Context) error { return process.ServeHTTP(ctx, l, h) }
	if d.config.MemoryBytes > 0 {
		connections := int(connectionMemoryShare * float64(d.config.MemoryBytes) / connectionBytes)
		run = func(ctx context.Context) error { return process.ServeLimitedHTTP(ctx, l, h, connections) }
	}
	d.extraServices = append(d.extraServices, process.Service{Name: name, Run: run})
	return nil
}

// Run serves until the context ends or the disk fails, and then closes the daemon.
func (d *Daemon) Run(ctx context.Context) error {
	d.process.Log.Info().Str("kind", "start").Str("incarnation", d.process.Incarnation).Str("replica", d.replica.id).
		Strs("peers", d.config.Peers).Bool("mayForm", d.config.MayBootstrap).Msg("control replica starts")
	loopCtx, stopLoop := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() { failed <- d.replica.run(loopCtx) }()

	root := d.process.Supervisor()
	root.Add(process.Service{Name: "publishing", Run: d.publisher.Run})
	root.Add(process.Service{Name: "words", Run: d.registrations.run})
	root.Add(process.Service{Name: "quarantine", Run: d.runQuarantine})
	root.Add(process.Service{Name: "suspensions", Run: d.process.LogSuspensions})
	root.Add(process.Service{Name: "forming", Run: d.maintainMembership})
	root.Add(process.Service{Name: "repair", Run: d.every(repairInterval, d.repair)})
	root.Add(process.Service{Name: "shifts", Run: d.planShifts})
	root.Add(process.Service{Name: "rollouts", Run: d.every(rolloutInterval, d.advanceRollouts)})
	root.Add(process.Service{Name: "view", Run: d.every(viewInterval, d.refreshView)})
	root.Add(process.Service{Name: "operators", Run: d.serveOperators})
	for _, s := range d.extraServices {
		root.Add(s)
	}
	servicesCtx, stopServices := context.WithCancel(ctx)
	ended := root.ServeBackground(servicesCtx)

	var err error
	select {
	case <-ctx.Done():
		d.transferLeadership(failed)
	case err = <-failed:
		failed <- err
	}
	stopServices()
	<-ended
	stopLoop()
	<-failed
	d.process.Log.Info().Str("kind", "stop").AnErr("cause", err).Msg("control replica stops")
	return errors.Join(err, d.close())
}

const transferTimeout = time.Second

// transferLeadership hands leadership to another replica before a planned stop.
func (d *Daemon) transferLeadership(failed chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return
	}
	_ = d.replica.inbox.put(ctx, leadershipTransfer{}) // the loop below sees if this replica still leads
	for ctx.Err() == nil {
		v, err := d.replica.view(ctx)
		if err != nil || v.status.Role != consensus.Leader {
			return
		}
		select {
		case err := <-failed:
			failed <- err
			return
		case <-time.After(d.config.ElectionTimeout / 20):
		}
	}
}

func (d *Daemon) close() error {
	err := d.node.Close()
	d.transport.close()
	return errors.Join(err, d.journal.Close(), d.process.Close())
}

// every returns a service that runs a function at an interval until the context ends.
func (d *Daemon) every(interval time.Duration, f func(ctx context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-ticker.C:
				f(ctx)
			}
		}
	}
}

// controlAge returns the time since the published state was last known to hold everything that was
// committed, or an hour if it never was.
func (d *Daemon) controlAge() time.Duration {
	at := d.lastContact.Load()
	if at == noContact {
		return time.Hour
	}
	return max(d.clock.Since(d.started)-time.Duration(at), 0)
}

// recordCurrent records that the published state held everything that was committed at a time.
func (d *Daemon) recordCurrent(at time.Time) {
	d.lastContact.Store(int64(max(at.Sub(d.started), 0)))
}

// noContact is the value of lastContact before the first call of recordCurrent.
const noContact = -1

func (d *Daemon) serveConsensus(ctx context.Context, _ string, m *link.Messages) {
	stop := context.AfterFunc(ctx, func() { _ = m.Close() })
	defer stop()
	for {
		message := &wire.ConsensusMessage{}
		if err := m.Read(message); err != nil {
			return
		}
		d.learnAddress(message.From, message.FromAddress)
		d.replica.deliver(message)
	}
}

func (d *Daemon) serveSubscriber(ctx context.Context, _ string, m *link.Messages) {
	d.publisher.Serve(ctx, m)
}

func (d *Daemon) learnAddress(id, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addresses[id] = address
}

func (d *Daemon) addressOf(id string) string {
	if a := addressOf(d.replica.machine.Membership(), id); a != "" {
		return a
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[id]
}

const viewInterval = 200 * time.Millisecond

// refreshView updates the membership, and forwards reports of boxes to the leader.
func (d *Daemon) refreshView(ctx context.Context) {
	v, err := d.replica.view(ctx)
	if err != nil {
		return
	}
	d.permitIssuer.setReplicaCount(d.clock.Now(), v.membership)
	d.targetLimits.setReplicas(d.clock.Now(), v.membership)
	d.targetLimits.prune(d.clock.Now(), v.state)
	if v.status.Role == consensus.Leader || v.status.Leader == "" {
		return
	}
	d.addDiscovered(v.membership)
	if len(v.state.Tree().Zones()) == 0 {
		return // boxes that are not in the settings report to every replica themselves
	}
	if v.status.Leader != d.reportedTo {
		d.reportedTo = v.status.Leader
		d.filter = relay.NewReportFilter()
	}
	report := &wire.Report{Boxes: d.filter.Filter(d.clock.Now(), d.publisher.Reports(), v.state.HasRunningShift())}
	if len(report.Boxes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := addressOf(v.membership, v.status.Leader)
	if _, err := d.node.Call(ctx, address, &wire.CallRequest{Report: report}); err != nil {
		d.reportedTo = "" // report everything again
	}
}
