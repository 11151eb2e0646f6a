package catalog

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// propose applies an update as a leader has it committed that received it itself: after its prelude.
func propose(x *Index, s State, c *wire.RegistrationCommand) State {
	x.Advance(s)
	if c.Leave && c.Registration.BornUnixMilli == 0 {
		c = x.Leave(c.Registration.Id)
	}
	return apply(s, append(x.Prelude(c), c)...)
}

func leaveOf(id string, started int64) *wire.RegistrationCommand {
	return &wire.RegistrationCommand{Registration: &wire.Registration{Id: id, BornUnixMilli: started}, Leave: true}
}

// Guards against a departed incarnation that is registered again by heartbeats that were sent before
// its departure, however many the state never stored.
func TestDepartureOfOnlyIncarnationIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		s := State{}
		heartbeats := rapid.Uint64Range(1, 30).Draw(t, "heartbeats")
		lastReady := rapid.Uint64Range(0, 2*heartbeats).Draw(t, "lastReady") // it drains afterwards
		beat := func(sequence uint64) {
			c := updateOf("i", 100, sequence)
			c.Registration.Slots = rapid.Uint32Range(1, 2).Draw(t, "slots")
			c.Registration.Draining = sequence > lastReady
			s = propose(&x, s, c)
		}
		for n := range heartbeats {
			beat(n + 1)
		}
		s = propose(&x, s, leaveOf("i", rapid.SampledFrom([]int64{0, 100}).Draw(t, "named")))
		for range rapid.IntRange(1, 10).Draw(t, "late") {
			beat(rapid.Uint64Range(1, heartbeats+100).Draw(t, "sequence"))
			if r, ok := s.Target("i"); ok {
				t.Fatalf("registered again as %v", r)
			}
		}
		s = propose(&x, s, updateOf("i", 200, 1))
		if r, ok := s.Target("i"); !ok || r.BornUnixMilli != 200 {
			t.Fatalf("the next incarnation is not registered: %v", r)
		}
	})
}

// Guards against a leave message of a former incarnation that removes the current one for good, and
// against one that names the current incarnation and does not.
func TestDepartureAfterFormerIncarnation(t *testing.T) {
	for _, c := range []struct {
		name    string
		former  []*wire.RegistrationCommand
		leave   *wire.RegistrationCommand
		returns bool
	}{
		{"former replaced", nil, leaveOf("i", 0), true},
		{"former left", []*wire.RegistrationCommand{leaveOf("i", 0)}, leaveOf("i", 0), true},
		{"former replaced, named", nil, leaveOf("i", 200), false},
		{"former left, named", []*wire.RegistrationCommand{leaveOf("i", 0)}, leaveOf("i", 200), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x Index
			s := propose(&x, State{}, updateOf("i", 100, 1))
			for _, f := range c.former {
				s = propose(&x, s, f)
			}
			s = propose(&x, s, updateOf("i", 200, 1))
			x.Advance(s)
			if current, ambiguous := x.AmbiguousLeave("i"); !ambiguous || current != (Incarnation{"i", 200}) {
				t.Errorf("ambiguous %t, current %v", ambiguous, current)
			}
			s = propose(&x, s, c.leave)
			if _, ok := s.Target("i"); ok {
				t.Fatal("the leave changed nothing")
			}
			s = propose(&x, s, updateOf("i", 200, 1+readmitAfterUpdates))
			if _, ok := s.Target("i"); ok != c.returns {
				t.Errorf("registered again: %t, want %t", ok, c.returns)
			}
		})
	}
}

// Guards against a leave that is taken for one of another incarnation although there was none, and
// against one that is not although nobody knows.
func TestAmbiguousLeave(t *testing.T) {
	first := propose(&Index{}, State{}, updateOf("i", 100, 1))
	restarted := propose(&Index{}, first, updateOf("i", 200, 1))
	draining := updateOf("i", 100, 2)
	draining.Registration.Draining = true
	for _, c := range []struct {
		name      string
		advance   func(x *Index)
		ambiguous bool
	}{
		{"unknown", func(x *Index) { x.Advance(State{}) }, false},
		{"first incarnation", func(x *Index) { x.Advance(first) }, false},
		{"changed", func(x *Index) {
			x.Advance(first)
			x.Advance(propose(&Index{}, first, withSlots(updateOf("i", 100, 2), 7)))
		}, false},
		{"restarted", func(x *Index) { x.Advance(first); x.Advance(restarted) }, true},
		{"restarted, seen at once", func(x *Index) { x.Advance(restarted) }, true},
		{"drains", func(x *Index) { x.Load(first); x.Advance(propose(&Index{}, first, draining)) }, false},
		{"from a snapshot", func(x *Index) { x.Load(first) }, true},
		{"from a snapshot, changed", func(x *Index) {
			x.Load(first)
			x.Advance(propose(&Index{}, first, withSlots(updateOf("i", 100, 2), 7)))
		}, true},
		{"known, then from a snapshot", func(x *Index) { x.Advance(first); x.Load(decoded(t, first)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var x Index
			c.advance(&x)
			if _, ambiguous := x.AmbiguousLeave("i"); ambiguous != c.ambiguous {
				t.Errorf("ambiguous %t, want %t", ambiguous, c.ambiguous)
			}
		})
	}
}

// Guards against a departure that stays correctable although the replica that received the leave, or the
// leader, has followed the target from its first start, and against one that becomes final by the word
// of a replica that lacks a restart.
func TestDepartureIsFinalByReceiverOrLeader(t *testing.T) {
	first := propose(&Index{}, State{}, updateOf("i", 100, 1))
	restarted := propose(&Index{}, first, updateOf("i", 200, 1))
	followed := func(s State) *Index { x := &Index{}; x.Advance(s); return x }
	loaded := func(s State) *Index { x := &Index{}; x.Load(s); return x }
	for _, c := range []struct {
		name             string
		receiver, leader *Index
		state            State
		final            bool
	}{
		{"receiver followed", followed(first), loaded(first), first, true},
		{"leader followed", loaded(first), followed(first), first, true},
		{"neither", loaded(first), loaded(first), first, false},
		{"receiver lacks the restart", followed(first), loaded(restarted), restarted, false},
		{"receiver lacks the restart, leader followed", followed(first), followed(restarted), restarted, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := c.receiver.Leave("i")
			s := apply(c.state, append(c.leader.Prelude(l), l)...)
			born := c.state.Targets()[0].BornUnixMilli
			s = apply(s, updateOf("i", born, 1+readmitAfterUpdates))
			if _, returned := s.Target("i"); returned == c.final {
				t.Errorf("registered again: %t, want final: %t", returned, c.final)
			}
		})
	}
}

