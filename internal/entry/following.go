package entry

import (
	"context"
	"sync/atomic"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/relay"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	followTick     = 100 * time.Millisecond
	reportInterval = time.Second
	followInbox    = 64
)

// following hosts the follower: its loop owns the machine, and one worker
// reads the present subscription.
type following struct {
	box     *Daemon
	machine *distribution.Follower
	inbox   chan distribution.Event
	heard   atomic.Int64
	stream  *link.Messages
	cancel  context.CancelFunc
	opened  chan openedStream
	thinner *relay.Thinner
}

type openedStream struct {
	attempt uint64
	stream  *link.Messages
}

func newFollowing(d *Daemon) *following {
	return &following{
		box:     d,
		machine: distribution.NewFollower(time.Now(), d.seed),
		inbox:   make(chan distribution.Event, followInbox),
		opened:  make(chan openedStream, 1),
	}
}

// age returns how long ago control was last heard of.
func (f *following) age() time.Duration {
	at := f.heard.Load()
	if at == 0 {
		return time.Hour
	}
	return time.Since(time.UnixMilli(at))
}

// run is the loop. It returns when the context ends.
func (f *following) run(ctx context.Context) error {
	ticker := time.NewTicker(followTick)
	defer ticker.Stop()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	defer f.end()
	f.carryOut(ctx, f.machine.Handle(time.Now(), distribution.SetSources{Sources: f.box.sources()}))
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			f.carryOut(ctx, f.machine.Handle(time.Now(), distribution.Tick{}))
		case e := <-f.inbox:
			f.carryOut(ctx, f.machine.Handle(time.Now(), e))
		case o := <-f.opened:
			f.take(o)
		case <-report.C:
			f.report()
		}
	}
}

func (f *following) take(o openedStream) {
	if f.stream != nil {
		_ = f.stream.Close()
	}
	f.stream = o.stream
	f.thinner = relay.NewThinner()
	f.report()
}

func (f *following) end() {
	if f.cancel != nil {
		f.cancel()
	}
	if f.stream != nil {
		_ = f.stream.Close()
		f.stream = nil
	}
}

func (f *following) carryOut(ctx context.Context, out distribution.Output) {
	if out.Notice != "" {
		f.box.process.Event(&wire.TimelineEvent{Kind: "upstream", Box: f.box.config.Name, Detail: out.Notice})
	}
	if out.Subscribe != nil {
		f.end()
		worker, cancel := context.WithCancel(ctx)
		f.cancel = cancel
		go f.subscribe(worker, *out.Subscribe)
	}
	if age := f.machine.Age(time.Now()); f.heard.Load() > 0 || age < followTick {
		f.heard.Store(time.Now().Add(-age).UnixMilli())
	}
	if out.State == nil {
		return
	}
	f.box.put(*out.State)
	f.box.publishing.Put(*out.State, out.Commands)
	f.box.configurePools()
	f.noteInForce(out.Commands)
	f.report()
	f.carryOut(ctx, f.machine.Handle(time.Now(), distribution.SetSources{Sources: f.box.sources()}))
}

func (f *following) noteInForce(commands []*wire.Command) {
	if commands == nil {
		f.box.process.Event(&wire.TimelineEvent{Kind: "inForce", Box: f.box.config.Name, Detail: "a whole state"})
	}
	for _, c := range commands {
		f.box.process.Event(&wire.TimelineEvent{
			Kind:   "inForce",
			Box:    f.box.config.Name,
			Change: c.GetChange().GetId(),
			Shift:  c.GetShift().GetShift().GetId(),
		})
	}
}

// subscribe opens a subscription and reads it until it ends.
func (f *following) subscribe(ctx context.Context, s distribution.Subscribe) {
	stream, err := f.box.node.Subscribe(ctx, s.Source.Address, &wire.Subscribe{
		Box:         f.box.config.Name,
		Incarnation: f.box.process.Incarnation,
		Zone:        f.box.config.Zone,
		Address:     f.box.config.PeerAddress,
		Version:     s.Version,
	})
	if err != nil {
		f.put(ctx, distribution.Lost{Attempt: s.Attempt})
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	first := true
	for {
		u := &wire.Update{}
		if err := stream.Read(u); err != nil {
			f.put(ctx, distribution.Lost{Attempt: s.Attempt})
			return
		}
		f.box.process.Clock.Observe(u.Clock)
		if first {
			first = false
			f.put(ctx, distribution.Opened{Attempt: s.Attempt})
			select {
			case f.opened <- openedStream{s.Attempt, stream}:
			case <-ctx.Done():
			}
		}
		f.put(ctx, distribution.Received{Attempt: s.Attempt, Update: u})
	}
}

func (f *following) put(ctx context.Context, e distribution.Event) {
	select {
	case f.inbox <- e:
	case <-ctx.Done():
	}
}

// report sends this box's report and those of the boxes below it upwards.
func (f *following) report() {
	if f.stream == nil {
		return
	}
	all := append(f.box.publishing.Reports(), f.box.ownReport())
	news := f.thinner.Thin(time.Now(), all, f.machine.State().Shifting())
	if len(news) == 0 {
		return
	}
	r := &wire.Report{Boxes: news, Clock: f.box.process.Clock.Stamp()}
	if err := f.stream.Write(r); err != nil {
		_ = f.stream.Close() // its reader reports the loss
		f.stream = nil
	}
}

func (d *Daemon) ownReport() *wire.BoxReport {
	r := &wire.BoxReport{
		Box:         d.config.Name,
		Incarnation: d.process.Incarnation,
		Zone:        d.config.Zone,
		Address:     d.config.PeerAddress,
		Version:     d.current.Load().state.Version(),
		Stopping:    d.stop.begun(),
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	for _, p := range d.poolList() {
		v, err := p.look(ctx)
		if err != nil || !v.held {
			continue
		}
		r.Pools = append(r.Pools, &wire.PoolReport{
			Service:  p.service,
			Capacity: uint32(v.load.Capacity),
			Busy:     uint32(v.load.Busy + v.load.Waiting),
			Targets:  uint32(v.load.Targets),
			Draining: uint32(v.draining),
		})
	}
	return r
}

// sources returns the upstreams of this box, best first.
func (d *Daemon) sources() []distribution.Source {
	controls := make([]distribution.Source, 0, len(d.config.Controls))
	for _, address := range d.config.Controls {
		controls = append(controls, distribution.Source{Name: "control " + address, Address: address, Control: true})
	}
	return distribution.Sources(d.config.Name, d.current.Load().zone, controls)
}
