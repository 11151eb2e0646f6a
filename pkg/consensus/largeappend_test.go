package consensus

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// largeEntryBytes is the encoded size of a document of about 7,000 routes.
	largeEntryBytes = 1_500_000
	// maxAppendBytes limits the encoded size of an append, maxQueuedBytes the total
	// queued for one replica that does not answer. A receiver reads at most 64 MB, and
	// 8 MB take 16 s over a link of 4 Mbit/s.
	maxAppendBytes = 5 << 20
	maxQueuedBytes = 8 << 20
)

// queueLargeAppends proposes large entries to a leader that gets no answers, and
// returns the appends with entries that it queues for one replica within the given
// time.
func queueLargeAppends(t *testing.T, entries int, within time.Duration) []*wire.ConsensusMessage {
	t.Helper()
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	r := leader.replica
	r.config.ElectionTimeout = time.Second
	r.config.HeartbeatInterval = r.config.ElectionTimeout / heartbeatsPerElectionTimeout
	r.config.MaxBatch = defaultMaxBatch
	r.quorumCheckDue = c.now.Add(within + tick)
	to := r.others()[0]
	data := make([]byte, largeEntryBytes)
	var out Output
	for range entries {
		out = out.Merge(r.Handle(c.now, Propose{Data: data}))
	}
	for end := c.now.Add(within); c.now.Before(end); {
		c.now = c.now.Add(tick)
		out = out.Merge(r.Handle(c.now, Tick{}))
	}
	var appends []*wire.ConsensusMessage
	beats := 0
	for _, m := range out.Messages {
		if m.To != to {
			continue
		}
		if len(m.Entries) > 0 {
			appends = append(appends, m)
			continue
		}
		beats++
	}
	t.Logf("%d entries, %v: %d appends with entries, %d heartbeats", entries, within, len(appends), beats)
	return appends
}

// TestLargeAppendIsQueuedOnce guards against a large append that is queued again with
// each heartbeat while the first copy is still in flight.
func TestLargeAppendIsQueuedOnce(t *testing.T) {
	if n := len(queueLargeAppends(t, 1, 900*time.Millisecond)); n != 1 {
		t.Errorf("an entry in flight was queued %d times within 0.9 s, want once", n)
	}
}

func TestAppendsAreBoundedByBytes(t *testing.T) {
	sum := 0
	for _, m := range queueLargeAppends(t, 2*defaultMaxBatch, 900*time.Millisecond) {
		size := proto.Size(m)
		sum += size
		if size > maxAppendBytes {
			t.Errorf("an append has %d bytes in %d entries, want at most %d bytes", size, len(m.Entries), maxAppendBytes)
		}
	}
	if sum > maxQueuedBytes {
		t.Errorf("%d bytes are queued for one replica, want at most %d", sum, maxQueuedBytes)
	}
}

// TestLostLargeAppendIsResent drops an append and checks that the rejected heartbeat
// after it triggers the resend, long before the resend timeout.
func TestLostLargeAppendIsResent(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for range 10 {
		c.advance()
	}
	c.handle(leader, Propose{Data: make([]byte, largeEntryBytes)})
	for _, m := range c.members {
		m.inbox = nil
	}
	index := leader.replica.log.lastIndex()
	began := c.now
	for leader.replica.commit < index && c.now.Sub(began) < time.Minute {
		c.advance()
	}
	if took, most := c.now.Sub(began), 2*leader.replica.config.HeartbeatInterval+6*tick; took > most {
		t.Errorf("committed %v after the append was lost, want at most %v", took, most)
	}
	if c.leader() != leader {
		t.Error("the leader changed")
	}
}

// TestIsolatedReplicaCatchesUpWithLargeEntries lets a replica that was isolated catch up
// with a mix of short entries and entries that each exceed maxInFlightBytes.
func TestIsolatedReplicaCatchesUpWithLargeEntries(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	behind := c.members[(slices.Index(c.members, leader)+1)%len(c.members)]
	c.isolated[behind.id] = true
	for i := range 40 {
		c.handle(leader, Propose{Data: make([]byte, i%2*(maxInFlightBytes+1)+i)})
		c.advance()
	}
	delete(c.isolated, behind.id)
	began := c.now
	for behind.replica.commit < c.leader().replica.log.lastIndex() && c.now.Sub(began) < time.Minute {
		c.advance()
	}
	if took := c.now.Sub(began); took > 10*time.Second {
		t.Errorf("caught up after %v, want at most 10s", took)
	}
	if err := c.checkApplied(); err != nil {
		t.Error(err)
	}
}

// TestNewLeaderCountsNoOldEntriesInFlight checks that a new leader does not count the entries
// already in its log as in flight.
func TestNewLeaderCountsNoOldEntriesInFlight(t *testing.T) {
	c := newCluster(3, 1)
	old := c.awaitLeader(t)
	for range 4 {
		c.handle(old, Propose{Data: make([]byte, maxInFlightBytes)})
		c.advance()
	}
	for range 10 {
		c.advance()
	}
	old.alive = false
	next := c.awaitLeader(t)
	for _, id := range next.replica.others() {
		if n := next.replica.inFlightBytes(next.replica.progress[id]); n > maxInFlightBytes/2 {
			t.Errorf("%d bytes count as in flight to %s", n, id)
		}
	}
	out := next.replica.Handle(c.now, Propose{Data: []byte("x")})
	if !slices.ContainsFunc(out.Messages, func(m *wire.ConsensusMessage) bool { return len(m.Entries) > 0 }) {
		t.Error("a proposal was not sent although nothing is in flight")
	}
}

// TestPartialAcknowledgementsCauseNoResend acknowledges entries one by one at the rate
// of the slowest link and checks that none is sent twice.
func TestPartialAcknowledgementsCauseNoResend(t *testing.T) {
	const (
		parts = 8
		part  = minLinkRate * 3 / 50 // bytes that the slowest link carries in 60 ms
		each  = 3 * tick
	)
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for range 10 {
		c.advance()
	}
	r := leader.replica
	r.config.HeartbeatInterval = 200 * time.Millisecond
	r.config.ElectionTimeout = time.Minute
	r.quorumCheckDue = c.now.Add(time.Minute)
	to, first := r.others()[0], r.log.lastIndex()+1
	sent := 0
	do := func(e Event) {
		for _, m := range r.Handle(c.now, e).Messages {
			if m.To == to {
				sent += len(m.Entries)
			}
		}
	}
	for range parts {
		do(Propose{Data: make([]byte, part)})
	}
	for i := range uint64(parts) {
		for range each / tick {
			c.now = c.now.Add(tick)
			do(Tick{})
		}
		do(Receive{Message: &wire.ConsensusMessage{
			Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, From: to, To: r.config.ID, Term: r.term, LogIndex: first + i, Round: r.round,
		}})
	}
	if p := r.progress[to]; sent != parts || p.match != r.log.lastIndex() {
		t.Errorf("%d entries were sent, want %d; acknowledged up to %d of %d", sent, parts, p.match, r.log.lastIndex())
	}
}
