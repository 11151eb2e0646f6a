package consensus

import (
	"slices"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// currentTimes checks, over a whole cluster, that a replica which calls its state current at a
// time has everything that any replica had committed by then.
type currentTimes struct {
	firstCommit []commitTime // by index, ascending
	worst       time.Duration
	violations  int
}

type commitTime struct {
	index uint64
	at    time.Time
}

func (s *currentTimes) observe(c *cluster) {
	var highest uint64
	for _, m := range c.members {
		if m.alive {
			highest = max(highest, m.replica.commit)
		}
	}
	if n := len(s.firstCommit); n == 0 || highest > s.firstCommit[n-1].index {
		s.firstCommit = append(s.firstCommit, commitTime{highest, c.now})
	}
	for _, m := range c.members {
		if !m.alive {
			continue
		}
		at, ok := m.replica.CurrentAt(m.replica.commit)
		if !ok {
			continue
		}
		i, _ := slices.BinarySearchFunc(s.firstCommit, m.replica.commit+1, func(e commitTime, index uint64) int {
			switch {
			case e.index < index:
				return -1
			case e.index > index:
				return 1
			}
			return 0
		})
		if i == len(s.firstCommit) || !at.After(s.firstCommit[i].at) {
			continue
		}
		s.violations++
		s.worst = max(s.worst, at.Sub(s.firstCommit[i].at))
	}
}

// advanceSplit is advance with a partition: a message takes a tick to any member, and none
// passes between the given members and the others.
func (c *cluster) advanceSplit(side map[string]bool) {
	c.now = c.now.Add(tick)
	inboxes := make([][]*wire.ConsensusMessage, len(c.members))
	for i, m := range c.members {
		inboxes[i], m.inbox = m.inbox, nil
	}
	for i, m := range c.members {
		if !m.alive {
			continue
		}
		for _, message := range inboxes[i] {
			if side[message.From] == side[m.id] {
				c.handle(m, Receive{Message: message})
			}
		}
		c.handle(m, Tick{})
	}
}

func runMinority(t *testing.T, seed uint64, n, followers int, extra func(c *cluster, step int, side map[string]bool)) *currentTimes {
	t.Helper()
	c := newSlowCluster(t, n, seed*1000)
	old := c.awaitLeader(t)
	for range 40 + seed%40 { // the phase of the leader's checks
		c.advance()
	}
	s := &currentTimes{}
	side := map[string]bool{old.id: true}
	for _, m := range c.members {
		if m != old && len(side) <= followers {
			side[m.id] = true
		}
	}
	for step := range 200 {
		if extra != nil {
			extra(c, step, side)
		}
		c.advanceSplit(side)
		s.observe(c)
		for _, m := range c.members {
			if !side[m.id] && m.replica.role == Leader && step%5 == 0 {
				c.handle(m, Propose{Data: []byte("x")})
			}
		}
	}
	if c.err != nil {
		t.Fatal(c.err)
	}
	return s
}

func report(t *testing.T, name string, run func(seed uint64) *currentTimes) {
	t.Run(name, func(t *testing.T) {
		failed := 0
		var worst time.Duration
		var seeds []uint64
		for seed := uint64(1); seed <= 200; seed++ {
			s := run(seed)
			if s.violations > 0 {
				failed++
				if len(seeds) < 6 {
					seeds = append(seeds, seed)
				}
				worst = max(worst, s.worst)
			}
		}
		t.Logf("%d of 200 seeds, worst %s beyond the first commit of the next leader, seeds %v", failed, worst, seeds)
		if failed > 0 {
			t.Fail()
		}
	})
}

// Guards against a follower that takes its state for current because a leader which a majority
// has replaced still reaches it.
func TestFollowerOfReplacedLeaderIsStale(t *testing.T) {
	report(t, "five, one follower", func(seed uint64) *currentTimes { return runMinority(t, seed, 5, 1, nil) })
	report(t, "three, no follower", func(seed uint64) *currentTimes { return runMinority(t, seed, 3, 0, nil) })
	// A voter of the majority restarts at the cut: it has forgotten that it heard the leader.
	report(t, "five, majority restarts", func(seed uint64) *currentTimes {
		return runMinority(t, seed, 5, 1, func(c *cluster, step int, side map[string]bool) {
			if step != 1 {
				return
			}
			for _, m := range c.members {
				if !side[m.id] {
					c.restart(t, m)
				}
			}
		})
	})
	// What the old leader sends takes longer: messages to its follower wait for ten ticks.
	report(t, "five, follower's messages 0.2 s late, no cut but of the leader", func(seed uint64) *currentTimes {
		held := map[int][]*wire.ConsensusMessage{}
		var old *member
		return runMinority(t, seed, 5, 1, func(c *cluster, step int, side map[string]bool) {
			if step == 0 {
				old = c.leader()
			}
			for _, m := range c.members {
				if !side[m.id] || m == old {
					continue
				}
				held[step+10] = slices.Clone(m.inbox)
				m.inbox = held[step]
			}
		})
	})
}

// newSlowCluster returns a cluster whose election timeout is 40 ticks, so that an election takes
// a small part of it.
func newSlowCluster(t *testing.T, n int, seed uint64) *cluster {
	c := newCluster(n, seed)
	for _, m := range c.members {
		c.restart(t, m)
	}
	return c
}

func (c *cluster) restart(t *testing.T, m *member) {
	t.Helper()
	c.start(m)
	r, err := New(c.now, Config{ID: m.id, ElectionTimeout: 40 * tick, Seed: c.seed, TrailingEntries: 4, MaxBatch: 4}, m.stored)
	if err != nil {
		t.Fatal(err)
	}
	m.replica = r
}
