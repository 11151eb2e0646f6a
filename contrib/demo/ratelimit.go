package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Another target is rate-limited: it reports how many requests a second it accepts from all
// boxes together, and counts its requests.
const (
	targetLimit = 10
	// targetLimitExcess (a factor) and targetLimitSlack (requests) are the tolerance over the
	// limit in each targetLimitWindow.
	targetLimitWindow = 4 * time.Second
	targetLimitExcess = 1.5
	targetLimitSlack  = 5
	// minLimitShare is the share of its limit that the target must get, as callers send more
	// than that.
	minLimitShare = 0.5
)

// limitedTarget is the rate-limited target.
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
	w.Header().Set("Ledgesill-Limit", fmt.Sprint(targetLimit))
	t.next.ServeHTTP(w, r)
}

// report prints the rate of requests since the boxes must know the limit and returns an error
// if it is too high or too low.
func (t *limitedTarget) report() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.arrivals) == 0 {
		return fmt.Errorf("the rate-limited target got no requests")
	}
	countFrom := t.arrivals[0].Add(targetLimitWindow)
	end := t.arrivals[len(t.arrivals)-1]
	highest, count, first := 0, 0, 0
	for i, at := range t.arrivals {
		for at.Sub(t.arrivals[first]) > targetLimitWindow {
			first++
		}
		if at.Before(countFrom) {
			continue
		}
		count++
		highest = max(highest, i-first+1)
	}
	perSecond := float64(count) / max(end.Sub(countFrom).Seconds(), 1)
	allowed := int(targetLimitExcess*targetLimit*targetLimitWindow.Seconds() + targetLimitSlack)
	fmt.Printf("a target that names %d requests a second got %.1f, at most %d in %s of %d allowed\n", targetLimit, perSecond, highest, targetLimitWindow, allowed)
	if highest > allowed || perSecond < minLimitShare*targetLimit {
		return fmt.Errorf("the rate-limited target with a limit of %d requests a second got %.1f a second, at most %d in %s, allowed are %d", targetLimit, perSecond, highest, targetLimitWindow, allowed)
	}
	return nil
}
