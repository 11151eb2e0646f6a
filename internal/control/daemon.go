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
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/config"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/process"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Daemon is one control replica.
type Daemon struct {
	config     config.Control
	clock      *boottime.Clock
	process    *process.Process
	journal    *journal.Journal
	replica    *replica
	node       *link.Node
	transport  *transport
	publishing *relay.Publisher
	permits    *permits
	// targetLimits are about targets that name limits.
	targetLimits  *targetLimits
	document      *documentInForce
	repeated      repeatedUpdates
	registrations *registrationQueue
	suspicions    *suspicions
	leadership    *leadership
	serving       servingBoxes
	// unreadUpdates counts registration updates that can't be used, and unreadLines
	// bounds their log lines.
	unreadUpdates prometheus.Counter
	unreadLines   *process.LineLimiter
	operators     net.Listener
	extra         []process.Service

	started time.Time
	// heard is when a leader was last heard of, in nanoseconds after started;
	// negative for never. It does not depend on the time of day.
	heard atomic.Int64

	// What the leader has been told of the boxes; the watch worker owns both.
	reportedTo string
	filter     *relay.ReportFilter

	mu        sync.Mutex
	addresses map[string]string
	joining   map[string]*wire.Replica
	heardOf   []string // addresses of replicas that others told of
	repairs   map[string]consensus.RepairStep
	lagging   map[string]time.Time
	shifts    map[string]string // why a shift waits
	learning  *lookup.StartupGate
}

// Open recovers the replica and listens. Run must follow.
func Open(c config.Control, log io.Writer) (*Daemon, error) { return openOn(link.TCP(), c, log) }

func openOn(network link.Network, c config.Control, log io.Writer) (*Daemon, error) {
	if err := journal.MakeDir(c.DataDir); err != nil {
		return nil, fmt.Errorf("making the data folder: %w", err)
	}
	events := c.DataDir
	if c.PeersAreSeeds {
		events = "" // the replica's loop must not wait for the disk to note an event
	}
	p, err := process.New(c.Name, log, c.Level(), events)
	if err != nil {
		return nil, err
	}
	j, found, err := journal.Open(c.DataDir, c.Name, journal.OSFiles())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("opening the data folder: %w", err), p.Close())
	}
	p.BootClock = c.Clock
	d := &Daemon{
		config:    c,
		clock:     c.Clock,
		process:   p,
		journal:   j,
		started:   c.Clock.Now(),
		addresses: make(map[string]string),
		joining:   make(map[string]*wire.Replica),
		repairs:   make(map[string]consensus.RepairStep),
		lagging:   make(map[string]time.Time),
		shifts:    make(map[string]string),
	}
	d.heard.Store(neverHeard)
	if err := d.open(network, found); err != nil {
		return nil, errors.Join(err, j.Close(), p.Close())
	}
	return d, nil
}

func (d *Daemon) open(network link.Network, found *journal.Recovered) error {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(found.ID + d.process.Incarnation)) // a hash takes every write
	cc := consensus.Config{ElectionTimeout: d.config.ElectionTimeout, Seed: seed.Sum64()}
	r, err := openReplica(d.clock.Now, cc, d.journal, found, d.config.SnapshotEvery)
	if err != nil {
		return err
	}
	r.clock, r.inbox.clock = d.clock, d.clock
	d.replica = r
	d.learning = lookup.NewStartupGate(len(r.machine.Membership().GetVoters()) > 0)
	if found.TruncatedBytes > 0 {
		detail := fmt.Sprintf("cut %d bytes of an unfinished write off the journal", found.TruncatedBytes)
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "journalCut", Detail: detail})
	}
	d.publishing = relay.NewPublisher(r.state, d.age, d.process.Clock.Stamp)
	d.targetLimits = newTargetLimits(d.config.PeerAddress)
	d.publishing.SetLimits(d.targetLimits.since)
	d.publishing.SetClock(d.clock)
	d.targetLimits.clock = d.clock
	d.document = &documentInForce{decode: d.decodeRoutes, failed: d.logUnreadDocument}
	d.leadership = newLeadership()
	d.registrations = newRegistrationQueue()
	d.registrations.clock = d.clock
	d.suspicions = newSuspicions()
	d.suspicions.hello = d.askHello
	d.registrations.settle = d.settleUpdates
	d.permits = &permits{bound: d.config.LimitBound, document: d.document}
	d.permits.put(r.state)
	secure, err := d.config.TLS()
	if err != nil {
		return err
	}
	id := link.Identity{Name: d.config.Name, Incarnation: d.process.Incarnation}
	handlers := link.Handlers{Consensus: d.serveConsensus, Subscribe: d.serveSubscriber, Call: d.serveCall, Permits: d.servePermits, Refused: d.process.RecordRefusedLink}
	listen := cmp.Or(d.config.PeerListenAddress, d.config.PeerAddress)
	if d.node, err = link.Listen(network, listen, id, d.process.Clock, handlers, secure); err != nil {
		return err
	}
	if d.operators, err = net.Listen("tcp", d.config.OperatorAddress); err != nil {
		return errors.Join(fmt.Errorf("listening for operators: %w", err), d.node.Close())
	}
	d.transport = newTransport(d.node)
	d.connect(found.ID)
	return nil
}

