package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Changes in quick succession are sent in few updates: the first at once, the
// others after the minimum interval, and none is lost.
func TestUpdatesAreSpaced(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		ran := make(chan error, 1)
		go func() { ran <- p.Run(ctx) }()
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
		joined := &wire.Update{}
		if err := subscriber.Read(joined); err != nil || joined.Version != 0 {
			t.Fatalf("first update %v, %v", joined, err) // all changes must follow as commands
		}
		const changes = 100
		began := time.Now()
		go func() {
			state := steering.State{}
			for i := range changes {
				c := &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: fmt.Sprint("zone", i)}}
				state, _ = state.Apply(c)
				p.SetState(state, []*wire.Command{c})
				time.Sleep(time.Millisecond)
			}
		}()
		updates, got := 1, 0
		for got < changes {
			u := &wire.Update{}
			if err := subscriber.Read(u); err != nil {
				t.Fatal(err)
			}
			updates++
			got += len(u.Commands)
		}
		if maxUpdates := changes*int(time.Millisecond)/int(minUpdateInterval) + 2; updates > maxUpdates {
			t.Errorf("%d updates for %d changes, want at most %d", updates, changes, maxUpdates)
		}
		if took := time.Since(began); took > changes*time.Millisecond+2*minUpdateInterval {
			t.Errorf("the last change was sent after %s", took)
		}
		cancel()
		_ = subscriber.Close()
		<-served
		<-ran
	})
}

// A subscriber at version 0 gets the full state, even if all commands are still
// kept, and then the following changes as commands.
func TestSubscriberWithoutStateGetsFullState(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		ran := make(chan error, 1)
		go func() { ran <- p.Run(ctx) }()
		state := steering.State{}
		put := func(zone string) {
			c := &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: zone}}
			state, _ = state.Apply(c)
			p.SetState(state, []*wire.Command{c})
		}
		put("a")
		synctest.Wait()
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
		first, second := &wire.Update{}, &wire.Update{}
		if err := subscriber.Read(first); err != nil || first.State == nil || first.Version != 1 {
			t.Errorf("first update %v, %v", first, err)
		}
		put("b")
		if err := subscriber.Read(second); err != nil || len(second.Commands) != 1 || second.FromVersion != 1 {
			t.Errorf("second update %v, %v", second, err)
		}
		cancel()
		_ = subscriber.Close()
		<-served
		<-ran
	})
}

// SetState does not block and keeps the order. Run ends with its context, and
// drops pending states.
func TestPublisherStopsWithItsContext(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		state := steering.State{}
		put := func(n int) {
			for range n {
				c := commandOfLength(100 + int(state.Version()))
				state, _ = state.Apply(c)
				p.SetState(state, []*wire.Command{c})
			}
		}
		version := func() uint64 { return p.buildUpdate(p.publisher.Update, 0).Version }
		put(100)
		if v := version(); v != 0 {
			t.Errorf("version %d was published without Run", v)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ran := make(chan error, 1)
		go func() { ran <- p.Run(ctx) }()
		synctest.Wait()
		if u := p.buildUpdate(p.publisher.Update, 0); u.Version != 100 || len(u.Commands) != 100 {
			t.Errorf("version %d with %d commands was published, want 100", u.Version, len(u.Commands))
		}
		cancel()
		if err := <-ran; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		put(100)
		if err := p.Run(ended); !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
		if v := version(); v != 100 || len(p.pending) != 0 {
			t.Errorf("version %d, %d pending states after the end", v, len(p.pending))
		}
	})
}

// Guards against a publisher that sends an old version as the current one after
// Run has ended, dropping the latest state, and was started again.
func TestRestartedPublisherPublishesLatestState(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		c := &wire.Command{Evacuation: &wire.EvacuationCommand{Zone: "a"}}
		state, _ := steering.State{}.Apply(c)
		p.SetState(state, []*wire.Command{c})
		over, end := context.WithCancel(t.Context())
		end()
		_ = p.Run(over) // returns at once: its context has ended
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- p.Run(ctx) }()
		synctest.Wait()
		if got := p.buildUpdate(p.publisher.Update, 0).Version; got != state.Version() {
			t.Errorf("published version %d, want %d", got, state.Version())
		}
		cancel()
		<-ended
	})
}
