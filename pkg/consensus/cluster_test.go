package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// member is a replica with its stored state. Whatever is in an Output counts as synced
// as soon as the output is processed.
type member struct {
	id          string
	replica     *Replica
	stored      Stored
	applied     []*wire.Entry
	appliedFrom uint64
	inbox       []*wire.ConsensusMessage
	alive       bool
	committedAt time.Time
}

type cluster struct {
	now          time.Time
	members      []*member
	leaderOfTerm map[uint64]string
	isolated     map[string]bool
	seed         uint64
	err          error
}

const tick = 20 * time.Millisecond

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{now: time.Unix(1000, 0), leaderOfTerm: make(map[uint64]string), isolated: make(map[string]bool), seed: seed}
	first := &wire.Membership{}
	for i := range n {
		first.Voters = append(first.Voters, &wire.Replica{Id: fmt.Sprintf("r%d", i), Address: fmt.Sprintf("a%d", i)})
	}
	for _, v := range first.Voters {
		m := &member{id: v.Id, appliedFrom: 1}
		m.stored.Snapshot = &wire.Snapshot{Index: 1, Term: 1, Membership: first}
		c.members = append(c.members, m)
		c.start(m)
	}
	return c
}

func (c *cluster) start(m *member) {
	c.seed++
	r, err := New(c.now, Config{ID: m.id, ElectionTimeout: 200 * time.Millisecond, Seed: c.seed, TrailingEntries: 4, MaxBatch: 4}, m.stored)
	if err != nil {
		c.err = err
		return
	}
	m.replica, m.alive, m.inbox = r, true, nil
	m.appliedFrom = m.stored.Snapshot.GetIndex()
	m.applied = nil
}

func (c *cluster) handle(m *member, e Event) Output {
	out := m.replica.Handle(c.now, e)
	if out.HardState != nil {
		m.stored.HardState = out.HardState
	}
	if out.Snapshot != nil {
		m.stored.Snapshot, m.stored.Entries = out.Snapshot, nil
		m.appliedFrom, m.applied = out.Snapshot.Index, nil
	}
	for _, e := range out.Entries {
		at := slices.IndexFunc(m.stored.Entries, func(o *wire.Entry) bool { return o.Index >= e.Index })
		if at >= 0 {
			m.stored.Entries = m.stored.Entries[:at]
		}
		m.stored.Entries = append(m.stored.Entries, e)
	}
	if len(out.Committed) > 0 {
		m.applied = append(m.applied, out.Committed...)
		m.committedAt = c.now
	}
	for _, n := range out.Notices {
		if n.Role != Leader {
			continue
		}
		if other, ok := c.leaderOfTerm[n.Term]; ok && other != m.id {
			c.err = fmt.Errorf("term %d has two leaders, %s and %s", n.Term, other, m.id)
		}
		c.leaderOfTerm[n.Term] = m.id
	}
	for _, message := range out.Messages {
		for _, to := range c.members {
			if to.id == message.To && !c.isolated[m.id] && !c.isolated[to.id] {
				to.inbox = append(to.inbox, proto.CloneOf(message))
			}
		}
	}
	return out
}

// advance moves the clock by a tick and delivers the messages sent before it.
func (c *cluster) advance() {
	c.now = c.now.Add(tick)
	for _, m := range c.members {
		if !m.alive {
			m.inbox = nil
			continue
		}
		inbox := m.inbox
		m.inbox = nil
		for _, message := range inbox {
			c.handle(m, Receive{Message: message})
		}
		c.handle(m, Tick{})
	}
}

func (c *cluster) leader() *member {
	for _, m := range c.members {
		if m.alive && !c.isolated[m.id] && m.replica.role == Leader {
			return m
		}
	}
	return nil
}

func (c *cluster) awaitLeader(t testing.TB) *member {
	for range 200 {
		c.advance()
		if m := c.leader(); m != nil && m.replica.commit > 1 {
			return m
		}
	}
	t.Fatal("no leader")
	return nil
}

// checkApplied checks that the members applied the same entries, without gaps.
func (c *cluster) checkApplied() error {
	if c.err != nil {
		return c.err
	}
	seen := make(map[uint64]*wire.Entry)
	for _, m := range c.members {
		at := m.appliedFrom
		for _, e := range m.applied {
			at++
			if e.Index != at {
				return fmt.Errorf("%s applied entry %d after %d", m.id, e.Index, at-1)
			}
			if other := seen[e.Index]; other != nil && !proto.Equal(other, e) {
				return fmt.Errorf("entry %d of %s differs from another replica's", e.Index, m.id)
			}
			seen[e.Index] = e
		}
	}
	return nil
}

