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

// follow lets a number of states come, so close that they wait for a busy box.
func (p *replicaPair) follow(n int, spacing time.Duration) {
	state := steering.State{}
	for range n {
		c := bulky(100 + int(state.Version()))
		state, _ = state.Apply(c)
		p.put(state, []*wire.Command{c})
		time.Sleep(spacing)
	}
}

// Guards against a box that follows a parent which has departed, as updates that waited hand
// over old sources last.
// The sources of the latest state stay, also where it waited behind another.
func TestSourcesOfTheLatestStateAreFollowed(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		all := *p.listed.Load()
		present, departed := all[0], all[1]
		p.busy = 500 * time.Millisecond
		p.puts = func(version uint64) {
			listed := []distribution.Source{present}
			if version == 1 {
				listed = []distribution.Source{departed, present}
			}
			p.listed.Store(&listed)
		}
		p.follow(2, 2*updateSpacing)
		<-inForce
		<-inForce
		time.Sleep(10 * time.Second)
		if len(p.notices) != 1 {
			t.Errorf("a source was followed that is listed no more: %v", p.notices)
		}
	})
}

// Updates that wait are handled one after the other, not one within the other.
func TestStackDoesNotGrowWithWhatWaits(t *testing.T) {
	const waiting = 25
	followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		var depths []int
		p.puts = func(version uint64) {
			depths = append(depths, runtime.Callers(0, make([]uintptr, 1000)))
			if version == 1 {
				time.Sleep(2 * waiting * 2 * updateSpacing)
			}
		}
		p.follow(waiting, 2*updateSpacing)
		for version := uint64(0); version < waiting; {
			version = <-inForce
		}
		for _, d := range depths {
			if d > depths[0]+2 {
				t.Fatalf("%d frames on the stack for the first state, %v for those that waited", depths[0], depths[1:])
			}
		}
		if len(depths) < waiting/2 {
			t.Errorf("only %d states: nothing waited", len(depths))
		}
	})
}

// Nothing that waits is put in force once the following is to end.
func TestNothingIsPutInForceAfterTheEnd(t *testing.T) {
	const waiting = 20
	followPair(t, func(t *testing.T, p *replicaPair, _ <-chan uint64) {
		time.Sleep(2 * heartbeatInterval)
		states := 0
		p.puts = func(uint64) {
			states++
			if states == 1 {
				time.Sleep(2 * waiting * 2 * updateSpacing)
				p.stop()
			}
		}
		p.follow(waiting, 2*updateSpacing)
		time.Sleep(2 * waiting * 2 * updateSpacing)
		synctest.Wait()
		if states != 1 {
			t.Errorf("%d states were put in force after the end", states-1)
		}
	})
}

// Word of control that waited for a busy box is as old as its arrival.
func TestWordThatWaitedIsAsOldAsItsArrival(t *testing.T) {
	followPair(t, func(t *testing.T, p *replicaPair, inForce <-chan uint64) {
		time.Sleep(2*heartbeatInterval + heartbeatInterval/2)
		p.busy = 4 * time.Second
		p.follow(1, 2*updateSpacing)
		time.Sleep(heartbeatInterval)
		for _, c := range p.network.Dialled() {
			c.DropTraffic()
		}
		silent := time.Now()
		<-inForce
		synctest.Wait()
		if age, least := p.following.ControlAge(), time.Since(silent); age < least {
			t.Errorf("the word of control counts as %v old, none has come for %v", age, least)
		}
	})
}