// connect gives the replica's loop its ways out.
func (d *Daemon) connect(id string) {
	syncs := d.process.Counter("journal_syncs_total", "Syncs of the journal.").WithLabelValues()
	syncTime := d.process.Counter("journal_sync_seconds_total", "Time spent in syncs of the journal.").WithLabelValues()
	d.unreadUpdates = d.process.Counter("target_words_unread_total", "Words of targets that can't be used.").WithLabelValues()
	d.unreadLines = process.NewLineLimiter(unreadLinesPerSecond)
	settled := d.process.Counter("changes_settled_total", "Changes that got a verdict, by verdict.", "verdict")
	d.replica.send = func(m *wire.ConsensusMessage) {
		m.FromAddress = d.config.PeerAddress
		d.transport.send(d.addressOf(m.To), m)
	}
	d.replica.publish = func(s steering.State, commands []*wire.Command) {
		d.permits.put(s)
		d.publishing.SetState(s, commands)
	}
	d.replica.synced = func(took time.Duration) {
		syncs.Inc()
		syncTime.Add(took.Seconds())
	}
	d.measure(d.process)
	d.replica.disk = d.recordDisk
	d.replica.noticed = func(n consensus.Notice) {
		d.leadership.note()
		if n.Leader != "" {
			d.recordContact(0) // what subscribers are told would else lag by viewInterval
		}
		detail := fmt.Sprintf("%s in term %d: %s", n.Role, n.Term, n.Reason)
		d.process.RecordStateChange(&wire.TimelineEvent{Kind: "role", Box: id, Detail: detail})
	}
	d.replica.settled = func(c *wire.Command, result steering.Result) {
		d.recordSettled(c, result)
		if v := result.Verdict; v != nil {
			settled.WithLabelValues(verdictName(v.Kind)).Inc()
		}
	}
	d.process.Gauge("quarantine_suspects", "Requests under which targets ended, as boxes told.", func() float64 { return float64(d.suspicions.len()) })
	d.process.Gauge("target_limits", "Targets that name how much they take from all boxes together.", func() float64 { return float64(d.targetLimits.named()) })
	d.process.Gauge("control_bytes_sent", "Bytes sent to other processes.", func() float64 { return float64(d.node.Control.Sent.Load()) })
	d.process.Gauge("control_bytes_received", "Bytes received from other processes.", func() float64 { return float64(d.node.Control.Received.Load()) })
	d.process.Gauge("control_age_seconds", "Age of the update of a leader with a quorum; a replica that is cut off shows it growing.", func() float64 { return d.age().Seconds() })
}

func (d *Daemon) recordSettled(c *wire.Command, result steering.Result) {
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

// PeerAddress is where the replica listens for other processes.
func (d *Daemon) PeerAddress() string { return d.node.Address() }

// OperatorAddress is where the replica listens for operators.
func (d *Daemon) OperatorAddress() string { return d.operators.Addr().String() }

// AddHandler serves a further interface on an address once Run is called.
func (d *Daemon) AddHandler(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Join(fmt.Errorf("listening for %s: %w", name, err), d.close())
	}
	run := func(ctx context.Context) error { return process.ServeHTTP(ctx, l, h) }
	d.extra = append(d.extra, process.Service{Name: name, Run: run})
	return nil
}

