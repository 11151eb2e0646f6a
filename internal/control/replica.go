// Package control is the daemon of a control replica: it hosts the replicated
// log, accepts operators' changes, publishes the state to the entry boxes and
// takes shifts forward.
package control

import (
	"context"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// message is one input of the replica's loop.
type message interface{ input() }

type proposal struct {
	command *wire.Command
	reply   chan<- outcome
}

// wordBatch is words of targets that are proposed together. The outcome of each comes
// on reply, which has room for all of them, with its place among the words.
type wordBatch struct {
	words []*wire.Command
	reply chan<- wordOutcome
}

// wordOutcome is what became of the word at a place of a batch.
type wordOutcome struct {
	place int
	err   error
}

type reading struct{ reply chan<- readOutcome }

type received struct{ message *wire.ConsensusMessage }

type viewing struct{ reply chan<- view }

type membershipChange struct {
	membership *wire.Membership
	reply      chan<- outcome
}

type bootstrap struct{ membership *wire.Membership }

type handover struct{}

func (proposal) input()         {}
func (wordBatch) input()        {}
func (reading) input()          {}
func (received) input()         {}
func (viewing) input()          {}
func (membershipChange) input() {}
func (bootstrap) input()        {}
func (handover) input()         {}

// outcome is what became of a proposed command.
type outcome struct {
	result  steering.Result
	version uint64
	err     error
}

type readOutcome struct {
	state steering.State
	err   error
}

// view is the replica as it is now.
type view struct {
	status     consensus.Status
	state      steering.State
	membership *wire.Membership
}

// LostError says that a command was taken but its place in the log went to
// another; whether it is in the log elsewhere is not known here.
type LostError struct{}

// Error implements error.
func (*LostError) Error() string {
	return "the leader changed before the command was settled; send it again with the same id"
}

// answer takes the outcome of a proposed command. It does not wait.
type answer func(outcome)

type waitingProposal struct {
	term  uint64
	reply answer
}

// replica hosts the consensus state machine. Its loop owns all fields.
type replica struct {
	id        string
	config    consensus.Config
	machine   *consensus.Replica
	journal   *journal.Journal
	hardState *wire.HardState
	state     steering.State
	applied   uint64
	snapshot  uint64
	every     uint64
	// committed are entries that are not applied yet, and readsDue the reads that
	// wait for some of them.
	committed []*wire.Entry
	readsDue  []consensus.ReadReady
	// proposed are commands that are handed to the machine together.
	proposed []consensus.Propose

	now     func() time.Time
	inbox   inbox
	token   uint64
	tokens  map[uint64]answer
	waiting map[uint64]waitingProposal
	reads   map[uint64]chan<- readOutcome

	send    func(*wire.ConsensusMessage)
	publish func(steering.State, []*wire.Command)
	noticed func(consensus.Notice)
	settled func(*wire.Command, steering.Result)
	synced  func(time.Duration)
	// waited is told how long an input waited for the loop, and whether its asker had
	// gone meanwhile, so that it was not handled.
	waited func(kind string, wait time.Duration, abandoned bool)
	// disk is told that the disk is full, and with nil that it has room again.
	disk func(*FullDiskError)

	// full tells that the disk takes nothing; room is looked for at nextLook.
	full     *FullDiskError
	nextLook time.Time
}

const (
	maxMerged = 256
	// maxApplied is how many committed entries are applied before the loop hears the
	// other replicas again: 64 words of targets take 0.5 ms of a core at 3,000 targets
	// (BenchmarkRegistrations), thousands of them more than an election timeout where
	// a machine has half a core and pauses.
	maxApplied = 64
)

// openReplica recovers a replica from its data folder.
func openReplica(now func() time.Time, c consensus.Config, j *journal.Journal, found *journal.Recovered, every int) (*replica, error) {
	r := &replica{
		id:      found.ID,
		config:  c,
		journal: j,
		every:   uint64(every),
		now:     now,
		inbox:   newInbox(),
		tokens:  make(map[uint64]answer),
		waiting: make(map[uint64]waitingProposal),
		reads:   make(map[uint64]chan<- readOutcome),
		waited:  func(string, time.Duration, bool) {},
	}
	r.config.ID = found.ID
	return r, r.restore(now(), consensus.Stored{HardState: found.HardState, Snapshot: found.Snapshot, Entries: found.Entries})
}

func (r *replica) restore(now time.Time, stored consensus.Stored) error {
	machine, err := consensus.New(now, r.config, stored)
	if err != nil {
		return err
	}
	r.machine = machine
	r.hardState = stored.HardState
	if stored.Snapshot == nil {
		return nil
	}
	return r.restoreSnapshot(stored.Snapshot)
}

func (r *replica) restoreSnapshot(s *wire.Snapshot) error {
	state, err := steering.Unmarshal(s.Data)
	if err != nil {
		return fmt.Errorf("restoring snapshot %d: %w", s.Index, err)
	}
	r.state = state
	r.applied = s.Index
	r.snapshot = s.Index
	return nil
}

// run is the loop. It returns when the context ends or the disk fails: a
// replica that can't sync must not go on. A full disk is waited for.
func (r *replica) run(ctx context.Context) error {
	tick := time.NewTimer(r.untilTick())
	defer tick.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			tick.Reset(r.untilTick())
			var out consensus.Output
			if out, err = r.tick(); err == nil {
				err = r.carryOut(out)
			}
		case a := <-r.inbox.consensus:
			err = r.carryOut(r.drain(a))
		case a := <-r.inbox.orders:
			err = r.carryOut(r.drain(a))
		case a := <-r.inbox.words:
			err = r.carryOut(r.drain(a))
		case <-r.mayApply():
			err = r.carryOut(r.drainWaiting(consensus.Output{}))
		}
		if err != nil {
			return err
		}
	}
}

