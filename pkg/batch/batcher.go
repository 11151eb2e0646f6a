// Package batch groups items that arrive one by one into batches, so that the
// fixed cost of an operation is paid once per batch. A Batcher is a state machine
// without I/O: it is given the time, new items and completed batches, and returns
// the batch to start next.
//
// Under low load an item starts at once in a batch of its own. Under load batches
// grow with the items that arrive while others are in flight. An item that can't
// complete before its deadline is refused when it is added, and one whose deadline
// comes too close while it is queued is removed before any work is done for it, so
// that delays do not cause useless work and thereby more delay.
package batch

import (
	"fmt"
	"slices"
	"time"
)

// Config sets the limits of a Batcher.
type Config struct {
	// MaxItems is the maximum number of items in a batch, and MinItems the number up to
	// which a batch always takes what is queued; zero for MaxItems. In between, batches
	// grow as long as their items take little of NominalDuration.
	MaxItems int
	MinItems int
	// MaxInFlight is the maximum number of batches in flight while they take no longer
	// than NominalDuration. If they take longer the maximum is reduced in proportion,
	// down to one, so that the backlog in flight stays at MaxInFlight times
	// NominalDuration.
	MaxInFlight     int
	NominalDuration time.Duration
	// MinInterval is the minimum time between the starts of two batches if the second
	// is not full.
	MinInterval time.Duration
	// MinTimeLeft is the minimum time before its deadline with which an item is
	// started, or the average duration of a batch if that is shorter.
	MinTimeLeft time.Duration
}

// BusyError says that an item can't complete before its deadline.
type BusyError struct {
	// Queued is the number of items ahead of it.
	Queued int
	// RetryAfter is the expected time until there is capacity.
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d others wait before it; room is expected in %s", e.Queued, e.RetryAfter)
}

// item is a queued item.
type item[T any] struct {
	value    T
	deadline time.Time
}

// Batcher groups items into batches. It is not safe for concurrent use.
type Batcher[T any] struct {
	config   Config
	queue    []item[T]
	inFlight int
	// lastStart is when the latest batch was started.
	lastStart time.Time
	// averageDuration is the moving average of the durations of completed batches.
	averageDuration time.Duration
	sizer           sizer
}

// New returns a batcher without items.
func New[T any](c Config) *Batcher[T] { return &Batcher[T]{config: c, sizer: newSizer(c)} }

func (c Config) minItems() int {
	if c.MinItems <= 0 {
		return c.MaxItems
	}
	return min(c.MinItems, c.MaxItems)
}

// averageWeight is the weight of the latest batch in the moving average. The last five
// batches together have a weight of 0.83.
const averageWeight = 0.3

// Add queues an item that has to complete by the deadline, or returns a BusyError.
// While less than MinItems are queued every item is accepted, so that the average
// duration keeps being updated.
func (b *Batcher[T]) Add(now time.Time, value T, deadline time.Time) error {
	if n := len(b.queue); n >= b.config.minItems() {
		if wait := b.expectedWait(n); now.Add(wait).After(deadline) {
			return &BusyError{Queued: n, RetryAfter: wait - b.averageDuration}
		}
	}
	b.queue = append(b.queue, item[T]{value, deadline})
	return nil
}

// expectedWait returns the expected time until an item with the given number of items
// ahead of it completes.
func (b *Batcher[T]) expectedWait(ahead int) time.Duration {
	rounds := 1 + float64(ahead)/float64(b.sizer.limit*b.maxInFlight())
	return time.Duration(rounds * float64(b.averageDuration))
}

// maxInFlight returns how many batches may be in flight at present.
func (b *Batcher[T]) maxInFlight() int {
	if b.averageDuration <= b.config.NominalDuration {
		return b.config.MaxInFlight
	}
	return max(int(float64(b.config.MaxInFlight)*float64(b.config.NominalDuration)/float64(b.averageDuration)), 1)
}

// Queued returns the number of queued items.
func (b *Batcher[T]) Queued() int { return len(b.queue) }

// Next returns the batch to start now, if any, and the items removed because their
// deadline is too close. Done must be called when the batch has completed.
func (b *Batcher[T]) Next(now time.Time) (batch, expired []T) {
	expired = b.removeExpired(now)
	if len(b.queue) == 0 || b.inFlight >= b.maxInFlight() || now.Before(b.earliestStart()) {
		return nil, expired
	}
	n := min(len(b.queue), b.sizer.next())
	for _, i := range b.queue[:n] {
		batch = append(batch, i.value)
	}
	b.queue = slices.Delete(b.queue, 0, n)
	b.inFlight++
	b.lastStart = now
	return batch, expired
}

func (b *Batcher[T]) removeExpired(now time.Time) (expired []T) {
	earliest := now.Add(min(b.averageDuration, b.config.MinTimeLeft))
	b.queue = slices.DeleteFunc(b.queue, func(i item[T]) bool {
		if i.deadline.After(earliest) {
			return false
		}
		expired = append(expired, i.value)
		return true
	})
	return expired
}

// NextAt returns when the next batch may start; ok is false if that depends on a new
// item or the completion of a batch.
func (b *Batcher[T]) NextAt() (at time.Time, ok bool) {
	if len(b.queue) == 0 || b.inFlight >= b.maxInFlight() {
		return time.Time{}, false
	}
	return b.earliestStart(), true
}

func (b *Batcher[T]) earliestStart() time.Time {
	if len(b.queue) >= b.config.minItems() {
		return b.lastStart
	}
	return b.lastStart.Add(b.config.MinInterval)
}

// Done records that a batch of a number of items has completed, and how long it took.
func (b *Batcher[T]) Done(items int, took time.Duration) {
	b.inFlight--
	b.sizer.record(items, took)
	if b.averageDuration == 0 {
		b.averageDuration = took
		return
	}
	b.averageDuration += time.Duration(averageWeight * float64(took-b.averageDuration))
}
