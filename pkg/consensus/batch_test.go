package consensus

import (
	"fmt"
	"testing"
)

// TestProposeBatchLimitsMessageCount checks that commands proposed together cost one
// message per replica and MaxBatch commands, not one per command, and keep their order.
func TestProposeBatchLimitsMessageCount(t *testing.T) {
	const commands = 150
	c := newCluster(9, 1)
	leader := c.awaitLeader(t)
	for range 10 {
		c.advance()
	}
	var all ProposeBatch
	for i := range commands {
		all.Proposals = append(all.Proposals, Propose{Token: uint64(i + 1), Data: fmt.Append(nil, i)})
	}
	before := leader.replica.log.lastIndex()
	out := leader.replica.Handle(c.now, all)
	batch := leader.replica.config.MaxBatch
	if most := len(leader.replica.others()) * ((commands + batch - 1) / batch); len(out.Messages) > most {
		t.Errorf("%d messages, want at most %d", len(out.Messages), most)
	}
	if len(out.Entries) != commands || len(out.Proposals) != commands {
		t.Fatalf("%d entries to store and %d proposals, want %d of each", len(out.Entries), len(out.Proposals), commands)
	}
	for i, p := range out.Proposals {
		if p.Err != nil || p.Token != uint64(i+1) || p.Index != before+uint64(i)+1 {
			t.Fatalf("proposal %d: %+v", i, p)
		}
	}
}

func TestFollowerRefusesEveryProposalOfABatch(t *testing.T) {
	c := newCluster(3, 1)
	leader := c.awaitLeader(t)
	for _, m := range c.members {
		if m == leader {
			continue
		}
		out := m.replica.Handle(c.now, ProposeBatch{[]Propose{{Token: 1}, {Token: 2}}})
		if len(out.Proposals) != 2 || out.Proposals[0].Err == nil || out.Proposals[1].Err == nil {
			t.Fatalf("%+v", out.Proposals)
		}
	}
}
