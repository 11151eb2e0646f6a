package main

import (
	"fmt"
	"net/http"
	"path"
	"sync"
	"time"
)

// Another target requests back-offs: it rejects all requests for rejectTime every
// rejectInterval, and counts the requests of each box during a back-off.
const (
	rejectInterval = 5 * time.Second
	// rejectTime is how long the target rejects, backOffTime the back-off that it requests.
	rejectTime  = time.Second
	backOffTime = 2 * time.Second
	// Requests are not counted for backOffGrace after a rejection. From then to the end of the
	// back-off, backOffSlack requests of each box are tolerated.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
)

// arrival is a request that the target received from a box.
type arrival struct {
	box string
	at  time.Time
}

// backingOffTarget is the target that requests back-offs.
type backingOffTarget struct {
	next http.Handler

	mu         sync.Mutex
	started    time.Time
	rejections []arrival
	arrivals   []arrival
}

// ServeHTTP implements http.Handler.
func (t *backingOffTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.accept(arrival{path.Base(r.URL.Path), time.Now()}) {
		w.Header().Set("Ledgesill-Request-Id", r.Header.Get("Ledgesill-Request-Id"))
		w.Header().Set("Ledgesill-Not-Run", "1")
		w.Header().Set("Retry-After", fmt.Sprint(int(backOffTime.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.next.ServeHTTP(w, r)
}

// accept records a request and reports whether the target accepts it.
func (t *backingOffTarget) accept(a arrival) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started.IsZero() {
		t.started = a.at
	}
	t.arrivals = append(t.arrivals, a)
	if a.at.Sub(t.started)%rejectInterval > rejectTime {
		return true
	}
	t.rejections = append(t.rejections, a)
	return false
}

// report prints the highest number of requests that a box sent during a back-off and returns an
// error if it is too high.
func (t *backingOffTarget) report() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := 0
	for _, r := range t.rejections {
		count := 0
		for _, a := range t.arrivals {
			if a.box == r.box && a.at.After(r.at.Add(backOffGrace)) && a.at.Before(r.at.Add(backOffTime)) {
				count++
			}
		}
		highest = max(highest, count)
	}
	fmt.Printf("a target that asked %d times for a back-off of %s got %d requests of a box in one at most, of %d allowed\n",
		len(t.rejections), backOffTime, highest, backOffSlack)
	if len(t.rejections) == 0 || highest > backOffSlack {
		return fmt.Errorf("the target that requested a back-off %d times got %d requests of a box during one, allowed are %d", len(t.rejections), highest, backOffSlack)
	}
	return nil
}
