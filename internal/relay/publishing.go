// Package relay serves subscribers with updates of the steering state and
// collects their reports; control replicas and entry boxes both host it.
package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Publisher serves subscribers from a publisher and collects their reports.
// Its Run publishes what is put.
type Publisher struct {
	mu          sync.Mutex
	publisher   *distribution.Publisher
	subscribers map[*subscriber]bool
	reports     map[string]boxReport
	age         func() time.Duration
	stamp       func() *wire.Clock
	clock       *boottime.Clock
	// limits returns what targets say of their limits that has changed after a change,
	// and the number of the last one; nil where nothing is known of them.
	limits func(after uint64) (changed []*wire.TargetLimit, last uint64)

	// Packing a document takes milliseconds, so that states are packed beside the loop that
	// puts them: consensus neither waits for it nor tells of its commits later.
	queue   sync.Mutex
	waiting []publication
	// newest is the state that was put last.
	newest steering.State
	// woken holds a token when something waits.
	woken chan struct{}
	// last is the state that was packed last; only Run uses it.
	last steering.State
}

// publication is a state to be published and the commands that led to it.
type publication struct {
	state    steering.State
	commands []*wire.Command
}

type subscriber struct{ changed chan struct{} }

type boxReport struct {
	report *wire.BoxReport
	at     time.Time
}

const (
	// heartbeatInterval is how often a subscriber gets an update that only
	// tells the age of the word of control.
	heartbeatInterval = time.Second
	// updateSpacing is the least time between two updates to one subscriber:
	// changes that come closer travel together. It bounds what a replica sends
	// when hundreds of targets change, and is short against the 250 ms within
	// which boxes must go by the same document.
	updateSpacing = 40 * time.Millisecond
	// entryBoxFresh is how old the report of an entry box may be while the box
	// counts as serving: three reports of a box may be lost.
	entryBoxFresh = 3 * time.Second
	// forgetReports is when a box that no longer reports is let go.
	forgetReports = 10 * time.Minute
)

// NewPublisher returns a publishing of a state. The function age tells how
// old the word of control is. Run must follow.
func NewPublisher(s steering.State, age func() time.Duration, stamp func() *wire.Clock) *Publisher {
	return &Publisher{
		publisher:   distribution.NewPublisher(s),
		subscribers: make(map[*subscriber]bool),
		reports:     make(map[string]boxReport),
		age:         age,
		stamp:       stamp,
		woken:       make(chan struct{}, 1),
		last:        s,
	}
}

// SetClock sets the clock of the process's machine. It must be called before Serve.
func (p *Publisher) SetClock(c *boottime.Clock) { p.clock = c }

// SetLimits has subscribers told what targets say of their limits. It must be called
// before Serve; LimitsChanged tells of changes.
func (p *Publisher) SetLimits(limits func(after uint64) (changed []*wire.TargetLimit, last uint64)) {
	p.limits = limits
}

// LimitsChanged has subscribers told soon.
func (p *Publisher) LimitsChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeSubscribers()
}

// SetState has the next state published by Run, in the order of the calls. It does
// not wait for it.
func (p *Publisher) SetState(s steering.State, commands []*wire.Command) {
	p.queue.Lock()
	p.waiting = append(p.waiting, publication{s, commands})
	p.newest = s
	p.queue.Unlock()
	select {
	case p.woken <- struct{}{}:
	default:
	}
}

// Run packs and publishes what is put. It returns when the context ends; what
// waits then is dropped.
func (p *Publisher) Run(ctx context.Context) error {
	defer p.forgetWaiting()
	p.catchUp()
	for ctx.Err() == nil {
		p.publishWaiting(ctx)
		select {
		case <-ctx.Done():
		case <-p.woken:
		}
	}
	return ctx.Err()
}

// catchUp publishes the latest state if a Run before dropped it: subscribers would
// be told until the next change that the version before is fresh.
func (p *Publisher) catchUp() {
	p.queue.Lock()
	newest, waits := p.newest, len(p.waiting) > 0
	p.queue.Unlock()
	if waits || newest.Version() <= p.last.Version() {
		return
	}
	p.publish(newest, nil)
	p.last = newest
}

func (p *Publisher) publishWaiting(ctx context.Context) {
	for ctx.Err() == nil {
		next, ok := p.next()
		if !ok {
			return
		}
		if next.state.Version() <= p.last.Version() {
			continue
		}
		p.publish(next.state, distribution.PackCommands(p.last, next.commands))
		p.last = next.state
	}
}

