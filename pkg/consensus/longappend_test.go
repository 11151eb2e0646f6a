package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Seen: replicas sent several times the bytes of the documents that operators
// put, 4 to 7 MB in each second.
//
// How it came about: a document of 1.5 MB takes 3 s on a link of 4 Mbit/s;
// until then its append is not acknowledged.
//
// Cause: an append that is not acknowledged within a heartbeat is queued again
// with each heartbeat, behind itself; a batch is bounded by entries, not by bytes.
//
// Proof: what a leader queues for one replica that does not answer, below.

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