// always is a channel that can be read at any time.
var always = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// mayApply can be read while committed entries wait to be applied.
func (r *replica) mayApply() <-chan struct{} {
	if len(r.committed) == 0 {
		return nil
	}
	return always
}

const ticksPerElection = 20

// untilTick returns when the machine must be told of the time again: sooner
// than usual if it is about to ask for votes.
func (r *replica) untilTick() time.Duration {
	timeout := r.config.ElectionTimeout
	if timeout == 0 {
		timeout = time.Second
	}
	usual := timeout / ticksPerElection
	if r.full != nil {
		return usual
	}
	if due := r.machine.NextElection().Sub(r.now()); due > 0 {
		return min(usual, due)
	}
	return usual
}

// drain handles an input and those that already wait, so that one sync serves
// them all and commands travel together.
func (r *replica) drain(a arrival) consensus.Output {
	return r.drainWaiting(r.takeArrival(a))
}

func (r *replica) drainWaiting(out consensus.Output) consensus.Output {
	for range maxMerged {
		a, ok := r.inbox.next()
		if !ok {
			break
		}
		out = out.Merge(r.takeArrival(a))
	}
	return out.Merge(r.propose())
}

// takeArrival takes an input that has waited. One whose asker has gone is dropped:
// the asker has asked again, and doing both would add to what made it wait.
func (r *replica) takeArrival(a arrival) consensus.Output {
	abandoned := a.abandoned()
	r.waited(kind(a.message), time.Since(a.at), abandoned)
	if abandoned {
		return consensus.Output{}
	}
	return r.take(a.message)
}

// handle takes one message and proposes what it asks for.
func (r *replica) handle(m message) consensus.Output { return r.take(m).Merge(r.propose()) }

