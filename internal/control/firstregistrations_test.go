package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// fleetStartTime is the time within which all targets start.
	fleetStartTime = 300 * time.Millisecond
	// maxFirstRegistration bounds the time until every target is acknowledged, and maxCallsPerTarget
	// the calls that takes.
	maxFirstRegistration = 10 * time.Second
	maxCallsPerTarget    = 3
	// maxRetryDelay bounds the growing pause of a target before it calls the next replica.
	maxRetryDelay = time.Second
	// fleetCommandTime is how long a replica's loop takes for one command.
	fleetCommandTime = 50 * time.Microsecond
	// fleetCommitTime is a delay of each message between replicas: the way between regions.
	fleetCommitTime = 35 * time.Millisecond
)

// Guards against a congestion collapse at the first registrations of a fleet: updates are rejected
// because they queue, rejected ones return sooner than the queue drains, and few are committed.
func TestFleetRegisters(t *testing.T) {
	for _, targets := range []int{10_002, 20_004} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			runReplicasWithBandwidth(t, wideLinkBytes, steering.State{}, func(t *testing.T, s *slowReplicas) {
				s.slowDown(fleetCommandTime)
				defer s.delayMessages(fleetCommitTime)()
				var calls atomic.Int64
				var running sync.WaitGroup
				began := time.Now()
				for i := range targets {
					running.Go(func() {
						time.Sleep(time.Duration(i) * fleetStartTime / time.Duration(targets))
						s.registerCounted(t.Context(), i, &calls)
					})
				}
				running.Wait()
				took := time.Since(began)
				t.Logf("%d targets were acknowledged after %s in %d calls", targets, took, calls.Load())
				if took > maxFirstRegistration {
					t.Errorf("all targets were acknowledged after %s, want at most %s", took, maxFirstRegistration)
				}
				if n := calls.Load(); n > int64(maxCallsPerTarget*targets) {
					t.Errorf("%d calls, want at most %d a target", n, maxCallsPerTarget)
				}
			})
		})
	}
}

// delayMessages delays what the replicas send to each other, in the same order, until stop is called.
func (s *slowReplicas) delayMessages(delay time.Duration) (stop func()) {
	type delayed struct {
		message *wire.ConsensusMessage
		due     time.Time
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	queues := make(map[*Daemon]chan delayed)
	for _, d := range s.daemons {
		queue := make(chan delayed, consensusQueueSize)
		queues[d] = queue
		running.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case m := <-queue:
					time.Sleep(time.Until(m.due))
					m.message.FromAddress = d.config.PeerAddress
					d.transport.send(d.addressOf(m.message.To), m.message)
				}
			}
		})
	}
	intercept := func(from *Daemon, m *wire.ConsensusMessage) bool {
		select {
		case queues[from] <- delayed{m, time.Now().Add(delay)}:
		case <-ctx.Done():
		}
		return true
	}
	s.drop.Store(&intercept)
	return func() {
		s.drop.Store(nil)
		cancel()
		running.Wait()
	}
}

// registerCounted registers a target and counts its calls.
func (s *slowReplicas) registerCounted(ctx context.Context, i int, calls *atomic.Int64) {
	for attempt := i; ctx.Err() == nil; attempt++ {
		calls.Add(1)
		update := &wire.Registration{
			Id: fmt.Sprint("t", i), Address: fmt.Sprint("a", i), Service: "s", Zone: "z", Slots: 8, Sequence: uint64(attempt - i + 1),
		}
		call, cancel := context.WithTimeout(ctx, targetCallTimeout)
		err := s.daemons[attempt%len(s.daemons)].Register(call, update)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(min(targetRetryDelay<<(attempt-i), maxRetryDelay))
	}
}
