package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// slowLinks delays all messages of a cluster by a number of ticks.
type slowLinks struct {
	ticks   int
	pending [][][]*wire.ConsensusMessage // by tick, then by member
}

// advance is cluster.advance with the delay.
func (l *slowLinks) advance(c *cluster) {
	var sent [][]*wire.ConsensusMessage
	for _, m := range c.members {
		sent = append(sent, m.inbox)
		m.inbox = nil
	}
	l.pending = append(l.pending, sent)
	if len(l.pending) >= l.ticks {
		for i, m := range c.members {
			m.inbox = l.pending[0][i]
		}
		l.pending = l.pending[1:]
	}
	c.advanceSplit(nil)
}

// Guards against a follower whose state is taken for old although nothing disturbs it: a round of
// heartbeats is confirmed and told in two round trips, and the next one begins after an interval.
// Guards as well against ages that leave out how long messages and answers take.
func TestAgeOfUndisturbedFollower(t *testing.T) {
	for _, ticks := range []int{1, 2, 5} {
		for _, replicas := range []int{3, 5, 9} {
			c := newSlowCluster(t, replicas, uint64(1000+replicas))
			c.awaitLeader(t)
			links := &slowLinks{ticks: ticks}
			roundTrip := 2 * time.Duration(ticks) * tick
			var sum, worst time.Duration
			samples := 0
			for i := range 1000 {
				links.advance(c)
				if i < 200 {
					continue
				}
				for _, m := range c.members {
					age := ageOf(c, m)
					if age < roundTrip {
						t.Fatalf("%d replicas, round trip %s: the state of %s is %s old", replicas, roundTrip, m.id, age)
					}
					if m.replica.role == Leader {
						continue
					}
					sum += age
					worst = max(worst, age)
					samples++
				}
			}
			interval := c.members[0].replica.config.HeartbeatInterval
			t.Logf("%d replicas, round trip %s: %s on average, %s at most", replicas, roundTrip, sum/time.Duration(samples), worst)
			if want := interval + 2*roundTrip; worst > want {
				t.Errorf("%d replicas, round trip %s: the state of a follower is up to %s old, want at most %s", replicas, roundTrip, worst, want)
			}
		}
	}
}

// ageOf returns the age of a member's state as the member knows it, or an hour.
func ageOf(c *cluster, m *member) time.Duration {
	at, ok := m.replica.CurrentAt(m.replica.commit)
	if !ok {
		return time.Hour
	}
	return c.now.Sub(at)
}

// Guards against replicas that call their state old after an election although they have the
// leader's first entry: the message that commits it tells since when they are current.
func TestFollowersAreCurrentWithTheFirstCommit(t *testing.T) {
	for seed := uint64(1); seed <= 50; seed++ {
		c := newSlowCluster(t, 5, seed*1000)
		leader := c.awaitLeader(t)
		for range 2 {
			c.advance()
		}
		current := 0
		for _, m := range c.members {
			if m.replica.commit == leader.replica.commit && ageOf(c, m) < time.Second {
				current++
			}
		}
		if quorum := leader.replica.quorum(); current < quorum {
			t.Errorf("seed %d: %d replicas are current two ticks after the first commit, want at least %d", seed, current, quorum)
		}
	}
}

// Guards against a replica that starts again and calls its state old for longer than it takes to
// receive a heartbeat, answer it and be told.
func TestRestartedFollowerIsCurrentSoon(t *testing.T) {
	for phase := range 8 {
		c := newSlowCluster(t, 5, 1000)
		leader := c.awaitLeader(t)
		for range 40 + phase {
			c.advance()
		}
		m := c.members[len(c.members)-1] // the leader has a majority before this one answers
		if m == leader {
			t.Fatal("the last replica leads")
		}
		c.restart(t, m)
		began := c.now
		for ageOf(c, m) == time.Hour && c.now.Sub(began) < time.Second {
			c.advanceSplit(nil)
		}
		want := m.replica.config.HeartbeatInterval + 3*tick // and three messages
		if took := c.now.Sub(began); took > want {
			t.Errorf("phase %d: the replica is current %s after its start, want at most %s", phase, took, want)
		}
	}
}

// Guards against a replica that takes a time of the clock of an earlier start for one of its own,
// and so an old state for a recent one.
func TestTimeOfEarlierStartIsIgnored(t *testing.T) {
	r, began := followerAt(t)
	earlier := newClock(began.Add(-time.Hour), 1)
	for _, c := range []struct {
		name string
		told *wire.ReplicaTime
		want time.Duration
		ok   bool
	}{
		{"no time is known", &wire.ReplicaTime{}, 0, false},
		{"earlier start", earlier.encode(began.Add(time.Second)), 0, false},
		{"own clock", r.clock.encode(began.Add(time.Second)), time.Second, true},
		{"before the last one", r.clock.encode(began), time.Second, true},
		{"after the arrival", r.clock.encode(began.Add(time.Hour)), 2 * time.Second, true},
	} {
		m := appendOf(10, 3, 12, 11, 12)
		m.CurrentAt = c.told
		r.Handle(began.Add(2*time.Second), Receive{Message: m})
		at, ok := r.CurrentAt(12)
		if ok != c.ok || ok && at.Sub(began) != c.want {
			t.Errorf("%s: current at %s after the start (%t), want %s (%t)", c.name, at.Sub(began), ok, c.want, c.ok)
		}
	}
}

// Guards against a clock of another replica that is taken to run as fast as the local one.
func TestPeerClockAllowsForDrift(t *testing.T) {
	now := time.Unix(1000, 0)
	peer := newClock(now, 1)
	c := peerClock{peer.encode(now), now}
	for _, elapsed := range []time.Duration{0, time.Second, -time.Second, time.Hour, -time.Hour} {
		got, _ := peer.decode(c.timeAt(now.Add(elapsed)))
		if want := now.Add(elapsed - elapsed.Abs()/clockDriftDivisor); !got.Equal(want) {
			t.Errorf("%s after the reading: %s, want %s", elapsed, got, want)
		}
	}
}

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
				i := slices.IndexFunc(c.members, func(m *member) bool {
					isLeader := m.replica.role == Leader
					return earlier[m.id] && (isLeader == leaderFirst || len(earlier) == 1)
				})
				if i < 0 {
					i = slices.IndexFunc(c.members, func(m *member) bool { return earlier[m.id] })
				}
				m := c.members[i]
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
