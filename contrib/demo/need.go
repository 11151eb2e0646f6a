package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// One more target is rate-limited: it names how many requests a second it takes from all boxes
// together, and counts what reaches it.
const (
	needPerSecond = 10
	// needExcess and needSlack are what it may get in needWindow beyond that.
	needWindow = 4 * time.Second
	needExcess = 1.5
	needSlack  = 5
	// needShare is the part of its limit that it must get, as it is asked for more.
	needShare = 0.5
)

// limitedTarget is that target.
type limitedTarget struct {
	next http.Handler

	mu       sync.Mutex
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (t *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	t.mu.Unlock()
	w.Header().Set("Ledgesill-Limit", fmt.Sprint(needPerSecond))
	t.next.ServeHTTP(w, r)
}

// report prints what it got once the boxes had been told, and fails if that was too much or
// too little.
func (t *limitedTarget) report() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.arrivals) == 0 {
		return fmt.Errorf("the rate-limited target got nothing")
	}
	told := t.arrivals[0].Add(needWindow)
	end := t.arrivals[len(t.arrivals)-1]
	most, count, first := 0, 0, 0
	for i, at := range t.arrivals {
		for at.Sub(t.arrivals[first]) > needWindow {
			first++
		}
		if at.Before(told) {
			continue
		}
		count++
		most = max(most, i-first+1)
	}
	perSecond := float64(count) / max(end.Sub(told).Seconds(), 1)
	allowed := int(needExcess*needPerSecond*needWindow.Seconds() + needSlack)
	fmt.Printf("a target that names %d requests a second got %.1f, at most %d in %s of %d allowed\n", needPerSecond, perSecond, most, needWindow, allowed)
	if most > allowed || perSecond < needShare*needPerSecond {
		return fmt.Errorf("the rate-limited target got %.1f requests a second, at most %d in %s", perSecond, most, needWindow)
	}
	return nil
}
