// Package relay distributes the steering state and collects the reports of
// boxes. Control replicas and entry boxes publish to subscribers; entry boxes
// and gateways follow them.
package relay

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/lookup"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Publisher serves subscribers from a distribution.Publisher and collects their
// reports. Run publishes the states that SetState queues.
type Publisher struct {
	mu          lockorder.Mutex
	publisher   *distribution.Publisher
	subscribers map[*subscriber]bool
	reports     map[string]boxReport
	// boxList is the list of serving boxes as of boxListAt, which all subscribers share.
	boxList    *wire.EntryBoxes
	boxListAt  time.Time
	controlAge func() time.Duration
	stamp      func() *wire.Clock
	clock      *boottime.Clock
	// limits returns the rate limits of targets that changed after a number, and
	// the number of the last change; nil if this process knows of none.
	limits func(after uint64) (changed []*wire.TargetLimit, last uint64)

	// Packing a document takes milliseconds. States are therefore queued and packed
	// by Run, so that neither consensus nor the report of its commits is delayed.
	queueMu lockorder.Mutex
	pending []publication
	// latest is the last state given to SetState.
	latest steering.State
	// behindSince is the last time at which the published state is known to have been
	// current, while a later one is pending; zero if none is.
	behindSince time.Time
	// wake holds a token while publications are pending.
	wake chan struct{}
	// published is the last state that was published; only Run uses it.
	published steering.State
}

// publication is a state to be published and the commands that led to it. The state
// before it was last known to be current at currentAt.
type publication struct {
	state     steering.State
	commands  []*wire.Command
	currentAt time.Time
}

// subscriber is one served stream; changed holds a token when there is something to send.
type subscriber struct{ changed chan struct{} }

// boxReport is the latest report of a box and the time at which it was made.
type boxReport struct {
	report *wire.BoxReport
	at     time.Time
}

const (
	// heartbeatInterval is how often a subscriber is sent an update that holds
	// only the control age.
	heartbeatInterval = time.Second
	// minUpdateInterval is the minimum time between two updates to a subscriber;
	// changes within it are sent together. It bounds the traffic of a replica when
	// hundreds of targets change, and is short against the 250 ms within which all
	// boxes must use the same document.
	minUpdateInterval = 40 * time.Millisecond
	// entryBoxValidity is how long an entry box counts as serving after its last
	// report: three reports may be lost.
	entryBoxValidity = 3 * time.Second
	// boxListTTL is how long the list of serving boxes is reused. It is sent with heartbeats, so a
	// fraction of their interval hardly delays it.
	boxListTTL = heartbeatInterval / 4
	// reportRetention is how long the last report of a silent box is kept.
	reportRetention = 10 * time.Minute
)

// NewPublisher returns a publisher of a state. The function age returns the
// control age. Call Run to publish.
func NewPublisher(s steering.State, age func() time.Duration, stamp func() *wire.Clock) *Publisher {
	return &Publisher{
		publisher:   distribution.NewPublisher(s),
		subscribers: make(map[*subscriber]bool),
		reports:     make(map[string]boxReport),
		controlAge:  age,
		stamp:       stamp,
		wake:        make(chan struct{}, 1),
		published:   s,
	}
}

// SetClock sets the clock of the process's machine. Call it before Serve.
func (p *Publisher) SetClock(c *boottime.Clock) { p.clock = c }

// SetLimits sets the source of the rate limits that are sent to subscribers. Call
// it before Serve, and LimitsChanged after each change.
func (p *Publisher) SetLimits(limits func(after uint64) (changed []*wire.TargetLimit, last uint64)) {
	p.limits = limits
}

// LimitsChanged sends the changed limits to subscribers soon.
func (p *Publisher) LimitsChanged() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeSubscribers()
}

