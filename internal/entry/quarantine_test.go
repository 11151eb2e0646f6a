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

// A request that ends each target that runs it reached both targets of both zones each
// time they were back: boxes booked each failure to the target and knew nothing of the
// request when it came again. The control of this test does what a leader does with the
// evidence of the boxes.
func TestRequestThatEndsItsTargetsIsHeld(t *testing.T) {
	const contact = 3 * time.Second
	bubble(t, func(t *testing.T) {
		s := newSystem(t, 2)
		stop := s.keepQuarantine()
		var mu sync.Mutex
		var reached []time.Time
		var ending sync.WaitGroup
		names := map[string]string{}
		for name := range s.allTargets() {
			names[targetHost(name)] = name
		}
		s.network.hooks(func(string, string) {}, func(_, to string, data []byte) {
			if names[to] == "" || !strings.HasPrefix(string(data), "POST /fatal") {
				return
			}
			mu.Lock()
			reached = append(reached, time.Now())
			mu.Unlock()
			ending.Go(func() {
				time.Sleep(5 * time.Millisecond)
				s.network.kill(to)
				s.endTarget(names[to], 2)
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
			ending.Wait()
			time.Sleep(time.Second)
		}
		if a := s.read(s.client("flags"), time.Second); a.Outcome != caller.Ran {
			t.Errorf("another request got %s", a.Outcome)
		}
		late := 0
		for _, at := range reached {
			if len(reached) > 2 && at.After(reached[2].Add(contact)) {
				late++
			}
		}
		if len(reached) < 3 || late > 3 {
			t.Errorf("the request reached %d targets, %d of them later than %s after the third", len(reached), late, contact)
		}
		if refused < 15 {
			t.Errorf("%d of 30 were told that they did not run", refused)
		}
		stop()
		s.close(2)
		report(t, s)
	})
}

// keepQuarantine has the control take evidence and put what is due on the list.
func (s *system) keepQuarantine() (stop func()) {
	var mu sync.Mutex
	ledger := quarantine.NewEvidenceStore()
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
			ledger.RecordCrash(now, end)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for ctx.Err() == nil {
			mu.Lock()
			orders := ledger.PendingChanges(time.Now(), time.Now(), quarantine.EntriesOf(s.state.Catalog().Quarantined()))
			mu.Unlock()
			for _, o := range orders {
				c := &wire.Command{Quarantine: &wire.QuarantineCommand{Request: o.Entry.Message(), Release: o.Release}}
				s.state, _ = s.state.Apply(c)
				s.publish.SetState(s.state, []*wire.Command{c})
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}
