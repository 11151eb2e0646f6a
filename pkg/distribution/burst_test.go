package distribution

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a subscriber that is behind by seconds of a burst and gets the full state each time:
// 10,002 targets that register within seconds are ten times the 1,024 commands that were kept.
func TestBurstIsSentAsCommands(t *testing.T) {
	for _, targets := range []int{10_002, 20_004} {
		p := NewPublisher(steering.State{})
		s := steering.State{}
		version, sent := uint64(0), 0
		for i := 0; i < targets; {
			var commands []*wire.Command
			for range 100 {
				commands = append(commands, &wire.Command{Registration: &wire.RegistrationCommand{Registration: &wire.Registration{
					Id: fmt.Sprintf("i-%010x", i), Service: "pupu84a", Address: fmt.Sprintf("10.1.%d.%d:8181", i>>8, i&255), Zone: "use-a", Software: "v1", Slots: 8,
					Sequence: 1, BornUnixMilli: 1_700_000_000_000,
				}}})
				i++
			}
			s, _ = s.ApplyAll(commands)
			p.SetState(s, commands)
			if i%3000 != 0 && i < targets {
				continue // the subscriber is slow
			}
			u := p.Update(version, 0)
			if u.State != nil {
				t.Fatalf("%d targets: a subscriber at version %d of %d gets the full state", targets, version, s.Version())
			}
			sent += proto.Size(u)
			version = u.Version
		}
		if limit := max(minCommandBytes, p.targetBytes()); p.commandBytes > limit {
			t.Errorf("%d targets: commands of %d bytes are kept, want at most %d", targets, p.commandBytes, limit)
		}
		if full := proto.Size(p.fullState()); sent > 2*full {
			t.Errorf("%d targets: %d bytes were sent, the full state has %d", targets, sent, full)
		}
	}
}
