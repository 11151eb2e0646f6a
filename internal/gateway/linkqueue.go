package gateway

import (
	"time"

	"ledgesill.dev/ledgesill/internal/lockorder"
)

const (
	// minLargeResponse is the size from which a response counts as large: 0.1 s of the narrowest
	// link of the users (2.6 Mbit/s).
	minLargeResponse = 32 << 10
	// maxQueueShare is the fraction of a route's objective for which a large response may wait for
	// the link. The rest is needed by a target that has the object cached and by the transfer
	// itself.
	maxQueueShare = 0.25
	// sizeSmoothing is the weight of one response in the exponential moving average of a route's
	// sizes.
	sizeSmoothing = 0.1
	// assumedDownloadSize is the size, in bytes, of a download until one was measured: 0.2 s of the
	// narrowest link of the users. Without it a box that starts while callers come back would admit
	// downloads that fill its link for seconds, and lose contact with control.
	assumedDownloadSize = 64 << 10
)

// linkQueue admits only as many large responses as the link can carry, so that neither they nor
// small responses wait for the link too long. It estimates the size of a response by the mean size
// of its route's responses.
type linkQueue struct {
	timePerByte time.Duration
	mu          lockorder.Mutex
	nextFree    time.Time
	sizes       map[string]responseSize
}

// responseSize is the mean size of a route's responses in bytes, assumed until one was measured.
type responseSize struct {
	mean    float64
	assumed bool
}

// newLinkQueue returns a queue for a link of linkBytes bytes per second; zero means an unlimited
// link.
func newLinkQueue(linkBytes float64) *linkQueue {
	q := &linkQueue{sizes: make(map[string]responseSize)}
	if linkBytes > 0 {
		q.timePerByte = time.Duration(float64(time.Second) / (linkBytes * largeResponseShare))
	}
	return q
}

// reservation is the link capacity reserved for one response.
type reservation struct {
	queue   *linkQueue
	bytes   int64
	settled bool
}

// admit reserves link capacity for a request's response; settle must follow. If the response would
// wait for longer than the objective allows, it returns when there may be capacity.
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

// settle replaces the reserved size by the actual size of the response, zero if there was none.
// Without this, downloads of log-normal sizes with a sigma of 0.6 overload the link: the slowest
// takes 6.7 s instead of 4.1 s. Only the first call counts.
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

// recordSize records the size of a response.
func (q *linkQueue) recordSize(route string, size int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	previous, ok := q.sizes[route]
	if !ok || previous.assumed {
		q.sizes[route] = responseSize{mean: float64(size)}
		return
	}
	q.sizes[route] = responseSize{mean: previous.mean + sizeSmoothing*(float64(size)-previous.mean)}
}

// assumeLarge assumes large responses for routes without a measured size.
func (q *linkQueue) assumeLarge(routes []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, name := range routes {
		if _, known := q.sizes[name]; !known {
			q.sizes[name] = responseSize{mean: assumedDownloadSize, assumed: true}
		}
	}
}
