package main

import (
	"fmt"
	"net/http"
	"path"
	"sync"
	"time"
)

// One more target asks for back-offs: it rejects everything for a moment, again and again,
// and counts what reaches it until the box that it told may come back.
const (
	backOffEvery = 5 * time.Second
	// rejectTime is for how long it rejects, and backOffTime what it asks for.
	rejectTime  = time.Second
	backOffTime = 2 * time.Second
	// backOffGrace is how long after a rejection requests are not counted, and backOffSlack
	// how many of each box may come then.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
)

// boxArrival is a request that reached the target from a box.
type boxArrival struct {
	box string
	at  time.Time
}

// backingOffTarget is that target.
type backingOffTarget struct {
	next http.Handler

	mu         sync.Mutex
	started    time.Time
	rejections []boxArrival
	arrivals   []boxArrival
}

// ServeHTTP implements http.Handler.
func (t *backingOffTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.arrive(boxArrival{path.Base(r.URL.Path), time.Now()}) {
		w.Header().Set("Ledgesill-Request-Id", r.Header.Get("Ledgesill-Request-Id"))
		w.Header().Set("Ledgesill-Not-Run", "1")
		w.Header().Set("Retry-After", fmt.Sprint(int(backOffTime.Seconds())))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.next.ServeHTTP(w, r)
}

// arrive counts a request and reports whether it is taken.
func (t *backingOffTarget) arrive(a boxArrival) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.started.IsZero() {
		t.started = a.at
	}
	t.arrivals = append(t.arrivals, a)
	if a.at.Sub(t.started)%backOffEvery > rejectTime {
		return true
	}
	t.rejections = append(t.rejections, a)
	return false
}

// report prints the most requests that a box sent in a back-off, and fails if those are too
// many.
func (t *backingOffTarget) report() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, r := range t.rejections {
		count := 0
		for _, a := range t.arrivals {
			if a.box == r.box && a.at.After(r.at.Add(backOffGrace)) && a.at.Before(r.at.Add(backOffTime)) {
				count++
			}
		}
		most = max(most, count)
	}
	fmt.Printf("a target that asked %d times for a back-off of %s got %d requests of a box in one at most, of %d allowed\n",
		len(t.rejections), backOffTime, most, backOffSlack)
	if len(t.rejections) == 0 || most > backOffSlack {
		return fmt.Errorf("the target that asked %d times for a back-off got %d requests of a box in one", len(t.rejections), most)
	}
	return nil
}
