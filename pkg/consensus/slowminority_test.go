package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a follower that takes its state for current because of what was long in transit:
// messages of a replaced leader, or the answers by which that leader believes that it leads.
func TestFollowerOfReplacedLeaderIsStaleOverSlowLinks(t *testing.T) {
	failed, worst := 0, time.Duration(0)
	for seed := uint64(1); seed <= 200; seed++ {
		s := runSlowMinority(t, seed)
		if s.violations > 0 {
			failed++
			worst = max(worst, s.worst)
		}
	}
	if failed > 0 {
		t.Errorf("%d of 200 seeds, worst %s beyond the first commit of the next leader", failed, worst)
	}
}

// runSlowMinority runs five replicas. Suddenly the links between three of them and the other two
// become slow, with a delay for each direction, and the three restart now and then.
func runSlowMinority(t *testing.T, seed uint64) *currentTimes {
	t.Helper()
	const maxDelay, ticksPerRestart = 100, 40
	c := newSlowCluster(t, 5, seed*1000)
	old := c.awaitLeader(t)
	for range 40 {
		c.advance()
	}
	minority := map[string]bool{old.id: true}
	for _, m := range c.members {
		if len(minority) < 2 {
			minority[m.id] = true
		}
	}
	random := rand.New(rand.NewPCG(seed, 3))
	toMinority, fromMinority := random.IntN(maxDelay), random.IntN(maxDelay)
	pending := make(map[int][]*wire.ConsensusMessage)
	s := &currentTimes{}
	for step := range 300 {
		restart := random.IntN(ticksPerRestart) == 0
		for _, m := range c.members {
			for _, message := range m.inbox {
				due := step
				switch {
				case minority[message.To] && !minority[message.From]:
					due += toMinority
				case minority[message.From] && !minority[message.To]:
					due += fromMinority
				}
				pending[due] = append(pending[due], message)
			}
			m.inbox = nil
			if restart && !minority[m.id] {
				c.restart(t, m)
			}
		}
		for _, message := range pending[step] {
			i := slices.IndexFunc(c.members, func(m *member) bool { return m.id == message.To })
			c.members[i].inbox = append(c.members[i].inbox, message)
		}
		delete(pending, step)
		c.advanceSplit(nil)
		s.observe(c)
		for _, m := range c.members {
			if m.replica.role == Leader && step%5 == 0 {
				c.handle(m, Propose{Data: []byte("x")})
			}
		}
	}
	if c.err != nil {
		t.Fatal(c.err)
	}
	return s
}

// Guards against a follower that starts again under a replaced leader and takes a time of its
// earlier start, which that leader still sends, for one of its own clock.
func TestRestartedFollowerOfReplacedLeaderIsStale(t *testing.T) {
	failed := 0
	for seed := uint64(1); seed <= 100; seed++ {
		s := runMinority(t, seed, 5, 1, func(c *cluster, step int, side map[string]bool) {
			if step == 0 || step%7 != 0 {
				return
			}
			for _, m := range c.members {
				if side[m.id] && m.replica.role != Leader {
					c.restart(t, m)
				}
			}
		})
		if s.violations > 0 {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of 100 seeds failed", failed)
	}
}
