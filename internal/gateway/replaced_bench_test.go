package gateway

import (
	"fmt"
	"io"
	"testing"

	"ledgesill.dev/ledgesill/pkg/distribution"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// BenchmarkTargetsReplaced measures an update in which ten targets each join, drain or leave, from
// its receipt until the targets are applied.
func BenchmarkTargetsReplaced(b *testing.B) {
	for _, n := range []int{400, 1356, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := newBoxWithoutCallers(b, io.Discard, testRoutes)
			s := steering.State{}
			for i := range n {
				s = withTarget(s, fmt.Sprint("i", i), false)
			}
			d.applyState(s, nil)
			next, oldest := n, 0
			b.ReportAllocs()
			for b.Loop() {
				u := &wire.Update{FromVersion: s.Version()}
				for range 10 {
					joins := &wire.Registration{Id: fmt.Sprint("i", next), Address: fmt.Sprint("i", next), Service: "s", Zone: "z", Slots: 4, Sequence: 1, ColdMilli: 3000}
					leaves := &wire.Registration{Id: fmt.Sprint("i", oldest)}
					u.Commands = append(u.Commands,
						&wire.Command{Registration: &wire.RegistrationCommand{Registration: joins}},
						&wire.Command{Registration: &wire.RegistrationCommand{Registration: leaves, Leave: true}})
					next++
					oldest++
				}
				u.Version = u.FromVersion + uint64(len(u.Commands))
				after, commands, err := distribution.Advance(s, u)
				if err != nil {
					b.Fatal(err)
				}
				s = after
				d.applyState(s, commands)
			}
		})
	}
}
