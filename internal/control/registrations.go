package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
	"ledgesill.dev/ledgesill/internal/lockorder"
	"ledgesill.dev/ledgesill/pkg/batch"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// updateBatches bounds the resources that registration updates use at a replica. An update in a
// batch of its own costs the leader a message to each of eight replicas, their answers and a call;
// a larger batch pays that once. An operator's document waits at most behind the batches in
// flight, so batches of more than MinItems are formed only while updates themselves take little time:
// each update is about 130 bytes, MaxItems of them less than may be in flight to a replica. NominalDuration and MinTimeLeft allow for a round trip between regions to the leader,
// one to a quorum and a sync. MinInterval equals the interval of updates to subscribers (package
// relay): committing an update sooner would not publish it sooner.
var updateBatches = batch.Config{
	MaxItems:        1024,
	MinItems:        64,
	MaxInFlight:     4,
	NominalDuration: 150 * time.Millisecond,
	MinInterval:     40 * time.Millisecond,
	MinTimeLeft:     150 * time.Millisecond,
}

// pendingUpdate is a registration update whose callers wait for the outcome.
type pendingUpdate struct {
	key     updateKey
	command *wire.RegistrationCommand
	// deadline is when the first caller gives up. A caller that joined later and still waits then
	// submits the update again.
	deadline time.Time
	// forwarded is set if another replica forwarded the update. It is not forwarded again.
	forwarded bool
	// replies have capacity for one outcome each. The lock of the queue guards them.
	replies []chan<- error
}

// updateKey identifies an update that is submitted again while it is pending.
type updateKey struct {
	id         string
	startMilli int64
	sequence   uint64
	leave      bool
	// forwarded keeps updates from other replicas apart from those submitted here, since only the
	// latter are forwarded.
	forwarded bool
}

func newUpdateKey(c *wire.RegistrationCommand, forwarded bool) updateKey {
	r := c.Registration
	return updateKey{r.Id, r.BornUnixMilli, r.Sequence, c.Leave, forwarded}
}

// registrationQueue has the leader commit registration updates in batches. An update that is
// submitted again while it is pending is committed once.
type registrationQueue struct {
	// commit attempts to commit a batch and returns the outcome of each update.
	commit func(ctx context.Context, batch []*pendingUpdate) []error
	// onExpired is called with the number of updates dropped because their callers gave up.
	onExpired func(count int)

	mu      lockorder.Mutex
	batcher *batch.Batcher[*pendingUpdate]
	pending map[updateKey]*pendingUpdate
	clock   *boottime.Clock
	// wakeup holds a token when a batch may start.
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

// errNotCommitted reports that no leader committed an update before its deadline.
var errNotCommitted = errors.New("not settled in time")

// submit queues an update and waits for its outcome until the context ends. The error is that of
// the last attempt, a batch.BusyError or the context's error.
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

// defaultUpdateTimeout bounds the attempts to commit an update if the caller's context has no
// deadline.
const defaultUpdateTimeout = 4 * time.Second

// enqueue queues an update. Its outcome is sent on the returned channel.
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
	if existing := q.pending[key]; existing != nil {
		existing.replies = append(existing.replies, reply)
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

// run starts batches until the context ends, and then waits for those in flight.
func (q *registrationQueue) run(ctx context.Context) error {
	ended := make(chan endedBatch)
	inFlight := 0
	for {
		for {
			batch := q.next(q.clock.Now())
			if len(batch) == 0 {
				break
			}
			inFlight++
			go func() { ended <- endedBatch{len(batch), q.runBatch(ctx, batch)} }()
		}
		timer := time.NewTimer(q.untilNext(q.clock.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			for range inFlight {
				<-ended
			}
			return ctx.Err()
		case <-q.wakeup:
		case <-timer.C:
		case e := <-ended:
			inFlight--
			q.recordDone(e)
		}
		timer.Stop()
	}
}

// next returns the batch to start now and fails the updates whose deadline is too close.
func (q *registrationQueue) next(now time.Time) []*pendingUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	ready, expired := q.batcher.Next(now)
	for _, update := range expired {
		q.answer(update, &UnavailableError{Cause: errNotCommitted})
	}
	if len(expired) > 0 {
		q.onExpired(len(expired))
	}
	return ready
}

// idleInterval is the timer interval while no update is queued.
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

// endedBatch is the size of a batch that has ended and how long it took.
type endedBatch struct {
	items int
	took  time.Duration
}

func (q *registrationQueue) recordDone(e endedBatch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.batcher.Done(e.items, e.took)
}

// answer sends the outcome of an update to its callers. The lock is held.
func (q *registrationQueue) answer(update *pendingUpdate, err error) {
	delete(q.pending, update.key)
	for _, reply := range update.replies {
		reply <- err
	}
}

// runBatch attempts to commit a batch until every update is answered, and returns how long that
// took.
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

// commitOnce makes one attempt, bounded by the latest deadline in the batch.
func (q *registrationQueue) commitOnce(ctx context.Context, batch []*pendingUpdate) []error {
	last := slices.MaxFunc(batch, func(a, b *pendingUpdate) int { return a.deadline.Compare(b.deadline) })
	ctx, cancel := q.clock.WithDeadline(ctx, last.deadline)
	defer cancel()
	return q.commit(ctx, batch)
}

// resolve answers the updates that are committed or will not be retried, and returns the others. An
// update is not retried if another replica forwarded it, its deadline is too close or the context
// has ended.
func (q *registrationQueue) resolve(ctx context.Context, batch []*pendingUpdate, outcomes []error) (remaining []*pendingUpdate) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, update := range batch {
		err := outcomes[i]
		if err != nil && ctx.Err() == nil && !update.forwarded && update.deadline.After(now.Add(leaderRetryDelay)) {
			remaining = append(remaining, update)
			continue
		}
		if err != nil {
			err = &UnavailableError{Cause: err}
		}
		q.answer(update, err)
	}
	return remaining
}
