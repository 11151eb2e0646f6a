package consensus

import (
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
