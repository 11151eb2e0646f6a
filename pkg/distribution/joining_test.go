package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

const (
	// joinTargets is the number of targets in the largest of the users' deployments.
	joinTargets = 1_400
	// joinLinkRate is the bandwidth of its boxes' links in bytes per second: 2.6
	// Mbit/s.
	joinLinkRate = 2_600_000 / 8
)

// stateWithTargets returns a state with targets whose names and addresses look like
// those of the users.
func stateWithTargets(t testing.TB, targets int) steering.State {
	t.Helper()
	s := steering.State{}
	r := rand.New(rand.NewPCG(1, 2))
	for i := range targets {
		zone := fmt.Sprintf("zone-%d", i%9)
		next, result := s.Apply(&wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
			Id:       fmt.Sprintf("i-%010x", r.Uint64()&0xffffffffff),
			Service:  fmt.Sprintf("service%d", i%8/7),
			Address:  fmt.Sprintf("10.%d.%d.%d:8601", i%9+1, 64+i/9/200, i/9%200+10),
			Zone:     zone,
			Software: "v1",
			Slots:    9,
			Sequence: 3,
		}}})
		if !result.Changed {
			t.Fatalf("target %d: %v", i, result.Err)
		}
		s = next
	}
	return s
}

// TestFullStateIsSentOnceAfterOutage guards against a starting box that receives the
// full state from every source it tries, as after an outage of all processes, when
// no source may be in contact with control.
func TestFullStateIsSentOnceAfterOutage(t *testing.T) {
	full := stateWithTargets(t, joinTargets)
	earlier := stateWithTargets(t, joinTargets-10)
	for _, c := range []struct {
		name     string
		sources  []steering.State
		ages     []time.Duration
		maxTotal float64 // total size of the updates, in full states
	}{
		{"all have the same", []steering.State{full, full, full}, []time.Duration{time.Hour, time.Hour, time.Hour}, 1.02},
		{"the second is behind", []steering.State{full, earlier, full}, []time.Duration{time.Hour, time.Hour, time.Hour}, 1.02},
		{"the last is in contact with control", []steering.State{full, full, full}, []time.Duration{time.Hour, time.Hour, 0}, 1.02},
		{"the last is ahead", []steering.State{earlier, earlier, full}, []time.Duration{time.Hour, time.Hour, time.Hour}, 2.04},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			f := NewFollower(now, 1)
			f.SetStaleAfter(1600 * time.Millisecond)
			var sources []Source
			for i := range c.sources {
				sources = append(sources, Source{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Control: true})
			}
			out := f.Handle(now, SetSources{Sources: sources})
			bytes := 0
			for range 100 {
				s := out.Subscribe
				if s == nil {
					now = now.Add(20 * time.Millisecond)
					out = f.Handle(now, Tick{})
				} else {
					f.Handle(now, Opened{s.Attempt})
					i := int(s.Source.Name[0] - '0')
					u := NewPublisher(c.sources[i]).FirstUpdate(s.Version, c.ages[i])
					bytes += proto.Size(u)
					out = f.Handle(now, Received{Attempt: s.Attempt, Update: u})
				}
				if out.State != nil {
					break
				}
			}
			if got, want := f.State().Version(), full.Version(); got != want {
				t.Errorf("version %d is active, want %d", got, want)
			}
			fullSize := proto.Size(NewPublisher(full).FirstUpdate(0, 0))
			if most := c.maxTotal * float64(fullSize); float64(bytes) > most {
				t.Errorf("%d bytes for a state of %d: %.0f ms of the link", bytes, fullSize, float64(bytes)/joinLinkRate*1000)
			}
			t.Logf("%d bytes, a full state is %d: %.0f ms of the link", bytes, fullSize, float64(bytes)/joinLinkRate*1000)
		})
	}
}

// Commands received after a state was held back apply to that state.
func TestCommandsApplyToHeldState(t *testing.T) {
	list, commands := testStates(6)
	now := time.Unix(1000, 0)
	f := NewFollower(now, 1)
	out := f.Handle(now, SetSources{[]Source{{Name: "behind"}, {Name: "ahead"}}})
	f.Handle(now, Opened{out.Subscribe.Attempt})
	out = f.Handle(now, Received{Attempt: out.Subscribe.Attempt, Update: NewPublisher(list[4]).FirstUpdate(out.Subscribe.Version, time.Minute)})
	if out.Subscribe == nil || out.Subscribe.Source.Name != "ahead" {
		t.Fatal("the next source was not tried at once")
	}
	p := NewPublisher(list[3])
	for i := 3; i < 6; i++ {
		p.SetState(list[i+1], commands[i:i+1])
	}
	f.Handle(now, Opened{out.Subscribe.Attempt})
	u := p.FirstUpdate(out.Subscribe.Version, 0)
	if u.State != nil {
		t.Error("the full state was sent again")
	}
	out = f.Handle(now, Received{Attempt: out.Subscribe.Attempt, Update: u})
	if out.State == nil || out.State.Version() != 6 {
		t.Fatalf("version %d is active, want 6", f.State().Version())
	}
	if out.Commands != nil {
		t.Error("returned commands that do not apply to the previously active state")
	}
}
