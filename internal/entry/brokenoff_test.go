package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// brokenOffDuration is how long callers send requests that are broken off.
	brokenOffDuration = 2 * time.Second
	// reclaimTime is longer than requestTimeoutMillis of the settings.
	reclaimTime = 5 * time.Second
	// neverEnds is a lag of the end of a connection that is longer than a test.
	neverEnds = time.Hour
)

// breakOffCause is a way in which requests are broken off while their targets run them.
type breakOffCause struct {
	name    string
	edits   []*wire.Edit
	slow    time.Duration
	request caller.Request
	// leave is how long a caller waits before it leaves; zero for as long as it takes.
	leave time.Duration
}

func breakOffCauses() []breakOffCause {
	return []breakOffCause{
		{
			name:    "caller leaves",
			request: caller.Request{Path: fmt.Sprintf("/export?size=%d", exportBytes), Timeout: leavingTimeout},
			slow:    50 * time.Millisecond,
			leave:   17 * time.Millisecond,
		},
		{
			name:    "deadline passes",
			request: caller.Request{Path: "/flag", Timeout: 60 * time.Millisecond},
			slow:    100 * time.Millisecond,
		},
		{
			name: "hedge loses",
			edits: []*wire.Edit{
				{Path: "/", Key: "hedgeAfterMillis", Value: "5"},
				{Path: "/", Key: "retryBudgetShare", Value: "100"},
			},
			request: caller.Request{Path: "/flag", Timeout: leavingTimeout},
			slow:    10 * time.Millisecond,
		},
	}
}

// Guards against a target that gets more requests than it has slots because it learns late, or
// never, that an earlier one was broken off, and against slots that are lost forever then.
func TestTargetLearnsLateOfBrokenOffRequests(t *testing.T) {
	for _, cause := range breakOffCauses() {
		for _, lag := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond, neverEnds} {
			t.Run(fmt.Sprintf("%s, end arrives %s late", cause.name, lag), func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					s := newSystem(t, cellSlots)
					if len(cause.edits) > 0 {
						s.change(cause.edits...)
						time.Sleep(time.Second)
					}
					for _, r := range s.allTargets() {
						s.network.setEndLag(r.host, lag)
						r.target.SetSlow(cause.slow)
					}
					s.sendBrokenOff(cause)
					for _, r := range s.allTargets() {
						r.target.SetSlow(0)
					}
					s.checkRecovery()
					s.checkNoSlotIsTaken()
					s.close(cellSlots)
					reportProblems(t, s)
				})
			})
		}
	}
}

// sendBrokenOff sends requests of eight callers.
func (s *system) sendBrokenOff(cause breakOffCause) {
	end := time.Now().Add(brokenOffDuration)
	var running sync.WaitGroup
	for range leavingCallers {
		running.Go(func() {
			client := s.client("flags")
			for time.Now().Before(end) {
				request := cause.request
				request.Method = http.MethodGet
				request.Repeatable = true
				ctx, cancel := context.WithCancel(context.Background())
				if cause.leave > 0 {
					time.AfterFunc(cause.leave, cancel)
				}
				_, _ = client.Do(ctx, request) // only what it leaves behind counts
				cancel()
				time.Sleep(time.Millisecond)
			}
		})
	}
	running.Wait()
}

// checkNoSlotIsTaken checks that no box counts a request as running once the slots of requests
// that were broken off have been reclaimed.
func (s *system) checkNoSlotIsTaken() {
	time.Sleep(reclaimTime)
	for name, b := range s.allBoxes() {
		v, err := b.daemon.pool("flags").view(s.t.Context())
		if err != nil {
			s.addProblem("box %s: %v", name, err)
			continue
		}
		if v.load.Busy > 0 {
			s.addProblem("box %s counts %d requests as running after all have ended", name, v.load.Busy)
		}
	}
}