// TestRandomFaultsKeepLogsConsistent runs random crashes, partitions, proposals, snapshots
// and leadership transfers. A term must have at most one leader, all replicas must apply
// the same entries, and a leader must be elected once all faults are over.
func TestRandomFaultsKeepLogsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{3, 5}).Draw(t, "members"), rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		acked := make(map[uint64]uint64) // index to term of committed entries
		pick := func(label string) *member {
			return c.members[rapid.IntRange(0, len(c.members)-1).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				for range rapid.IntRange(1, 15).Draw(t, "rounds") {
					c.advance()
				}
			},
			"propose":     func(*rapid.T) { c.handle(pick("to"), Propose{Data: []byte("x")}) },
			"proposeLong": func(*rapid.T) { c.handle(pick("to"), Propose{Data: make([]byte, maxInFlightBytes*2/3)}) },
			"crash":       func(*rapid.T) { pick("dies").alive = false },
			"start": func(*rapid.T) {
				if m := pick("starts"); !m.alive {
					c.start(m)
				}
			},
			"cut":      func(*rapid.T) { c.isolated[pick("cut").id] = true },
			"heal":     func(*rapid.T) { delete(c.isolated, pick("healed").id) },
			"transfer": func(*rapid.T) { c.handle(pick("from"), Transfer{}) },
			"snapshot": func(*rapid.T) {
				m := pick("of")
				if !m.alive || m.replica.commit <= m.stored.Snapshot.GetIndex() {
					return
				}
				at := m.replica.commit
				s := &wire.Snapshot{Index: at, Term: m.replica.TermAt(at), Membership: m.replica.MembershipAt(at)}
				m.stored.Snapshot, m.stored.Entries = s, m.replica.EntriesAfter(at)
				c.handle(m, Compact{s})
			},
			"": func(t *rapid.T) {
				if err := c.checkApplied(); err != nil {
					t.Fatal(err)
				}
				for _, m := range c.members {
					for _, e := range m.applied {
						if term, ok := acked[e.Index]; ok && term != e.Term {
							t.Fatalf("entry %d was committed with term %d and now has term %d", e.Index, term, e.Term)
						}
						acked[e.Index] = e.Term
					}
				}
			},
		})
		clear(c.isolated)
		for _, m := range c.members {
			if !m.alive {
				c.start(m)
			}
		}
		for range 200 {
			c.advance()
		}
		if c.leader() == nil {
			t.Fatal("no leader after all partitions are healed")
		}
		if err := c.checkApplied(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestFollowersCommitWithoutWaitingForAHeartbeat guards against a follower that learns
// of a commit one heartbeat late because its acknowledgement arrived after the commit.
func TestFollowersCommitWithoutWaitingForAHeartbeat(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	leader.replica.heartbeatDue = c.now.Add(time.Hour)
	began := c.now
	c.handle(leader, Propose{Data: []byte("x")})
	for range 6 {
		c.advance()
	}
	for _, m := range c.members {
		if m.replica.commit != leader.replica.commit || !m.committedAt.After(began) {
			t.Errorf("%s has committed up to %d, the leader up to %d", m.id, m.replica.commit, leader.replica.commit)
		}
	}
}

func TestIsolatedLeaderAnswersNoRead(t *testing.T) {
	c := newCluster(3, 1)
	old := c.awaitLeader(t)
	c.isolated[old.id] = true
	out := c.handle(old, Read{Token: 7})
	for range 60 {
		for _, r := range out.Reads {
			if r.Err == nil {
				t.Fatal("a leader without a quorum answered a read")
			}
		}
		c.advance()
		out = c.handle(old, Tick{})
	}
	if !old.replica.Status(c.now).CutOff {
		t.Error("the status of an isolated replica does not say that it is cut off")
	}
}

func TestTransferChangesLeader(t *testing.T) {
	c := newCluster(3, 2)
	old := c.awaitLeader(t)
	for range 5 {
		c.advance()
	}
	c.handle(old, Transfer{})
	for range 5 {
		c.advance()
	}
	if m := c.leader(); m == nil || m == old {
		t.Error("leadership was not transferred")
	}
}

func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	c := newCluster(3, 3)
	leader := c.awaitLeader(t)
	m := leader.replica.Membership()
	two := proto.CloneOf(m)
	two.Voters = two.Voters[:1]
	stranger := proto.CloneOf(m)
	stranger.Voters = append(stranger.Voters, &wire.Replica{Id: "new"})
	for name, next := range map[string]*wire.Membership{
		"two voters at a time":       two,
		"a voter that never learned": stranger,
		"no voter":                   {},
	} {
		out := c.handle(leader, ChangeMembership{Membership: next})
		if out.Proposals[0].Err == nil {
			t.Errorf("%s: the change was accepted", name)
		}
	}
}

func TestReplicaOnNewDiskBecomesVoter(t *testing.T) {
	c := newCluster(3, 4)
	leader := c.awaitLeader(t)
	lost := ""
	for i, m := range c.members {
		if m == leader {
			continue
		}
		lost = leader.replica.voters()[i].Address
		m.alive = false
		fresh := &member{id: "new", alive: true}
		c.members = append(c.members[:i:i], append([]*member{fresh}, c.members[i+1:]...)...)
		fresh.stored = Stored{}
		c.start(fresh)
		break
	}
	joining := &wire.Replica{Id: "new", Address: lost}
	var steps []RepairStep
	for range 100 {
		leader = c.leader()
		step, next := NextRepair(leader.replica.Membership(), leader.replica.Status(c.now), joining)
		if len(steps) == 0 || steps[len(steps)-1] != step {
			steps = append(steps, step)
		}
		if next != nil {
			c.handle(leader, ChangeMembership{Membership: next})
		}
		c.advance()
	}
	if got := steps[len(steps)-1]; got != RepairFinished {
		t.Errorf("the repair did not finish; its steps were %v", steps)
	}
}

// ExampleReplica runs a cluster of one replica and shows what its outputs ask to store
// and apply.
func ExampleReplica() {
	now := time.Unix(0, 0)
	alone := &wire.Membership{Voters: []*wire.Replica{{Id: "a"}}}
	r, err := New(now, Config{ID: "a"}, Stored{Snapshot: &wire.Snapshot{Index: 1, Term: 1, Membership: alone}})
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Handle(now.Add(3*time.Second), Tick{}) // no leader: it elects itself
	out := r.Handle(now.Add(3*time.Second), Propose{Data: []byte("hello")})
	fmt.Println("store", len(out.Entries), "apply", string(out.Committed[0].Data))
	// Output: store 1 apply hello
}
