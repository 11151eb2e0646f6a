package relay

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// EventActive is the kind of the events that record a command becoming active.
const EventActive = "inForce"

const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	eventBuffer    = 64
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Box         string
	Incarnation string
	Zone        string
	PeerAddress string
	// Node returns the node whose links carry the subscriptions.
	Node  func() *link.Node
	Clock *timeline.Clock
	// BootClock is the clock of the process's machine; nil for that of the local machine.
	BootClock *boottime.Clock
	// Seed randomizes retries, so that boxes do not retry in step.
	Seed uint64
	// StaleAfter is the control age at which the follower looks for another
	// upstream; zero for its default.
	StaleAfter time.Duration
	// Sources returns the upstreams, best first.
	Sources func() []distribution.Source
	// ApplyState makes a state active. The commands are those that led to it,
	// or nil if the full state was received.
	ApplyState func(steering.State, []*wire.Command)
	// EntryBoxes receives the entry boxes that serve callers; it may be nil.
	EntryBoxes func([]*wire.EntryBox)
	// Limits receives changes of the rate limits that targets report; it may be nil.
	Limits func([]*wire.TargetLimit)
	// Reports returns the reports to send upstream; it may be nil.
	Reports func() []*wire.BoxReport
	// Event records a timeline event.
	Event func(*wire.TimelineEvent)
}

// Follower runs the distribution.Follower of one process. Its loop owns that
// state machine; one goroutine reads the current subscription.
type Follower struct {
	config  FollowerConfig
	machine *distribution.Follower
	events  chan distribution.Event
	started time.Time
	// lastContact is the time of the last contact with control, in nanoseconds
	// after started, or noContact. It may lie before started, and does not depend on
	// the wall clock.
	lastContact atomic.Int64
	stream      *link.Messages
	// current is the subscription that is being read, set before its first update.
	current        subscription
	subscribed     chan subscription
	cancel         context.CancelFunc
	opened         chan subscription
	sourcesChanged chan struct{}
	filter         *ReportFilter
	// sourcesStale tells that the sources must be queried again.
	sourcesStale bool
}

// subscription is the stream of one attempt to subscribe.
type subscription struct {
	attempt uint64
	stream  *link.Messages
}

// noContact is the value of lastContact before the first contact.
const noContact = math.MinInt64

// NewFollower returns a follower with the empty state. Call Run to start it.
func NewFollower(s FollowerConfig) *Follower {
	f := &Follower{
		config:         s,
		machine:        distribution.NewFollower(s.BootClock.Now(), s.Seed),
		events:         make(chan distribution.Event, eventBuffer),
		started:        s.BootClock.Now(),
		subscribed:     make(chan subscription, 1),
		opened:         make(chan subscription, 1),
		sourcesChanged: make(chan struct{}, 1),
		sourcesStale:   true,
	}
	f.lastContact.Store(noContact)
	if s.StaleAfter > 0 {
		f.machine.SetStaleAfter(s.StaleAfter)
	}
	return f
}

// ControlAge returns the time since the last contact with control; an hour if there was none.
func (f *Follower) ControlAge() time.Duration {
	at := f.lastContact.Load()
	if at == noContact {
		return time.Hour
	}
	return f.config.BootClock.Since(f.started) - time.Duration(at)
}

// SourcesChanged makes the follower query its sources again.
func (f *Follower) SourcesChanged() {
	select {
	case f.sourcesChanged <- struct{}{}:
	default:
	}
}

// Run follows the sources until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	defer f.closeStream()
	for ctx.Err() == nil {
		if f.sourcesStale {
			f.renewSources(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
			f.tick(ctx)
		case e := <-f.events:
			f.handle(ctx, e)
		case r := <-f.subscribed:
			if r.attempt > f.current.attempt {
				f.current = r
			}
		case o := <-f.opened:
			f.useStream(o)
		case <-f.sourcesChanged:
			f.sourcesStale = true
		case <-report.C:
			f.sendReports()
		}
	}
	return ctx.Err()
}

func (f *Follower) handle(ctx context.Context, e distribution.Event) {
	f.apply(ctx, f.machine.Handle(f.config.BootClock.Now(), e))
}

// renewSources queries the sources. It first applies the updates that were
// received, so that the sources are those of the latest state.
func (f *Follower) renewSources(ctx context.Context) {
	f.drain(ctx)
	if ctx.Err() != nil {
		return
	}
	f.sourcesStale = false
	f.handle(ctx, distribution.SetSources{Sources: f.config.Sources()})
}

// tick lets the state machine check its timeouts, unless events are queued: the
// loop may have spent longer on a large state than the upstream may be silent.
func (f *Follower) tick(ctx context.Context) {
	f.drain(ctx)
	if len(f.events) > 0 || ctx.Err() != nil {
		return
	}
	f.observeProgress(ctx)
	f.handle(ctx, distribution.Tick{})
}

