package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/steering"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// A subscriber gets a changed limit at once, and each change once.
func TestChangedLimitsAreSentOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := NewPublisher(steering.State{}, func() time.Duration { return 0 }, func() *wire.Clock { return nil })
		var changed []*wire.TargetLimit
		p.SetLimits(func(after uint64) ([]*wire.TargetLimit, uint64) {
			return changed[after:], uint64(len(changed))
		})
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
		read := func() []*wire.TargetLimit {
			t.Helper()
			u := &wire.Update{}
			if err := subscriber.Read(u); err != nil {
				t.Fatal(err)
			}
			return u.Limits
		}
		if got := read(); len(got) != 0 {
			t.Errorf("first update has limits %v, want none", got)
		}
		synctest.Wait()
		began := time.Now()
		changed = append(changed, &wire.TargetLimit{Life: "t", Limited: true, PerSecond: 5})
		p.LimitsChanged()
		if got := read(); len(got) != 1 || got[0].Life != "t" {
			t.Errorf("got limits %v, want the changed one", got)
		}
		if took := time.Since(began); took > minUpdateInterval {
			t.Errorf("the limit was sent after %s", took)
		}
		if got := read(); len(got) != 0 { // with the next heartbeat
			t.Errorf("limits were sent again: %v", got)
		}
		cancel()
		_ = subscriber.Close()
		<-served
	})
}
