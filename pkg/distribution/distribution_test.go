package distribution

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ledgesill.dev/ledgesill/pkg/settings"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// testStates returns the states of versions 0 to n and the commands between them.
func testStates(n int) (list []steering.State, commands []*wire.Command) {
	s := steering.State{}
	list = append(list, s)
	for i := range n {
		c := &wire.Command{Change: &wire.Change{Id: fmt.Sprint(i), BaseVersion: s.SettingsVersion(), Edits: []*wire.Edit{
			{Path: "/", Key: "slots", Value: fmt.Sprint(i + 1)},
		}}}
		s, _ = s.Apply(c)
		list = append(list, s)
		commands = append(commands, c)
	}
	return list, commands
}

// TestVersionNeverDecreases sends a follower late, duplicate and partial updates
// from several sources, and checks that its version never decreases and its state is
// always that of its version.
func TestVersionNeverDecreases(t *testing.T) {
	list, commands := testStates(20)
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f := NewFollower(now, 1)
		f.Handle(now, SetSources{[]Source{{Name: "a"}, {Name: "b"}}})
		p := NewPublisher(list[0])
		at, last := 0, uint64(0)
		var old []*wire.Update
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) {
				if at < 20 {
					p.SetState(list[at+1], commands[at:at+1])
					at++
				}
			},
			"jump": func(t *rapid.T) {
				if n := min(at+rapid.IntRange(1, 4).Draw(t, "by"), 20); n > at {
					p.SetState(list[n], nil)
					at = n
				}
			},
			"update": func(t *rapid.T) {
				u := p.Update(uint64(rapid.IntRange(0, at).Draw(t, "from")), 0)
				old = append(old, u)
				f.Handle(now, Received{Attempt: f.attempt, Update: u})
			},
			"late": func(t *rapid.T) {
				if len(old) > 0 {
					f.Handle(now, Received{Attempt: f.attempt, Update: rapid.SampledFrom(old).Draw(t, "update")})
				}
			},
			"lost": func(*rapid.T) { f.Handle(now, Lost{f.attempt}) },
			"pass": func(*rapid.T) {
				now = now.Add(700 * time.Millisecond)
				f.Handle(now, Tick{})
			},
			"": func(t *rapid.T) {
				v := f.State().Version()
				if v < last {
					t.Fatalf("went from version %d back to %d", last, v)
				}
				last = v
				got, want := f.State().Tree().Get(settings.Path{}, "slots"), list[v].Tree().Get(settings.Path{}, "slots")
				if got != want {
					t.Fatalf("has another state than that of version %d", v)
				}
			},
		})
	})
}

// TestRestartInPartitionedZoneTakesLatestState restarts a box while no source is in
// contact with control: it activates the latest state that any reachable source has.
func TestRestartInPartitionedZoneTakesLatestState(t *testing.T) {
	list, _ := testStates(9)
	now := time.Unix(1000, 0)
	f := NewFollower(now, 1)
	have := map[string]int{"stale control": 3, "peer 1": 9, "peer 2": 7}
	out := f.Handle(now, SetSources{[]Source{{Name: "stale control"}, {Name: "peer 1"}, {Name: "peer 2"}}})
	first := uint64(0)
	for range 200 {
		if s := out.Subscribe; s != nil {
			f.Handle(now, Opened{s.Attempt})
			u := NewPublisher(list[have[s.Source.Name]]).Update(s.Version, time.Minute)
			out = f.Handle(now, Received{Attempt: s.Attempt, Update: u})
		} else {
			now = now.Add(50 * time.Millisecond)
			out = f.Handle(now, Tick{})
		}
		if out.State != nil && first == 0 {
			first = out.State.Version()
		}
	}
	if first != 9 || f.State().Version() != 9 {
		t.Errorf("activated version %d, then %d; a peer has version 9", first, f.State().Version())
	}
}

func TestSourcesFormATree(t *testing.T) {
	zone := settings.Zone{Name: "z"}
	for i := range 97 {
		name := fmt.Sprintf("b%d", i)
		zone.Boxes = append(zone.Boxes, settings.Box{Name: name, PeerAddress: name})
	}
	children := make(map[string]int)
	controls := []Source{{Name: "c1", Control: true}, {Name: "c2", Control: true}}
	for _, b := range zone.Boxes {
		children[Sources(b.Name, zone, controls)[0].Name]++
	}
	for name, n := range children {
		if n > MaxChildren {
			t.Errorf("%s has %d children, want at most %d", name, n, MaxChildren)
		}
	}
	if children["c1"]+children["c2"] != 1 {
		t.Errorf("%d boxes of the zone follow control directly, want 1", children["c1"]+children["c2"])
	}
}
