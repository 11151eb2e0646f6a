package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// transitTime bounds the time that a short update spends in transit. The control age does not
// include it.
const transitTime = time.Millisecond

// Guards against a box that takes itself for in contact with control since its start, although it
// has got nothing yet, or only a state that was old before it started.
func TestControlAgeExceedsTimeSinceStart(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		p.controlAge.Store(int64(time.Minute))
		if age := p.follower.ControlAge(); age < time.Minute {
			t.Errorf("control age is %s before the first update", age)
		}
		c := commandOfLength(100)
		s, _ := steering.State{}.Apply(c)
		p.publish(s, []*wire.Command{c})
		<-applied
		synctest.Wait()
		if age := p.follower.ControlAge(); age < time.Minute {
			t.Errorf("control age is %s with a state that is at least a minute old", age)
		}
	})
}

// Guards against a box that, while it applies an update, reports the control age of that update
// with the state before.
func TestControlAgeCountsOnceStateIsApplied(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, applied <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		published := time.Now()
		p.applyTime = heartbeatInterval / 2
		p.onApply = func(uint64) {
			if age, want := p.follower.ControlAge(), time.Since(published); age < want-transitTime {
				t.Errorf("control age is %s while a state that was published %s ago is being applied", age, want)
			}
		}
		p.publishSequence(1, 0)
		<-applied
	})
}

// Guards against a publisher that calls the state that it sends current while later ones wait to be
// packed.
func TestPendingStatesCountForAge(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		state := steering.State{}
		for range 2 {
			c := commandOfLength(100 + int(state.Version()))
			state, _ = state.Apply(c)
			p.SetState(state, []*wire.Command{c})
			time.Sleep(time.Second)
		}
		age := func() time.Duration {
			return time.Duration(p.buildUpdate(p.publisher.Update, 0).AgeMilli) * time.Millisecond
		}
		if got := age(); got != 2*time.Second {
			t.Errorf("age is %s, want the 2 s for which the first state has waited", got)
		}
		p.publishPending(t.Context())
		if got := age(); got != 0 {
			t.Errorf("age is %s after all states were published, want 0", got)
		}
	})
}
