package consensus

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// longEntry is a document of about 7,000 routes as it is written.
	longEntry = 1_500_000
	// longestAppend bounds an encoded append, and longestQueue all that is queued for
	// one replica that does not answer: 64 MB is the most that can be read, and
	// 8 MB are 16 s of a link of 4 Mbit/s.
	longestAppend = 5 << 20
	longestQueue  = 8 << 20
)

// longAppends proposes long entries at a leader whose messages nobody answers,
// and returns the appends with entries that it queues for one replica.
func longAppends(t *testing.T, entries int, within time.Duration) []*wire.ConsensusMessage {
	t.Helper()
	c := newCluster(3, 1)
	leader := c.elect(t)
	r := leader.replica
	r.config.ElectionTimeout = time.Second
	r.config.HeartbeatInterval = r.config.ElectionTimeout / heartbeatsPerElection
	r.config.MaxBatch = defaultMaxBatch
	r.quorumCheckAt = c.now.Add(within + tick)
	to := r.others()[0]
	data := make([]byte, longEntry)
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
	t.Logf("%d entries, %v: %d appends with entries, %d heartbeats without", entries, within, len(appends), beats)
	return appends
}

// Guards against a long append that is queued again with each heartbeat, behind itself.
func TestLongAppendIsQueuedOnce(t *testing.T) {
	if n := len(longAppends(t, 1, 900*time.Millisecond)); n != 1 {
		t.Errorf("an entry under way was queued %d times within 0.9 s", n)
	}
}

func TestAppendsAreBoundedByBytes(t *testing.T) {
	sum := 0
	for _, m := range longAppends(t, 2*defaultMaxBatch, 900*time.Millisecond) {
		size := proto.Size(m)
		sum += size
		if size > longestAppend {
			t.Errorf("an append has %d bytes and %d entries, want at most %d", size, len(m.Entries), longestAppend)
		}
	}
	if sum > longestQueue {
		t.Errorf("%d bytes are queued for one replica, want at most %d", sum, longestQueue)
	}
}

// TestLostLongAppendIsRepaired loses an append and checks that the heartbeat
// behind it has it sent again, long before its time has run out.
func TestLostLongAppendIsRepaired(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.elect(t)
	for range 10 {
		c.round()
	}
	c.do(leader, Propose{Data: make([]byte, longEntry)})
	for _, m := range c.members {
		m.inbox = nil
	}
	index := leader.replica.log.lastIndex()
	began := c.now
	for leader.replica.commit < index && c.now.Sub(began) < time.Minute {
		c.round()
	}
	if took, most := c.now.Sub(began), 2*leader.replica.config.HeartbeatInterval+6*tick; took > most {
		t.Errorf("committed %v after it was lost, want at most %v", took, most)
	}
	if c.leader() != leader {
		t.Error("another one leads")
	}
}

// TestManyLongEntriesArrive has a replica that was cut off catch up with long
// entries, which each exceed what may be under way, and short ones between them.
func TestManyLongEntriesArrive(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.elect(t)
	behind := c.members[(slices.Index(c.members, leader)+1)%len(c.members)]
	c.cut[behind.id] = true
	for i := range 40 {
		c.do(leader, Propose{Data: make([]byte, i%2*(maxUnderWay+1)+i)})
		c.round()
	}
	delete(c.cut, behind.id)
	began := c.now
	for behind.replica.commit < c.leader().replica.log.lastIndex() && c.now.Sub(began) < time.Minute {
		c.round()
	}
	if took := c.now.Sub(began); took > 10*time.Second {
		t.Errorf("caught up after %v", took)
	}
	if err := c.check(); err != nil {
		t.Error(err)
	}
}

// TestNewLeaderSendsBehindALongLog checks that the entries that a new leader
// finds in its log don't count as under way.
func TestNewLeaderSendsBehindALongLog(t *testing.T) {
	c := newCluster(3, 1)
	old := c.elect(t)
	for range 4 {
		c.do(old, Propose{Data: make([]byte, maxUnderWay)})
		c.round()
	}
	for range 10 {
		c.round()
	}
	old.alive = false
	next := c.elect(t)
	for _, id := range next.replica.others() {
		if n := next.replica.underWay(next.replica.progress[id]); n > maxUnderWay/2 {
			t.Errorf("%d bytes count as under way to %s", n, id)
		}
	}
	out := next.replica.Handle(c.now, Propose{Data: []byte("x")})
	if !slices.ContainsFunc(out.Messages, func(m *wire.ConsensusMessage) bool { return len(m.Entries) > 0 }) {
		t.Error("a proposal waits though nothing is under way")
	}
}

// TestAcknowledgedPartsKeepTheRestUnderWay has entries acknowledged one by one
// as a link of the least rate carries them.
func TestAcknowledgedPartsKeepTheRestUnderWay(t *testing.T) {
	const (
		parts = 8
		part  = leastRate * 3 / 50 // bytes of 60 ms
		each  = 3 * tick
	)
	c := newCluster(3, 1)
	leader := c.elect(t)
	for range 10 {
		c.round()
	}
	r := leader.replica
	r.config.HeartbeatInterval = 200 * time.Millisecond
	r.config.ElectionTimeout = time.Minute
	r.quorumCheckAt = c.now.Add(time.Minute)
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
		do(Receive{&wire.ConsensusMessage{
			Kind: wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, From: to, To: r.config.ID, Term: r.term, LogIndex: first + i, Round: r.round,
		}})
	}
	if p := r.progress[to]; sent != parts || p.match != r.log.lastIndex() {
		t.Errorf("%d entries were sent, %d exist; %d of %d are acknowledged", sent, parts, p.match, r.log.lastIndex())
	}
}
