package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Rate-limited targets name how many requests a second they take from all boxes together.
const (
	// needExcess and needSlack are what such a target may get in needWindow beyond that.
	needWindow = 4 * time.Second
	needExcess = 1.5
	needSlack  = 5
	// needLeast and needMost are for how long a fault has a target be rate-limited.
	needLeast = needWindow + contactTime
	needMost  = 2 * needLeast
	// needSeveral is that so many are rate-limited at once in one run of so many.
	needSeveral = 3
	// needPause is how soon another target takes the place of one that has ended.
	needPause = 200 * time.Millisecond
)

// need is a span in which a target named a limit that did not rise.
type need struct {
	target   *standin.Served
	limit    float64
	from, to time.Time
}

// claimTarget takes a target that is to be rate-limited, unless it is already.
func (w *world) claimTarget(t *standin.Served) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inNeed[t.ID] {
		return false
	}
	w.inNeed[t.ID] = true
	return true
}

// nameLimit has a target name a limit and returns what ends that.
func (w *world) nameLimit(t *standin.Served, perSecond float64) (end func()) {
	n := need{target: t, limit: perSecond, from: time.Now()}
	t.SetLimit(fmt.Sprint(perSecond))
	return func() {
		n.to = time.Now()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.needs = append(w.needs, n)
	}
}

// beInNeed has a target name a limit for a while, lower it, and take it back.
func (w *world) beInNeed(r *rand.Rand) {
	w.mu.Lock()
	t := pick(r, w.targets)
	w.mu.Unlock()
	if !w.claimTarget(t) {
		return
	}
	for _, limit := range []float64{12, 3} {
		end := w.nameLimit(t, limit)
		time.Sleep(some(r, needLeast, needMost))
		end()
	}
	t.SetLimit("")
}

// keepInNeed has one target be rate-limited at each moment, or several, until the context ends:
// when one leaves or ends another takes its place.
func (w *world) keepInNeed(ctx context.Context) {
	count := 1
	if w.seed%needSeveral == 0 {
		count = needSeveral
	}
	named := make(map[*standin.Served]func())
	for ctx.Err() == nil {
		for t, end := range named {
			if !t.Serves() {
				end()
				delete(named, t)
			}
		}
		for _, t := range w.servingTargets() {
			if len(named) < count && w.claimTarget(t) {
				named[t] = w.nameLimit(t, 6)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(needPause):
		}
	}
	for _, end := range named {
		end()
	}
}

func (w *world) servingTargets() (out []*standin.Served) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.targets {
		if t.Serves() {
			out = append(out, t)
		}
	}
	return out
}

// checkNeeds checks what reached rate-limited targets, once all boxes must know of that.
func (w *world) checkNeeds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.needs {
		var counted []time.Time
		for _, a := range n.target.Arrivals() {
			if a.At.After(n.from.Add(contactTime)) && a.At.Before(n.to) {
				counted = append(counted, a.At)
			}
		}
		most := int(needExcess*n.limit*(needWindow+heldBack).Seconds() + needSlack)
		first := 0
		for i, at := range counted {
			for at.Sub(counted[first]) > needWindow {
				first++
			}
			if got := i - first + 1; got > most {
				w.promises.broken("%s, which named a limit of %v a second, got %d requests in %s, at most %d may come", n.target.ID, n.limit, got, needWindow, most)
				break
			}
		}
	}
}