// take takes a message. Commands wait for propose.
func (r *replica) take(m message) consensus.Output {
	if r.full != nil {
		r.decline(m)
		return consensus.Output{}
	}
	now := r.now()
	switch m := m.(type) {
	case received:
		return r.machine.Handle(now, consensus.Receive{Message: m.message})
	case proposal:
		r.keep(m.command, func(o outcome) { m.reply <- o })
	case wordBatch:
		for i, c := range m.words {
			r.keep(c, func(o outcome) { m.reply <- wordOutcome{i, o.err} })
		}
	case reading:
		r.token++
		r.reads[r.token] = m.reply
		return r.machine.Handle(now, consensus.Read{Token: r.token})
	case viewing:
		m.reply <- view{r.machine.Status(now), r.state, r.machine.Membership()}
	case membershipChange:
		r.token++
		r.tokens[r.token] = func(o outcome) { m.reply <- o }
		return r.machine.Handle(now, consensus.ChangeMembership{Token: r.token, Membership: m.membership})
	case bootstrap:
		return r.bootstrap(now, m.membership)
	case handover:
		return r.machine.Handle(now, consensus.Transfer{})
	}
	return consensus.Output{}
}

// keep has a command proposed with the next ones.
func (r *replica) keep(c *wire.Command, reply answer) {
	data, err := proto.Marshal(c)
	if err != nil {
		reply(outcome{err: fmt.Errorf("encoding the command: %w", err)})
		return
	}
	r.token++
	r.tokens[r.token] = reply
	r.proposed = append(r.proposed, consensus.Propose{Token: r.token, Data: data})
}

// propose hands the commands that were kept to the machine.
func (r *replica) propose() consensus.Output {
	if len(r.proposed) == 0 {
		return consensus.Output{}
	}
	proposals := r.proposed
	r.proposed = nil
	return r.machine.Handle(r.now(), consensus.ProposeAll{Proposals: proposals})
}

// bootstrap gives a replica on an empty disk its first membership.
func (r *replica) bootstrap(now time.Time, m *wire.Membership) consensus.Output {
	if len(r.machine.Membership().Voters) > 0 {
		return consensus.Output{}
	}
	data, err := steering.State{}.Marshal()
	if err != nil {
		return consensus.Output{}
	}
	s := &wire.Snapshot{Index: 1, Term: 1, Membership: m, Data: data}
	hs := r.hardState
	if hs == nil {
		hs = &wire.HardState{Term: 1}
	}
	if err := r.restore(now, consensus.Stored{HardState: hs, Snapshot: s}); err != nil {
		return consensus.Output{}
	}
	return consensus.Output{HardState: hs, Snapshot: s}
}

// carryOut does what an output asks for. If the disk has no room, the replica rests.
func (r *replica) carryOut(out consensus.Output) error {
	err := r.carryOutStored(out)
	if !isFull(err) {
		return err
	}
	r.rest(err)
	return nil
}

// carryOutStored stores what must be durable, then does all else. Messages go out
// before anything is applied, so that the others hear of it while this one does.
func (r *replica) carryOutStored(out consensus.Output) error {
	if out.Durable() {
		if err := r.store(out); err != nil {
			return &DiskError{err}
		}
	}
	if out.Snapshot != nil {
		if err := r.restoreSnapshot(out.Snapshot); err != nil {
			return err
		}
		r.publish(r.state, nil)
	}
	for _, p := range out.Proposals {
		r.note(p)
	}
	r.committed = append(r.committed, out.Committed...)
	for _, m := range out.Messages {
		r.send(m)
	}
	if err := r.applySome(); err != nil {
		return err
	}
	for _, n := range out.Notices {
		r.noticed(n)
		if n.Role != consensus.Leader {
			r.failWaiting()
		}
	}
	r.readsDue = append(r.readsDue, out.Reads...)
	r.answerReads()
	return r.compact()
}

// answerReads answers the reads whose state is applied.
func (r *replica) answerReads() {
	r.readsDue = slices.DeleteFunc(r.readsDue, func(a consensus.ReadReady) bool {
		if a.Err == nil && a.Index > r.applied && len(r.committed) > 0 {
			return false
		}
		if reply := r.reads[a.Token]; reply != nil {
			reply <- readOutcome{r.state, a.Err}
		}
		delete(r.reads, a.Token)
		return true
	})
}

func (r *replica) store(out consensus.Output) error {
	began := time.Now()
	defer func() { r.synced(time.Since(began)) }()
	if out.HardState != nil {
		r.hardState = out.HardState
	}
	if out.Snapshot != nil {
		return r.journal.SaveSnapshot(out.Snapshot, r.hardState, out.Entries)
	}
	return r.journal.Append(out.HardState, out.Entries)
}

