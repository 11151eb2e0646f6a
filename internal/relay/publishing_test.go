package relay

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Changes that come close together travel in few updates: the first at once,
// the others after the spacing, and none is missing.
func TestUpdatesAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := NewPublishing(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		near, far := net.Pipe()
		served := make(chan struct{})
		go func() {
			defer close(served)
			p.Serve(ctx, link.NewMessages(near))
		}()
		subscriber := link.NewMessages(far)
		if err := subscriber.Write(&wire.Subscribe{Box: "box"}); err != nil {
			t.Fatal(err)
		}
		const changes = 100
		began := time.Now()
		go func() {
			state := steering.State{}
			for i := range changes {
				c := &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: fmt.Sprint("zone", i)}}
				state, _ = state.Apply(c)
				p.Put(state, []*wire.Command{c})
				time.Sleep(time.Millisecond)
			}
		}()
		updates, got := 0, 0
		for got < changes {
			u := &wire.Update{}
			if err := subscriber.Read(u); err != nil {
				t.Fatal(err)
			}
			updates++
			got += len(u.Commands)
		}
		if most := changes*int(time.Millisecond)/int(updateSpacing) + 2; updates > most {
			t.Errorf("%d updates for %d changes, want at most %d", updates, changes, most)
		}
		if took := time.Since(began); took > changes*time.Millisecond+2*updateSpacing {
			t.Errorf("the last change came after %s", took)
		}
		cancel()
		_ = subscriber.Close()
		<-served
	})
}
