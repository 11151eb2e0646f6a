package entry

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/caller"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a request that crashes every target that runs it and returns each time they
// have restarted. It reached both targets of both zones, because boxes attributed each failure
// to the target and did not recognize the request. The control replica of this test handles
// the evidence of the boxes as a leader does.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const reactionTime = 3 * time.Second
	runInBubble(t, func(t *testing.T) {
		s := newSystem(t, 2)
		stop := s.runQuarantineControl()
		var mu sync.Mutex
		var arrivals []time.Time
		var restarts sync.WaitGroup
		names := map[string]string{}
		for name := range s.allTargets() {
			names[targetHost(name)] = name
		}
		s.network.setHooks(func(string, string) {}, func(_, to string, data []byte) {
			if names[to] == "" || !strings.HasPrefix(string(data), "POST /fatal") {
				return
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
			restarts.Go(func() {
				time.Sleep(5 * time.Millisecond)
				s.network.kill(to)
				s.stopTarget(names[to], 2)
				time.Sleep(500 * time.Millisecond)
				s.startTarget(names[to], 2, nil)
			})
		})
		c := s.client("flags")
		refused := 0
		for range 30 {
			a, _ := c.Do(context.Background(), caller.Request{Method: http.MethodPost, Path: "/fatal", Body: []byte("x"), Timeout: time.Second, Repeatable: true})
			if a.Outcome == caller.NotRun {
				refused++
			}
			restarts.Wait()
			time.Sleep(time.Second)
		}
		if a := s.read(s.client("flags"), time.Second); a.Outcome != caller.Ran {
			t.Errorf("outcome of another request is %s", a.Outcome)
		}
		late := 0
		for _, at := range arrivals {
			if len(arrivals) > 2 && at.After(arrivals[2].Add(reactionTime)) {
				late++
			}
		}
		if len(arrivals) < 3 || late > 3 {
			t.Errorf("the request reached %d targets, %d of them more than %s after the third; want at least 3, and at most 3 that late", len(arrivals), late, reactionTime)
		}
		if refused < 15 {
			t.Errorf("%d of 30 requests were answered as not run, want at least 15", refused)
		}
		stop()
		s.close(2)
		reportProblems(t, s)
	})
}

// runQuarantineControl makes control collect evidence and apply the pending changes to the
// quarantine list.
func (s *system) runQuarantineControl() (stop func()) {
	var mu sync.Mutex
	store := quarantine.NewEvidenceStore()
	s.onEvidence = func(e *wire.Evidence) {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		for _, r := range e.Ends {
			end := quarantine.Crash{
				Caller: quarantine.Caller(r.Caller), Incarnation: r.Life, Began: now.Add(-time.Duration(r.BeganAgoMilli) * time.Millisecond),
				Ended: now.Add(-time.Duration(r.EndedAgoMilli) * time.Millisecond),
			}
			copy(end.Request[:], r.Digest)
			store.RecordCrash(now, end)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			mu.Lock()
			changes := store.PendingChanges(time.Now(), time.Now(), quarantine.EntriesOf(s.state.Catalog().Quarantined()))
			mu.Unlock()
			for _, change := range changes {
				c := &wire.Command{Quarantine: &wire.QuarantineCommand{Request: change.Entry.Message(), Release: change.Release}}
				s.state, _ = s.state.Apply(c)
				s.publisher.SetState(s.state, []*wire.Command{c})
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}