func (r *replica) note(p consensus.Proposal) {
	reply := r.tokens[p.Token]
	delete(r.tokens, p.Token)
	if p.Err != nil {
		reply(outcome{err: p.Err})
		return
	}
	r.waiting[p.Index] = waitingProposal{p.Term, reply}
}

// applySome applies the committed entries that come next, up to maxApplied.
func (r *replica) applySome() error {
	n := min(len(r.committed), maxApplied)
	if n == 0 {
		return nil
	}
	next := r.committed[:n]
	r.committed = r.committed[n:]
	return r.apply(next)
}

// apply applies entries, those that carry commands together.
func (r *replica) apply(entries []*wire.Entry) error {
	var carried []*wire.Entry
	var commands []*wire.Command
	for _, e := range entries {
		if e.Index <= r.applied || e.Kind != wire.EntryKind_ENTRY_KIND_COMMAND {
			continue
		}
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Data, c); err != nil {
			return fmt.Errorf("decoding committed entry %d: %w", e.Index, err)
		}
		carried = append(carried, e)
		commands = append(commands, c)
	}
	published := r.applyCommands(carried, commands)
	for _, e := range entries {
		r.applied = max(r.applied, e.Index)
		r.answer(e, outcome{version: r.state.Version()}) // those that carry none
	}
	if len(published) > 0 {
		r.publish(r.state, published)
	}
	return nil
}

// applyCommands applies the commands of entries and returns those that changed the
// state, as they are published. A document is published with the text that the
// state holds after it, so that what follows one is applied by itself.
func (r *replica) applyCommands(entries []*wire.Entry, commands []*wire.Command) []*wire.Command {
	var published []*wire.Command
	for len(commands) > 0 {
		n := slices.IndexFunc(commands, func(c *wire.Command) bool { return c.Routes != nil }) + 1
		if n == 0 {
			n = len(commands)
		}
		version := r.state.Version()
		state, results := r.state.ApplyAll(commands[:n])
		r.state = state
		for i, result := range results {
			if result.Changed {
				version++
				published = append(published, forPublishing(commands[i], r.state))
			}
			r.applied = entries[i].Index
			r.settled(commands[i], result)
			r.answer(entries[i], outcome{result: result, version: version})
		}
		entries, commands = entries[n:], commands[n:]
	}
	return published
}

func (r *replica) answer(e *wire.Entry, o outcome) {
	w, ok := r.waiting[e.Index]
	if !ok {
		return
	}
	delete(r.waiting, e.Index)
	if w.term != e.Term {
		o = outcome{err: &LostError{}}
	}
	w.reply(o)
}

// failWaiting answers proposals that a deposed leader can no longer settle; those
// that are committed are answered when they are applied.
func (r *replica) failWaiting() {
	settled := r.applied
	if n := len(r.committed); n > 0 {
		settled = r.committed[n-1].Index
	}
	for index, w := range r.waiting {
		if index > settled {
			delete(r.waiting, index)
			w.reply(outcome{err: &LostError{}})
		}
	}
}

// compact takes a snapshot when enough entries have been applied since the
// last one.
func (r *replica) compact() error {
	if r.applied < r.snapshot+r.every {
		return nil
	}
	data, err := r.state.Marshal()
	if err != nil {
		return fmt.Errorf("encoding the state: %w", err)
	}
	status := r.machine.Status(r.now())
	s := &wire.Snapshot{
		Index:      r.applied,
		Term:       r.machine.TermAt(r.applied),
		Membership: r.machine.MembershipAt(r.applied),
		Data:       data,
	}
	hs := r.hardState
	if hs == nil {
		hs = &wire.HardState{Term: status.Term}
	}
	if err := r.journal.SaveSnapshot(s, hs, r.machine.EntriesAfter(s.Index)); err != nil {
		return &DiskError{err}
	}
	r.snapshot = s.Index
	r.machine.Handle(r.now(), consensus.Compact{Snapshot: s})
	return nil
}
