package consensus

import (
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// followerAt returns a follower with a snapshot of index 10 and term 3, and its clock.
func followerAt(t *testing.T) (*Replica, time.Time) {
	t.Helper()
	now := time.Unix(1000, 0)
	voters := []*wire.Replica{{Id: "r0"}, {Id: "r1"}, {Id: "r2"}}
	r, err := New(now, Config{ID: "r0"}, Stored{
		HardState: &wire.HardState{Term: 4},
		Snapshot:  &wire.Snapshot{Index: 10, Term: 3, Membership: &wire.Membership{Voters: voters}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r, now
}

// appendOf returns an append of term 4 with entries of that term.
func appendOf(logIndex, logTerm, commit uint64, indexes ...uint64) *wire.ConsensusMessage {
	m := &wire.ConsensusMessage{
		Kind: wire.MessageKind_MESSAGE_KIND_APPEND, From: "r1", To: "r0", Term: 4,
		LogIndex: logIndex, LogTerm: logTerm, Commit: commit,
	}
	for _, i := range indexes {
		m.Entries = append(m.Entries, &wire.Entry{Index: i, Term: 4, Kind: wire.EntryKind_ENTRY_KIND_COMMAND})
	}
	return m
}

func snapshotOf(index, commit uint64) *wire.ConsensusMessage {
	return &wire.ConsensusMessage{
		Kind: wire.MessageKind_MESSAGE_KIND_SNAPSHOT, From: "r1", To: "r0", Term: 4, Commit: commit,
		Snapshot: &wire.Snapshot{Index: index, Term: 4, Membership: &wire.Membership{Voters: []*wire.Replica{{Id: "r0"}, {Id: "r1"}, {Id: "r2"}}}},
	}
}

// Guards against a replica that takes its state for current because its leader is not silent,
// although it lacks entries that the leader has committed.
func TestReplicaThatCatchesUpIsStale(t *testing.T) {
	const never = -1 * time.Second
	// Message i arrives i seconds after the start.
	for _, c := range []struct {
		name     string
		messages []*wire.ConsensusMessage
		applied  uint64
		want     time.Duration
	}{
		{"heartbeats before the entries", []*wire.ConsensusMessage{appendOf(12, 4, 12), appendOf(12, 4, 12)}, 10, never},
		{"entries that are not applied", []*wire.ConsensusMessage{appendOf(10, 3, 12, 11, 12)}, 11, never},
		{"entries that are applied", []*wire.ConsensusMessage{appendOf(10, 3, 12, 11, 12)}, 12, 0},
		{"entries of an earlier heartbeat", []*wire.ConsensusMessage{appendOf(12, 4, 12), appendOf(10, 3, 14, 11, 12, 13)}, 13, 0},
		{"all entries", []*wire.ConsensusMessage{appendOf(12, 4, 12), appendOf(10, 3, 13, 11, 12, 13)}, 13, time.Second},
		{"heartbeat after the entries", []*wire.ConsensusMessage{appendOf(10, 3, 12, 11, 12), appendOf(12, 4, 12)}, 12, time.Second},
		{"entries lost again", []*wire.ConsensusMessage{appendOf(10, 3, 11, 11), appendOf(13, 4, 13), appendOf(13, 4, 13)}, 11, 0},
		{"snapshot before the commit index", []*wire.ConsensusMessage{snapshotOf(20, 21)}, 20, never},
		{"snapshot at the commit index", []*wire.ConsensusMessage{appendOf(10, 3, 11, 11), snapshotOf(20, 20)}, 20, time.Second},
		{"no entry of the leader's term", []*wire.ConsensusMessage{appendOf(10, 3, 10)}, 10, never},
		{"commit index below the log", []*wire.ConsensusMessage{appendOf(10, 3, 9)}, 10, never},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, began := followerAt(t)
			for i, m := range c.messages {
				r.Handle(began.Add(time.Duration(i)*time.Second), Receive{Message: m})
			}
			got := never
			if at, ok := r.CurrentAt(c.applied); ok {
				got = at.Sub(began)
			}
			if got != c.want {
				t.Errorf("current at %s after the start, want %s", got, c.want)
			}
		})
	}
}

// Guards against a replica with a full queue that takes a message for as recent as the time at
// which it handles it.
func TestReplicaIsCurrentAtArrival(t *testing.T) {
	r, began := followerAt(t)
	r.Handle(began.Add(3*time.Second), Receive{Message: appendOf(10, 3, 12, 11, 12), At: began.Add(time.Second)})
	if at, ok := r.CurrentAt(12); !ok || at.Sub(began) != time.Second {
		t.Errorf("current at %s after the start (%t), want 1 s", at.Sub(began), ok)
	}
}

// Guards against contacts that pile up at a replica that receives heartbeats and no entries, and
// against forgetting the first of them.
func TestContactsAreBounded(t *testing.T) {
	r, began := followerAt(t)
	for i := range uint64(1000) {
		r.Handle(began.Add(time.Duration(i)*time.Millisecond), Receive{Message: appendOf(12+i, 4, 12+i)})
	}
	if n := len(r.contacts); n > maxPendingContacts {
		t.Errorf("%d contacts are kept, want at most %d", n, maxPendingContacts)
	}
	r.Handle(began.Add(time.Second), Receive{Message: appendOf(10, 3, 1012, 11, 12)})
	if at, ok := r.CurrentAt(12); !ok || !at.Equal(began) {
		t.Errorf("current at %s after the start (%t), want the start", at.Sub(began), ok)
	}
}

// Guards against a leader without contact to a majority that takes its state for current until it
// steps down: another replica may lead by then.
func TestIsolatedLeaderIsStale(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for range 20 {
		c.advance()
	}
	age := func() time.Duration {
		at, ok := leader.replica.CurrentAt(leader.replica.commit)
		if !ok {
			t.Fatal("the leader is not current at any time")
		}
		return c.now.Sub(at)
	}
	if got, want := age(), leader.replica.config.HeartbeatInterval+3*tick; got > want {
		t.Errorf("the state of a leader with a quorum is %s old, want at most %s", got, want)
	}
	c.isolated[leader.id] = true
	cutAt := c.now
	for range 40 {
		c.advance()
		if got, want := age(), c.now.Sub(cutAt); got < want {
			t.Fatalf("the state of a leader that has been cut off for %s is %s old", want, got)
		}
	}
}
