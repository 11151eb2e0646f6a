package consensus

import (
	"testing"
	"time"
)

// earlierVersion makes members run the version that tells no times: it ignores the fields of
// others and sets none.
type earlierVersion map[string]bool

func (v earlierVersion) strip(c *cluster) {
	for _, m := range c.members {
		for _, message := range m.inbox {
			if v[m.id] || v[message.From] {
				message.SentAt, message.CurrentAt = nil, nil
			}
		}
	}
}

// next returns the member to renew next: a leader before or after all others.
func (v earlierVersion) next(c *cluster, leaderFirst bool) *member {
	var next *member
	for _, m := range c.members {
		isPreferred := (m.replica.role == Leader) == leaderFirst
		if v[m.id] && (next == nil || isPreferred) {
			next = m
		}
	}
	return next
}

// Guards against boxes that have to leave a replica in the middle of a renewal: as long as some
// replicas run the earlier version, the state of each counts as current.
func TestRenewalKeepsReplicasCurrent(t *testing.T) {
	const maxAge = 600 * time.Millisecond // a box allows 1.6 s, and is told the age each second
	for _, leaderFirst := range []bool{true, false} {
		for seed := uint64(1); seed <= 20; seed++ {
			c := newSlowCluster(t, 5, seed*1000)
			earlier := earlierVersion{}
			for _, m := range c.members {
				earlier[m.id] = true
			}
			c.awaitLeader(t)
			s := &currentTimes{}
			run := func(ticks int, check bool) {
				for range ticks {
					earlier.strip(c)
					c.advanceSplit(nil)
					s.observe(c)
					for _, m := range c.members {
						if age := ageOf(c, m); check && age > maxAge {
							t.Fatalf("seed %d, %d replicas of the earlier version are left: the state of %s is %s old", seed, len(earlier), m.id, age)
						}
					}
				}
			}
			run(100, true)
			for len(earlier) > 0 {
				m := earlier.next(c, leaderFirst)
				c.handle(m, Transfer{})
				run(10, true)
				c.restart(t, m)
				delete(earlier, m.id)
				run(20, false) // it starts
				run(100, true)
			}
			if s.violations > 0 {
				t.Errorf("seed %d: a replica called its state current %d times while it lacked a commit, by up to %s", seed, s.violations, s.worst)
			}
		}
	}
}

// Guards against a follower of the present version that takes its state for current because a
// replaced leader of the present version reaches it, while others run the earlier version. Under
// a leader of the earlier version there is no better time than the arrival of its messages.
func TestFollowerOfReplacedLeaderIsStaleInARenewal(t *testing.T) {
	for renewed := 2; renewed <= 5; renewed++ {
		failed := 0
		for seed := uint64(1); seed <= 100; seed++ {
			earlier := earlierVersion{}
			s := runMinority(t, seed, 5, 1, func(c *cluster, step int, side map[string]bool) {
				if step == 0 {
					// The leader and the follower that is cut off with it are renewed first.
					present := len(side)
					for _, m := range c.members {
						if !side[m.id] && present < renewed {
							present++
						} else if !side[m.id] {
							earlier[m.id] = true
						}
					}
				}
				earlier.strip(c)
			})
			if s.violations > 0 {
				failed++
			}
		}
		if failed > 0 {
			t.Errorf("%d of 5 replicas are renewed: %d of 100 seeds failed", renewed, failed)
		}
	}
}
