package control

import (
	"context"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
)

const (
	// consensusQueueSize bounds the queued messages of other replicas, requestQueueSize the queued
	// requests, and updateQueueSize the queued batches of registration updates, of which at most
	// as many are in flight as updateBatches allows. The queues are separate so that no number of
	// updates delays heartbeats, votes or operators' changes.
	consensusQueueSize = 1024
	requestQueueSize   = 1024
	updateQueueSize    = 16
)

// queuedMessage is an input that waits for the loop.
type queuedMessage struct {
	message  message
	queuedAt time.Time
	// caller ends when nobody waits for the result any longer. It is nil for messages without a
	// caller.
	caller context.Context
}

// abandoned reports whether the caller has stopped waiting.
func (a queuedMessage) abandoned() bool { return a.caller != nil && a.caller.Err() != nil }

// inbox holds the inputs that wait for the replica's loop.
type inbox struct {
	clock     *boottime.Clock
	consensus chan queuedMessage
	requests  chan queuedMessage
	updates   chan queuedMessage
}

func newInbox() inbox {
	return inbox{
		consensus: make(chan queuedMessage, consensusQueueSize),
		requests:  make(chan queuedMessage, requestQueueSize),
		updates:   make(chan queuedMessage, updateQueueSize),
	}
}

// queue returns the queue for a message.
func (i inbox) queue(m message) chan queuedMessage {
	switch m.(type) {
	case receivedMessage:
		return i.consensus
	case updateBatch:
		return i.updates
	}
	return i.requests
}

// put queues a message and blocks until there is space or the context ends. A message still queued
// when its context ends is not handled.
func (i inbox) put(ctx context.Context, m message) error {
	select {
	case i.queue(m) <- queuedMessage{m, i.clock.Now(), ctx}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryPut queues a message if there is space, and reports whether it did.
func (i inbox) tryPut(m message) (queued bool) {
	select {
	case i.queue(m) <- queuedMessage{message: m, queuedAt: i.clock.Now()}:
		return true
	default:
		return false
	}
}

// next returns the next queued message: messages of other replicas first, then requests, then
// updates.
func (i inbox) next() (a queuedMessage, ok bool) {
	for _, queue := range []chan queuedMessage{i.consensus, i.requests, i.updates} {
		select {
		case a := <-queue:
			return a, true
		default:
		}
	}
	return queuedMessage{}, false
}

// inputKind returns the label value of an input for metrics.
func inputKind(m message) string {
	switch m.(type) {
	case receivedMessage:
		return "consensus"
	case updateBatch:
		return "words"
	case proposal, membershipChange, bootstrap, leadershipTransfer:
		return "order"
	}
	return "question"
}
