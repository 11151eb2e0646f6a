// Package isolation runs the decisions of package quarantine at an entry box or
// gateway: it finds out whether targets whose connections broke have crashed, keeps
// the requests that crashed them from other targets, and sends evidence to control.
package isolation

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// probeInterval is the time between the two connection attempts of a probe. A
	// target that is full resets new connections for a moment; one that has crashed
	// refuses them until it has restarted, which takes seconds.
	probeInterval = 100 * time.Millisecond
	// maxBrokenRuns bounds the queue of broken runs, and maxProbes the concurrent
	// probes. More connections break together only when the network fails.
	maxBrokenRuns = 256
	maxProbes     = 64
)

// BrokenRun is a run whose connection broke after the request was sent.
type BrokenRun struct {
	// Crash describes the run; it counts only if a probe finds that the target crashed.
	Crash quarantine.Crash
	// Address is that of the target, and Request the ID of the request.
	Address string
	Request string
}

// ProbeResult tells whether a target crashed or serves, or why that could not be found out.
type ProbeResult struct {
	Incarnation string
	Crashed     bool
	Err         error
}

// String returns the result as a metric label.
func (r ProbeResult) String() string {
	switch {
	case r.Crashed:
		return "ended"
	case r.Err != nil:
		return "unknown"
	}
	return "serves"
}

// Config configures an Isolation.
type Config struct {
	// Clock is the clock of the box's machine; nil for that of the local machine.
	Clock *boottime.Clock
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds each call of Dial.
	DialTimeout time.Duration
	// ConfirmRefused asks other boxes about a target that refuses this box's connections, which it
	// also does if this box is cut off from it. It returns nil if the target refuses theirs too. The
	// field is nil if there is no other box to ask.
	ConfirmRefused func(ctx context.Context, incarnation string) error
	// Leaving reports whether a target is shutting down as planned.
	Leaving func(incarnation string) bool
	// Replicas returns the control replicas, and SendEvidence sends evidence to one.
	Replicas     func() []string
	SendEvidence func(ctx context.Context, address string, e *wire.Evidence) error
	// OnCrash and OnProbe are called with each result, for logs and metrics.
	OnCrash func(BrokenRun)
	OnProbe func(ProbeResult)
}

// Isolation keeps requests that crash the targets that run them from further targets.
// It is safe for concurrent use. It gathers its own evidence only while Run is running.
type Isolation struct {
	config Config
	broken chan BrokenRun
	// evidenceDue holds a token when there is evidence to send.
	evidenceDue chan struct{}
	// idle is set while there is no evidence about any request.
	idle atomic.Bool

	mu     lockorder.Mutex
	guard  *quarantine.Guard
	outbox *quarantine.Outbox
}

// New returns an isolation without evidence.
func New(c Config) *Isolation {
	i := &Isolation{
		config: c, guard: quarantine.NewGuard(), outbox: quarantine.NewOutbox(), broken: make(chan BrokenRun, maxBrokenRuns), evidenceDue: make(chan struct{}, 1),
	}
	i.idle.Store(true)
	return i
}

// IsIdle reports whether there is no evidence about any request, so that no digest is needed.
func (i *Isolation) IsIdle() bool { return i.idle.Load() }

// sendResult is the result of a call that sent evidence to a replica.
type sendResult struct {
	address string
	err     error
}

// loop is the state of Run: the broken runs by the target that is probed for them, and
// the results of its goroutines.
type loop struct {
	pending map[string][]BrokenRun
	probes  chan ProbeResult
	sent    chan sendResult
	running sync.WaitGroup
}

// Run probes targets and sends evidence to control until the context ends.
func (i *Isolation) Run(ctx context.Context) error {
	l := &loop{pending: make(map[string][]BrokenRun), probes: make(chan ProbeResult), sent: make(chan sendResult)}
	defer l.running.Wait()
	expire := time.NewTicker(quarantine.EvidenceRetention / 10)
	defer expire.Stop()
	send := time.NewTimer(0)
	defer send.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-i.broken:
			i.startProbe(ctx, l, r)
		case result := <-l.probes:
			i.handleProbe(result, l.pending[result.Incarnation])
			delete(l.pending, result.Incarnation)
		case <-i.evidenceDue:
			send.Reset(i.sendDue(ctx, l))
		case <-send.C:
			send.Reset(i.sendDue(ctx, l))
		case s := <-l.sent:
			i.mu.Lock()
			i.outbox.HandleResult(i.config.Clock.Now(), s.address, s.err == nil)
			i.mu.Unlock()
			send.Reset(i.sendDue(ctx, l))
		case <-expire.C:
			i.removeExpired(i.config.Clock.Now())
		}
	}
}

// startProbe probes the target of a broken run. One probe serves all broken runs of a target.
func (i *Isolation) startProbe(ctx context.Context, l *loop, r BrokenRun) {
	incarnation := r.Crash.Incarnation
	if len(l.pending[incarnation]) == 0 {
		if len(l.pending) >= maxProbes {
			return
		}
		l.running.Go(func() { deliver(ctx, l.probes, i.probe(ctx, incarnation, r.Address)) })
	}
	l.pending[incarnation] = append(l.pending[incarnation], r)
}

// maxSendInterval is the maximum time between two checks for evidence to send: new
// replicas are sent all that is known.
const maxSendInterval = time.Minute

