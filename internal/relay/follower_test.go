package relay

import (
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// publishSequence publishes a number of states, spaced so closely that they queue at a busy box.
func (p *replicaPair) publishSequence(n int, spacing time.Duration) {
	state := steering.State{}
	for range n {
		c := commandOfLength(100 + int(state.Version()))
		state, _ = state.Apply(c)
		p.publish(state, []*wire.Command{c})
		time.Sleep(spacing)
	}
}

// Guards against following a parent that has departed, because queued updates set
// the sources of an older state last. The sources of the latest state must be
// used, also if it was queued behind another.
func TestSourcesOfTheLatestStateAreFollowed(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		all := *p.sources.Load()
		present, departed := all[0], all[1]
		p.applyTime = 500 * time.Millisecond
		p.onApply = func(version uint64) {
			listed := []distribution.Source{present}
			if version == 1 {
				listed = []distribution.Source{departed, present}
			}
			p.sources.Store(&listed)
		}
		p.publishSequence(2, 2*minUpdateInterval)
		<-applied
		<-applied
		time.Sleep(10 * time.Second)
		if len(p.notices) != 1 {
			t.Errorf("follower uses a source that is no longer listed: %v", p.notices)
		}
	})
}

// Queued updates must be handled one after the other, not recursively.
func TestQueuedUpdatesAreNotHandledRecursively(t *testing.T) {
	const queued = 25
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		var depths []int
		p.onApply = func(version uint64) {
			depths = append(depths, runtime.Callers(0, make([]uintptr, 1000)))
			if version == 1 {
				time.Sleep(2 * queued * 2 * minUpdateInterval)
			}
		}
		p.publishSequence(queued, 2*minUpdateInterval)
		for version := uint64(0); version < queued; {
			version = <-applied
		}
		for _, d := range depths {
			if d > depths[0]+2 {
				t.Fatalf("stack depth %d for the first state, %v for the queued ones", depths[0], depths[1:])
			}
		}
		if len(depths) < queued/2 {
			t.Errorf("only %d states were applied: none was queued", len(depths))
		}
	})
}

// Queued states must not be applied once the follower's context has ended.
func TestNothingIsAppliedAfterStop(t *testing.T) {
	const queued = 20
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		states := 0
		p.onApply = func(uint64) {
			states++
			if states == 1 {
				time.Sleep(2 * queued * 2 * minUpdateInterval)
				p.stop()
			}
		}
		p.publishSequence(queued, 2*minUpdateInterval)
		time.Sleep(2 * queued * 2 * minUpdateInterval)
		synctest.Wait()
		if states != 1 {
			t.Errorf("%d states were applied after the end", states-1)
		}
	})
}

// The control age counts from the arrival of an update, also if a busy box handles it later.
func TestControlAgeCountsFromArrival(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		time.Sleep(2*heartbeatInterval + heartbeatInterval/2)
		p.applyTime = 4 * time.Second
		p.publishSequence(1, 2*minUpdateInterval)
		time.Sleep(heartbeatInterval)
		for _, c := range p.network.Dialled() {
			c.DropTraffic()
		}
		silent := time.Now()
		<-applied
		synctest.Wait()
		if age, minAge := p.follower.ControlAge(), time.Since(silent); age < minAge {
			t.Errorf("control age is %v, but nothing was received for %v", age, minAge)
		}
	})
}
