package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ledgesill.dev/ledgesill/contrib/standin"
)

// Targets that request a back-off, or announce that they shut down, only in the headers of
// their responses.
const (
	// Requests are not counted for backOffGrace after a rejection. From then to the end of the
	// back-off, backOffSlack requests are tolerated.
	backOffGrace = 500 * time.Millisecond
	backOffSlack = 2
	// minBackOff and maxBackOff bound the back-off that a target requests.
	minBackOff = time.Second
	maxBackOff = 3 * time.Second
	// minServing is how many targets must be serving before one of them rejects requests.
	// One in leaveEvery of those shuts down afterwards.
	minServing = 5
	leaveEvery = 3
	// maxRejectTime bounds how long a target rejects requests. shutdownTime is how long a
	// target keeps serving after it has announced that it shuts down.
	maxRejectTime = 2 * time.Second
	shutdownTime  = drainBound + 2*busySlack
	// maxFaultTime bounds how long one fault of a link or box lasts.
	maxFaultTime = 3500 * time.Millisecond
)

// timestamps records when faults were injected into a process or link.
type timestamps struct {
	mu    sync.Mutex
	times []time.Time
}

func (m *timestamps) add() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.times = append(m.times, time.Now())
}

// anyBetween reports whether a fault was injected between two times.
func (m *timestamps) anyBetween(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.times {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// keepRejecting makes one target after the other request back-offs until the context ends.
// Some of them shut down afterwards.
func (h *harness) keepRejecting(ctx context.Context, r *rand.Rand) {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for n := 1; ctx.Err() == nil; n++ {
		if list := h.servingTargets(); len(list) >= minServing {
			h.rejectThenLeave(ctx, pick(r, list), r, n%leaveEvery == 0, &leaving)
		}
		sleep(ctx, targetPollInterval)
	}
}

// rejectThenLeave makes a target reject requests and ask for back-offs for a while, and then
// shut down if leaves is set. It does nothing if the target is claimed for another fault.
func (h *harness) rejectThenLeave(ctx context.Context, t *standin.PlatformTarget, r *rand.Rand, leaves bool, leaving *sync.WaitGroup) {
	if !h.claimTarget(t) {
		return
	}
	h.rejectRequests(ctx, t, randomDuration(r, minBackOff, maxBackOff), randomDuration(r, 0, maxRejectTime))
	if !leaves {
		h.unclaimTarget(t)
		return
	}
	leaving.Go(func() { h.shutDownTarget(t) })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (h *harness) unclaimTarget(t *standin.PlatformTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.claimedTargets, t.ID)
}

func (h *harness) rejectRequests(ctx context.Context, t *standin.PlatformTarget, backOff, length time.Duration) {
	h.counts.countFault("back-off")
	t.SetBackOff(backOff)
	sleep(ctx, length)
	t.SetBackOff(0)
}

// shutDownTarget starts a replacement, makes the target announce its shutdown in response
// headers only, and stops it after shutdownTime.
func (h *harness) shutDownTarget(t *standin.PlatformTarget) {
	h.counts.countFault("leave by answers")
	if err := h.addTarget(); err != nil {
		h.violations.add("%v", err)
		return
	}
	t.AnnounceLeaving()
	time.Sleep(shutdownTime)
	t.Close()
}

// boxAt returns the entry box that listens for callers on an address, or nil.
func (h *harness) boxAt(address string) *process {
	for _, p := range h.entries {
		if fmt.Sprintf("%s:%d", p.ip, callerPort) == address || fmt.Sprintf("%s:%d", p.advertised, callerPort) == address {
			return p
		}
	}
	return nil
}

// boxByAttempt maps attempt IDs to the entry box that the attempt was sent to.
func (h *harness) boxByAttempt(records []attemptRecord) map[string]*process {
	out := make(map[string]*process, len(records))
	for _, r := range records {
		if p := h.boxAt(r.box); p != nil {
			out[r.id] = p
		}
	}
	return out
}

// faultBetween reports whether a fault of the box, or of a link between it and the target, may have
// overlapped a time span. The box may then not have received what the target reported, or
// have lost it in a restart.
func (h *harness) faultBetween(t *standin.PlatformTarget, box *process, from, to time.Time) bool {
	cutFrom := from.Add(-maxCut)
	from = from.Add(-maxFaultTime)
	h.mu.Lock()
	px := h.proxies[t.ID]
	h.mu.Unlock()
	return px == nil || px.faults.anyBetween(from, to) || box.faults.anyBetween(from, to) || h.linkFaultBetween(px, box, cutFrom, to)
}

// checkBackOffs checks that boxes send next to nothing to a target during a back-off that
// the target requested of them.
func (h *harness) checkBackOffs(records []attemptRecord) {
	boxes := h.boxByAttempt(records)
	checked := 0
	for _, t := range h.allTargets() {
		arrivals := t.Arrivals()
		for _, r := range t.Rejections() {
			box, end := boxes[r.ID], r.At.Add(r.BackOff)
			if box == nil || h.faultBetween(t, box, r.At, end) {
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
				h.violations.add("%s asked %s for a back-off of %s and got %d requests during it", t.ID, box.name, r.BackOff, count)
				break
			}
		}
	}
	h.counts.countChecks("back-offs", checked)
}

// checkLeaving checks that boxes stop sending to targets that have announced their shutdown
// to them.
func (h *harness) checkLeaving(records []attemptRecord) {
	boxes := h.boxByAttempt(records)
	checked := 0
	for _, t := range h.allTargets() {
		notified := make(map[*process]time.Time)
		for _, a := range t.LeavingResponses() {
			if box := boxes[a.ID]; box != nil && notified[box].IsZero() {
				notified[box] = a.At
			}
		}
		for _, a := range t.Arrivals() {
			box := boxes[a.ID]
			if box == nil || notified[box].IsZero() || h.faultBetween(t, box, notified[box], a.At) {
				continue
			}
			checked++
			if late := a.At.Sub(notified[box]); late > drainBound+busySlack {
				h.violations.add("request %s reached %s from %s %s after the target announced its shutdown", a.ID, t.ID, box.name, late)
			}
		}
	}
	h.counts.countChecks("requests to leaving targets", checked)
}

func (h *harness) allTargets() []*standin.PlatformTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]*standin.PlatformTarget(nil), h.targets...)
}
