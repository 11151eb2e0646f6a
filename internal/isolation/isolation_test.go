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

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/quarantine"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var refused = &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}

// startIsolation runs an isolation until the test ends.
func startIsolation(t *testing.T, c Config) *Isolation {
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

func crashOf(request, incarnation string) quarantine.Crash {
	now := time.Now()
	return quarantine.Crash{
		Request: quarantine.Request{Target: request}.Digest(), Caller: quarantine.CallerOf("c"), Incarnation: incarnation, Began: now.Add(-time.Millisecond), Ended: now,
	}
}

// A broken connection alone proves little: a target has crashed only if it refuses
// connections twice and is not shutting down as planned.
func TestProbeDetectsCrashedTargets(t *testing.T) {
	unreachable := errors.New("no response")
	connect := func() (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _ = far.Close() }()
		return near, nil
	}
	for _, c := range []struct {
		name    string
		dials   []error // nil: the connection succeeds
		leaving bool
		want    ProbeResult
	}{
		{"it has crashed", []error{refused, refused}, false, ProbeResult{Incarnation: "1", Crashed: true}},
		{"it serves", []error{nil}, false, ProbeResult{Incarnation: "1"}},
		{"it is full for a moment", []error{refused, nil}, false, ProbeResult{Incarnation: "1"}},
		{"it can't be reached", []error{unreachable}, false, ProbeResult{Incarnation: "1", Err: unreachable}},
		{"it shuts down as planned", []error{refused, refused}, true, ProbeResult{Incarnation: "1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				dials := c.dials
				probes := make(chan ProbeResult, 4)
				var ended atomic.Int32
				i := startIsolation(t, Config{
					Dial: func(context.Context, string) (net.Conn, error) {
						err := dials[0]
						dials = dials[1:]
						if err != nil {
							return nil, err
						}
						return connect()
					},
					Leaving: func(string) bool { return c.leaving },
					OnProbe: func(l ProbeResult) { probes <- l },
					OnCrash: func(BrokenRun) { ended.Add(1) },
				})
				// Two requests broke at the target: one probe serves both.
				i.ConnectionBroke(BrokenRun{Crash: crashOf("/a", "1")})
				i.ConnectionBroke(BrokenRun{Crash: crashOf("/b", "1")})
				time.Sleep(time.Second)
				synctest.Wait()
				if got := <-probes; got != c.want || len(probes) > 0 {
					t.Errorf("got %+v and %d more, want %+v", got, len(probes), c.want)
				}
				want := 0
				if c.want.Crashed {
					want = 2
				}
				if int(ended.Load()) != want || i.SuspectCount() != want || i.IsIdle() != (want == 0) {
					t.Errorf("%d crashes were recorded, %d requests are suspects, want %d", ended.Load(), i.SuspectCount(), want)
				}
			})
		})
	}
}

// Boxes must learn from each other through control: nine boxes and two replicas, whose
// leader fails at first. The request reaches another box each time, with one attempt, so
// that no box sees two targets crash.
func TestBoxesShareEvidence(t *testing.T) {
	const contact, arrivals = 3 * time.Second, 60
	bubble.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		store := quarantine.NewEvidenceStore()
		var list []quarantine.Entry
		failingUntil := time.Now().Add(2 * time.Second)
		send := func(_ context.Context, address string, e *wire.Evidence) error {
			time.Sleep(40 * time.Millisecond)
			if address != "leader" {
				return nil
			}
			if time.Now().Before(failingUntil) {
				return errors.New("no response")
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range e.Ends {
				at := time.Now().Add(-time.Duration(r.EndedAgoMilli) * time.Millisecond)
				crash := quarantine.Crash{Caller: quarantine.Caller(r.Caller), Incarnation: r.Life, Began: at.Add(-time.Millisecond), Ended: at}
				copy(crash.Request[:], r.Digest)
				store.RecordCrash(time.Now(), crash)
			}
			return nil
		}
		var boxes []*Isolation
		for range 9 {
			boxes = append(boxes, startIsolation(t, Config{
				Dial:         func(context.Context, string) (net.Conn, error) { return nil, refused },
				Replicas:     func() []string { return []string{"leader", "other"} },
				SendEvidence: send,
			}))
		}
		var reached []time.Time
		for n := range arrivals {
			b := boxes[n%len(boxes)]
			crash := crashOf("/fatal", fmt.Sprint("life", n))
			if v := b.Admit(crash.Request, crash.Caller); v.Decision == quarantine.Free || v.Decision == quarantine.OnProbation {
				reached = append(reached, time.Now())
				time.Sleep(20 * time.Millisecond)
				crash.Ended = time.Now()
				b.ConnectionBroke(BrokenRun{Crash: crash})
				if v.Decision == quarantine.OnProbation {
					b.Finish(crash.Request)
				}
			}
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			for _, o := range store.PendingChanges(time.Now(), time.Now(), list) {
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
			crash := crashOf("/fatal", "x")
			if v := b.Admit(crash.Request, crash.Caller); v.Decision != quarantine.Held {
				t.Errorf("box %d: decision %s, want it held", n, v.Decision)
			}
			other := crashOf("/other", "x")
			if v := b.Admit(other.Request, other.Caller); v.Decision != quarantine.Free {
				t.Errorf("box %d, another request: decision %s, want it free", n, v.Decision)
			}
		}
	})
}

// Guards against taking a target for crashed because this box is cut off from it: what refuses this box's
// connections and not those of others has not crashed, and where nobody can tell nothing is counted.
func TestRefusedTargetIsConfirmedByOtherBoxes(t *testing.T) {
	errUnknown := errors.New("no box can tell")
	for _, c := range []struct {
		name      string
		confirm   func(context.Context, string) error
		suspected int
	}{
		{"no other box", nil, 1},
		{"others are refused too", func(context.Context, string) error { return nil }, 1},
		{"others connect, or can't tell", func(context.Context, string) error { return errUnknown }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				i := New(Config{
					Dial:           func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
					DialTimeout:    time.Second,
					ConfirmRefused: c.confirm,
					Leaving:        func(string) bool { return false },
					Replicas:       func() []string { return nil },
					OnCrash:        func(BrokenRun) {},
					OnProbe:        func(ProbeResult) {},
				})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- i.Run(ctx) }()
				i.ConnectionBroke(BrokenRun{Crash: quarantine.Crash{Incarnation: "t0", Began: time.Now(), Ended: time.Now()}})
				time.Sleep(time.Second)
				if got := i.SuspectCount(); got != c.suspected {
					t.Errorf("%d requests are suspected, want %d", got, c.suspected)
				}
				cancel()
				<-ended
			})
		})
	}
}
