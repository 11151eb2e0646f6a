package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/pkg/batch"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// updateBatches bounds what registration updates take of a replica. A update by itself costs the
// leader a message to each of eight replicas, their answers and a call; a batch pays that
// once. What is under way is what an operator's document waits behind at most. Quick and
// LeastLeft are a round trip between regions to the leader, one to a quorum and a sync.
// The spacing is that of updates to subscribers (package relay): settled sooner, an update
// is not told sooner.
var updateBatches = batch.Config{
	MaxItems:        64,
	MaxInFlight:     4,
	NominalDuration: 150 * time.Millisecond,
	MinInterval:     40 * time.Millisecond,
	MinTimeLeft:     150 * time.Millisecond,
}

// pendingUpdate is a target's update whose askers wait for what becomes of it.
type pendingUpdate struct {
	key     updateKey
	command *wire.RegistrationCommand
	// deadline is when its first asker gives up. Who joined it later and still waits
	// then tells it again.
	deadline time.Time
	// forwarded tells that another replica has handed it on: it isn't handed on again.
	forwarded bool
	// replies have room for one outcome each; the lock of updates guards them.
	replies []chan<- error
}

// updateKey tells an update that comes again while it waits.
type updateKey struct {
	id       string
	born     int64
	sequence uint64
	leave    bool
	// forwarded updates don't join those that were told here, which are handed on.
	forwarded bool
}

func keyOf(c *wire.RegistrationCommand, forwarded bool) updateKey {
	r := c.Registration
	return updateKey{r.Id, r.BornUnixMilli, r.Sequence, c.Leave, forwarded}
}

// registrationQueue has registration updates settled by the leader, in batches. A update that is told
// again while it waits is settled once.
type registrationQueue struct {
	// settle tries to have updates settled and returns the outcome of each.
	settle func(ctx context.Context, batch []*pendingUpdate) []error
	// let is told of updates that are let go as their askers had gone.
	let func(count int)

	mu       sync.Mutex
	gatherer *batch.Batcher[*pendingUpdate]
	known    map[updateKey]*pendingUpdate
	clock    *boottime.Clock
	// due holds a token when a batch may begin.
	due chan struct{}
}

func newRegistrationQueue() *registrationQueue {
	return &registrationQueue{
		gatherer: batch.New[*pendingUpdate](updateBatches),
		known:    make(map[updateKey]*pendingUpdate),
		due:      make(chan struct{}, 1),
		let:      func(int) {},
	}
}

// errNotSettled says that no leader settled an update while its asker waited.
var errNotSettled = errors.New("not settled in time")

// tell has an update settled and waits for it until the context ends. The error is that
// of the last try, a batch.BusyError or the context's.
func (w *registrationQueue) tell(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) error {
	reply, err := w.add(ctx, c, forwarded)
	if err != nil {
		return err
	}
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// longestAsk bounds how long an update is tried for an asker that names no time.
const longestAsk = 4 * time.Second

// add has an update settled; what becomes of it comes on the channel.
func (w *registrationQueue) add(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) (<-chan error, error) {
	now := w.clock.Now()
	deadline, ok := w.clock.Deadline(ctx)
	if !ok {
		deadline = now.Add(longestAsk)
	}
	reply := make(chan error, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	key := keyOf(c, forwarded)
	if known := w.known[key]; known != nil {
		known.replies = append(known.replies, reply)
		return reply, nil
	}
	update := &pendingUpdate{key: key, command: c, deadline: deadline, forwarded: forwarded, replies: []chan<- error{reply}}
	if err := w.gatherer.Add(now, update, deadline); err != nil {
		return nil, err
	}
	w.known[key] = update
	w.wake()
	return reply, nil
}

func (w *registrationQueue) wake() {
	select {
	case w.due <- struct{}{}:
	default:
	}
}

// run begins batches until the context ends, and waits for those under way.
func (w *registrationQueue) run(ctx context.Context) error {
	ended := make(chan time.Duration)
	underWay := 0
	for {
		for {
			begin := w.next(w.clock.Now())
			if len(begin) == 0 {
				break
			}
			underWay++
			go func() { ended <- w.carry(ctx, begin) }()
		}
		timer := time.NewTimer(w.untilDue(w.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			for range underWay {
				<-ended
			}
			return ctx.Err()
		case <-w.due:
		case <-timer.C:
		case took := <-ended:
			underWay--
			w.recordEnd(took)
		}
		timer.Stop()
	}
}

// next returns the batch to begin now and answers the updates that are let go.
func (w *registrationQueue) next(now time.Time) []*pendingUpdate {
	w.mu.Lock()
	defer w.mu.Unlock()
	begin, late := w.gatherer.Next(now)
	for _, update := range late {
		w.answer(update, &UnavailableError{Cause: errNotSettled})
	}
	if len(late) > 0 {
		w.let(len(late))
	}
	return begin
}

// restBetweenWords is how long nothing is looked for while no update waits.
const restBetweenWords = time.Minute

func (w *registrationQueue) untilDue(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.gatherer.NextAt()
	if !ok {
		return restBetweenWords
	}
	return at.Sub(now)
}

func (w *registrationQueue) recordEnd(took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gatherer.Done(took)
}

// answer tells the askers of an update what became of it. Its lock is held.
func (w *registrationQueue) answer(update *pendingUpdate, err error) {
	delete(w.known, update.key)
	for _, reply := range update.replies {
		reply <- err
	}
}

// carry tries a batch until each update is settled or its askers have gone, and returns
// how long that took.
func (w *registrationQueue) carry(ctx context.Context, batch []*pendingUpdate) time.Duration {
	began := w.clock.Now()
	for len(batch) > 0 {
		outcomes := w.try(ctx, batch)
		batch = w.take(ctx, batch, outcomes)
		if len(batch) == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderPause):
		}
	}
	return w.clock.Since(began)
}

// try tries until the last asker has gone.
func (w *registrationQueue) try(ctx context.Context, batch []*pendingUpdate) []error {
	last := slices.MaxFunc(batch, func(a, b *pendingUpdate) int { return a.deadline.Compare(b.deadline) })
	ctx, cancel := w.clock.WithDeadline(ctx, last.deadline)
	defer cancel()
	return w.settle(ctx, batch)
}

// take answers the updates that are settled or whose time is over, and returns the
// others.
func (w *registrationQueue) take(ctx context.Context, batch []*pendingUpdate, outcomes []error) (left []*pendingUpdate) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, update := range batch {
		err := outcomes[i]
		if err != nil && ctx.Err() == nil && !update.forwarded && update.deadline.After(now.Add(leaderPause)) {
			left = append(left, update)
			continue
		}
		if err != nil {
			err = &UnavailableError{Cause: err}
		}
		w.answer(update, err)
	}
	return left
}