func withSlots(c *wire.RegistrationCommand, slots uint32) *wire.RegistrationCommand {
	c.Registration.Slots = slots
	return c
}

func decoded(t *testing.T, s State) State {
	t.Helper()
	out, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a late heartbeat that registers a departed target again because more targets have left
// since than the state keeps departures of.
func TestLateUpdateAfterEvictionIsIgnored(t *testing.T) {
	for _, started := range []int64{0, 100} {
		var x Index
		s := State{}
		for n := range 4 * maxDepartures {
			id := fmt.Sprint("i", n)
			s = propose(&x, s, updateOf(id, started, 1))
			s = propose(&x, s, leaveOf(id, 0))
		}
		x.Advance(s)
		if len(x.first) > 0 {
			t.Errorf("the index still holds %d targets that have left", len(x.first))
		}
		for n := range 4 * maxDepartures {
			id := fmt.Sprint("i", n)
			if x.WouldChange(updateOf(id, started, 2).Registration, false) {
				t.Fatalf("start %d: a late update registers target %d again", started, n)
			}
			if !x.WouldChange(updateOf(id, 200, 1).Registration, false) {
				t.Fatalf("start %d: the next incarnation of target %d is not registered", started, n)
			}
		}
	}
}

// Guards against an index that keeps departures without a bound.
func TestEvictedDeparturesAreBounded(t *testing.T) {
	var x Index
	for n := range maxEvicted + 10 {
		x.keepEvicted(&wire.Departure{Id: fmt.Sprint("i", n)})
	}
	if len(x.evicted) != maxEvicted || len(x.evictedIDs) != maxEvicted || x.Departure("i9") != nil || x.Departure("i10") == nil {
		t.Errorf("%d departures are kept, want %d", len(x.evicted), maxEvicted)
	}
}

// Guards against replicas of two versions that apply a log to different states. The golden files hold
// a log of each version's leader, a command a line, and the state to which the version before
// departures were final applied it.
func TestLogsLeadToTheStateOfFormerVersion(t *testing.T) {
	for _, name := range []string{"former-leader", "leader"} {
		t.Run(name, func(t *testing.T) {
			log, want := readLog(t, "testdata/departures-"+name+".golden")
			one, batched := State{}, State{}
			for _, c := range log {
				one = apply(one, c)
			}
			batched, _ = batched.ApplyRegistrations(log)
			for _, s := range []State{one, batched} {
				if !proto.Equal(s.Encode(), want) {
					t.Errorf("applied to %v\nwant %v", s.Encode(), want)
				}
			}
		})
	}
}

// Guards against a snapshot of the former version that is applied to another state, or from which a
// target that was removed by a late leave does not return.
func TestSnapshotOfFormerVersion(t *testing.T) {
	_, snapshot := readLog(t, "testdata/departures-former-leader.golden")
	s, err := Decode(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(s.Encode(), snapshot) {
		t.Error("changed by decoding and encoding")
	}
	var x Index
	for _, d := range snapshot.Departures {
		if d.BornUnixMilli == 0 {
			continue
		}
		next := propose(&x, s, updateOf(d.Id, d.BornUnixMilli, d.Sequence+readmitAfterUpdates))
		if _, ok := next.Target(d.Id); !ok {
			t.Errorf("%v does not return", d)
		}
	}
}

func readLog(t *testing.T, name string) (log []*wire.RegistrationCommand, state *wire.Catalog) {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	for _, line := range lines[:len(lines)-1] {
		c := &wire.RegistrationCommand{}
		if err := protojson.Unmarshal(line, c); err != nil {
			t.Fatal(err)
		}
		log = append(log, c)
	}
	state = &wire.Catalog{}
	if err := protojson.Unmarshal(lines[len(lines)-1], state); err != nil {
		t.Fatal(err)
	}
	return log, state
}
