// Package batch gathers items that come one by one into batches, so that what is
// done once for a batch is not done for each item. A Gatherer is a state machine
// without I/O: it takes the present time and what has come or ended, and returns
// the batch to begin next.
//
// Under little load an item is begun at once, by itself. Under load batches grow
// with what comes while others are under way. Items whose askers would have gone
// before they could be settled are let go before anything is done for them, so that
// work does not grow by its own delay, and one that could not be settled in time is
// turned away at once.
package batch

import (
	"fmt"
	"slices"
	"time"
)

// Config bounds a Gatherer.
type Config struct {
	// MaxItems is how many items a batch has at most.
	MaxItems int
	// MaxInFlight is how many batches are under way at once while they take Quick at
	// most. Where they take longer there are fewer, in proportion, at least one: what
	// is under way then is still what is done in MaxInFlight times Quick.
	MaxInFlight     int
	NominalDuration time.Duration
	// MinInterval is the least time between the begins of two batches of which the
	// second is not full.
	MinInterval time.Duration
	// MinTimeLeft is the time with which an item is begun at least, or less if batches
	// are quicker.
	MinTimeLeft time.Duration
}

// BusyError says that an item could not be settled while its asker waits.
type BusyError struct {
	// Queued is how many items wait before it.
	Queued int
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d others wait before it; room is expected in %s", e.Queued, e.RetryAfter)
}

// item is one that waits.
type item[T any] struct {
	value    T
	deadline time.Time
}

// Batcher gathers items. It is not safe for concurrent use.
type Batcher[T any] struct {
	config   Config
	waiting  []item[T]
	underWay int
	// beganAt is when a batch was begun last.
	beganAt time.Time
	// took is how long batches take, as learned from those that have ended.
	took time.Duration
}

// New returns a gatherer without items.
func New[T any](c Config) *Batcher[T] { return &Batcher[T]{config: c} }

// learnWeight is the weight of a batch in the time that batches are thought to take:
// most of it is that of the last five. Other weights were not tried.
const learnWeight = 0.3

// Add takes an item that is to be settled by a deadline. The error is a BusyError.
// While less than a batch waits every item is taken, so that what batches take is
// learned anew.
func (g *Batcher[T]) Add(now time.Time, value T, deadline time.Time) error {
	if n := len(g.waiting); n >= g.config.MaxItems {
		if wait := g.expected(n); now.Add(wait).After(deadline) {
			return &BusyError{Queued: n, RetryAfter: wait - g.took}
		}
	}
	g.waiting = append(g.waiting, item[T]{value, deadline})
	return nil
}

// expected is when an item with so many before it will be settled.
func (g *Batcher[T]) expected(before int) time.Duration {
	rounds := 1 + float64(before)/float64(g.config.MaxItems*g.allowed())
	return time.Duration(rounds * float64(g.took))
}

// allowed is how many batches may be under way.
func (g *Batcher[T]) allowed() int {
	if g.took <= g.config.NominalDuration {
		return g.config.MaxInFlight
	}
	return max(int(float64(g.config.MaxInFlight)*float64(g.config.NominalDuration)/float64(g.took)), 1)
}

// Queued is how many items wait.
func (g *Batcher[T]) Queued() int { return len(g.waiting) }

// Next returns the batch to begin now, if there is one, and the items that are let go
// as their askers go too soon. Ended must follow for each batch.
func (g *Batcher[T]) Next(now time.Time) (begin, late []T) {
	late = g.letGo(now)
	if len(g.waiting) == 0 || g.underWay >= g.allowed() || now.Before(g.due()) {
		return nil, late
	}
	n := min(len(g.waiting), g.config.MaxItems)
	for _, i := range g.waiting[:n] {
		begin = append(begin, i.value)
	}
	g.waiting = slices.Delete(g.waiting, 0, n)
	g.underWay++
	g.beganAt = now
	return begin, late
}

func (g *Batcher[T]) letGo(now time.Time) (late []T) {
	least := now.Add(min(g.took, g.config.MinTimeLeft))
	g.waiting = slices.DeleteFunc(g.waiting, func(i item[T]) bool {
		if i.deadline.After(least) {
			return false
		}
		late = append(late, i.value)
		return true
	})
	return late
}

// NextAt returns when a batch may begin next if none ends before; ok is false if that
// takes the end of one, or an item.
func (g *Batcher[T]) NextAt() (at time.Time, ok bool) {
	if len(g.waiting) == 0 || g.underWay >= g.allowed() {
		return time.Time{}, false
	}
	return g.due(), true
}

func (g *Batcher[T]) due() time.Time {
	if len(g.waiting) >= g.config.MaxItems {
		return g.beganAt
	}
	return g.beganAt.Add(g.config.MinInterval)
}

// Done takes that a batch has ended that took so long.
func (g *Batcher[T]) Done(took time.Duration) {
	g.underWay--
	if g.took == 0 {
		g.took = took
		return
	}
	g.took += time.Duration(learnWeight * float64(took-g.took))
}
