package consensus

import (
	"fmt"
	"slices"
	"testing"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// The losses that a deployment of nine zones in three regions must bear with one
// replica in each zone: two disks, or a zone, or a region and then one disk. Members 0
// to 2 stand in the first region, 3 to 5 in the second, 6 to 8 in the third.

const (
	lossVoters = 9
	lossSeeds  = 20
)

// commitOne has the leader commit an entry and stops as soon as it has: no other
// replica need have heard of the commit.
func (c *cluster) commitOne(t *testing.T) (leader *member, index uint64) {
	t.Helper()
	leader = c.elect(t)
	out := c.do(leader, Propose{Data: []byte("acknowledged")})
	if len(out.Proposals) > 0 && out.Proposals[0].Err != nil {
		t.Fatal(out.Proposals[0].Err)
	}
	index = leader.replica.log.lastIndex()
	for range 100 {
		if leader.replica.commit >= index {
			return leader, index
		}
		c.round()
	}
	t.Fatal("nothing is committed")
	return nil, 0
}

// wipe puts an empty disk and a new name in the place of a member.
func (c *cluster) wipe(m *member) *wire.Replica {
	address := m.id
	if i := slices.IndexFunc(m.stored.Snapshot.GetMembership().GetVoters(), func(v *wire.Replica) bool { return v.Id == m.id }); i >= 0 {
		address = m.stored.Snapshot.Membership.Voters[i].Address
	}
	m.id += "-new"
	m.stored = Stored{}
	c.start(m)
	return &wire.Replica{Id: m.id, Address: address}
}

// repairAll takes the joining replicas in, and returns when all vote.
func (c *cluster) repairAll(t *testing.T, joining []*wire.Replica) {
	t.Helper()
	for range 1000 {
		c.round()
		leader := c.leader()
		if leader == nil {
			continue
		}
		waits := slices.IndexFunc(joining, func(j *wire.Replica) bool {
			step, next := NextReplacement(leader.replica.Membership(), leader.replica.Status(c.now), j)
			if next != nil {
				c.do(leader, ChangeMembership{Membership: next})
			}
			return step != RepairFinished
		})
		if waits < 0 {
			return
		}
	}
	t.Fatalf("the replicas on new disks were not taken in")
}

func (c *cluster) wantKept(t *testing.T, index uint64) {
	t.Helper()
	leader := c.elect(t)
	for range 50 {
		c.round()
	}
	if !slices.ContainsFunc(leader.applied, func(e *wire.Entry) bool { return e.Index == index && string(e.Data) == "acknowledged" }) {
		t.Errorf("%s leads without the entry %d that was acknowledged", leader.id, index)
	}
	if err := c.check(); err != nil {
		t.Error(err)
	}
}

func eachLossSeed(t *testing.T, run func(t *testing.T, c *cluster)) {
	for seed := range uint64(lossSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { run(t, newCluster(lossVoters, 1000*seed+1)) })
	}
}

// Two of those that stored an entry, the leader among them, lose their disks right
// after it was acknowledged, while all others lose power.
func TestNineReplicasBearTwoDisksAndAllPower(t *testing.T) {
	eachLossSeed(t, func(t *testing.T, c *cluster) {
		for i, first := 0, c.elect(t); i < lossVoters && len(c.cut) < lossVoters/2; i++ {
			if c.members[i] != first {
				c.cut[c.members[i].id] = true // only as many as must agree store the entry
			}
		}
		leader, index := c.commitOne(t)
		clear(c.cut)
		lost := []*member{leader}
		for _, m := range c.members {
			if m != leader && len(lost) < 2 && m.replica.log.lastIndex() >= index {
				lost = append(lost, m)
			}
		}
		if len(lost) < 2 {
			t.Fatal("only the leader has stored what is committed")
		}
		var joining []*wire.Replica
		for _, m := range c.members {
			if slices.Contains(lost, m) {
				joining = append(joining, c.wipe(m))
				continue
			}
			c.start(m)
		}
		c.wantKept(t, index)
		c.repairAll(t, joining)
		c.wantKept(t, index)
	})
}

// A region is gone; what is acknowledged then outlives the loss of a disk of those
// that are left, and the return of the region.
func TestNineReplicasBearARegionAndThenADisk(t *testing.T) {
	eachLossSeed(t, func(t *testing.T, c *cluster) {
		c.elect(t)
		for _, m := range c.members[:3] {
			c.cut[m.id] = true
		}
		for range 50 {
			c.round()
		}
		leader, index := c.commitOne(t)
		joining := c.wipe(leader)
		c.wantKept(t, index) // five of nine are left
		clear(c.cut)
		c.repairAll(t, []*wire.Replica{joining})
		c.wantKept(t, index)
	})
}

// With a zone gone changes are still acknowledged and two more disks are borne.
func TestNineReplicasBearAZoneAndTwoDisks(t *testing.T) {
	eachLossSeed(t, func(t *testing.T, c *cluster) {
		c.elect(t)
		c.cut[c.members[4].id] = true
		for range 50 {
			c.round()
		}
		leader, index := c.commitOne(t)
		joining := []*wire.Replica{c.wipe(leader)}
		for _, m := range c.members {
			if !c.cut[m.id] && m != leader && m.replica.log.lastIndex() >= index {
				joining = append(joining, c.wipe(m))
				break
			}
		}
		c.wantKept(t, index)
		c.repairAll(t, joining)
		c.wantKept(t, index)
	})
}
