package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/catalog"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// wideLinkBytes is the bandwidth of all links between the replicas together, in bytes per
	// second: 1 Gbit/s.
	wideLinkBytes = 1_000_000_000 / 8
	// targetCallTimeout is how long a target waits for an answer, and targetRetryDelay how long it
	// waits before it calls the next replica.
	targetCallTimeout = 900 * time.Millisecond
	targetRetryDelay  = 100 * time.Millisecond
	// maxBurstAckTime bounds the time until a document is acknowledged during a burst of
	// registration updates.
	maxBurstAckTime = time.Second
)

// burst describes registration updates that arrive at the same moment.
type burst struct {
	targets int
	// commandTime is how long a replica's loop takes for one command.
	commandTime time.Duration
}

// Guards against a burst of registration updates that deposes the leader or delays the
// acknowledgement of a document, as happens when many targets are replaced at once.
func TestDocumentIsAcknowledgedWhileTargetsAreReplaced(t *testing.T) {
	for _, b := range []burst{
		{300, 2 * time.Millisecond},
		{1356, 500 * time.Microsecond},
		{1356, time.Millisecond},
		{1356, 2 * time.Millisecond},
		{3002, 500 * time.Microsecond},
		{3002, 2 * time.Millisecond},
	} {
		t.Run(fmt.Sprintf("%d/%v", b.targets, b.commandTime), func(t *testing.T) {
			runReplicasWithBandwidth(t, wideLinkBytes, steering.State{}, func(t *testing.T, s *slowReplicas) { s.checkBurst(t, b) })
		})
	}
}

// checkBurst sends a burst and a document, and checks how fast both are committed, how often
// commands are applied, and that the term stays the same.
func (s *slowReplicas) checkBurst(t *testing.T, b burst) {
	t.Helper()
	applied := s.slowDown(b.commandTime)
	term := s.term(t)
	began := time.Now()
	var updates sync.WaitGroup
	for i := range b.targets {
		updates.Go(func() { s.register(t.Context(), i) })
	}
	time.Sleep(10 * time.Millisecond)
	took := s.putUntilAcknowledged(t)
	updates.Wait()
	all := time.Since(began)
	time.Sleep(quiescenceWait)
	needed := len(s.daemons) * (b.targets + 1)
	t.Logf("document acknowledged after %v, all updates committed after %v; %d commands applied, %d needed; term %d, was %d", took, all, applied(), needed, s.term(t), term)
	if took > maxBurstAckTime {
		t.Errorf("the document was acknowledged after %v, want at most %v", took, maxBurstAckTime)
	}
	if limit := needed + needed/10; applied() > limit {
		t.Errorf("%d commands were applied, want at most %d", applied(), limit)
	}
	if s.term(t) != term {
		t.Errorf("the replicas are in term %d, want %d as before the burst", s.term(t), term)
	}
	if limit := time.Duration(b.targets)*b.commandTime*3/2 + 2*time.Second; all > limit {
		t.Errorf("all updates were committed after %v, want at most %v", all, limit)
	}
}

// slowDown delays each replica's loop for every command, and returns a function that counts the
// commands applied.
func (s *slowReplicas) slowDown(delay time.Duration) (applied func() int) {
	var mu sync.Mutex
	count := 0
	for _, d := range s.daemons {
		before := d.replica.onApplied
		d.replica.onApplied = func(c *wire.Command, result steering.Result) {
			time.Sleep(delay)
			mu.Lock()
			count++
			mu.Unlock()
			before(c, result)
		}
	}
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// register registers a target, trying one replica after another until one answers.
func (s *slowReplicas) register(ctx context.Context, i int) {
	for attempt := i; ctx.Err() == nil; attempt++ {
		update := &wire.Registration{
			Id: fmt.Sprint("t", i), Address: fmt.Sprint("a", i), Service: "s", Zone: "z", Slots: 9, Sequence: uint64(attempt - i + 1), ColdMilli: 3000,
		}
		call, cancel := context.WithTimeout(ctx, targetCallTimeout)
		err := s.daemons[attempt%len(s.daemons)].Register(call, update)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(targetRetryDelay)
	}
}

// putUntilAcknowledged puts a document the way an operator does, with retries, and returns how
// long that took.
func (s *slowReplicas) putUntilAcknowledged(t *testing.T) time.Duration {
	t.Helper()
	began := time.Now()
	for attempt := 0; ; attempt++ {
		ctx, cancel := context.WithTimeout(t.Context(), targetCallTimeout)
		err := s.daemons[attempt%len(s.daemons)].PutRoutes(ctx, catalog.Document{Number: 1}, sampleRoutesText(100))
		cancel()
		if err == nil {
			return time.Since(began)
		}
		if time.Since(began) > time.Minute {
			t.Fatalf("the document was not acknowledged: %v", err)
		}
		time.Sleep(targetRetryDelay)
	}
}

func (s *slowReplicas) term(t *testing.T) uint64 {
	t.Helper()
	i := slices.IndexFunc(s.daemons, func(d *Daemon) bool {
		v, err := d.replica.view(t.Context())
		return err == nil && v.status.Role == consensus.Leader
	})
	if i < 0 {
		t.Fatal("no leader")
	}
	v, err := s.daemons[i].replica.view(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.status.Term
}
