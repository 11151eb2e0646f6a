package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// fakePermitStreams answers the permit requests on each stream that is opened.
func fakePermitStreams(answer func(stream int, r *wire.PermitRequest) *wire.PermitAnswer) (open func(context.Context, string) (*link.Messages, error), opened func() int) {
	var mu sync.Mutex
	count := 0
	open = func(context.Context, string) (*link.Messages, error) {
		near, far := net.Pipe()
		mu.Lock()
		count++
		stream := count
		mu.Unlock()
		go func() {
			defer far.Close()
			m := link.NewMessages(far)
			for {
				r := &wire.PermitRequest{}
				if m.Read(r) != nil {
					return
				}
				a := answer(stream, r)
				if a == nil {
					continue
				}
				if m.Write(a) != nil {
					return
				}
			}
		}()
		return link.NewMessages(near), nil
	}
	return open, func() int {
		mu.Lock()
		defer mu.Unlock()
		return count
	}
}

// Concurrent requests get their own answers over one stream.
func TestConcurrentPermitCallsGetOwnAnswers(t *testing.T) {
	open, opened := fakePermitStreams(func(_ int, r *wire.PermitRequest) *wire.PermitAnswer {
		return &wire.PermitAnswer{Grants: []*wire.PermitGrant{{Workspace: r.Asks[0].Workspace}}}
	})
	p := newPermitStreams(open)
	defer p.close()
	var running sync.WaitGroup
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		running.Go(func() {
			for range 50 {
				got, err := p.call(t.Context(), "replica", &wire.PermitRequest{Asks: []*wire.PermitAsk{{Workspace: name}}})
				if err != nil || got.Grants[0].Workspace != name {
					t.Errorf("%s got %v, %v", name, got, err)
				}
			}
		})
	}
	running.Wait()
	if n := opened(); n > 6 {
		t.Errorf("%d streams were opened", n)
	}
}

// A stream on which an answer is late is closed, so that the late answer can't be taken for that to
// the next request.
func TestStreamIsClosedAfterLateAnswer(t *testing.T) {
	open, opened := fakePermitStreams(func(stream int, r *wire.PermitRequest) *wire.PermitAnswer {
		if stream == 1 {
			return nil
		}
		return &wire.PermitAnswer{Grants: []*wire.PermitGrant{{Workspace: r.Asks[0].Workspace}}}
	})
	p := newPermitStreams(open)
	defer p.close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := p.call(ctx, "replica", &wire.PermitRequest{Asks: []*wire.PermitAsk{{Workspace: "a"}}}); err == nil || errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	got, err := p.call(t.Context(), "replica", &wire.PermitRequest{Asks: []*wire.PermitAsk{{Workspace: "b"}}})
	if err != nil || got.Grants[0].Workspace != "b" || opened() != 2 {
		t.Fatalf("got %v, %v over %d streams", got, err, opened())
	}
}
