package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// runQueue runs a function in virtual time with a queue whose batches are passed to commit.
func runQueue(t *testing.T, commit func(context.Context, []*pendingUpdate) []error, run func(t *testing.T, q *registrationQueue)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		q := newRegistrationQueue()
		q.commit = commit
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- q.run(ctx) }()
		run(t, q)
		stop()
		<-ended
	})
}

func registrationCommand(id string, sequence uint64) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Sequence: sequence}}
}

// An update that is submitted again while it is pending is committed once.
func TestWordToldAgainWhileItWaitsIsSettledOnce(t *testing.T) {
	committed := 0
	commit := func(_ context.Context, batch []*pendingUpdate) []error {
		time.Sleep(300 * time.Millisecond)
		committed += len(batch)
		return make([]error, len(batch))
	}
	runQueue(t, commit, func(t *testing.T, q *registrationQueue) {
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() {
				if err := q.submit(t.Context(), registrationCommand("a", 1), false); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		calls.Wait()
	})
	if committed != 1 {
		t.Errorf("committed %d times, want 1", committed)
	}
}

// An update is retried until its caller gives up, and no longer.
func TestWordIsTriedWhileItsAskerWaits(t *testing.T) {
	var attempts []time.Duration
	began := time.Time{}
	commit := func(_ context.Context, batch []*pendingUpdate) []error {
		attempts = append(attempts, time.Since(began))
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	runQueue(t, commit, func(t *testing.T, q *registrationQueue) {
		began = time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := q.submit(ctx, registrationCommand("a", 1), false); err == nil {
			t.Error("no error although no leader committed the update")
		}
		time.Sleep(10 * time.Second)
	})
	if len(attempts) < 10 {
		t.Errorf("%d attempts in a second, want at least 10", len(attempts))
	}
	if last := attempts[len(attempts)-1]; last > time.Second {
		t.Errorf("attempt after %v, the caller waited 1 s", last)
	}
}

// An update forwarded by another replica is not forwarded again, so that updates do not circulate
// among replicas that each take the other for the leader.
func TestForwardedWordIsTriedOnce(t *testing.T) {
	attempts := 0
	commit := func(_ context.Context, batch []*pendingUpdate) []error {
		attempts++
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	runQueue(t, commit, func(t *testing.T, q *registrationQueue) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var unavailable *UnavailableError
		if err := q.submit(ctx, registrationCommand("a", 1), true); !errors.As(err, &unavailable) {
			t.Errorf("got %v", err)
		}
	})
	if attempts != 1 {
		t.Errorf("%d attempts, want 1", attempts)
	}
}

// A leader of an earlier version does not support batches of updates and receives each update in a
// call of its own.
func TestWordsAreHandedOnSinglyToAnEarlierVersion(t *testing.T) {
	var mu sync.Mutex
	got := make(map[string]int)
	handlers := link.Handlers{Call: func(_ context.Context, _ string, r *wire.CallRequest) *wire.CallAnswer {
		if r.Submit == nil {
			return &wire.CallAnswer{Error: "a control replica does not answer this"}
		}
		mu.Lock()
		defer mu.Unlock()
		got[r.Submit.Registration.Registration.Id]++
		return &wire.CallAnswer{Submit: &wire.SubmitAnswer{}}
	}}
	clock := timeline.NewClock(time.Now)
	leader, err := link.Listen(link.TCP(), "127.0.0.1:0", link.Identity{Name: "old"}, clock, handlers, nil)
	if err != nil {
		t.Fatal(err)
	}
	d := &Daemon{node: link.NewClient(link.Identity{Name: "new"}, clock, nil)}
	updates := []*pendingUpdate{{command: registrationCommand("a", 1)}, {command: registrationCommand("b", 1), forwarded: true}, {command: registrationCommand("c", 1)}}
	outcomes := d.forwardUpdates(t.Context(), leader.Address(), updates)
	if outcomes[0] != nil || outcomes[1] == nil || outcomes[2] != nil {
		t.Errorf("outcomes %v", outcomes)
	}
	if err := errors.Join(d.node.Close(), leader.Close()); err != nil {
		t.Error(err)
	}
	if len(got) != 2 || got["a"] != 1 || got["c"] != 1 {
		t.Errorf("the leader received %v", got)
	}
}

// newSoleLeader returns the only replica of a quorum. It leads, and its loop does not run.
func newSoleLeader(t *testing.T) *replica {
	t.Helper()
	j, found, err := journal.Open("folder", "a", newFakeDisk(1).files())
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(0, 0)
	r, err := openReplica(func() time.Time { return now }, consensus.Config{}, j, found, snapshotEvery)
	if err != nil {
		t.Fatal(err)
	}
	r.send = func(*wire.ConsensusMessage) {}
	r.publish = func(steering.State, []*wire.Command) {}
	r.onNotice = func(consensus.Notice) {}
	r.onApplied = func(*wire.Command, steering.Result) {}
	r.onSynced = func(time.Duration) {}
	out := r.handle(bootstrap{&wire.Membership{Voters: []*wire.Replica{{Id: r.id, Address: "a"}}}})
	for r.machine.Status(now).Role != consensus.Leader {
		if err := r.handleOutput(out); err != nil {
			t.Fatal(err)
		}
		now = now.Add(50 * time.Millisecond)
		if out, err = r.tick(); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.handleOutput(out); err != nil {
		t.Fatal(err)
	}
	return r
}

// A request whose caller gave up while it was queued is not proposed.
func TestOrderWithoutAskerIsNotProposed(t *testing.T) {
	r := newSoleLeader(t)
	var dropped []string
	r.onDequeued = func(kind string, _ time.Duration, abandoned bool) {
		if abandoned {
			dropped = append(dropped, kind)
		}
	}
	callerCtx, giveUp := context.WithCancel(t.Context())
	reply := make(chan outcome, 2)
	for _, ctx := range []context.Context{callerCtx, t.Context()} {
		if err := r.inbox.put(ctx, proposal{&wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "z"}}, reply}); err != nil {
			t.Fatal(err)
		}
	}
	giveUp()
	a, _ := r.inbox.next()
	out := r.drain(a)
	if len(out.Entries) != 1 || len(dropped) != 1 || dropped[0] != "order" {
		t.Errorf("%d entries, dropped inputs %v; want 1 entry and one dropped order", len(out.Entries), dropped)
	}
	if err := r.handleOutput(out); err != nil {
		t.Fatal(err)
	}
	if o := <-reply; o.err != nil || !o.result.Changed {
		t.Errorf("the other request: %+v", o)
	}
}

// Messages of other replicas and requests are handled before updates, however many updates are
// queued.
func TestWordsWaitBehindMessagesAndOrders(t *testing.T) {
	i := newInbox()
	for range updateQueueSize {
		if !i.tryPut(updateBatch{}) {
			t.Fatal("the queue is full")
		}
	}
	if i.tryPut(updateBatch{}) {
		t.Error("more updates were queued than the queue holds")
	}
	if !i.tryPut(readRequest{}) || !i.tryPut(receivedMessage{}) {
		t.Fatal("queued updates block the other queues")
	}
	var got []string
	for a, ok := i.next(); ok && len(got) < 3; a, ok = i.next() {
		got = append(got, inputKind(a.message))
	}
	if len(got) != 3 || got[0] != "consensus" || got[1] != "question" || got[2] != "words" {
		t.Errorf("handled in the order %v", got)
	}
}

// If more entries are committed than are applied at once, the rest is applied in the following
// iterations, and a read waits for the entries that it must reflect.
func TestLongCommitIsAppliedInTurns(t *testing.T) {
	r := newSoleLeader(t)
	const count = 3*maxEntriesPerApply + 5
	reply := make(chan updateOutcome, count)
	batch := updateBatch{reply: reply}
	for i := range count {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26))
		batch.updates = append(batch.updates, &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Address: id, Sequence: 1}}})
	}
	read := make(chan readOutcome, 1)
	if err := r.handleOutput(r.handle(batch)); err != nil {
		t.Fatal(err)
	}
	if n := len(r.state.Catalog().Targets()); n != maxEntriesPerApply {
		t.Fatalf("%d targets after one iteration, want %d", n, maxEntriesPerApply)
	}
	if err := r.handleOutput(r.handle(readRequest{read})); err != nil {
		t.Fatal(err)
	}
	for iterations := 0; len(r.committed) > 0; iterations++ {
		select {
		case <-read:
			t.Fatal("a read was answered from a state that lacks entries committed before it")
		default:
		}
		if iterations > count/maxEntriesPerApply {
			t.Fatalf("%d entries wait after %d iterations", len(r.committed), iterations)
		}
		if err := r.handleOutput(r.drainInbox(consensus.Output{})); err != nil {
			t.Fatal(err)
		}
	}
	if o := <-read; o.err != nil || len(o.state.Catalog().Targets()) != count {
		t.Errorf("read %d targets: %v", len(o.state.Catalog().Targets()), o.err)
	}
	for range count {
		if o := <-reply; o.err != nil {
			t.Errorf("update %d: %v", o.index, o.err)
		}
	}
}
