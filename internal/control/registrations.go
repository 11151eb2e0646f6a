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
// once. What is under way is what an operator's document waits behind at most. NominalDuration
// and MinTimeLeft are a round trip between regions to the leader, one to a quorum and a sync.
// MinInterval is that of updates to subscribers (package relay): settled sooner, an update
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

func newUpdateKey(c *wire.RegistrationCommand, forwarded bool) updateKey {
	r := c.Registration
	return updateKey{r.Id, r.BornUnixMilli, r.Sequence, c.Leave, forwarded}
}

// registrationQueue has registration updates settled by the leader, in batches. A update that is told
// again while it waits is settled once.
type registrationQueue struct {
	// commit tries to have updates settled and returns the outcome of each.
	commit func(ctx context.Context, batch []*pendingUpdate) []error
	// onExpired is told of updates that are onExpired go as their askers had gone.
	onExpired func(count int)

	mu      sync.Mutex
	batcher *batch.Batcher[*pendingUpdate]
	pending map[updateKey]*pendingUpdate
	clock   *boottime.Clock
	// wakeup holds a token when a batch may begin.
	wakeup chan struct{}
}

func newRegistrationQueue() *registrationQueue {
	return &registrationQueue{
		batcher:   batch.New[*pendingUpdate](updateBatches),
		pending:   make(map[updateKey]*pendingUpdate),
		wakeup:    make(chan struct{}, 1),
		onExpired: func(int) {},
	}
}

// errNotCommitted says that no leader settled an update while its asker waited.
var errNotCommitted = errors.New("not settled in time")

// submit has an update settled and waits for it until the context ends. The error is that
// of the last try, a batch.BusyError or the context's.
func (q *registrationQueue) submit(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) error {
	reply, err := q.enqueue(ctx, c, forwarded)
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

// defaultUpdateTimeout bounds how long an update is tried for an asker that names no time.
const defaultUpdateTimeout = 4 * time.Second

// enqueue has an update settled; what becomes of it comes on the channel.
func (q *registrationQueue) enqueue(ctx context.Context, c *wire.RegistrationCommand, forwarded bool) (<-chan error, error) {
	now := q.clock.Now()
	deadline, ok := q.clock.Deadline(ctx)
	if !ok {
		deadline = now.Add(defaultUpdateTimeout)
	}
	reply := make(chan error, 1)
	q.mu.Lock()
	defer q.mu.Unlock()
	key := newUpdateKey(c, forwarded)
	if known := q.pending[key]; known != nil {
		known.replies = append(known.replies, reply)
		return reply, nil
	}
	update := &pendingUpdate{key: key, command: c, deadline: deadline, forwarded: forwarded, replies: []chan<- error{reply}}
	if err := q.batcher.Add(now, update, deadline); err != nil {
		return nil, err
	}
	q.pending[key] = update
	q.wake()
	return reply, nil
}

func (q *registrationQueue) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// run begins batches until the context ends, and waits for those under way.
func (q *registrationQueue) run(ctx context.Context) error {
	ended := make(chan time.Duration)
	underWay := 0
	for {
		for {
			begin := q.next(q.clock.Now())
			if len(begin) == 0 {
				break
			}
			underWay++
			go func() { ended <- q.runBatch(ctx, begin) }()
		}
		timer := time.NewTimer(q.untilNext(q.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			for range underWay {
				<-ended
			}
			return ctx.Err()
		case <-q.wakeup:
		case <-timer.C:
		case took := <-ended:
			underWay--
			q.recordDone(took)
		}
		timer.Stop()
	}
}

// next returns the batch to begin now and answers the updates that are let go.
func (q *registrationQueue) next(now time.Time) []*pendingUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	begin, late := q.batcher.Next(now)
	for _, update := range late {
		q.answer(update, &UnavailableError{Cause: errNotCommitted})
	}
	if len(late) > 0 {
		q.onExpired(len(late))
	}
	return begin
}

// idleInterval is how long nothing is looked for while no update waits.
const idleInterval = time.Minute

func (q *registrationQueue) untilNext(now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, ok := q.batcher.NextAt()
	if !ok {
		return idleInterval
	}
	return at.Sub(now)
}

func (q *registrationQueue) recordDone(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batcher.Done(took)
}

// answer tells the askers of an update what became of it. Its lock is held.
func (q *registrationQueue) answer(update *pendingUpdate, err error) {
	delete(q.pending, update.key)
	for _, reply := range update.replies {
		reply <- err
	}
}

// runBatch tries a batch until each update is settled or its askers have gone, and returns
// how long that took.
func (q *registrationQueue) runBatch(ctx context.Context, batch []*pendingUpdate) time.Duration {
	began := q.clock.Now()
	for len(batch) > 0 {
		outcomes := q.commitOnce(ctx, batch)
		batch = q.resolve(ctx, batch, outcomes)
		if len(batch) == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderRetryDelay):
		}
	}
	return q.clock.Since(began)
}

// commitOnce tries until the last asker has gone.
func (q *registrationQueue) commitOnce(ctx context.Context, batch []*pendingUpdate) []error {
	last := slices.MaxFunc(batch, func(a, b *pendingUpdate) int { return a.deadline.Compare(b.deadline) })
	ctx, cancel := q.clock.WithDeadline(ctx, last.deadline)
	defer cancel()
	return q.commit(ctx, batch)
}

// resolve answers the updates that are settled or whose time is over, and returns the
// others.
func (q *registrationQueue) resolve(ctx context.Context, batch []*pendingUpdate, outcomes []error) (left []*pendingUpdate) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, update := range batch {
		err := outcomes[i]
		if err != nil && ctx.Err() == nil && !update.forwarded && update.deadline.After(now.Add(leaderRetryDelay)) {
			left = append(left, update)
			continue
		}
		if err != nil {
			err = &UnavailableError{Cause: err}
		}
		q.answer(update, err)
	}
	return left
}
