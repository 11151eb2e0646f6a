// Package control implements a control replica: it hosts the replicated log, accepts operators'
// changes, publishes the state to the entry boxes and advances shifts.
package control

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// replyFunc receives the outcome of a proposed command. It must not block.
type replyFunc func(outcome)

type waitingProposal struct {
	term  uint64
	reply replyFunc
}

// replica hosts the consensus state machine. The goroutine of its loop owns all fields.
type replica struct {
	id            string
	config        consensus.Config
	machine       *consensus.Replica
	journal       *journal.Journal
	hardState     *wire.HardState
	state         steering.State
	applied       uint64
	snapshot      uint64
	snapshotEvery uint64
	// snapshotBytes is the size of the last snapshot, and loggedBytes that of the entries applied
	// since then.
	snapshotBytes int
	loggedBytes   int
	// committed holds committed entries that have not been applied yet, and readsDue the reads
	// that wait for some of them.
	committed []*wire.Entry
	readsDue  []consensus.ReadResult
	// proposed holds commands that will be passed to the state machine together.
	proposed []consensus.Propose

	now       func() time.Time
	clock     *boottime.Clock
	inbox     inbox
	lastToken uint64
	proposing map[uint64]replyFunc
	waiting   map[uint64]waitingProposal
	reads     map[uint64]chan<- readOutcome

	send      func(*wire.ConsensusMessage)
	publish   func(steering.State, []*wire.Command)
	onNotice  func(consensus.Notice)
	onApplied func(*wire.Command, steering.Result)
	onSynced  func(time.Duration)
	// onDequeued receives how long an input waited for the loop, and whether its caller had given
	// up by then, in which case it was not handled.
	onDequeued func(kind string, wait time.Duration, abandoned bool)
	// onCurrent receives a time at which the published state was known to hold everything that
	// was committed.
	onCurrent func(at time.Time)
	// onDiskChange is called with an error when the disk becomes full, and with nil when it has
	// space again.
	onDiskChange func(*FullDiskError)

	// diskFull is set while the disk is full; the next check for free space is at nextDiskProbe.
	diskFull      *FullDiskError
	nextDiskProbe time.Time
}

// maxInputsPerSync bounds the inputs that share one sync of the journal.
const maxInputsPerSync = 256

// openReplica recovers a replica from its data directory.
func openReplica(now func() time.Time, c consensus.Config, j *journal.Journal, found *journal.Recovered, interval int) (*replica, error) {
	r := &replica{
		id:            found.ID,
		config:        c,
		journal:       j,
		snapshotEvery: uint64(interval),
		now:           now,
		inbox:         newInbox(),
		proposing:     make(map[uint64]replyFunc),
		waiting:       make(map[uint64]waitingProposal),
		reads:         make(map[uint64]chan<- readOutcome),
		onDequeued:    func(string, time.Duration, bool) {},
		onCurrent:     func(time.Time) {},
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
	r.snapshotBytes, r.loggedBytes = len(s.Data), 0
	return nil
}

// run is the loop. It returns when the context ends or the disk fails, because a replica that
// can't sync must not continue. If the disk is full, it waits for free space.
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
				err = r.handleOutput(out)
			}
		case a := <-r.inbox.consensus:
			err = r.handleOutput(r.drain(a))
		case a := <-r.inbox.requests:
			err = r.handleOutput(r.drain(a))
		case a := <-r.inbox.updates:
			err = r.handleOutput(r.drain(a))
		case <-r.applyReady():
			err = r.handleOutput(r.drainInbox(consensus.Output{}))
		}
		if err != nil {
			return err
		}
	}
}

// closed is a closed channel, from which a receive never blocks.
var closed = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// applyReady returns a channel that is ready while committed entries wait to be applied.
func (r *replica) applyReady() <-chan struct{} {
	if len(r.committed) == 0 {
		return nil
	}
	return closed
}

const ticksPerElection = 20

// untilTick returns the time until the state machine's next tick: the usual interval, or less if
// an election is due sooner.
func (r *replica) untilTick() time.Duration {
	timeout := r.config.ElectionTimeout
	if timeout == 0 {
		timeout = time.Second
	}
	usual := timeout / ticksPerElection
	if r.diskFull != nil {
		return usual
	}
	if due := r.machine.NextElection().Sub(r.now()); due > 0 {
		return min(usual, due)
	}
	return usual
}

// drain handles an input and those already queued, so that they share one sync and their commands
// are proposed together.
func (r *replica) drain(a queuedMessage) consensus.Output {
	return r.drainInbox(r.dispatchQueued(a))
}

func (r *replica) drainInbox(out consensus.Output) consensus.Output {
	for range maxInputsPerSync {
		a, ok := r.inbox.next()
		if !ok {
			break
		}
		out = out.Merge(r.dispatchQueued(a))
	}
	return out.Merge(r.proposeQueued())
}

