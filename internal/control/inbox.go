package control

import (
	"context"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
)

const (
	// consensusQueueSize is how many messages of other replicas wait for the loop, orderRoom
	// how many orders and questions, and updateRoom how many batches of registration updates, of
	// which no more are under way at once than updateBatches allows. Each has a line of its
	// own, so that no number of updates keeps heartbeats, votes or operators' changes from
	// the loop.
	consensusQueueSize = 1024
	requestQueueSize   = 1024
	updateQueueSize    = 16
)

// queuedMessage is an input of the loop.
type queuedMessage struct {
	message message
	// queuedAt is when it came.
	queuedAt time.Time
	// caller ends when nobody waits for what becomes of it any more; nil for never.
	caller context.Context
}

// abandoned reports whether its asker has gone.
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

// queue returns where a message waits.
func (i inbox) queue(m message) chan queuedMessage {
	switch m.(type) {
	case receivedMessage:
		return i.consensus
	case updateBatch:
		return i.updates
	}
	return i.requests
}

// put hands a message to the loop, for which it waits until the context ends. A
// message that still waits then is not handled.
func (i inbox) put(ctx context.Context, m message) error {
	select {
	case i.queue(m) <- queuedMessage{m, i.clock.Now(), ctx}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryPut hands a message to the loop if there is room for it.
func (i inbox) tryPut(m message) (taken bool) {
	select {
	case i.queue(m) <- queuedMessage{message: m, queuedAt: i.clock.Now()}:
		return true
	default:
		return false
	}
}

// next returns what waits, messages of other replicas before orders and those before
// updates.
func (i inbox) next() (a queuedMessage, ok bool) {
	for _, line := range []chan queuedMessage{i.consensus, i.requests, i.updates} {
		select {
		case a := <-line:
			return a, true
		default:
		}
	}
	return queuedMessage{}, false
}

// inputKind names an input for metrics.
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
