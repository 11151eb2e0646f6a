package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// batchDelay is how long evidence waits to be sent together with more: the runs of one
	// target end at the same time.
	batchDelay = 20 * time.Millisecond
	// retryPause is the wait before evidence is sent again to a replica that did not answer.
	retryPause = 300 * time.Millisecond
	// maxItems bounds the items that a box stores, at about 100 bytes each.
	maxItems = 1024
	// maxBatch bounds the items of one call: 256 of them are about 15 KB.
	maxBatch = 256
)

// Answer is a complete answer to a suspected request.
type Answer struct {
	Request Digest
	Caller  Caller
	At      time.Time
}

// Item is one piece of evidence: either a Crash or an Answer.
type Item struct {
	Crash  *Crash
	Answer *Answer
}

// Batch is evidence to be sent to one replica.
type Batch struct {
	Address string
	Items   []Item
}

type queuedItem struct {
	Item
	addedAt time.Time
}

// replicaProgress tracks how much of the evidence a replica has.
type replicaProgress struct {
	// next is the number of the first item that the replica lacks. inFlight is the value
	// that next will get when the call in flight succeeds, zero if there is no call.
	next     uint64
	inFlight uint64
	retryAt  time.Time
}

// Outbox delivers all evidence of a box to each control replica, in order and until the
// replica has it. Any replica may lead, now or later, and a box that quarantined a request
// by itself gets no new evidence of it. Evidence is kept for EvidenceRetention. The caller
// provides locking.
type Outbox struct {
	items []queuedItem
	// first is the number of the first item.
	first    uint64
	replicas map[string]*replicaProgress
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{replicas: make(map[string]*replicaProgress)} }

// Add appends an item.
func (o *Outbox) Add(now time.Time, i Item) {
	o.items = append(o.items, queuedItem{i, now})
	if len(o.items) > maxItems {
		o.dropFirst(1)
	}
}

func (o *Outbox) dropFirst(n int) {
	o.items = slices.Delete(o.items, 0, n)
	o.first += uint64(n)
}

// SetReplicas sets the addresses of the replicas. A new replica is sent all evidence.
func (o *Outbox) SetReplicas(addresses []string) {
	for _, a := range addresses {
		if o.replicas[a] == nil {
			o.replicas[a] = &replicaProgress{}
		}
	}
	maps.DeleteFunc(o.replicas, func(a string, _ *replicaProgress) bool { return !slices.Contains(addresses, a) })
}

// NextBatches returns the batches to send now. HandleResult must be called for each.
func (o *Outbox) NextBatches(now time.Time) []Batch {
	expired := slices.IndexFunc(o.items, func(i queuedItem) bool { return now.Sub(i.addedAt) <= EvidenceRetention })
	if expired < 0 {
		expired = len(o.items)
	}
	o.dropFirst(expired)
	var out []Batch
	for _, a := range slices.Sorted(maps.Keys(o.replicas)) {
		r := o.replicas[a]
		at, ok := o.nextAttempt(r)
		if !ok || now.Before(at) {
			continue
		}
		from := int(max(r.next, o.first) - o.first)
		to := min(from+maxBatch, len(o.items))
		b := Batch{Address: a}
		for _, i := range o.items[from:to] {
			b.Items = append(b.Items, i.Item)
		}
		r.inFlight = o.first + uint64(to)
		out = append(out, b)
	}
	return out
}

// nextAttempt returns when to call a replica, if there are items that it lacks.
func (o *Outbox) nextAttempt(r *replicaProgress) (at time.Time, ok bool) {
	from := max(r.next, o.first)
	if r.inFlight > 0 || from >= o.first+uint64(len(o.items)) {
		return at, false
	}
	return later(r.retryAt, o.items[from-o.first].addedAt.Add(batchDelay)), true
}

// HandleResult records the result of a call to a replica.
func (o *Outbox) HandleResult(now time.Time, address string, ok bool) {
	r := o.replicas[address]
	if r == nil {
		return
	}
	if ok {
		r.next = r.inFlight
	} else {
		r.retryAt = now.Add(retryPause)
	}
	r.inFlight = 0
}

// NextAt returns when to call NextBatches again, or zero if there is nothing to send.
func (o *Outbox) NextAt() (next time.Time) {
	for _, r := range o.replicas {
		if at, ok := o.nextAttempt(r); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
