package relay

import (
	"context"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// EventActive is the kind of the events that tell of a command in force.
const EventActive = "inForce"

const (
	followTick     = 100 * time.Millisecond
	reportInterval = time.Second
	followInbox    = 64
)

// FollowerConfig is what a Following needs of the process that hosts it.
type FollowerConfig struct {
	Box         string
	Incarnation string
	Zone        string
	PeerAddress string
	// Node returns the node whose links are used.
	Node  func() *link.Node
	Clock *timeline.Clock
	// BootClock is the clock of the process's machine; nil for the one at hand.
	BootClock *boottime.Clock
	// Seed spreads the retries of boxes.
	Seed uint64
	// StaleAfter is how old the word of control may be before another
	// upstream is sought; zero for the follower's default.
	StaleAfter time.Duration
	// Sources returns the upstreams, best first.
	Sources func() []distribution.Source
	// ApplyState takes each new state and the commands that led to it, or nil
	// commands for a whole state.
	ApplyState func(steering.State, []*wire.Command)
	// EntryBoxes is told which entry boxes serve; it may be nil.
	EntryBoxes func([]*wire.EntryBox)
	// Limits is told what targets say of their limits; it may be nil.
	Limits func([]*wire.TargetLimit)
	// Reports returns what is to be told upwards; nil for nothing.
	Reports func() []*wire.BoxReport
	// Event takes events for the time line.
	Event func(*wire.TimelineEvent)
}

// Follower hosts the follower of one process: its loop owns the machine, and
// one worker reads the present subscription.
type Follower struct {
	subscriber FollowerConfig
	machine    *distribution.Follower
	inbox      chan distribution.Event
	started    time.Time
	// heard is when control was last heard of, in nanoseconds after started;
	// zero for never. It does not depend on the time of day.
	heard  atomic.Int64
	stream *link.Messages
	// reading is the subscription whose updates are read, also before the first.
	reading openedStream
	reads   chan openedStream
	cancel  context.CancelFunc
	opened  chan openedStream
	changed chan struct{}
	filter  *ReportFilter
	// sourcesDue tells that the sources are to be asked for anew.
	sourcesDue bool
}

type openedStream struct {
	attempt uint64
	stream  *link.Messages
}

// NewFollower returns a following with the empty state. Run must follow.
func NewFollower(s FollowerConfig) *Follower {
	f := &Follower{
		subscriber: s,
		machine:    distribution.NewFollower(s.BootClock.Now(), s.Seed),
		inbox:      make(chan distribution.Event, followInbox),
		started:    s.BootClock.Now(),
		reads:      make(chan openedStream, 1),
		opened:     make(chan openedStream, 1),
		changed:    make(chan struct{}, 1),
		sourcesDue: true,
	}
	if s.StaleAfter > 0 {
		f.machine.SetStaleAfter(s.StaleAfter)
	}
	return f
}

// ControlAge returns how long ago control was last heard of.
func (f *Follower) ControlAge() time.Duration {
	at := f.heard.Load()
	if at == 0 {
		return time.Hour
	}
	return f.subscriber.BootClock.Since(f.started) - time.Duration(at)
}

// SourcesChanged has the sources asked for anew.
func (f *Follower) SourcesChanged() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// Run is the loop. It returns when the context ends.
func (f *Follower) Run(ctx context.Context) error {
	ticker := time.NewTicker(followTick)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	defer f.end()
	for ctx.Err() == nil {
		if f.sourcesDue {
			f.renewSources(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
			f.passTime(ctx)
		case e := <-f.inbox:
			f.handle(ctx, e)
		case r := <-f.reads:
			if r.attempt > f.reading.attempt {
				f.reading = r
			}
		case o := <-f.opened:
			f.take(o)
		case <-f.changed:
			f.sourcesDue = true
		case <-report.C:
			f.report()
		}
	}
	return ctx.Err()
}

func (f *Follower) handle(ctx context.Context, e distribution.Event) {
	f.carryOut(ctx, f.machine.Handle(f.subscriber.BootClock.Now(), e))
}

// renewSources asks for the sources after what has come by the subscription is
// in force, so that they are those of the latest state.
func (f *Follower) renewSources(ctx context.Context) {
	f.drain(ctx)
	if ctx.Err() != nil {
		return
	}
	f.sourcesDue = false
	f.handle(ctx, distribution.SetSources{Sources: f.subscriber.Sources()})
}

// passTime has the machine judge what has come and what has not. While events
// wait, something has come: the loop may have been busy with a long state for
// longer than silence may last.
func (f *Follower) passTime(ctx context.Context) {
	f.drain(ctx)
	if len(f.inbox) > 0 || ctx.Err() != nil {
		return
	}
	f.observeProgress(ctx)
	f.handle(ctx, distribution.Tick{})
}

// drain handles the events that wait now; those that come meanwhile are left
// to the loop, which serves the others between.
func (f *Follower) drain(ctx context.Context) {
	for range len(f.inbox) {
		if ctx.Err() != nil {
			return
		}
		f.handle(ctx, <-f.inbox)
	}
}

// observeProgress tells the machine how much of an update has come. What has come
// whole is handled before, else it would count as on its way.
func (f *Follower) observeProgress(ctx context.Context) {
	if f.reading.stream == nil {
		return
	}
	if n := f.reading.stream.PartialBytes(); n > 0 {
		f.handle(ctx, distribution.Progress{Attempt: f.reading.attempt, Bytes: n})
	}
}

func (f *Follower) take(o openedStream) {
	if f.stream != nil {
		_ = f.stream.Close()
	}
	f.stream = o.stream
	f.filter = NewReportFilter()
	f.report()
}

func (f *Follower) end() {
	if f.cancel != nil {
		f.cancel()
	}
	if f.stream != nil {
		_ = f.stream.Close()
		f.stream = nil
	}
}

func (f *Follower) carryOut(ctx context.Context, out distribution.Output) {
	if out.Notice != "" {
		f.subscriber.Event(&wire.TimelineEvent{Kind: "upstream", Box: f.subscriber.Box, Detail: out.Notice})
	}
	if out.Subscribe != nil {
		f.end()
		worker, cancel := context.WithCancel(ctx)
		f.cancel = cancel
		go f.subscribe(worker, *out.Subscribe)
	}
	if age := f.machine.ControlAge(f.subscriber.BootClock.Now()); f.heard.Load() > 0 || age < followTick {
		f.heard.Store(int64(max(f.subscriber.BootClock.Since(f.started)-age, 1)))
	}
	if out.State == nil {
		return
	}
	f.subscriber.ApplyState(*out.State, out.Commands)
	f.recordActive(out.Commands)
	f.report()
	f.sourcesDue = true
}

func (f *Follower) recordActive(commands []*wire.Command) {
	if commands == nil {
		f.subscriber.Event(&wire.TimelineEvent{Kind: EventActive, Box: f.subscriber.Box, Detail: "a whole state"})
	}
	for _, c := range commands {
		f.subscriber.Event(&wire.TimelineEvent{
			Kind:   EventActive,
			Box:    f.subscriber.Box,
			Change: c.GetChange().GetId(),
			Shift:  c.GetShift().GetShift().GetId(),
		})
	}
}

// subscribe opens a subscription and reads it until it ends.
func (f *Follower) subscribe(ctx context.Context, s distribution.Subscribe) {
	stream, err := f.subscriber.Node().Subscribe(ctx, s.Source.Address, &wire.Subscribe{
		Box:         f.subscriber.Box,
		Incarnation: f.subscriber.Incarnation,
		Zone:        f.subscriber.Zone,
		Address:     f.subscriber.PeerAddress,
		Version:     s.Version,
	})
	if err != nil {
		f.put(ctx, distribution.Lost{Attempt: s.Attempt})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	select {
	case f.reads <- openedStream{s.Attempt, stream}:
	case <-ctx.Done():
	}
	first := true
	for {
		u := &wire.Update{}
		if err := stream.Read(u); err != nil {
			f.put(ctx, distribution.Lost{Attempt: s.Attempt})
			return
		}
		at := f.subscriber.BootClock.Now()
		f.subscriber.Clock.Observe(u.Clock)
		if first {
			first = false
			f.put(ctx, distribution.Opened{Attempt: s.Attempt})
			select {
			case f.opened <- openedStream{s.Attempt, stream}:
			case <-ctx.Done():
			}
		}
		if u.EntryBoxes != nil && f.subscriber.EntryBoxes != nil {
			f.subscriber.EntryBoxes(u.EntryBoxes.Boxes)
		}
		if len(u.Limits) > 0 && f.subscriber.Limits != nil {
			f.subscriber.Limits(u.Limits)
		}
		f.put(ctx, distribution.Received{Attempt: s.Attempt, Update: u, At: at})
	}
}

func (f *Follower) put(ctx context.Context, e distribution.Event) {
	select {
	case f.inbox <- e:
	case <-ctx.Done():
	}
}

// report sends this box's report and those of the boxes below it upwards.
func (f *Follower) report() {
	if f.stream == nil || f.subscriber.Reports == nil {
		return
	}
	news := f.filter.Filter(f.subscriber.BootClock.Now(), f.subscriber.Reports(), f.machine.State().Shifting())
	if len(news) == 0 {
		return
	}
	r := &wire.Report{Boxes: news, Clock: f.subscriber.Clock.Stamp()}
	if err := f.stream.Write(r); err != nil {
		_ = f.stream.Close() // its reader reports the loss
		f.stream = nil
	}
}
