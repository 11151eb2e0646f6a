// Package distribution carries the steering state from the control replicas to
// every entry box and the boxes' reports back, through relays of bounded
// degree. Follower and Publisher are state machines without I/O.
//
// A Follower has one upstream at a time: its parent in the tree of its zone's
// boxes or, for the first box, a control replica. When its upstream is lost or
// has not heard of control for too long it tries the next candidate, last of
// all the other boxes of its zone, so that a zone that is cut off still agrees
// on the latest state that any of its boxes has. The state at a box never goes
// back to a lower version.
package distribution

import (
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// MaxChildren is the number of children of a relay.
const MaxChildren = 4

const (
	// defaultStaleAfter is how old the word of control may be before a follower
	// looks for another upstream.
	defaultStaleAfter = 3 * time.Second
	// reconsiderAfter is how long a follower stays with an upstream that is
	// not its first choice. It doubles with each return in vain, as each costs up
	// to connectTimeout without an upstream, up to maxReconsiderAfter: a 120th of
	// the time then, and the tree has its shape again soon after an outage.
	reconsiderAfter    = 5 * time.Second
	maxReconsiderAfter = 2 * time.Minute
	minBackOff         = 100 * time.Millisecond
	maxBackOff         = 2 * time.Second
	// connectTimeout is how long a source may take to send the first bytes of
	// its first update: more than a dial of 500 ms and two round trips.
	connectTimeout = time.Second
)

// Source is a process to subscribe to.
type Source struct {
	Name    string
	Address string
	Control bool
}

// Event is one input of a Follower.
type Event interface{ event() }

// SetSources gives the candidates, best first.
type SetSources struct{ Sources []Source }

// Opened tells that the subscription asked for is open; Lost that it ended or
// could not be opened. Attempt is that of the Subscribe.
type Opened struct{ Attempt uint64 }

// Lost tells that the subscription of an attempt has ended.
type Lost struct{ Attempt uint64 }

// Received is an update that came by a subscription.
type Received struct {
	Attempt uint64
	Update  *wire.Update
	// At is when it came, which may be long before it is handled; zero for now.
	At time.Time
}

// arrival returns when the update came, at now or before.
func (r Received) arrival(now time.Time) time.Time {
	if r.At.IsZero() || r.At.After(now) {
		return now
	}
	return r.At
}

// Progress tells how many bytes of the next update have come so far by a
// subscription, also by one whose first update is still to come.
type Progress struct {
	Attempt uint64
	Bytes   uint64
}

// Tick lets time pass.
type Tick struct{}

func (SetSources) event() {}
func (Opened) event()     {}
func (Lost) event()       {}
func (Received) event()   {}
func (Progress) event()   {}
func (Tick) event()       {}

// Subscribe asks the host to end any subscription and open a new one.
type Subscribe struct {
	Attempt uint64
	Source  Source
	Version uint64
}

// Output is what to carry out after an event.
type Output struct {
	Subscribe *Subscribe
	// State is to be put in force.
	State *steering.State
	// Commands are those that led to State, if all are known.
	Commands []*wire.Command
	// Notice is a change of the upstream for the time line.
	Notice string
}

// Follower keeps the steering state of one entry box current.
type Follower struct {
	random *rand.Rand
	// staleAfter is how old the word of control may be before another upstream
	// is sought.
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
	// returnAfter is how long the follower stays with another than its first
	// choice.
	returnAfter time.Duration
	heardAt     time.Time
	// sourceIsStale tells that the present source has no word of control itself.
	sourceIsStale bool
	// held is the highest state of the sources that have not heard of control,
	// kept back by a follower that has none until it has asked all sources;
	// version 0 for none. Further sources are asked for what comes after it: of
	// 1,400 targets a whole state takes 0.26 s of a link of 2.6 Mbit/s.
	held steering.State
	// arriving is the update that is on its way.
	arriving transfer
	// lastSign is when the present source was opened, or the last bytes of an
	// update came that takes long.
	lastSign time.Time
	// limit is how long an update may arrive.
	limit time.Duration
	// whole tells that the commands for the state at hand could not be used.
	whole bool
	out   Output
}

// NewFollower returns a follower with the empty state.
func NewFollower(now time.Time, seed uint64) *Follower {
	return &Follower{
		random:      rand.New(rand.NewPCG(seed, 2)),
		staleAfter:  defaultStaleAfter,
		backOff:     minBackOff,
		returnAfter: reconsiderAfter,
		retryAt:     now,
		heardAt:     now,
		limit:       transferLimit,
	}
}

// SetStaleAfter changes how old the word of control may be before the follower
// looks for another upstream.
func (f *Follower) SetStaleAfter(after time.Duration) { f.staleAfter = after }

// State returns the state in force.
func (f *Follower) State() steering.State { return f.state }

// ControlAge returns how long ago control was last heard of.
func (f *Follower) ControlAge(now time.Time) time.Duration { return now.Sub(f.heardAt) }

// Upstream returns the present upstream; ok is false if there is none.
func (f *Follower) Upstream() (s Source, ok bool) {
	if !f.open || f.current >= len(f.sources) {
		return Source{}, false
	}
	return f.sources[f.current], true
}

// Handle takes one event at now and returns what to carry out.
func (f *Follower) Handle(now time.Time, e Event) Output {
	f.out = Output{}
	heardUntil := now
	switch e := e.(type) {
	case SetSources:
		f.setSources(now, e.Sources)
		f.subscribe(now)
		return f.out // what has come may still wait: other events tell of silence
	case Opened:
		if e.Attempt == f.attempt {
			f.open = true
			f.pending = false
			f.openedAt = now
			f.lastSign = now
			f.sourceIsStale = false
			f.out.Notice = "subscribed to " + f.sources[f.current].Name
		}
	case Lost:
		if e.Attempt == f.attempt {
			f.lost(now)
		}
	case Received:
		f.received(now, e)
		heardUntil = e.arrival(now) // more may wait behind it
	case Progress:
		f.progress(now, e)
	case Tick:
	}
	f.tick(now, heardUntil)
	return f.out
}

func (f *Follower) setSources(now time.Time, sources []Source) {
	var current Source
	if f.current < len(f.sources) {
		current = f.sources[f.current]
	}
	if len(sources) == 0 || len(f.sources) == 0 || sources[0] != f.sources[0] {
		f.returnAfter = reconsiderAfter
	}
	f.sources = sources
	for i, s := range sources {
		if s == current {
			f.current = i
			return
		}
	}
	f.drop()
	f.retryAt = now
}

// drop lets go of a subscription whose source is gone, and of the update on its
// way; what it still brings belongs to no attempt.
func (f *Follower) drop() {
	f.attempt++
	f.current = 0
	f.open = false
	f.pending = false
	f.arriving = transfer{}
}

func (f *Follower) lost(now time.Time) {
	if f.open || f.pending && f.arriving.bytes > 0 {
		f.out.Notice = f.why(now, "lost")
	}
	f.open = false
	f.pending = false
	f.next(now)
}

// next goes on to the following candidate. After a whole round it waits a
// while, spread at random so that boxes do not return all at once.
func (f *Follower) next(now time.Time) {
	f.current++
	f.retryAt = now
	if f.current < len(f.sources) {
		return
	}
	f.current = 0
	f.takeHeld()
	f.retryAt = now.Add(f.backOff/2 + time.Duration(f.random.Int64N(int64(f.backOff))))
	f.backOff = min(2*f.backOff, maxBackOff)
}

// tick lets time pass. Silence is judged as at heardUntil, up to which all that
// has come is known.
func (f *Follower) tick(now, heardUntil time.Time) {
	if len(f.sources) == 0 {
		return
	}
	if f.pending && !now.Before(f.deadline) && !f.arrives(now) {
		if f.arriving.bytes > 0 {
			f.out.Notice = f.why(now, "gives up on")
		}
		f.pending = false
		f.endTransfer(now)
		f.next(now)
	}
	if f.open && f.shouldLeave(heardUntil) {
		f.open = false
		f.out.Notice = f.why(now, "leaves")
		f.endTransfer(now)
		if f.ControlAge(now) <= f.staleAfter {
			f.current = 0
			f.retryAt = now
			f.returnAfter = min(2*f.returnAfter, maxReconsiderAfter)
		} else {
			f.next(now)
		}
	}
	f.subscribe(now)
}

// subscribe opens the next subscription when none is open and it is time to.
func (f *Follower) subscribe(now time.Time) {
	if len(f.sources) == 0 {
		return
	}
	if f.open || f.pending || now.Before(f.retryAt) {
		return
	}
	f.attempt++
	f.pending = true
	f.arriving = transfer{}
	f.deadline = now.Add(connectTimeout)
	f.out.Subscribe = &Subscribe{Attempt: f.attempt, Source: f.sources[f.current], Version: f.asked()}
}

// shouldLeave reports whether another upstream may be better: this one has not
// heard of control, or it is not the first choice.
// It stays while an update arrives: what has come would have to come again.
func (f *Follower) shouldLeave(now time.Time) bool {
	if f.arrives(now) {
		return false
	}
	if f.overdue(now) {
		return true
	}
	if f.ControlAge(now) > f.staleAfter && (f.sourceIsStale || now.Sub(f.lastSign) > f.staleAfter) {
		return true
	}
	return f.current > 0 && now.Sub(f.openedAt) > f.returnAfter
}

// received takes an update that leads to a higher version.
func (f *Follower) received(now time.Time, e Received) {
	if e.Attempt != f.attempt {
		return
	}
	at := e.arrival(now)
	sentAt := at
	if f.arriving.bytes > 0 {
		if f.arriving.began.Before(sentAt) {
			sentAt = f.arriving.began
		}
		f.lastSign = at
		f.limit = transferLimit
		f.arriving = transfer{}
	}
	f.heard(now, sentAt, e.Update)
	f.sourceIsStale = time.Duration(e.Update.AgeMilli)*time.Millisecond > f.staleAfter
	if f.current == 0 && !f.sourceIsStale {
		f.returnAfter = reconsiderAfter
	}
	if e.Update.Version <= f.state.Version() {
		return
	}
	if f.holdsBack(now, e.Update) {
		return
	}
	f.putInForce(now, e.Update)
}

// holdsBack keeps back what a source without word of control gives to a
// follower that has just started, so that a box does not restart into an older
// state than others of its zone still have.
func (f *Follower) holdsBack(now time.Time, u *wire.Update) bool {
	if f.state.Version() > 0 || time.Duration(u.AgeMilli)*time.Millisecond <= f.staleAfter {
		return false
	}
	next, _, ok := f.advance(now, u)
	if !ok {
		return true
	}
	f.held = next
	f.open = false
	f.next(now)
	return true
}

// takeHeld puts the highest state that was kept back in force.
func (f *Follower) takeHeld() {
	if f.held.Version() == 0 || f.state.Version() > 0 {
		return
	}
	f.out.Notice = "no source has word of control, takes the latest state of all"
	f.setState(f.held, nil)
}

// putInForce takes an update that leads to a higher version.
func (f *Follower) putInForce(now time.Time, u *wire.Update) {
	next, commands, ok := f.advance(now, u)
	if !ok {
		return
	}
	if f.held.Version() > 0 {
		commands = nil // they lead from a state that was never in force
	}
	f.setState(next, commands)
}

func (f *Follower) setState(s steering.State, commands []*wire.Command) {
	f.state = s
	f.held = steering.State{}
	f.out.State = &s
	f.out.Commands = commands
}

// advance returns what an update leads to. One that can't be used ends the
// subscription.
func (f *Follower) advance(now time.Time, u *wire.Update) (next steering.State, commands []*wire.Command, ok bool) {
	latest := f.latest()
	if u.State == nil && u.Version <= latest.Version() {
		return latest, nil, true // nothing that is not known
	}
	next, commands, err := Advance(latest, u)
	f.whole = needsWhole(err)
	if err != nil {
		f.lost(now)
		f.out.Notice = err.Error()
		return latest, nil, false
	}
	return next, commands, true
}

// latest is the state that updates are asked for upon.
func (f *Follower) latest() steering.State {
	if f.state.Version() == 0 {
		return f.held
	}
	return f.state
}

// heard takes the word of control in an update that its source began to send at
// sentAt.
func (f *Follower) heard(now, sentAt time.Time, u *wire.Update) {
	at := sentAt.Add(-time.Duration(u.AgeMilli) * time.Millisecond)
	if at.After(f.heardAt) {
		f.heardAt = at
	}
	if f.ControlAge(now) <= f.staleAfter {
		f.backOff = minBackOff
	}
}
