package gateway

import (
	"sync"
	"time"
)

const (
	// longAnswer is the size from which an answer counts as one that fills a
	// narrow link: 0.1 s of the narrowest link of the users (2.6 Mbit/s).
	longAnswer = 32 << 10
	// admittedWait is the part of a route's objective for which a long answer
	// may wait for the link: the rest is what a target that knows the object and the
	// way over the link take.
	admittedWait = 0.25
	// sizeWeight is the weight of one answer in the mean size of a route's.
	sizeWeight = 0.1
)

// linkQueue bounds the long answers that are asked for to what the link
// carries, so that neither they nor short answers wait for it too long. It
// reckons with the mean size of a route's answers.
type linkQueue struct {
	perByte time.Duration
	mu      sync.Mutex
	free    time.Time
	sizes   map[string]float64
}

// newLinkQueue returns a queue for a link of a number of bytes a second; zero
// for a link without a bound.
func newLinkQueue(linkBytes float64) *linkQueue {
	q := &linkQueue{sizes: make(map[string]float64)}
	if linkBytes > 0 {
		q.perByte = time.Duration(float64(time.Second) / (linkBytes * longShare))
	}
	return q
}

// booking is what was booked on the link for one answer.
type booking struct {
	queue   *linkQueue
	bytes   int64
	settled bool
}

// admit books a request's answer on the link; settle must follow. If the answer
// would wait for longer than the objective allows, it returns when there may be room.
func (q *linkQueue) admit(now time.Time, route string, objective time.Duration) (b *booking, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b = &booking{queue: q}
	size := q.sizes[route]
	if size < longAnswer {
		return b, 0, true
	}
	if q.free.Before(now) {
		q.free = now
	}
	wait = q.free.Sub(now)
	if wait > time.Duration(admittedWait*float64(objective)) {
		return b, wait, false
	}
	b.bytes = int64(size)
	q.free = q.free.Add(time.Duration(size) * q.perByte)
	return b, 0, true
}

// settle puts the size of the answer, zero if none came, in the place of what was
// booked: of downloads whose sizes spread by 0.6 more would be let in than the link
// carries: the slowest takes 6.7 s then, 4.1 s so. Only the first call counts.
func (b *booking) settle(now time.Time, size int64) {
	q := b.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if b.settled {
		return
	}
	b.settled = true
	if b.bytes == 0 && size < longAnswer {
		return
	}
	if q.free.Before(now) {
		q.free = now
	}
	q.free = q.free.Add(time.Duration(size-b.bytes) * q.perByte)
}

// note takes the size of an answer.
func (q *linkQueue) note(route string, size int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	mean, known := q.sizes[route]
	if !known {
		q.sizes[route] = float64(size)
		return
	}
	q.sizes[route] = mean + sizeWeight*(float64(size)-mean)
}
