package consensus

import (
	"fmt"
	"slices"
	"testing"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// These tests cover the losses that a deployment with one replica in each of nine
// zones in three regions must survive: two disks, or a zone, or a region and then one
// disk. Members 0 to 2 are in the first region, 3 to 5 in the second and 6 to 8 in the
// third.

const (
	lossVoters = 9
	lossSeeds  = 20
)

// commitOne lets the leader commit an entry and returns as soon as it has, possibly
// before any other replica has heard of the commit.
func (c *cluster) commitOne(t *testing.T) (leader *member, index uint64) {
	t.Helper()
	leader = c.awaitLeader(t)
	out := c.handle(leader, Propose{Data: []byte("acknowledged")})
	if len(out.Proposals) > 0 && out.Proposals[0].Err != nil {
		t.Fatal(out.Proposals[0].Err)
	}
	index = leader.replica.log.lastIndex()
	for range 100 {
		if leader.replica.commit >= index {
			return leader, index
		}
		c.advance()
	}
	t.Fatal("the entry was not committed")
	return nil, 0
}

// replaceDisk restarts a member with an empty disk and a new ID.
func (c *cluster) replaceDisk(m *member) *wire.Replica {
	address := m.id
	if i := slices.IndexFunc(m.stored.Snapshot.GetMembership().GetVoters(), func(v *wire.Replica) bool { return v.Id == m.id }); i >= 0 {
		address = m.stored.Snapshot.Membership.Voters[i].Address
	}
	m.id += "-new"
	m.stored = Stored{}
	c.start(m)
	return &wire.Replica{Id: m.id, Address: address}
}

// repairAll runs the repair of the joining replicas until all of them are voters.
func (c *cluster) repairAll(t *testing.T, joining []*wire.Replica) {
	t.Helper()
	for range 1000 {
		c.advance()
		leader := c.leader()
		if leader == nil {
			continue
		}
		waits := slices.IndexFunc(joining, func(j *wire.Replica) bool {
			step, next := NextReplacement(leader.replica.Membership(), leader.replica.Status(c.now), j)
			if next != nil {
				c.handle(leader, ChangeMembership{Membership: next})
			}
			return step != RepairFinished
		})
		if waits < 0 {
			return
		}
	}
	t.Fatalf("the replicas on new disks did not all become voters")
}

func (c *cluster) requireCommitted(t *testing.T, index uint64) {
	t.Helper()
	leader := c.awaitLeader(t)
	for range 50 {
		c.advance()
	}
	if !slices.ContainsFunc(leader.applied, func(e *wire.Entry) bool { return e.Index == index && string(e.Data) == "acknowledged" }) {
		t.Errorf("the leader %s lacks the acknowledged entry %d", leader.id, index)
	}
	if err := c.checkApplied(); err != nil {
		t.Error(err)
	}
}

func forEachSeed(t *testing.T, run func(t *testing.T, c *cluster)) {
	for seed := range uint64(lossSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, newCluster(lossVoters, 1000*seed+1)) })
	}
}

// TestNineReplicasSurviveTwoDiskLossesAndPowerLoss checks that an acknowledged entry is
// kept if two replicas that stored it, one of them the leader, lose their disks right
// after the acknowledgement, while all others lose power.
func TestNineReplicasSurviveTwoDiskLossesAndPowerLoss(t *testing.T) {
	forEachSeed(t, func(t *testing.T, c *cluster) {
		for i, first := 0, c.awaitLeader(t); i < lossVoters && len(c.isolated) < lossVoters/2; i++ {
			if c.members[i] != first {
				c.isolated[c.members[i].id] = true // so that just a majority stores the entry
			}
		}
		leader, index := c.commitOne(t)
		clear(c.isolated)
		lost := []*member{leader}
		for _, m := range c.members {
			if m != leader && len(lost) < 2 && m.replica.log.lastIndex() >= index {
				lost = append(lost, m)
			}
		}
		if len(lost) < 2 {
			t.Fatal("only the leader has stored the committed entry")
		}
		var joining []*wire.Replica
		for _, m := range c.members {
			if slices.Contains(lost, m) {
				joining = append(joining, c.replaceDisk(m))
				continue
			}
			c.start(m)
		}
		c.requireCommitted(t, index)
		c.repairAll(t, joining)
		c.requireCommitted(t, index)
	})
}

// TestNineReplicasSurviveRegionThenDiskLoss checks that an entry acknowledged while a
// region is down is kept when a replica of another region then loses its disk, and when
// the region returns.
func TestNineReplicasSurviveRegionThenDiskLoss(t *testing.T) {
	forEachSeed(t, func(t *testing.T, c *cluster) {
		c.awaitLeader(t)
		for _, m := range c.members[:3] {
			c.isolated[m.id] = true
		}
		for range 50 {
			c.advance()
		}
		leader, index := c.commitOne(t)
		joining := c.replaceDisk(leader)
		c.requireCommitted(t, index) // five of nine remain
		clear(c.isolated)
		c.repairAll(t, []*wire.Replica{joining})
		c.requireCommitted(t, index)
	})
}

// TestNineReplicasSurviveZoneAndTwoDiskLosses checks that entries are still acknowledged
// while a zone is down, and are kept when two replicas that stored them lose their disks.
func TestNineReplicasSurviveZoneAndTwoDiskLosses(t *testing.T) {
	forEachSeed(t, func(t *testing.T, c *cluster) {
		c.awaitLeader(t)
		c.isolated[c.members[4].id] = true
		for range 50 {
			c.advance()
		}
		leader, index := c.commitOne(t)
		joining := []*wire.Replica{c.replaceDisk(leader)}
		for _, m := range c.members {
			if !c.isolated[m.id] && m != leader && m.replica.log.lastIndex() >= index {
				joining = append(joining, c.replaceDisk(m))
				break
			}
		}
		c.requireCommitted(t, index)
		c.repairAll(t, joining)
		c.requireCommitted(t, index)
	})
}
