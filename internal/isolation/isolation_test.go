package isolation

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var refused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// start runs an isolation until the test ends.
func start(t *testing.T, c Config) *Isolation {
	t.Helper()
	c.DialTimeout = 300 * time.Millisecond
	if c.Leaving == nil {
		c.Leaving = func(string) bool { return false }
	}
	if c.Replicas == nil {
		c.Replicas = func() []string { return nil }
	}
	if c.OnCrash == nil {
		c.OnCrash = func(BrokenRun) {}
	}
	if c.OnProbe == nil {
		c.OnProbe = func(ProbeResult) {}
	}
	i := New(c)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- i.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return i
}

func end(request, life string) quarantine.End {
	now := time.Now()
	return quarantine.End{
		Request: quarantine.Request{Target: request}.Digest(), Caller: quarantine.CallerOf("c"), Life: life, Began: now.Add(-time.Millisecond), Ended: now,
	}
}

// A broken connection says little: only a target that refuses connections twice, and did
// not leave as planned, has ended.
func TestLookTellsEndedTargets(t *testing.T) {
	silent := errors.New("no answer")
	open := func() (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _ = far.Close() }()
		return near, nil
	}
	for _, c := range []struct {
		name    string
		dials   []error // nil: the connection comes up
		leaving bool
		want    ProbeResult
	}{
		{"it has ended", []error{refused, refused}, false, ProbeResult{Incarnation: "1", Crashed: true}},
		{"it serves", []error{nil}, false, ProbeResult{Incarnation: "1"}},
		{"it is full for a moment", []error{refused, nil}, false, ProbeResult{Incarnation: "1"}},
		{"it can't be reached", []error{silent}, false, ProbeResult{Incarnation: "1", Err: silent}},
		{"it leaves as planned", []error{refused, refused}, true, ProbeResult{Incarnation: "1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := c.dials
				looks := make(chan ProbeResult, 4)
				var ended atomic.Int32
				i := start(t, Config{
					Dial: func(context.Context, string) (net.Conn, error) {
						err := dials[0]
						dials = dials[1:]
						if err != nil {
							return nil, err
						}
						return open()
					},
					Leaving: func(string) bool { return c.leaving },
					OnProbe: func(l ProbeResult) { looks <- l },
					OnCrash: func(BrokenRun) { ended.Add(1) },
				})
				// Two requests broke at the target: one look serves both.
				i.ConnectionBroke(BrokenRun{Crash: end("/a", "1")})
				i.ConnectionBroke(BrokenRun{Crash: end("/b", "1")})
				time.Sleep(time.Second)
				synctest.Wait()
				if got := <-looks; got != c.want || len(looks) > 0 {
					t.Errorf("got %+v and %d more, want %+v", got, len(looks), c.want)
				}
				want := 0
				if c.want.Crashed {
					want = 2
				}
				if int(ended.Load()) != want || i.SuspectCount() != want || i.IsIdle() != (want == 0) {
					t.Errorf("%d runs were booked to their requests, %d are suspects, want %d", ended.Load(), i.SuspectCount(), want)
				}
			})
		})
	}
}

// Nine boxes, three replicas of which one leads and one is silent at first: the request
// comes to another box each time, with one attempt, so that no box sees two targets end.
func TestBoxesLearnOfEachOther(t *testing.T) {
	const contact, arrivals = 3 * time.Second, 60
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		ledger := quarantine.NewLedger()
		var list []quarantine.Entry
		silentUntil := time.Now().Add(2 * time.Second)
		tell := func(_ context.Context, address string, e *wire.Evidence) error {
			time.Sleep(40 * time.Millisecond)
			if address != "leader" {
				return nil
			}
			if time.Now().Before(silentUntil) {
				return errors.New("silent")
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range e.Ends {
				at := time.Now().Add(-time.Duration(r.EndedAgoMilli) * time.Millisecond)
				one := quarantine.End{Caller: quarantine.Caller(r.Caller), Life: r.Life, Began: at.Add(-time.Millisecond), Ended: at}
				copy(one.Request[:], r.Digest)
				ledger.Ended(time.Now(), one)
			}
			return nil
		}
		var boxes []*Isolation
		for range 9 {
			boxes = append(boxes, start(t, Config{
				Dial:         func(context.Context, string) (net.Conn, error) { return nil, refused },
				Replicas:     func() []string { return []string{"leader", "other"} },
				SendEvidence: tell,
			}))
		}
		var reached []time.Time
		for n := range arrivals {
			b := boxes[n%len(boxes)]
			one := end("/fatal", fmt.Sprint("life", n))
			if v := b.Admit(one.Request, one.Caller); v.Decision == quarantine.Free || v.Decision == quarantine.OnProbation {
				reached = append(reached, time.Now())
				time.Sleep(20 * time.Millisecond)
				one.Ended = time.Now()
				b.ConnectionBroke(BrokenRun{Crash: one})
				if v.Decision == quarantine.OnProbation {
					b.Finish(one.Request)
				}
			}
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			for _, o := range ledger.Due(time.Now(), time.Now(), list) {
				if o.Entry.Held {
					list = nil
				}
				list = append(list, o.Entry)
			}
			mu.Unlock()
			for _, b := range boxes {
				b.SetList(list)
			}
		}
		late := 0
		for _, at := range reached {
			if at.After(reached[2].Add(contact)) {
				late++
			}
		}
		if late > 3 {
			t.Errorf("the request reached %d targets, %d of them later than %s after the third", len(reached), late, contact)
		}
		for n, b := range boxes {
			one := end("/fatal", "x")
			if v := b.Admit(one.Request, one.Caller); v.Decision != quarantine.Held {
				t.Errorf("box %d: %s", n, v.Decision)
			}
			other := end("/other", "x")
			if v := b.Admit(other.Request, other.Caller); v.Decision != quarantine.Free {
				t.Errorf("box %d, another request: %s", n, v.Decision)
			}
		}
	})
}