// SetState queues the next state for Run, which publishes in the order of the
// calls. It does not block.
func (p *Publisher) SetState(s steering.State, commands []*wire.Command) {
	currentAt := p.clock.Now().Add(-p.controlAge())
	p.queueMu.Lock()
	p.pending = append(p.pending, publication{s, commands, currentAt})
	p.latest = s
	if p.behindSince.IsZero() {
		p.behindSince = currentAt
	}
	p.queueMu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run packs and publishes queued states until the context ends, and then drops
// those that are pending.
func (p *Publisher) Run(ctx context.Context) error {
	defer p.dropPending()
	p.publishLatest()
	for ctx.Err() == nil {
		p.publishPending(ctx)
		select {
		case <-ctx.Done():
		case <-p.wake:
		}
	}
	return ctx.Err()
}

// publishLatest publishes the latest state if an earlier Run dropped it.
// Otherwise subscribers would take the version before for the current one until
// the next change.
func (p *Publisher) publishLatest() {
	p.queueMu.Lock()
	latest, isPending := p.latest, len(p.pending) > 0
	p.queueMu.Unlock()
	if isPending {
		return
	}
	if latest.Version() > p.published.Version() {
		p.publish(latest, nil)
		p.published = latest
	}
	p.endPublication()
}

func (p *Publisher) publishPending(ctx context.Context) {
	for ctx.Err() == nil {
		next, ok := p.nextPending()
		if !ok {
			return
		}
		if next.state.Version() > p.published.Version() {
			p.publish(next.state, distribution.PackCommands(p.published, next.commands))
			p.published = next.state
		}
		p.endPublication()
	}
}

// endPublication records that all states before the pending ones have been published.
func (p *Publisher) endPublication() {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	p.behindSince = time.Time{}
	if len(p.pending) > 0 {
		p.behindSince = p.pending[0].currentAt
	}
}

// publishedAge returns the control age of the published state, which is older than that of
// the process while other states are pending.
func (p *Publisher) publishedAge() time.Duration {
	age := p.controlAge()
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	if p.behindSince.IsZero() {
		return age
	}
	return max(age, p.clock.Since(p.behindSince))
}

func (p *Publisher) nextPending() (publication, bool) {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	if len(p.pending) == 0 {
		return publication{}, false
	}
	out := p.pending[0]
	p.pending = slices.Delete(p.pending, 0, 1)
	return out, true
}

func (p *Publisher) dropPending() {
	p.queueMu.Lock()
	defer p.queueMu.Unlock()
	p.pending = nil
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

// Serve sends updates on a stream until it ends, and reads reports from it.
func (p *Publisher) Serve(ctx context.Context, m *link.Messages) {
	request := &wire.Subscribe{}
	if err := m.Read(request); err != nil {
		return
	}
	s := p.addSubscriber()
	defer p.removeSubscriber(s)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.readReports(m)
		_ = m.Close() // a write to a subscriber that has left would block
	}()
	defer func() {
		_ = m.Close()
		<-ended
	}()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	version := request.Version
	var sentBoxes *wire.EntryBoxes
	var sentLimits uint64
	boxesDue := true                      // entry boxes are sent with heartbeats, not with each change
	nextUpdate := p.publisher.FirstUpdate // for the first update only
	for {
		u := p.buildUpdate(nextUpdate, version)
		nextUpdate = p.publisher.Update
		if boxesDue {
			if boxes := p.entryBoxes(); boxes != sentBoxes {
				u.EntryBoxes, sentBoxes = boxes, boxes
			}
		}
		if p.limits != nil {
			u.Limits, sentLimits = p.limits(sentLimits)
		}
		if err := m.Write(u); err != nil {
			return
		}
		sent := p.clock.Now()
		version = max(version, u.Version)
		boxesDue = false
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-s.changed:
		case <-ticker.C:
			boxesDue = true
		}
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(p.clock.Until(sent.Add(minUpdateInterval))):
		}
	}
}

func (p *Publisher) addSubscriber() *subscriber {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &subscriber{changed: make(chan struct{}, 1)}
	p.subscribers[s] = true
	return s
}

func (p *Publisher) removeSubscriber(s *subscriber) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.subscribers, s)
}

func (p *Publisher) buildUpdate(nextUpdate func(uint64, time.Duration) *wire.Update, version uint64) *wire.Update {
	age := p.publishedAge()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := nextUpdate(version, age)
	u.Clock = p.stamp()
	return u
}

// entryBoxes returns the boxes that serve callers, or nil before any box has reported. The list is the
// same one as long as the boxes are.
func (p *Publisher) entryBoxes() *wire.EntryBoxes {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.boxList != nil && now.Sub(p.boxListAt) < boxListTTL {
		return p.boxList
	}
	next := p.listEntryBoxes(now)
	if next == nil {
		return p.boxList
	}
	p.boxListAt = now
	if p.boxList == nil || !proto.Equal(next, p.boxList) {
		p.boxList = next
	}
	return p.boxList
}

// listEntryBoxes builds the list of the boxes that serve callers, or nil before any box has reported.
// The lock is held.
func (p *Publisher) listEntryBoxes(now time.Time) *wire.EntryBoxes {
	validity := max(entryBoxValidity, lookup.ReportValidity(len(p.recentReports(now, 2*entryBoxValidity))))
	recent := p.recentReports(now, validity)
	if len(recent) == 0 {
		return nil
	}
	out := &wire.EntryBoxes{}
	for _, b := range recent {
		if b.CallerAddress != "" && !b.Stopping {
			out.Boxes = append(out.Boxes, &wire.EntryBox{Name: b.Box, Zone: b.Zone, Region: b.Region})
		}
	}
	return out
}

// RecentReports returns the reports whose age is at most within, sorted by box.
func (p *Publisher) RecentReports(within time.Duration) []*wire.BoxReport {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recentReports(now, within)
}

// recentReports is RecentReports with the lock held.
func (p *Publisher) recentReports(now time.Time, within time.Duration) []*wire.BoxReport {
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

// AddReports stores the reports of a subtree; the newest report of each box is kept.
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

// Reports returns the stored reports with their current age.
func (p *Publisher) Reports() []*wire.BoxReport {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*wire.BoxReport, 0, len(p.reports))
	for name, r := range p.reports {
		if now.Sub(r.at) > reportRetention {
			delete(p.reports, name)
			continue
		}
		b := proto.CloneOf(r.report)
		b.AgeMilli = now.Sub(r.at).Milliseconds()
		out = append(out, b)
	}
	return out
}
