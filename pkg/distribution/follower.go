// Package distribution replicates the steering state from the control replicas
// to every entry box, and the boxes' reports back, through a tree of relays
// with bounded fan-out. Follower and Publisher are state machines without I/O.
//
// A Follower has one upstream at a time: its parent in the tree of its zone's
// boxes or, for the first box, a control replica. If the upstream is lost, or
// has been out of contact with control for too long, the follower tries the
// next candidate. The other boxes of its zone come last, so that the boxes of
// a zone that is partitioned from control still converge on the latest state
// that any of them has. The version of a box's state never decreases.
package distribution

import (
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// MaxChildren is the fan-out of a relay in the tree of a zone's boxes.
const MaxChildren = 4

const (
	// defaultStaleAfter is the control age beyond which a follower looks for another
	// upstream.
	defaultStaleAfter = 3 * time.Second
	// minReturnDelay is how long a follower stays with an upstream that is not its
	// first choice before it tries that again. Each failed attempt costs up to
	// connectTimeout without an upstream, so the delay doubles with each one up to
	// maxReturnDelay. At most a 120th of the time is then lost, and the tree still
	// regains its shape soon after an outage.
	minReturnDelay = 5 * time.Second
	maxReturnDelay = 2 * time.Minute
	// minBackOff and maxBackOff bound the average pause after all sources have failed.
	minBackOff = 100 * time.Millisecond
	maxBackOff = 2 * time.Second
	// connectTimeout bounds the time until the first bytes of a source's first update.
	// It exceeds a dial of 500 ms plus two round trips.
	connectTimeout = time.Second
)

// Source is a process that a follower can subscribe to.
type Source struct {
	Name    string
	Address string
	Control bool
}

// Event is an input of a Follower.
type Event interface{ event() }

// SetSources sets the candidate sources, best first.
type SetSources struct{ Sources []Source }

// Opened reports that the subscription of an attempt is open.
type Opened struct{ Attempt uint64 }

// Lost reports that the subscription of an attempt has ended or could not be opened.
type Lost struct{ Attempt uint64 }

// Received is an update that arrived on a subscription.
type Received struct {
	Attempt uint64
	Update  *wire.Update
	// At is the arrival time, which may be long before the event is handled; zero means
	// now.
	At time.Time
}

// arrivedAt returns the arrival time, which is not after now.
func (r Received) arrivedAt(now time.Time) time.Time {
	if r.At.IsZero() || r.At.After(now) {
		return now
	}
	return r.At
}

// Progress reports how many bytes of the next update have arrived on a subscription,
// including one that has not received its first update yet.
type Progress struct {
	Attempt uint64
	Bytes   uint64
}

// Tick lets time pass without other input.
type Tick struct{}

func (SetSources) event() {}
func (Opened) event()     {}
func (Lost) event()       {}
func (Received) event()   {}
func (Progress) event()   {}
func (Tick) event()       {}

// Subscribe asks the host to end any current subscription and open a new one.
type Subscribe struct {
	Attempt uint64
	Source  Source
	Version uint64
}

// Output is what the host has to carry out after an event.
type Output struct {
	Subscribe *Subscribe
	// State is the new state to activate, if it changed.
	State *steering.State
	// Commands are those that led from the previous state to State, or nil if they are
	// not known.
	Commands []*wire.Command
	// Notice describes a change of the upstream for the timeline.
	Notice string
}

// Follower keeps the steering state of one entry box up to date.
type Follower struct {
	random *rand.Rand
	// staleAfter is the control age beyond which another upstream is tried.
	staleAfter time.Duration
	state      steering.State
	sources    []Source
	current    int
	attempt    uint64
	open       bool
	pending    bool
	openedAt   time.Time
	deadline   time.Time
	retryAt    time.Time
	backOff    time.Duration
	// returnDelay is how long the follower stays with an upstream other than its first
	// choice.
	returnDelay time.Duration
	// lastContact is the last time at which the state is known to have been current: the
	// time of the last contact with control, directly or through relays, with an update
	// that was applied. It is zero if there was none.
	lastContact time.Time
	// sourceIsStale reports that the current source is itself out of contact with
	// control.
	sourceIsStale bool
	// heldState is the latest state received from sources that are out of contact with
	// control. A follower without a state holds it until all sources have been tried;
	// version 0 means none. Further sources are asked only for what follows it, since a
	// full state of 1,400 targets takes 0.26 s on a 2.6 Mbit/s link.
	heldState steering.State
	// incoming is the update that is being received.
	incoming transfer
	// lastActivity is when the current subscription was opened or the last bytes of a
	// long update arrived.
	lastActivity time.Time
	// transferTimeout bounds the time to receive one update.
	transferTimeout time.Duration
	// needsFullState reports that the commands for the local state could not be
	// applied.
	needsFullState bool
	out            Output
}

// NewFollower returns a follower with the empty state. seed randomizes its back-off.
func NewFollower(now time.Time, seed uint64) *Follower {
	return &Follower{
		random:          rand.New(rand.NewPCG(seed, 2)),
		staleAfter:      defaultStaleAfter,
		backOff:         minBackOff,
		returnDelay:     minReturnDelay,
		retryAt:         now,
		transferTimeout: minTransferTimeout,
	}
}

// SetStaleAfter sets the control age beyond which the follower looks for another
// upstream.
func (f *Follower) SetStaleAfter(after time.Duration) { f.staleAfter = after }

// State returns the active state.
func (f *Follower) State() steering.State { return f.state }

// noContactAge is the control age before the first contact.
const noContactAge = time.Hour

// ControlAge returns the time since the last contact with control, directly or through
// relays, or an hour if there was none.
func (f *Follower) ControlAge(now time.Time) time.Duration {
	if f.lastContact.IsZero() {
		return noContactAge
	}
	return now.Sub(f.lastContact)
}

// LastContact returns the time of the last contact with control; ok is false if there was
// none.
func (f *Follower) LastContact() (at time.Time, ok bool) {
	return f.lastContact, !f.lastContact.IsZero()
}

// Upstream returns the current upstream; ok is false if there is none.
func (f *Follower) Upstream() (s Source, ok bool) {
	if !f.open || f.current >= len(f.sources) {
		return Source{}, false
	}
	return f.sources[f.current], true
}

// Handle processes one event at the time now and returns what to carry out.
func (f *Follower) Handle(now time.Time, e Event) Output {
	f.out = Output{}
	receivedUntil := now
	switch e := e.(type) {
	case SetSources:
		f.setSources(now, e.Sources)
		f.subscribe(now)
		return f.out // updates may still be queued, so this event says nothing about silence
	case Opened:
		if e.Attempt == f.attempt {
			f.open = true
			f.pending = false
			f.openedAt = now
			f.lastActivity = now
			f.sourceIsStale = false
			f.out.Notice = "subscribed to " + f.sources[f.current].Name
		}
	case Lost:
		if e.Attempt == f.attempt {
			f.handleLost(now)
		}
	case Received:
		f.handleReceived(now, e)
		receivedUntil = e.arrivedAt(now) // later updates may still be queued
	case Progress:
		f.handleProgress(now, e)
	case Tick:
	}
	f.checkTimeouts(now, receivedUntil)
	return f.out
}

func (f *Follower) setSources(now time.Time, sources []Source) {
	var current Source
	if f.current < len(f.sources) {
		current = f.sources[f.current]
	}
	if len(sources) == 0 || len(f.sources) == 0 || sources[0] != f.sources[0] {
		f.returnDelay = minReturnDelay
	}
	f.sources = sources
	for i, s := range sources {
		if s == current {
			f.current = i
			return
		}
	}
	f.dropSubscription()
	f.retryAt = now
}

// dropSubscription abandons the subscription to a source that is no longer listed, and
// the update in transfer. Its later events match no attempt and are ignored.
func (f *Follower) dropSubscription() {
	f.attempt++
	f.current = 0
	f.open = false
	f.pending = false
	f.incoming = transfer{}
}

func (f *Follower) handleLost(now time.Time) {
	if f.open || f.pending && f.incoming.bytes > 0 {
		f.out.Notice = f.describeUpstream(now, "lost")
	}
	f.open = false
	f.pending = false
	f.tryNext(now)
}

// tryNext moves on to the next candidate. After a full round it waits for a random
// time, so that boxes do not all reconnect at once.
func (f *Follower) tryNext(now time.Time) {
	f.current++
	f.retryAt = now
	if f.current < len(f.sources) {
		return
	}
	f.current = 0
	f.applyHeldState()
	f.retryAt = now.Add(f.backOff/2 + time.Duration(f.random.Int64N(int64(f.backOff))))
	f.backOff = min(2*f.backOff, maxBackOff)
}

// checkTimeouts leaves a source that is silent, stale or slow. Silence is judged at
// receivedUntil, the time up to which everything received has been handled.
func (f *Follower) checkTimeouts(now, receivedUntil time.Time) {
	if len(f.sources) == 0 {
		return
	}
	if f.pending && !now.Before(f.deadline) && !f.isReceiving(now) {
		if f.incoming.bytes > 0 {
			f.out.Notice = f.describeUpstream(now, "gives up on")
		}
		f.pending = false
		f.abortTransfer(now)
		f.tryNext(now)
	}
	if f.open && f.shouldSwitch(receivedUntil) {
		f.open = false
		f.out.Notice = f.describeUpstream(now, "leaves")
		f.abortTransfer(now)
		if f.ControlAge(now) <= f.staleAfter && !f.sourceIsStale {
			f.current = 0
			f.retryAt = now
			f.returnDelay = min(2*f.returnDelay, maxReturnDelay)
		} else {
			f.tryNext(now)
		}
	}
	f.subscribe(now)
}

// subscribe opens the next subscription if none is open or pending and the retry time
// has come.
func (f *Follower) subscribe(now time.Time) {
	if len(f.sources) == 0 {
		return
	}
	if f.open || f.pending || now.Before(f.retryAt) {
		return
	}
	f.attempt++
	f.pending = true
	f.incoming = transfer{}
	f.deadline = now.Add(connectTimeout)
	f.out.Subscribe = &Subscribe{Attempt: f.attempt, Source: f.sources[f.current], Version: f.subscribeVersion()}
}

// shouldSwitch reports whether another upstream may be better, because this one is out
// of contact with control or is not the first choice. It stays while an update is being
// received, since the bytes received so far would have to be sent again.
func (f *Follower) shouldSwitch(now time.Time) bool {
	if f.isReceiving(now) {
		return false
	}
	if f.transferTimedOut(now) {
		return true
	}
	if f.sourceIsStale || f.ControlAge(now) > f.staleAfter && now.Sub(f.lastActivity) > f.staleAfter {
		return true
	}
	return f.current > 0 && now.Sub(f.openedAt) > f.returnDelay
}

// handleReceived records the contact with control and applies an update that leads to a
// higher version.
func (f *Follower) handleReceived(now time.Time, e Received) {
	if e.Attempt != f.attempt {
		return
	}
	at := e.arrivedAt(now)
	sentAt := at
	if f.incoming.bytes > 0 {
		if f.incoming.startedAt.Before(sentAt) {
			sentAt = f.incoming.startedAt
		}
		f.lastActivity = at
		f.transferTimeout = minTransferTimeout
		f.incoming = transfer{}
	}
	f.sourceIsStale = time.Duration(e.Update.AgeMilli)*time.Millisecond > f.staleAfter
	if f.current == 0 && !f.sourceIsStale {
		f.returnDelay = minReturnDelay
	}
	if e.Update.Version > f.state.Version() && !f.takeUpdate(now, e.Update) {
		return
	}
	f.recordContact(now, sentAt, e.Update)
}

// takeUpdate activates the state that an update leads to, or holds it back. It reports
// whether the update could be applied.
func (f *Follower) takeUpdate(now time.Time, u *wire.Update) bool {
	next, commands, ok := f.advance(now, u)
	if !ok {
		return false
	}
	if f.state.Version() == 0 && time.Duration(u.AgeMilli)*time.Millisecond > f.staleAfter {
		f.holdState(now, next)
		return true
	}
	if f.heldState.Version() > 0 {
		commands = nil // they apply to a state that was never active
	}
	f.setState(next, commands)
	return true
}

// holdState holds back a state from a source that is out of contact with control, so that
// a restarted box does not activate an older state than other boxes of its zone still
// have.
func (f *Follower) holdState(now time.Time, s steering.State) {
	f.heldState = s
	f.open = false
	f.tryNext(now)
}

// applyHeldState activates the latest state that was held back.
func (f *Follower) applyHeldState() {
	if f.heldState.Version() == 0 || f.state.Version() > 0 {
		return
	}
	f.out.Notice = "no source has word of control, takes the latest state of all"
	f.setState(f.heldState, nil)
}

func (f *Follower) setState(s steering.State, commands []*wire.Command) {
	f.state = s
	f.heldState = steering.State{}
	f.out.State = &s
	f.out.Commands = commands
}

// advance applies an update to the latest state. If that fails the subscription is
// ended, and its later events are ignored.
func (f *Follower) advance(now time.Time, u *wire.Update) (next steering.State, commands []*wire.Command, ok bool) {
	latest := f.latestState()
	if u.State == nil && u.Version <= latest.Version() {
		return latest, nil, true // it has nothing new
	}
	next, commands, err := Advance(latest, u)
	f.needsFullState = requiresFullState(err)
	if err != nil {
		f.handleLost(now)
		f.attempt++ // later updates of this subscription must not delay the next one
		f.out.Notice = err.Error()
		return latest, nil, false
	}
	return next, commands, true
}

// latestState returns the state that further updates build on.
func (f *Follower) latestState() steering.State {
	if f.state.Version() == 0 {
		return f.heldState
	}
	return f.state
}

// recordContact updates the time of the last contact with control from an update that
// its source started to send at sentAt.
func (f *Follower) recordContact(now, sentAt time.Time, u *wire.Update) {
	at := sentAt.Add(-time.Duration(u.AgeMilli) * time.Millisecond)
	if at.After(f.lastContact) {
		f.lastContact = at
	}
	if f.ControlAge(now) <= f.staleAfter {
		f.backOff = minBackOff
	}
}