func (p *Publisher) next() (publication, bool) {
	p.queue.Lock()
	defer p.queue.Unlock()
	if len(p.waiting) == 0 {
		return publication{}, false
	}
	out := p.waiting[0]
	p.waiting = slices.Delete(p.waiting, 0, 1)
	return out, true
}

func (p *Publisher) forgetWaiting() {
	p.queue.Lock()
	defer p.queue.Unlock()
	p.waiting = nil
}

func (p *Publisher) publish(s steering.State, commands []*wire.Command) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publisher.SetState(s, commands)
	p.wakeSubscribers()
}

func (p *Publisher) wakeSubscribers() {
	for s := range p.subscribers {
		select {
		case s.changed <- struct{}{}:
		default:
		}
	}
}

// Serve sends updates to one subscriber until its stream ends.
func (p *Publisher) Serve(ctx context.Context, m *link.Messages) {
	request := &wire.Subscribe{}
	if err := m.Read(request); err != nil {
		return
	}
	s := p.add()
	defer p.remove(s)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.readReports(m)
		_ = m.Close() // a write to a subscriber that has left would wait for it
	}()
	defer func() {
		_ = m.Close()
		<-ended
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	version := request.Version
	told := ""
	var toldLimits uint64
	due := true                       // the boxes that serve are told with the beats, not with each change
	answer := p.publisher.FirstUpdate // for the first update alone
	for {
		u := p.update(answer, version)
		answer = p.publisher.Update
		if due {
			u.EntryBoxes, told = p.entryBoxes(told)
		}
		if p.limits != nil {
			u.Limits, toldLimits = p.limits(toldLimits)
		}
		if err := m.Write(u); err != nil {
			return
		}
		sent := p.clock.Now()
		version = max(version, u.Version)
		due = false
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-s.changed:
		case <-ticker.C:
			due = true
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(p.clock.Until(sent.Add(updateSpacing))):
		}
	}
}

func (p *Publisher) add() *subscriber {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &subscriber{changed: make(chan struct{}, 1)}
	p.subscribers[s] = true
	return s
}

func (p *Publisher) remove(s *subscriber) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subscribers, s)
}

func (p *Publisher) update(answer func(uint64, time.Duration) *wire.Update, version uint64) *wire.Update {
	age := p.age()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := answer(version, age)
	u.Clock = p.stamp()
	return u
}

// entryBoxes returns the boxes that serve callers, or nil if they are those
// that were told before, and a text that stands for them.
func (p *Publisher) entryBoxes(told string) (*wire.EntryBoxes, string) {
	fresh := p.RecentReports(max(entryBoxFresh, lookup.ReportFresh(len(p.RecentReports(2*entryBoxFresh)))))
	if len(fresh) == 0 {
		return nil, told
	}
	out := &wire.EntryBoxes{}
	text := ""
	for _, b := range fresh {
		if b.CallerAddress == "" || b.Stopping {
			continue
		}
		out.Boxes = append(out.Boxes, &wire.EntryBox{Name: b.Box, Zone: b.Zone, Region: b.Region})
		text += b.Box + " "
	}
	if text == told {
		return nil, told
	}
	return out, text
}

// RecentReports returns the reports that are not older than within, by the names of
// their boxes.
func (p *Publisher) RecentReports(within time.Duration) []*wire.BoxReport {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*wire.BoxReport
	for _, r := range p.reports {
		if now.Sub(r.at) <= within {
			out = append(out, r.report)
		}
	}
	slices.SortFunc(out, func(a, b *wire.BoxReport) int { return strings.Compare(a.Box, b.Box) })
	return out
}

func (p *Publisher) readReports(m *link.Messages) {
	for {
		r := &wire.Report{}
		if err := m.Read(r); err != nil {
			return
		}
		p.AddReports(r)
	}
}

// AddReports takes the reports of a subtree. The newest report of a box counts.
func (p *Publisher) AddReports(r *wire.Report) {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range r.Boxes {
		at := now.Add(-time.Duration(b.AgeMilli) * time.Millisecond)
		if old, ok := p.reports[b.Box]; ok && old.at.After(at) {
			continue
		}
		p.reports[b.Box] = boxReport{b, at}
	}
}

// Reports returns the collected reports with their present age.
func (p *Publisher) Reports() []*wire.BoxReport {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*wire.BoxReport, 0, len(p.reports))
	for name, r := range p.reports {
		if now.Sub(r.at) > forgetReports {
			delete(p.reports, name)
			continue
		}
		b := proto.CloneOf(r.report)
		b.AgeMilli = now.Sub(r.at).Milliseconds()
		out = append(out, b)
	}
	return out
}
