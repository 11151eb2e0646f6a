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
	// wideLinkBytes is what all links between the replicas together carry: 1 Gbit/s.
	wideLinkBytes = 1_000_000_000 / 8
	// targetCallTimeout is how long a target waits for an answer, and targetPause how
	// long it rests before it tells the next replica.
	targetCallTimeout = 900 * time.Millisecond
	targetRetryDelay  = 100 * time.Millisecond
	// maxBurstAckTime bounds the acknowledgement of a document while updates of
	// targets come at once.
	maxBurstAckTime = time.Second
)

// burst is registration updates that come at one moment.
type burst struct {
	targets int
	// commandTime is the time of a replica's loop for one command.
	commandTime time.Duration
}

// Guards against a leader that is deposed, and a document that is not acknowledged, while many
// targets change at once.
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
			runReplicasOn(t, wideLinkBytes, steering.State{}, func(t *testing.T, s *slowReplicas) { s.checkBurst(t, b) })
		})
	}
}

// checkBurst has the replicas checkBurst a burst and an operator's document.
func (s *slowReplicas) checkBurst(t *testing.T, b burst) {
	t.Helper()
	settled := s.slowDown(b.commandTime)
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
	t.Logf("document after %v, all updates after %v, %d commands settled of %d needed, term %d after %d", took, all, settled(), needed, s.term(t), term)
	if took > maxBurstAckTime {
		t.Errorf("the document was acknowledged after %v, want at most %v", took, maxBurstAckTime)
	}
	if most := needed + needed/10; settled() > most {
		t.Errorf("%d commands were settled, want at most %d", settled(), most)
	}
	if s.term(t) != term {
		t.Errorf("the replicas are in term %d, were in %d", s.term(t), term)
	}
	if most := time.Duration(b.targets)*b.commandTime*3/2 + 2*time.Second; all > most {
		t.Errorf("all updates were settled after %v, want at most %v", all, most)
	}
}

// slowDown has each replica's loop take a time for each command, and returns what
// counts the commands that were settled.
func (s *slowReplicas) slowDown(takes time.Duration) (settled func() int) {
	var mu sync.Mutex
	count := 0
	for _, d := range s.daemons {
		before := d.replica.onApplied
		d.replica.onApplied = func(c *wire.Command, result steering.Result) {
			time.Sleep(takes)
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

// register has a target register replicas of itself, one after the other, until one answers.
func (s *slowReplicas) register(ctx context.Context, i int) {
	for at := i; ctx.Err() == nil; at++ {
		update := &wire.Registration{
			Id: fmt.Sprint("t", i), Address: fmt.Sprint("a", i), Service: "s", Zone: "z", Slots: 9, Sequence: uint64(at - i + 1), ColdMilli: 3000,
		}
		call, cancel := context.WithTimeout(ctx, targetCallTimeout)
		err := s.daemons[at%len(s.daemons)].Register(call, update)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(targetRetryDelay)
	}
}

// putUntilAcknowledged puts a document as an operator does and returns how long that
// took.
func (s *slowReplicas) putUntilAcknowledged(t *testing.T) time.Duration {
	t.Helper()
	began := time.Now()
	for at := 0; ; at++ {
		ctx, cancel := context.WithTimeout(t.Context(), targetCallTimeout)
		err := s.daemons[at%len(s.daemons)].PutRoutes(ctx, catalog.Document{Number: 1}, operatorsText(100))
		cancel()
		if err == nil {
			return time.Since(began)
		}
		if time.Since(began) > time.Minute {
			t.Fatalf("the document is not acknowledged: %v", err)
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
		t.Fatal("no replica leads")
	}
	v, err := s.daemons[i].replica.view(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return v.status.Term
}