// Run serves until the context ends or the disk fails, and then closes.
func (d *Daemon) Run(ctx context.Context) error {
	d.process.Log.Info().Str("kind", "start").Str("incarnation", d.process.Incarnation).Str("replica", d.replica.id).
		Strs("peers", d.config.Peers).Bool("mayForm", d.config.MayBootstrap).Msg("control replica starts")
	loop, stopLoop := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() { failed <- d.replica.run(loop) }()

	root := d.process.Supervisor()
	root.Add(process.Service{Name: "publishing", Run: d.publishing.Run})
	root.Add(process.Service{Name: "words", Run: d.registrations.run})
	root.Add(process.Service{Name: "quarantine", Run: d.keepQuarantine})
	root.Add(process.Service{Name: "suspensions", Run: d.process.LogSuspensions})
	root.Add(process.Service{Name: "forming", Run: d.form})
	root.Add(process.Service{Name: "repair", Run: d.every(repairInterval, d.repair)})
	root.Add(process.Service{Name: "shifts", Run: d.planShifts})
	root.Add(process.Service{Name: "view", Run: d.every(viewInterval, d.watch)})
	root.Add(process.Service{Name: "operators", Run: d.serveOperators})
	for _, s := range d.extra {
		root.Add(s)
	}
	tree, stopTree := context.WithCancel(ctx)
	ended := root.ServeBackground(tree)

	var err error
	select {
	case <-ctx.Done():
		d.handOver(failed)
	case err = <-failed:
		failed <- err
	}
	stopTree()
	<-ended
	stopLoop()
	<-failed
	d.process.Log.Info().Str("kind", "stop").AnErr("cause", err).Msg("control replica stops")
	return errors.Join(err, d.close())
}

const handoverTime = time.Second

// handOver gives leadership away before a planned stop.
func (d *Daemon) handOver(failed chan error) {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTime)
	defer cancel()
	v, err := d.replica.view(ctx)
	if err != nil || v.status.Role != consensus.Leader {
		return
	}
	_ = d.replica.inbox.put(ctx, handover{}) // what follows sees that it still leads
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

// every runs a function at an interval until the context ends.
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

// age returns how long ago a leader with a quorum was heard of.
func (d *Daemon) age() time.Duration {
	at := d.heard.Load()
	if at == neverHeard {
		return time.Hour
	}
	return max(d.clock.Since(d.started)-time.Duration(at), 0)
}

// recordContact notes that a leader was heard of some time ago.
func (d *Daemon) recordContact(ago time.Duration) {
	d.heard.Store(int64(max(d.clock.Since(d.started)-ago, 0)))
}

const neverHeard = -1

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
	d.publishing.Serve(ctx, m)
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

// watch keeps the age of the leader's update and passes reports to the leader.
func (d *Daemon) watch(ctx context.Context) {
	v, err := d.replica.view(ctx)
	if err != nil {
		return
	}
	d.permits.setParts(d.clock.Now(), v.membership)
	d.targetLimits.setReplicas(d.clock.Now(), v.membership)
	d.targetLimits.keep(d.clock.Now(), v.state)
	if v.status.Role == consensus.Leader {
		d.recordContact(0)
		return
	}
	if v.status.Leader == "" {
		return
	}
	d.recordContact(v.status.LeaderSilence)
	d.merge(v.membership)
	if v.status.Leader != d.reportedTo {
		d.reportedTo = v.status.Leader
		d.filter = relay.NewReportFilter()
	}
	report := &wire.Report{Boxes: d.filter.Filter(d.clock.Now(), d.publishing.Reports(), v.state.HasRunningShift())}
	if len(report.Boxes) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	address := addressOf(v.membership, v.status.Leader)
	if _, err := d.node.Call(ctx, address, &wire.CallRequest{Report: report}); err != nil {
		d.reportedTo = "" // tell it all again
	}
}
