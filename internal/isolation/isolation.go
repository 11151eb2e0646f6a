// Package isolation hosts at an entry box what package quarantine decides: it finds out
// whether targets whose connections broke have ended, keeps requests under which they did
// from targets, and tells control.
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
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// lookPause is between the two looks at a target that broke a connection. A full
	// target resets new connections for a moment; one that has ended refuses them until
	// it starts again, which takes it seconds.
	lookPause = 100 * time.Millisecond
	// maxBroken bounds the broken runs that wait to be looked at, and maxLooks the targets
	// looked at at once: more break together only where the network does.
	maxBroken = 256
	maxLooks  = 64
)

// BrokenRun is a run whose connection broke after the request was sent.
type BrokenRun struct {
	Crash quarantine.End
	// Address is that of the target, and Request the id of the request.
	Address string
	Request string
}

// ProbeResult is what a look at a target gave: that it has ended, that it serves, or why that is
// not known.
type ProbeResult struct {
	Incarnation string
	Crashed     bool
	Err         error
}

// String returns what was found, as it stands in metrics.
func (l ProbeResult) String() string {
	switch {
	case l.Crashed:
		return "ended"
	case l.Err != nil:
		return "unknown"
	}
	return "serves"
}

// Config is what an Isolation needs of its box.
type Config struct {
	// Clock is that of the box's machine; nil for the one at hand.
	Clock *boottime.Clock
	// Dial opens a connection to a target.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// DialTimeout bounds it.
	DialTimeout time.Duration
	// Leaving tells targets that end as planned.
	Leaving func(life string) bool
	// Replicas are the control replicas, and Tell hands evidence to one of them.
	Replicas     func() []string
	SendEvidence func(ctx context.Context, address string, e *wire.Evidence) error
	// OnCrash and Looked are told of what was found out, for log and metrics.
	OnCrash func(BrokenRun)
	OnProbe func(ProbeResult)
}

// Isolation keeps requests from targets that end each target that runs them. It is safe
// for concurrent use; Run must be running for it to learn anything by itself.
type Isolation struct {
	config Config
	broken chan BrokenRun
	// due holds a token when there is evidence to tell.
	due chan struct{}
	// idle tells that nothing is known of any request.
	idle atomic.Bool

	mu     sync.Mutex
	guard  *quarantine.Guard
	outbox *quarantine.Outbox
}

// New returns an isolation that knows of nothing.
func New(c Config) *Isolation {
	i := &Isolation{
		config: c, guard: quarantine.NewGuard(), outbox: quarantine.NewOutbox(), broken: make(chan BrokenRun, maxBroken), due: make(chan struct{}, 1),
	}
	i.idle.Store(true)
	return i
}

// IsIdle reports whether nothing is known of any request, so that none needs a digest.
func (i *Isolation) IsIdle() bool { return i.idle.Load() }

// toldReplica tells that a call to a replica has ended.
type toldReplica struct {
	address string
	err     error
}

// loop is the state of the loop: the runs whose targets are looked at, and what
// goroutines report.
type loop struct {
	pending map[string][]BrokenRun
	looks   chan ProbeResult
	told    chan toldReplica
	running sync.WaitGroup
}

// Run finds out which targets have ended, and tells control, until the context ends.
func (i *Isolation) Run(ctx context.Context) error {
	l := &loop{pending: make(map[string][]BrokenRun), looks: make(chan ProbeResult), told: make(chan toldReplica)}
	defer l.running.Wait()
	forget := time.NewTicker(quarantine.Memory / 10)
	defer forget.Stop()
	tell := time.NewTimer(0)
	defer tell.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case r := <-i.broken:
			i.lookAt(ctx, l, r)
		case done := <-l.looks:
			i.take(done, l.pending[done.Incarnation])
			delete(l.pending, done.Incarnation)
		case <-i.due:
			tell.Reset(i.tellDue(ctx, l))
		case <-tell.C:
			tell.Reset(i.tellDue(ctx, l))
		case t := <-l.told:
			i.mu.Lock()
			i.outbox.Ended(i.config.Clock.Now(), t.address, t.err == nil)
			i.mu.Unlock()
			tell.Reset(i.tellDue(ctx, l))
		case <-forget.C:
			i.forget(i.config.Clock.Now())
		}
	}
}

// lookAt has a target looked at whose connection broke; one look serves all runs there.
func (i *Isolation) lookAt(ctx context.Context, l *loop, r BrokenRun) {
	life := r.Crash.Life
	if len(l.pending[life]) == 0 {
		if len(l.pending) >= maxLooks {
			return
		}
		l.running.Go(func() { report(ctx, l.looks, i.look(ctx, life, r.Address)) })
	}
	l.pending[life] = append(l.pending[life], r)
}

// tellInterval is when it is looked at the latest whether there is something to tell:
// replicas that are new are told what is known.
const tellInterval = time.Minute

