package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/internal/link"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// Guards against a halt of virtual time when a box stalls after a peer has written the header
// of a frame and before it writes the data.
func TestStallWithinFrameKeepsVirtualTimeRunning(t *testing.T) {
	runInBubble(t, func(t *testing.T) {
		s := &system{t: t, network: newFakeNetwork()}
		clock := timeline.NewClock(time.Now)
		answer := func(context.Context, string, *wire.CallRequest) *wire.CallAnswer { return &wire.CallAnswer{} }
		s.network.setFramed("10.0.0.2:2")
		server, err := link.Listen(s.networkOf("10.0.0.2"), "10.0.0.2:2", link.Identity{Name: "b2"}, clock, link.Handlers{Call: answer}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		caller, err := link.Listen(s.networkOf("10.0.0.1"), "10.0.0.1:2", link.Identity{Name: "b1"}, clock, link.Handlers{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer caller.Close()
		s.network.setHooks(func(string, string) {}, func(from, _ string, data []byte) {
			if from == "10.0.0.1" && strings.Contains(string(data), "b1") {
				time.Sleep(2 * s.network.currentDelay()) // the frame header has arrived
				s.network.setStalled("10.0.0.2", true)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := caller.Call(ctx, "10.0.0.2:2", &wire.CallRequest{Hello: &wire.HelloRequest{}}); err == nil {
			t.Error("a call to a stalled box was answered")
		}
		s.network.setHooks(func(string, string) {}, func(string, string, []byte) {})
		s.network.setStalled("10.0.0.2", false)
		if _, err := caller.Call(t.Context(), "10.0.0.2:2", &wire.CallRequest{Hello: &wire.HelloRequest{}}); err != nil {
			t.Errorf("call after the stall: %v", err)
		}
	})
}
