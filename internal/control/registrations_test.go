package control

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/consensus"
	"ledgesill.dev/ledgesill/pkg/journal"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// runQueue runs a function in virtual time with updates that settle tries to settle.
func runQueue(t *testing.T, settle func(context.Context, []*pendingUpdate) []error, run func(t *testing.T, w *registrationQueue)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newRegistrationQueue()
		w.commit = settle
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- w.run(ctx) }()
		run(t, w)
		stop()
		<-ended
	})
}

func registrationCommand(id string, sequence uint64) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, Sequence: sequence}}
}

func TestWordToldAgainWhileItWaitsIsSettledOnce(t *testing.T) {
	settled := 0
	settle := func(_ context.Context, batch []*pendingUpdate) []error {
		time.Sleep(300 * time.Millisecond)
		settled += len(batch)
		return make([]error, len(batch))
	}
	runQueue(t, settle, func(t *testing.T, w *registrationQueue) {
		var telling sync.WaitGroup
		for range 3 {
			telling.Go(func() {
				if err := w.submit(t.Context(), registrationCommand("a", 1), false); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		telling.Wait()
	})
	if settled != 1 {
		t.Errorf("settled %d times", settled)
	}
}

// A update is tried until its asker gives up, and no longer.
func TestWordIsTriedWhileItsAskerWaits(t *testing.T) {
	var tries []time.Duration
	began := time.Time{}
	settle := func(_ context.Context, batch []*pendingUpdate) []error {
		tries = append(tries, time.Since(began))
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	runQueue(t, settle, func(t *testing.T, w *registrationQueue) {
		began = time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := w.submit(ctx, registrationCommand("a", 1), false); err == nil {
			t.Error("settled by nobody")
		}
		time.Sleep(10 * time.Second)
	})
	if len(tries) < 10 {
		t.Errorf("tried %d times in a second", len(tries))
	}
	if last := tries[len(tries)-1]; last > time.Second {
		t.Errorf("tried after %v, the asker waited for 1 s", last)
	}
}

// A update that another replica has handed on is not handed on again, so that no update
// goes round among replicas that each hold the other to be the leader.
func TestForwardedWordIsTriedOnce(t *testing.T) {
	tries := 0
	settle := func(_ context.Context, batch []*pendingUpdate) []error {
		tries++
		return repeatError(len(batch), &consensus.NotLeaderError{})
	}
	runQueue(t, settle, func(t *testing.T, w *registrationQueue) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var unavailable *UnavailableError
		if err := w.submit(ctx, registrationCommand("a", 1), true); !errors.As(err, &unavailable) {
			t.Errorf("got %v", err)
		}
	})
	if tries != 1 {
		t.Errorf("tried %d times", tries)
	}
}

// A leader of an earlier version, which knows no updates that are handed on together,
// gets each by itself.
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
	d := &Daemon{node: link.Dialer(link.Identity{Name: "new"}, clock, nil)}
	updates := []*pendingUpdate{{command: registrationCommand("a", 1)}, {command: registrationCommand("b", 1), forwarded: true}, {command: registrationCommand("c", 1)}}
	outcomes := d.forwardUpdates(t.Context(), leader.Address(), updates)
	if outcomes[0] != nil || outcomes[1] == nil || outcomes[2] != nil {
		t.Errorf("outcomes %v", outcomes)
	}
	if err := errors.Join(d.node.Close(), leader.Close()); err != nil {
		t.Error(err)
	}
	if len(got) != 2 || got["a"] != 1 || got["c"] != 1 {
		t.Errorf("the leader got %v", got)
	}
}

// newSoleLeader returns the only replica of a quorum, which leads and whose loop does
// not run.
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

// An order whose asker has gone while it waited for the loop is not done.
func TestOrderWithoutAskerIsNotProposed(t *testing.T) {
	r := newSoleLeader(t)
	var dropped []string
	r.onDequeued = func(kind string, _ time.Duration, abandoned bool) {
		if abandoned {
			dropped = append(dropped, kind)
		}
	}
	gone, leave := context.WithCancel(t.Context())
	reply := make(chan outcome, 2)
	for _, ctx := range []context.Context{gone, t.Context()} {
		if err := r.inbox.put(ctx, proposal{&wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "z"}}, reply}); err != nil {
			t.Fatal(err)
		}
	}
	leave()
	a, _ := r.inbox.next()
	out := r.drain(a)
	if len(out.Entries) != 1 || len(dropped) != 1 || dropped[0] != "order" {
		t.Errorf("%d entries, dropped %v; want 1 and an order", len(out.Entries), dropped)
	}
	if err := r.handleOutput(out); err != nil {
		t.Fatal(err)
	}
	if o := <-reply; o.err != nil || !o.result.Changed {
		t.Errorf("the other order: %+v", o)
	}
}

// However many updates wait, messages of other replicas and orders are taken first.
func TestWordsWaitBehindMessagesAndOrders(t *testing.T) {
	i := newInbox()
	for range updateQueueSize {
		if !i.tryPut(updateBatch{}) {
			t.Fatal("no room")
		}
	}
	if i.tryPut(updateBatch{}) {
		t.Error("updates took more than their room")
	}
	if !i.tryPut(readRequest{}) || !i.tryPut(receivedMessage{}) {
		t.Fatal("updates left no room for others")
	}
	var got []string
	for a, ok := i.next(); ok && len(got) < 3; a, ok = i.next() {
		got = append(got, inputKind(a.message))
	}
	if len(got) != 3 || got[0] != "consensus" || got[1] != "question" || got[2] != "words" {
		t.Errorf("taken in the order %v", got)
	}
}

// More committed entries than are applied at once are applied by the following turns,
// and a read waits for those that it is to show.
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
		t.Fatalf("%d targets after one turn, want %d", n, maxEntriesPerApply)
	}
	if err := r.handleOutput(r.handle(readRequest{read})); err != nil {
		t.Fatal(err)
	}
	for turns := 0; len(r.committed) > 0; turns++ {
		select {
		case <-read:
			t.Fatal("a read was answered by a state that lacks what was committed before it")
		default:
		}
		if turns > count/maxEntriesPerApply {
			t.Fatalf("%d entries wait after %d turns", len(r.committed), turns)
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
