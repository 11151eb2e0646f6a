package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Targets that say in their answers alone that they want a back-off, or that they leave.
const (
	// backOffGrace is how long after a rejection requests are not counted, and backOffSlack
	// how many may come between it and the end of the back-off.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
	// leastBackOff and mostBackOff bound what a target asks for.
	leastBackOff = time.Second
	mostBackOff  = 3 * time.Second
	// leastServing is how many targets must serve for one of them to reject, and leaveEach
	// that one of so many leaves after it.
	leastServing = 5
	leaveEach    = 3
	// rejectTime is for how long a target rejects at most, and leaveTime for how long one
	// that leaves serves on.
	rejectTime = 2 * time.Second
	leaveTime  = drainBound + 2*busySlack
	// disturbedTime is for how long a disturbance of a link lasts at most.
	disturbedTime = 3500 * time.Millisecond
)

// moments are times at which something was disturbed.
type moments struct {
	mu   sync.Mutex
	list []time.Time
}

func (m *moments) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, time.Now())
}

// anyIn reports whether one of them lies between two times.
func (m *moments) anyIn(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.list {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// keepRejecting has one target after the other ask for back-offs, and some of them leave,
// until the context ends.
func (w *world) keepRejecting(ctx context.Context, r *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		if list := w.servingTargets(); len(list) >= leastServing {
			w.haveReject(ctx, pick(r, list), r, n%leaveEach == 0, &leaving)
		}
		sleep(ctx, needPause)
	}
}

// haveReject has a target ask for back-offs for a while, unless another part of the soak has
// claimed it, and then leave if that is wanted.
func (w *world) haveReject(ctx context.Context, t *standin.Served, r *rand.Rand, leaves bool, leaving *sync.WaitGroup) {
	if !w.claimTarget(t) {
		return
	}
	w.rejectFor(ctx, t, some(r, leastBackOff, mostBackOff), some(r, 0, rejectTime))
	if !leaves {
		w.unclaimTarget(t)
		return
	}
	leaving.Go(func() { w.leave(t) })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (w *world) unclaimTarget(t *standin.Served) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.inNeed, t.ID)
}

func (w *world) rejectFor(ctx context.Context, t *standin.Served, backOff, length time.Duration) {
	w.counts.fault("back-off")
	t.RejectFor(backOff)
	sleep(ctx, length)
	t.RejectFor(0)
}

// leave has a target leave by its answers alone, end some time after, and another take its
// place.
func (w *world) leave(t *standin.Served) {
	w.counts.fault("leave by answers")
	if err := w.addTarget(); err != nil {
		w.promises.broken("%v", err)
		return
	}
	t.Leave()
	time.Sleep(leaveTime)
	t.Close()
}

// boxOf returns the entry box at an address of callers, nil if there is none.
func (w *world) boxOf(address string) *process {
	for _, p := range w.entries {
		if fmt.Sprintf("%s:%d", p.ip, callerPort) == address || fmt.Sprintf("%s:%d", p.told, callerPort) == address {
			return p
		}
	}
	return nil
}

// boxes returns the entry box that each attempt was sent to.
func (w *world) boxes(records []attemptRecord) map[string]*process {
	out := make(map[string]*process, len(records))
	for _, r := range records {
		if p := w.boxOf(r.box); p != nil {
			out[r.id] = p
		}
	}
	return out
}

// isExcused reports whether a box, or the link to a target, was disturbed in a span: what
// was said may not have reached the box then, or it may have forgotten it.
func (w *world) isExcused(t *standin.Served, box *process, from, to time.Time) bool {
	from = from.Add(-disturbedTime)
	w.mu.Lock()
	x := w.proxies[t.ID]
	w.mu.Unlock()
	return x == nil || x.disturbed.anyIn(from, to) || box.disturbed.anyIn(from, to)
}

// checkBackOffs counts by box what reached targets that had asked it for a back-off.
func (w *world) checkBackOffs(records []attemptRecord) {
	boxes := w.boxes(records)
	checked := 0
	for _, t := range w.allTargets() {
		arrivals := t.Arrivals()
		for _, r := range t.Rejections() {
			box, end := boxes[r.ID], r.At.Add(r.BackOff)
			if box == nil || w.isExcused(t, box, r.At, end) {
				continue
			}
			checked++
			count := 0
			for _, a := range arrivals {
				if boxes[a.ID] == box && a.At.After(r.At.Add(backOffGrace)) && a.At.Before(end) {
					count++
				}
			}
			if count > backOffSlack {
				w.promises.broken("%s had asked %s for a back-off of %s and got %d requests in it", t.ID, box.name, r.BackOff, count)
				break
			}
		}
	}
	w.counts.checked("back-offs", checked)
}

// checkLeaving checks that boxes send nothing to targets that had told them that they leave.
func (w *world) checkLeaving(records []attemptRecord) {
	boxes := w.boxes(records)
	checked := 0
	for _, t := range w.allTargets() {
		told := make(map[*process]time.Time)
		for _, a := range t.ToldLeaving() {
			if box := boxes[a.ID]; box != nil && told[box].IsZero() {
				told[box] = a.At
			}
		}
		for _, a := range t.Arrivals() {
			box := boxes[a.ID]
			if box == nil || told[box].IsZero() || w.isExcused(t, box, told[box], a.At) {
				continue
			}
			checked++
			if late := a.At.Sub(told[box]); late > drainBound+busySlack {
				w.promises.broken("request %s reached %s from %s %s after it had said that it leaves", a.ID, t.ID, box.name, late)
			}
		}
	}
	w.counts.checked("requests to leaving targets", checked)
}

func (w *world) allTargets() []*standin.Served {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*standin.Served(nil), w.targets...)
}
