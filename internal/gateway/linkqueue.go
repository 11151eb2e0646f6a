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

// admit books a request's answer on the link. If the answer would wait for
// longer than the objective allows, it returns when there may be room.
func (q *linkQueue) admit(now time.Time, route string, objective time.Duration) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := q.sizes[route]
	if size < longAnswer {
		return 0, true
	}
	if q.free.Before(now) {
		q.free = now
	}
	wait = q.free.Sub(now)
	if wait > time.Duration(admittedWait*float64(objective)) {
		return wait, false
	}
	q.free = q.free.Add(time.Duration(size) * q.perByte)
	return 0, true
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