// sendDue sends the replicas the evidence they lack and returns when to check again.
func (i *Isolation) sendDue(ctx context.Context, l *loop) time.Duration {
	now := i.config.Clock.Now()
	replicas := i.config.Replicas()
	i.mu.Lock()
	i.outbox.SetReplicas(replicas)
	batches := i.outbox.NextBatches(now)
	next := i.outbox.NextAt()
	i.mu.Unlock()
	for _, b := range batches {
		e := encodeEvidence(now, b.Items)
		l.running.Go(func() { deliver(ctx, l.sent, sendResult{b.Address, i.config.SendEvidence(ctx, b.Address, e)}) })
	}
	if next.IsZero() {
		return maxSendInterval
	}
	return max(i.config.Clock.Until(next), 0)
}

// encodeEvidence encodes items as a message.
func encodeEvidence(now time.Time, items []quarantine.Item) *wire.Evidence {
	out := &wire.Evidence{}
	for _, i := range items {
		if e := i.Crash; e != nil {
			out.Ends = append(out.Ends, &wire.RunEnd{
				Digest: e.Request[:], Caller: uint64(e.Caller), Life: e.Incarnation, Route: e.Route, Service: e.Service,
				BeganAgoMilli: now.Sub(e.Began).Milliseconds(), EndedAgoMilli: now.Sub(e.Ended).Milliseconds(),
			})
		}
		if a := i.Answer; a != nil {
			out.Answers = append(out.Answers, &wire.RunAnswer{Digest: a.Request[:], Caller: uint64(a.Caller), EndedAgoMilli: now.Sub(a.At).Milliseconds()})
		}
	}
	return out
}

// deliver sends the result of a goroutine, unless the context has ended.
func deliver[T any](ctx context.Context, out chan<- T, result T) {
	select {
	case out <- result:
	case <-ctx.Done():
	}
}

// probe reports a target as crashed if it refuses connections twice.
func (i *Isolation) probe(ctx context.Context, incarnation, address string) ProbeResult {
	if i.config.Leaving(incarnation) {
		return ProbeResult{Incarnation: incarnation}
	}
	for n := range 2 {
		if n > 0 {
			sleep(ctx, probeInterval)
		}
		dialing, cancel := context.WithTimeout(ctx, i.config.DialTimeout)
		c, err := i.config.Dial(dialing, address)
		cancel()
		if err == nil {
			_ = c.Close() // nothing was sent on it
			return ProbeResult{Incarnation: incarnation}
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return ProbeResult{Incarnation: incarnation, Err: err}
		}
	}
	if i.config.ConfirmRefused != nil {
		if err := i.config.ConfirmRefused(ctx, incarnation); err != nil {
			return ProbeResult{Incarnation: incarnation, Err: err}
		}
	}
	return ProbeResult{Incarnation: incarnation, Crashed: !i.config.Leaving(incarnation)}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// handleProbe records the broken runs of a target as crashes if it has crashed.
func (i *Isolation) handleProbe(result ProbeResult, runs []BrokenRun) {
	i.config.OnProbe(result)
	if !result.Crashed {
		return
	}
	now := i.config.Clock.Now()
	for _, r := range runs {
		i.mu.Lock()
		isNew := i.guard.RecordCrash(now, r.Crash)
		i.idle.Store(i.guard.IsIdle())
		if isNew {
			i.outbox.Add(now, quarantine.Item{Crash: &r.Crash})
		}
		i.mu.Unlock()
		if isNew {
			i.config.OnCrash(r)
		}
	}
	i.notifySender()
}

// ConnectionBroke queues a run for a probe of its target.
func (i *Isolation) ConnectionBroke(r BrokenRun) {
	select {
	case i.broken <- r:
	default: // so many connections break at once only when the network fails
	}
}

// RecordAnswer records that a request was answered in full.
func (i *Isolation) RecordAnswer(d quarantine.Digest, c quarantine.Caller) {
	now := i.config.Clock.Now()
	i.mu.Lock()
	isNew := i.guard.RecordAnswer(now, d, c)
	if isNew {
		i.outbox.Add(now, quarantine.Item{Answer: &quarantine.Answer{Request: d, Caller: c, At: now}})
	}
	i.idle.Store(i.guard.IsIdle())
	i.mu.Unlock()
	if isNew {
		i.notifySender()
	}
}

func (i *Isolation) notifySender() {
	select {
	case i.evidenceDue <- struct{}{}:
	default:
	}
}

// SetBoxes sets the name of this box and those of all boxes.
func (i *Isolation) SetBoxes(self string, boxes []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.SetBoxes(self, boxes)
}

// SetList sets the requests that control has put on probation or quarantined.
func (i *Isolation) SetList(list []quarantine.Entry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.SetList(list)
	i.idle.Store(i.guard.IsIdle())
}

func (i *Isolation) removeExpired(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.RemoveExpired(now)
	i.idle.Store(i.guard.IsIdle())
}

// SuspectCount returns the number of requests that this box itself has evidence against.
func (i *Isolation) SuspectCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.SuspectCount()
}

// Admit decides on a request that arrives. One admitted on probation must be passed to
// Finish.
func (i *Isolation) Admit(d quarantine.Digest, c quarantine.Caller) quarantine.Verdict {
	now, wall := i.config.Clock.Now(), time.Now() // time of day: entries of the list expire by it
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Admit(now, wall, d, c)
}

// Finish ends a request that was admitted on probation.
func (i *Isolation) Finish(d quarantine.Digest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Finish(d)
}

// MayRetry reports whether an admitted request may be sent to another target.
func (i *Isolation) MayRetry(d quarantine.Digest, c quarantine.Caller) bool {
	now, wall := i.config.Clock.Now(), time.Now() // time of day: entries of the list expire by it
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.MayRetry(now, wall, d, c)
}
