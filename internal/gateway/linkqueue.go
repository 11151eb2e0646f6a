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
	// assumedLong is the size, in bytes, of a download until one was measured: 0.2 s of the
	// narrowest link of the users. A box that starts while callers come back would else
	// let in downloads that fill its link for seconds, and hear nothing of control.
	assumedLong = 64 << 10
)

// linkQueue bounds the long answers that are asked for to what the link
// carries, so that neither they nor short answers wait for it too long. It
// reckons with the mean size of a route's answers.
type linkQueue struct {
	perByte time.Duration
	mu      sync.Mutex
	free    time.Time
	sizes   map[string]answerSize
}

// answerSize is the mean size of a route's answers in bytes, assumed until one was measured.
type answerSize struct {
	mean    float64
	assumed bool
}

// newLinkQueue returns a queue for a link of a number of bytes a second; zero
// for a link without a bound.
func newLinkQueue(linkBytes float64) *linkQueue {
	q := &linkQueue{sizes: make(map[string]answerSize)}
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
	size := q.sizes[route].mean
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
	known, ok := q.sizes[route]
	if !ok || known.assumed {
		q.sizes[route] = answerSize{mean: float64(size)}
		return
	}
	q.sizes[route] = answerSize{mean: known.mean + sizeWeight*(float64(size)-known.mean)}
}

// assumeLong has routes of which no answer was measured count as long.
func (q *linkQueue) assumeLong(routes []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range routes {
		if _, known := q.sizes[name]; !known {
			q.sizes[name] = answerSize{mean: assumedLong, assumed: true}
		}
	}
}