// tellDue tells the replicas what they lack and returns when to look again.
func (i *Isolation) tellDue(ctx context.Context, l *loop) time.Duration {
	now := i.config.Clock.Now()
	replicas := i.config.Replicas()
	i.mu.Lock()
	i.outbox.SetReplicas(replicas)
	batches := i.outbox.Due(now)
	next := i.outbox.Next()
	i.mu.Unlock()
	for _, b := range batches {
		e := evidence(now, b.Items)
		l.running.Go(func() { report(ctx, l.told, toldReplica{b.Address, i.config.SendEvidence(ctx, b.Address, e)}) })
	}
	if next.IsZero() {
		return tellInterval
	}
	return max(i.config.Clock.Until(next), 0)
}

// evidence returns items as a message.
func evidence(now time.Time, items []quarantine.Item) *wire.Evidence {
	out := &wire.Evidence{}
	for _, i := range items {
		if e := i.End; e != nil {
			out.Ends = append(out.Ends, &wire.RunEnd{
				Digest: e.Request[:], Caller: uint64(e.Caller), Life: e.Life, Route: e.Route, Service: e.Service,
				BeganAgoMilli: now.Sub(e.Began).Milliseconds(), EndedAgoMilli: now.Sub(e.Ended).Milliseconds(),
			})
		}
		if a := i.Answer; a != nil {
			out.Answers = append(out.Answers, &wire.RunAnswer{Digest: a.Request[:], Caller: uint64(a.Caller), EndedAgoMilli: now.Sub(a.At).Milliseconds()})
		}
	}
	return out
}

// report sends what a goroutine has come to, unless its owner has gone.
func report[T any](ctx context.Context, out chan<- T, result T) {
	select {
	case out <- result:
	case <-ctx.Done():
	}
}

// look finds out whether a target has ended: it refuses connections twice.
func (i *Isolation) look(ctx context.Context, life, address string) ProbeResult {
	if i.config.Leaving(life) {
		return ProbeResult{Incarnation: life}
	}
	for n := range 2 {
		if n > 0 {
			pause(ctx, lookPause)
		}
		dialing, cancel := context.WithTimeout(ctx, i.config.DialTimeout)
		c, err := i.config.Dial(dialing, address)
		cancel()
		if err == nil {
			_ = c.Close() // nothing was sent on it
			return ProbeResult{Incarnation: life}
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return ProbeResult{Incarnation: life, Err: err}
		}
	}
	return ProbeResult{Incarnation: life, Crashed: !i.config.Leaving(life)}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// take takes what a look at a target gave for the runs that broke there.
func (i *Isolation) take(l ProbeResult, runs []BrokenRun) {
	i.config.OnProbe(l)
	if !l.Crashed {
		return
	}
	now := i.config.Clock.Now()
	for _, r := range runs {
		i.mu.Lock()
		news := i.guard.Ended(now, r.Crash)
		i.idle.Store(i.guard.IsIdle())
		if news {
			i.outbox.Add(now, quarantine.Item{End: &r.Crash})
		}
		i.mu.Unlock()
		if news {
			i.config.OnCrash(r)
		}
	}
	i.wake()
}

// ConnectionBroke takes a run whose connection broke after the request was sent.
func (i *Isolation) ConnectionBroke(r BrokenRun) {
	select {
	case i.broken <- r:
	default: // where so many break at once the network does
	}
}

// RecordAnswer takes a whole answer to a request.
func (i *Isolation) RecordAnswer(d quarantine.Digest, c quarantine.Caller) {
	now := i.config.Clock.Now()
	i.mu.Lock()
	tell := i.guard.Answered(now, d, c)
	if tell {
		i.outbox.Add(now, quarantine.Item{Answer: &quarantine.Answer{Request: d, Caller: c, At: now}})
	}
	i.idle.Store(i.guard.IsIdle())
	i.mu.Unlock()
	if tell {
		i.wake()
	}
}

func (i *Isolation) wake() {
	select {
	case i.due <- struct{}{}:
	default:
	}
}

// SetList takes the requests that control has watched or held.
func (i *Isolation) SetList(list []quarantine.Entry) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.SetList(list)
	i.idle.Store(i.guard.IsIdle())
}

func (i *Isolation) forget(now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Forget(now)
	i.idle.Store(i.guard.IsIdle())
}

// SuspectCount returns how many requests the box itself has evidence against.
func (i *Isolation) SuspectCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Suspects()
}

// Admit decides on a request that arrives. One that is let in on probation must be
// finished by Finish.
func (i *Isolation) Admit(d quarantine.Digest, c quarantine.Caller) quarantine.Verdict {
	now, wall := i.config.Clock.Now(), time.Now() // time of day: the list tells by it until when it holds
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.Admit(now, wall, d, c)
}

// Finish ends a request that was let in on probation.
func (i *Isolation) Finish(d quarantine.Digest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.guard.Finish(d)
}

// MayRetry reports whether a further target may get a request that has been let in.
func (i *Isolation) MayRetry(d quarantine.Digest, c quarantine.Caller) bool {
	now, wall := i.config.Clock.Now(), time.Now() // time of day: the list tells by it until when it holds
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.guard.MayRepeat(now, wall, d, c)
}
