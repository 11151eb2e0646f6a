package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// gatherTime is how long evidence waits for more: the runs of one target end together.
	gatherTime = 20 * time.Millisecond
	// retryPause is the wait before a replica that did not answer is told again.
	retryPause = 300 * time.Millisecond
	// maxItems bounds what a box remembers to tell: some 100 bytes each.
	maxItems = 1024
	// maxBatch bounds one call: 256 items are some 15 KB.
	maxBatch = 256
)

// Answer is a whole answer to a request that was suspected.
type Answer struct {
	Request Digest
	Caller  Caller
	At      time.Time
}

// Item is a piece of evidence: an End or an Answer.
type Item struct {
	Crash  *Crash
	Answer *Answer
}

// Batch is evidence that a replica is to be told.
type Batch struct {
	Address string
	Items   []Item
}

type outItem struct {
	Item
	at time.Time
}

// told is how much of the evidence a replica has.
type told struct {
	// next is the number of the first item that it lacks; sending is what it will lack
	// once the call under way has succeeded, zero if there is none.
	next    uint64
	sending uint64
	retryAt time.Time
}

// Outbox has each control replica told all evidence of a box, in order, until it has it:
// any replica may lead, now or next, and a box that held a request by itself gets no new
// evidence of it. It keeps evidence for Memory. The caller provides locking.
type Outbox struct {
	items []outItem
	// first is the number of the first item.
	first    uint64
	replicas map[string]*told
}

// NewOutbox returns an empty outbox.
func NewOutbox() *Outbox { return &Outbox{replicas: make(map[string]*told)} }

// Add takes an item.
func (o *Outbox) Add(now time.Time, i Item) {
	o.items = append(o.items, outItem{i, now})
	if len(o.items) > maxItems {
		o.drop(1)
	}
}

func (o *Outbox) drop(n int) {
	o.items = slices.Delete(o.items, 0, n)
	o.first += uint64(n)
}

// SetReplicas takes the addresses of the replicas; one that is new is told all.
func (o *Outbox) SetReplicas(addresses []string) {
	for _, a := range addresses {
		if o.replicas[a] == nil {
			o.replicas[a] = &told{}
		}
	}
	maps.DeleteFunc(o.replicas, func(a string, _ *told) bool { return !slices.Contains(addresses, a) })
}

// NextBatches returns what is to be told now. Each batch must be ended by Ended.
func (o *Outbox) NextBatches(now time.Time) []Batch {
	old := slices.IndexFunc(o.items, func(i outItem) bool { return now.Sub(i.at) <= EvidenceRetention })
	if old < 0 {
		old = len(o.items)
	}
	o.drop(old)
	var out []Batch
	for _, a := range slices.Sorted(maps.Keys(o.replicas)) {
		r := o.replicas[a]
		at, ok := o.dueAt(r)
		if !ok || now.Before(at) {
			continue
		}
		from := int(max(r.next, o.first) - o.first)
		to := min(from+maxBatch, len(o.items))
		b := Batch{Address: a}
		for _, i := range o.items[from:to] {
			b.Items = append(b.Items, i.Item)
		}
		r.sending = o.first + uint64(to)
		out = append(out, b)
	}
	return out
}

// dueAt is when a replica is to be told, if there is something that it lacks.
func (o *Outbox) dueAt(r *told) (at time.Time, ok bool) {
	from := max(r.next, o.first)
	if r.sending > 0 || from >= o.first+uint64(len(o.items)) {
		return at, false
	}
	return later(r.retryAt, o.items[from-o.first].at.Add(gatherTime)), true
}

// HandleResult takes how a call to a replica has ended.
func (o *Outbox) HandleResult(now time.Time, address string, ok bool) {
	r := o.replicas[address]
	if r == nil {
		return
	}
	if ok {
		r.next = r.sending
	} else {
		r.retryAt = now.Add(retryPause)
	}
	r.sending = 0
}

// NextAt returns when Due has to be asked again; zero if there is nothing to tell.
func (o *Outbox) NextAt() (next time.Time) {
	for _, r := range o.replicas {
		if at, ok := o.dueAt(r); ok && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}