// dispatchQueued handles an input from a queue. It is dropped if its caller has given up: the
// caller has retried, and handling both would add to the load that delayed it.
func (r *replica) dispatchQueued(a queuedMessage) consensus.Output {
	abandoned := a.abandoned()
	r.onDequeued(inputKind(a.message), r.clock.Since(a.queuedAt), abandoned)
	if abandoned {
		return consensus.Output{}
	}
	return r.dispatch(a.message)
}

// handle handles one message and proposes the resulting commands.
func (r *replica) handle(m message) consensus.Output { return r.dispatch(m).Merge(r.proposeQueued()) }

// dispatch handles a message. Commands are queued for proposeQueued.
func (r *replica) dispatch(m message) consensus.Output {
	if r.diskFull != nil {
		r.reject(m)
		return consensus.Output{}
	}
	now := r.now()
	switch m := m.(type) {
	case receivedMessage:
		return r.machine.Handle(now, consensus.Receive{Message: m.message, At: m.arrivedAt})
	case proposal:
		r.queueProposal(m.command, func(o outcome) { m.reply <- o })
	case updateBatch:
		for i, c := range m.updates {
			r.queueProposal(c, func(o outcome) { m.reply <- updateOutcome{i, o.err} })
		}
	case readRequest:
		r.lastToken++
		r.reads[r.lastToken] = m.reply
		return r.machine.Handle(now, consensus.Read{Token: r.lastToken})
	case viewRequest:
		m.reply <- view{r.machine.Status(now), r.state, r.machine.Membership()}
	case membershipChange:
		r.lastToken++
		r.proposing[r.lastToken] = func(o outcome) { m.reply <- o }
		return r.machine.Handle(now, consensus.ChangeMembership{Token: r.lastToken, Membership: m.membership})
	case bootstrap:
		return r.bootstrap(now, m.membership)
	case leadershipTransfer:
		return r.machine.Handle(now, consensus.Transfer{})
	}
	return consensus.Output{}
}

// queueProposal queues a command to be proposed with others.
func (r *replica) queueProposal(c *wire.Command, reply replyFunc) {
	data, err := proto.Marshal(c)
	if err != nil {
		reply(outcome{err: fmt.Errorf("encoding the command: %w", err)})
		return
	}
	r.lastToken++
	r.proposing[r.lastToken] = reply
	r.proposed = append(r.proposed, consensus.Propose{Token: r.lastToken, Data: data})
}

// proposeQueued proposes the queued commands.
func (r *replica) proposeQueued() consensus.Output {
	if len(r.proposed) == 0 {
		return consensus.Output{}
	}
	proposals := r.proposed
	r.proposed = nil
	return r.machine.Handle(r.now(), consensus.ProposeBatch{Proposals: proposals})
}

// bootstrap sets the first membership of a replica on an empty disk.
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

// handleOutput carries out an output of the state machine. If the disk is full, the replica
// pauses.
func (r *replica) handleOutput(out consensus.Output) error {
	err := r.performOutput(out)
	if !isFull(err) {
		return err
	}
	r.pause(err)
	return nil
}

// performOutput stores what must be durable before anything else. Messages are sent before entries
// are applied, so that the others work on them in the meantime.
func (r *replica) performOutput(out consensus.Output) error {
	if out.NeedsSync() {
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
		r.trackProposal(p)
	}
	r.committed = append(r.committed, out.Committed...)
	for _, m := range out.Messages {
		r.send(m)
	}
	if err := r.applyNext(); err != nil {
		return err
	}
	if at, ok := r.machine.CurrentAt(r.applied); ok {
		r.onCurrent(at)
	}
	for _, n := range out.Notices {
		r.onNotice(n)
		if n.Role != consensus.Leader {
			r.failWaiting()
		}
	}
	r.readsDue = append(r.readsDue, out.Reads...)
	r.answerReads()
	return r.compact()
}

func (r *replica) store(out consensus.Output) error {
	began := r.clock.Now()
	defer func() { r.onSynced(r.clock.Since(began)) }()
	if out.HardState != nil {
		r.hardState = out.HardState
	}
	if out.Snapshot != nil {
		return r.journal.SaveSnapshot(out.Snapshot, r.hardState, out.Entries)
	}
	return r.journal.Append(out.HardState, out.Entries)
}

func (r *replica) trackProposal(p consensus.Proposal) {
	reply := r.proposing[p.Token]
	delete(r.proposing, p.Token)
	if p.Err != nil {
		reply(outcome{err: p.Err})
		return
	}
	r.waiting[p.Index] = waitingProposal{p.Term, reply}
}

// compact takes a snapshot once enough entries have been applied since the last one: a number of
// them, and as many bytes as that one has. A snapshot holds all targets, so with a fixed number of
// entries the bytes written for each change would grow with the number of targets.
func (r *replica) compact() error {
	if r.applied < r.snapshot+r.snapshotEvery || r.loggedBytes < r.snapshotBytes {
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
	r.snapshotBytes, r.loggedBytes = len(s.Data), 0
	r.machine.Handle(r.now(), consensus.Compact{Snapshot: s})
	return nil
}