// drain handles the events that are queued now. Those that arrive meanwhile are
// left to the loop, which handles its other channels in between.
func (f *Follower) drain(ctx context.Context) {
	for range len(f.events) {
		if ctx.Err() != nil {
			return
		}
		f.handle(ctx, <-f.events)
	}
}

// observeProgress tells the state machine how much of the next update has
// arrived. Complete updates must be handled before: their bytes no longer count
// as progress.
func (f *Follower) observeProgress(ctx context.Context) {
	if f.current.stream == nil {
		return
	}
	if n := f.current.stream.PartialBytes(); n > 0 {
		f.handle(ctx, distribution.Progress{Attempt: f.current.attempt, Bytes: n})
	}
}

// useStream makes a newly opened subscription the one that reports are sent on.
func (f *Follower) useStream(o subscription) {
	if f.stream != nil {
		_ = f.stream.Close()
	}
	f.stream = o.stream
	f.filter = NewReportFilter()
	f.sendReports()
}

func (f *Follower) closeStream() {
	if f.cancel != nil {
		f.cancel()
	}
	if f.stream != nil {
		_ = f.stream.Close()
		f.stream = nil
	}
}

func (f *Follower) apply(ctx context.Context, out distribution.Output) {
	if out.Notice != "" {
		f.config.Event(&wire.TimelineEvent{Kind: "upstream", Box: f.config.Box, Detail: out.Notice})
	}
	if out.Subscribe != nil {
		f.closeStream()
		worker, cancel := context.WithCancel(ctx)
		f.cancel = cancel
		go f.subscribe(worker, *out.Subscribe)
	}
	if out.State != nil {
		f.config.ApplyState(*out.State, out.Commands)
	}
	if at, ok := f.machine.LastContact(); ok {
		f.lastContact.Store(int64(at.Sub(f.started)))
	}
	if out.State == nil {
		return
	}
	f.recordActive(out.Commands)
	f.sendReports()
	f.sourcesStale = true
}

// recordActive records the commands that became active on the timeline.
func (f *Follower) recordActive(commands []*wire.Command) {
	if commands == nil {
		f.config.Event(&wire.TimelineEvent{Kind: EventActive, Box: f.config.Box, Detail: "a whole state"})
	}
	for _, c := range commands {
		f.config.Event(&wire.TimelineEvent{
			Kind:   EventActive,
			Box:    f.config.Box,
			Change: c.GetChange().GetId(),
			Shift:  c.GetShift().GetShift().GetId(),
		})
	}
}

// subscribe opens a subscription and reads it until it ends.
func (f *Follower) subscribe(ctx context.Context, s distribution.Subscribe) {
	stream, err := f.config.Node().Subscribe(ctx, s.Source.Address, &wire.Subscribe{
		Box:         f.config.Box,
		Incarnation: f.config.Incarnation,
		Zone:        f.config.Zone,
		Address:     f.config.PeerAddress,
		Version:     s.Version,
	})
	if err != nil {
		f.enqueue(ctx, distribution.Lost{Attempt: s.Attempt})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	select {
	case f.subscribed <- subscription{s.Attempt, stream}:
	case <-ctx.Done():
	}
	first := true
	for {
		u := &wire.Update{}
		if err := stream.Read(u); err != nil {
			f.enqueue(ctx, distribution.Lost{Attempt: s.Attempt})
			return
		}
		at := f.config.BootClock.Now()
		f.config.Clock.Observe(u.Clock)
		if first {
			first = false
			f.enqueue(ctx, distribution.Opened{Attempt: s.Attempt})
			select {
			case f.opened <- subscription{s.Attempt, stream}:
			case <-ctx.Done():
			}
		}
		if u.EntryBoxes != nil && f.config.EntryBoxes != nil {
			f.config.EntryBoxes(u.EntryBoxes.Boxes)
		}
		if len(u.Limits) > 0 && f.config.Limits != nil {
			f.config.Limits(u.Limits)
		}
		f.enqueue(ctx, distribution.Received{Attempt: s.Attempt, Update: u, At: at})
	}
}

// enqueue hands an event to the loop.
func (f *Follower) enqueue(ctx context.Context, e distribution.Event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// sendReports sends the reports of this box and of the boxes below it upstream.
func (f *Follower) sendReports() {
	if f.stream == nil || f.config.Reports == nil {
		return
	}
	due := f.filter.Filter(f.config.BootClock.Now(), f.config.Reports(), f.machine.State().HasRunningShift())
	if len(due) == 0 {
		return
	}
	r := &wire.Report{Boxes: due, Clock: f.config.Clock.Stamp()}
	if err := f.stream.Write(r); err != nil {
		_ = f.stream.Close() // its reader reports the loss
		f.stream = nil
	}
}
