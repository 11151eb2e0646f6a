package gateway

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"ledgesill.dev/ledgesill/pkg/balance"
)

// slowLinks delays the connection attempts of a box, and fails them with err if that is not nil.
type slowLinks struct {
	mu    sync.Mutex
	delay time.Duration
	err   error
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

// slowDown replaces the attempts of a box by delayed ones.
func slowDown(d *Daemon) *slowLinks {
	l := &slowLinks{dial: d.connections.dial}
	d.connections.dial = l.connect
	return l
}

func (l *slowLinks) set(delay time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay, l.err = delay, err
}

func (l *slowLinks) connect(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	delay, err := l.delay, l.err
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	return l.dial(ctx, network, address)
}

// valueOf returns the value of a counter or gauge.
func valueOf(t *testing.T, m prometheus.Metric) float64 {
	t.Helper()
	out := &dto.Metric{}
	if err := m.Write(out); err != nil {
		t.Fatal(err)
	}
	return out.GetCounter().GetValue() + out.GetGauge().GetValue()
}

// hedged returns how many hedged attempts to zone a1 a box has started and suppressed.
func hedged(t *testing.T, d *Daemon) (started, suppressed float64) {
	t.Helper()
	return valueOf(t, d.metrics.hedgedConnects.WithLabelValues("a1")), valueOf(t, d.metrics.suppressedConnects.WithLabelValues("a1"))
}

// connectMany opens connections at once and returns how many were opened, by whether they lead through a peer.
func connectMany(t *testing.T, s *partitionCluster, d *Daemon, n int) (direct, tunnelled int) {
	t.Helper()
	results := make(chan *connection, n)
	for i := range n {
		go func() {
			i %= len(s.targets)
			target := balance.Target{ID: fmt.Sprint("t", i), Address: s.targets[i], Zone: "a1"}
			c, _ := d.connections.connect(t.Context(), target, nil) // nil if it failed
			results <- c
		}()
	}
	for range n {
		c := <-results
		if c == nil {
			continue
		}
		if c.isDirect() {
			direct++
		} else {
			tunnelled++
		}
		_ = c.Close()
	}
	return direct, tunnelled
}

// learn lets a box learn that connections take 2 ms.
func learn(t *testing.T, s *partitionCluster, d *Daemon) {
	t.Helper()
	if direct, _ := connectMany(t, s, d, 40); direct != 40 {
		t.Fatalf("%d of 40 connections", direct)
	}
}

// Guards against links that slow down at once for all connections of a box, as when callers of hanbit and wpsl return
// together: before the box has learned it, hedged attempts would double them.
func TestSlowConnectionsAreHedgedWithinTheBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a1"})
		d := s.boxes[0]
		links := slowDown(d)
		learn(t, s, d)
		links.set(200*time.Millisecond, nil)
		direct, tunnelled := connectMany(t, s, d, 160)
		if direct+tunnelled != 160 {
			t.Errorf("%d direct connections and %d through peers of 160", direct, tunnelled)
		}
		started, suppressed := hedged(t, d)
		if limit := 0.05*200 + 5; started == 0 || started > limit {
			t.Errorf("%v hedged attempts, want 1 to %v", started, limit)
		}
		if suppressed != 160-float64(tunnelled) {
			t.Errorf("%v suppressed, want one for each of the %d connections that were not hedged at once", suppressed, 160-tunnelled)
		}
		// The delay has followed the links.
		connectMany(t, s, d, 160)
		if after, _ := hedged(t, d); after != started {
			t.Errorf("%v hedged attempts after the box has learned that links are slow", after-started)
		}
		if delay := valueOf(t, d.metrics.hedgeDelay.WithLabelValues("a1")); delay < 0.2 || delay > dialTimeout.Seconds() {
			t.Errorf("a delay of %v s for connections of 202 ms", delay)
		}
		s.check(t)
	})
}

// exhaust uses up the budget of a box for hedged attempts.
func exhaust(t *testing.T, d *Daemon) {
	t.Helper()
	for range 1000 {
		if !d.connections.paths.takeHedge(d.clock.Now(), "another zone") {
			return
		}
	}
	t.Fatal("the budget has no limit")
}

// Guards against a box that leaves a failed attempt without a second one because its budget is used up.
func TestFailedAttemptIsFollowedAtOnceWithoutBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a1"})
		d := s.boxes[0]
		links := slowDown(d)
		learn(t, s, d)
		exhaust(t, d)
		links.set(0, syscall.ECONNRESET)
		began := time.Now()
		if _, tunnelled := connectMany(t, s, d, 1); tunnelled != 1 {
			t.Error("no peer connected after the box's own attempt has failed")
		}
		if took := time.Since(began); took > 20*time.Millisecond {
			t.Errorf("the connection took %s", took)
		}
		if started, suppressed := hedged(t, d); started != 0 || suppressed != 0 {
			t.Errorf("%v hedged attempts and %v suppressed, want none", started, suppressed)
		}
		s.check(t)
	})
}

// Guards against a box that is cut off and waits for the dial timeout with each connection because its budget is used
// up: connections that wait when the second attempt in a row fails are hedged within one delay.
func TestBudgetDoesNotDelayBoxThatIsCutOff(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		s := newPartitionCluster(t, []string{"a1", "a1", "a2"}, []string{"a1", "a1", "a1"})
		d := s.boxes[0]
		learn(t, s, d)
		exhaust(t, d)
		s.cut(hangAndClose, 0)
		go connectMany(t, s, d, 2)
		time.Sleep(dialTimeout - 50*time.Millisecond)
		began := time.Now()
		if _, tunnelled := connectMany(t, s, d, 20); tunnelled != 20 {
			t.Errorf("%d of 20 connections through peers", tunnelled)
		}
		// The two fail 50 ms later, each of the others is tried again every 62 ms.
		if took := time.Since(began); took > 160*time.Millisecond {
			t.Errorf("the connections took %s", took)
		}
		s.check(t)
	})
}
