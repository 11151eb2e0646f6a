package consensus

import (
	"slices"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// Delays of a deployment over three regions and of its disks.
const (
	oneWayDelay  = 12 * time.Millisecond
	syncDuration = 5 * time.Millisecond
	timeout      = 800 * time.Millisecond
)

// delivery is a message in transit.
type delivery struct {
	at      time.Time
	message *wire.ConsensusMessage
}

// timeToLeader starts n replicas of an existing membership within 20 ms of each other
// and returns the time until one of them leads. Messages take oneWayDelay; the messages
// of an output that needs a sync are sent syncDuration later.
func timeToLeader(n int, seed uint64) time.Duration {
	began := time.Unix(1000, 0)
	c := newCluster(n, seed)
	startAt := make(map[string]time.Time)
	for i, m := range c.members {
		startAt[m.id] = began.Add(time.Duration(i*20/n) * time.Millisecond)
		config := Config{ID: m.id, ElectionTimeout: timeout, Seed: seed*100 + uint64(i)}
		m.replica, _ = New(startAt[m.id], config, m.stored) // can't fail: newCluster has created one from the same state
	}
	var inTransit []delivery
	for now := began; now.Before(began.Add(10 * timeout)); now = now.Add(time.Millisecond) {
		due := inTransit
		inTransit = nil
		for _, m := range c.members {
			if now.Before(startAt[m.id]) {
				continue
			}
			out := m.replica.Handle(now, Tick{})
			for _, d := range due {
				if d.message.To == m.id && !now.Before(d.at) {
					out = out.Merge(m.replica.Handle(now, Receive{Message: d.message}))
				}
			}
			if m.replica.Status(now).Role == Leader {
				return now.Sub(began)
			}
			at := now.Add(oneWayDelay)
			if out.NeedsSync() {
				at = at.Add(syncDuration)
			}
			for _, message := range out.Messages {
				inTransit = append(inTransit, delivery{at, message})
			}
		}
		for _, d := range due {
			if now.Before(d.at) {
				inTransit = append(inTransit, d)
			}
		}
	}
	return 10 * timeout
}

// TestTimeToFirstLeader bounds the time to the first leader after all replicas start
// at once, since nothing is served until there is one.
func TestTimeToFirstLeader(t *testing.T) {
	for _, n := range []int{3, 5, 6} {
		var took []time.Duration
		sum := time.Duration(0)
		for seed := range uint64(400) {
			d := timeToLeader(n, seed+1)
			took = append(took, d)
			sum += d
		}
		slices.Sort(took)
		mean, most := sum/400, took[399]
		if mean > 200*time.Millisecond || most > timeout {
			t.Errorf("%d replicas have a leader after a mean of %v, a median of %v and a maximum of %v", n, mean, took[200], most)
		}
		t.Logf("%d replicas: mean %v, median %v, 95th percentile %v, maximum %v", n, mean, took[200], took[380], most)
	}
}
