package gateway

import (
	"sync"
	"time"
)

const (
	// minLargeResponse is the size from which an answer counts as one that fills a
	// narrow link: 0.1 s of the narrowest link of the users (2.6 Mbit/s).
	minLargeResponse = 32 << 10
	// maxQueueShare is the part of a route's objective for which a long answer
	// may wait for the link: the rest is what a target that knows the object and the
	// way over the link take.
	maxQueueShare = 0.25
	// sizeSmoothing is the weight of one answer in the mean size of a route's.
	sizeSmoothing = 0.1
	// assumedDownloadSize is the size, in bytes, of a download until one was measured: 0.2 s of the
	// narrowest link of the users. A box that starts while callers come back would else
	// let in downloads that fill its link for seconds, and hear nothing of control.
	assumedDownloadSize = 64 << 10
)

// linkQueue bounds the long answers that are asked for to what the link
// carries, so that neither they nor short answers wait for it too long. It
// reckons with the mean size of a route's answers.
type linkQueue struct {
	timePerByte time.Duration
	mu          sync.Mutex
	nextFree    time.Time
	sizes       map[string]responseSize
}

// responseSize is the mean size of a route's answers in bytes, assumed until one was measured.
type responseSize struct {
	mean    float64
	assumed bool
}

// newLinkQueue returns a queue for a link of a number of bytes a second; zero
// for a link without a bound.
func newLinkQueue(linkBytes float64) *linkQueue {
	q := &linkQueue{sizes: make(map[string]responseSize)}
	if linkBytes > 0 {
		q.timePerByte = time.Duration(float64(time.Second) / (linkBytes * largeResponseShare))
	}
	return q
}

// reservation is what was booked on the link for one answer.
type reservation struct {
	queue   *linkQueue
	bytes   int64
	settled bool
}

// admit books a request's answer on the link; settle must follow. If the answer
// would wait for longer than the objective allows, it returns when there may be room.
func (q *linkQueue) admit(now time.Time, route string, objective time.Duration) (b *reservation, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b = &reservation{queue: q}
	size := q.sizes[route].mean
	if size < minLargeResponse {
		return b, 0, true
	}
	if q.nextFree.Before(now) {
		q.nextFree = now
	}
	wait = q.nextFree.Sub(now)
	if wait > time.Duration(maxQueueShare*float64(objective)) {
		return b, wait, false
	}
	b.bytes = int64(size)
	q.nextFree = q.nextFree.Add(time.Duration(size) * q.timePerByte)
	return b, 0, true
}

// settle puts the size of the answer, zero if none came, in the place of what was
// booked: of downloads whose sizes spread by 0.6 more would be let in than the link
// carries: the slowest takes 6.7 s then, 4.1 s so. Only the first call counts.
func (b *reservation) settle(now time.Time, size int64) {
	q := b.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if b.settled {
		return
	}
	b.settled = true
	if b.bytes == 0 && size < minLargeResponse {
		return
	}
	if q.nextFree.Before(now) {
		q.nextFree = now
	}
	q.nextFree = q.nextFree.Add(time.Duration(size-b.bytes) * q.timePerByte)
}

// recordSize takes the size of an answer.
func (q *linkQueue) recordSize(route string, size int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known, ok := q.sizes[route]
	if !ok || known.assumed {
		q.sizes[route] = responseSize{mean: float64(size)}
		return
	}
	q.sizes[route] = responseSize{mean: known.mean + sizeSmoothing*(float64(size)-known.mean)}
}

// assumeLarge has routes of which no answer was measured count as long.
func (q *linkQueue) assumeLarge(routes []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range routes {
		if _, known := q.sizes[name]; !known {
			q.sizes[name] = responseSize{mean: assumedDownloadSize, assumed: true}
		}
	}
}
