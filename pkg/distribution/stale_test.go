package distribution

import (
	"fmt"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// A follower that has a state skips sources that are out of contact with control
// without delay: of nine control replicas four may be partitioned, and a change must
// still reach the box in time.
func TestStaleSourcesAreSkippedAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	f := NewFollower(now, 1)
	f.SetStaleAfter(1600 * time.Millisecond)
	list, _ := testStates(2)
	f.state = list[1]
	var sources []Source
	for i := range 5 {
		sources = append(sources, Source{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Control: true})
	}
	out := f.Handle(now, SetSources{Sources: sources})
	lost := now.Add(10 * time.Second) // beyond the control age that is tolerated
	for at := lost; at.Before(lost.Add(2 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if s := out.Subscribe; s != nil {
			if s.Source.Name == "4" {
				return
			}
			f.Handle(at, Opened{Attempt: s.Attempt})
			out = f.Handle(at, Received{Attempt: s.Attempt, Update: &wire.Update{FromVersion: f.state.Version(), Version: f.state.Version(), AgeMilli: 60_000}})
			continue
		}
		out = f.Handle(at, Tick{})
	}
	t.Fatal("the source in contact with control was not tried within 2 s")
}

// Guards against a follower that takes itself for current although it can't apply the updates that
// it receives, and against one that asks for the same commands again and again.
func TestUpdateWithoutEffectIsNoContact(t *testing.T) {
	f := newTestFollower()
	list, commands := testStates(3)
	f.state = list[1]
	f.openSubscription()
	began := f.now
	// The box's state already has what the command does, so the command changes nothing.
	f.state, _ = f.state.Apply(commands[1])
	diverged := &wire.Update{FromVersion: 2, Version: 3, Commands: commands[1:2]}
	var versions []uint64
	for range 20 {
		f.now = f.now.Add(testStep)
		out := f.Handle(f.now, Received{Attempt: f.attempt, Update: diverged})
		for out.Subscribe == nil {
			f.now = f.now.Add(testStep)
			out = f.Handle(f.now, Tick{})
		}
		f.attempt = out.Subscribe.Attempt
		versions = append(versions, out.Subscribe.Version)
		f.Handle(f.now, Opened{f.attempt})
		if age, want := f.ControlAge(f.now), f.now.Sub(began); age < want {
			t.Fatalf("the control age is %s, no update could be applied for %s", age, want)
		}
	}
	if last := versions[len(versions)-1]; last != 0 {
		t.Errorf("the follower asks for what follows version %d, want the full state", last)
	}
	f.Handle(f.now, Received{Attempt: f.attempt, Update: NewPublisher(list[3]).FirstUpdate(0, 0)})
	if v, age := f.State().Version(), f.ControlAge(f.now); v != 3 || age != 0 {
		t.Errorf("after the full state the follower has version %d and a control age of %s", v, age)
	}
}

// Guards against a box that starts while no source is in contact with control and takes the old
// state that it gets for current.
func TestStateOfStaleSourceIsStale(t *testing.T) {
	f := newTestFollower()
	if age := f.ControlAge(f.now); age < time.Minute {
		t.Errorf("the control age is %s before any update", age)
	}
	list, _ := testStates(2)
	for f.State().Version() == 0 {
		f.Handle(f.now, Opened{f.attempt})
		f.handle(Received{Attempt: f.attempt, Update: NewPublisher(list[2]).FirstUpdate(0, time.Minute)})
		f.now = f.now.Add(testStep)
	}
	if age := f.ControlAge(f.now); age < time.Minute {
		t.Errorf("the control age is %s with a state that is at least a minute old", age)
	}
}

// Guards against a follower that returns to a first choice that is out of contact with
// control and gets no updates there until its own state is as old.
func TestStaleFirstChoiceIsLeftAtOnce(t *testing.T) {
	f := newTestFollower()
	list, _ := testStates(1)
	f.state = list[1]
	age := map[string]time.Duration{"a": time.Minute, "b": 0}
	updates := 0 // of the first choice
	for range 600 {
		f.now = f.now.Add(testStep)
		if f.pending {
			f.handle(Opened{f.attempt})
		}
		up, follows := f.Upstream()
		if !follows {
			f.handle(Tick{})
			continue
		}
		if up.Name == "a" {
			updates++
		}
		u := f.emptyUpdate()
		u.AgeMilli = age[up.Name].Milliseconds()
		f.handle(Received{Attempt: f.attempt, Update: u})
	}
	if most := 10; updates < 2 || updates > most {
		t.Errorf("the follower took %d updates of a source that is out of contact in a minute, want 2 to %d", updates, most)
	}
}
