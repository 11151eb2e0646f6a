package control

import (
	"context"
	"time"

	"ledgesill.dev/ledgesill/internal/boottime"
)

const (
	// consensusRoom is how many messages of other replicas wait for the loop, orderRoom
	// how many orders and questions, and updateRoom how many batches of registration updates, of
	// which no more are under way at once than updateBatches allows. Each has a line of its
	// own, so that no number of updates keeps heartbeats, votes or operators' changes from
	// the loop.
	consensusRoom = 1024
	orderRoom     = 1024
	updateRoom    = 16
)

// arrival is an input of the loop.
type arrival struct {
	message message
	// at is when it came.
	at time.Time
	// asker ends when nobody waits for what becomes of it any more; nil for never.
	asker context.Context
}

// abandoned reports whether its asker has gone.
func (a arrival) abandoned() bool { return a.asker != nil && a.asker.Err() != nil }

// inbox holds the inputs that wait for the replica's loop.
type inbox struct {
	clock     *boottime.Clock
	consensus chan arrival
	orders    chan arrival
	updates   chan arrival
}

func newInbox() inbox {
	return inbox{
		consensus: make(chan arrival, consensusRoom),
		orders:    make(chan arrival, orderRoom),
		updates:   make(chan arrival, updateRoom),
	}
}

// line returns where a message waits.
func (i inbox) line(m message) chan arrival {
	switch m.(type) {
	case received:
		return i.consensus
	case updateBatch:
		return i.updates
	}
	return i.orders
}

// put hands a message to the loop, for which it waits until the context ends. A
// message that still waits then is not handled.
func (i inbox) put(ctx context.Context, m message) error {
	select {
	case i.line(m) <- arrival{m, i.clock.Now(), ctx}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// offer hands a message to the loop if there is room for it.
func (i inbox) offer(m message) (taken bool) {
	select {
	case i.line(m) <- arrival{message: m, at: i.clock.Now()}:
		return true
	default:
		return false
	}
}

// next returns what waits, messages of other replicas before orders and those before
// updates.
func (i inbox) next() (a arrival, ok bool) {
	for _, line := range []chan arrival{i.consensus, i.orders, i.updates} {
		select {
		case a := <-line:
			return a, true
		default:
		}
	}
	return arrival{}, false
}

// kind names an input for metrics.
func kind(m message) string {
	switch m.(type) {
	case received:
		return "consensus"
	case updateBatch:
		return "words"
	case proposal, membershipChange, bootstrap, handover:
		return "order"
	}
	return "question"
}
