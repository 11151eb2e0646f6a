package link

import (
	"context"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// BenchmarkCall measures one call and its answer, with both processes in this one.
func BenchmarkCall(b *testing.B) {
	clock := timeline.NewClock(time.Now)
	server, err := Listen(TCP(), "127.0.0.1:0", Identity{Name: "server"}, clock, Handlers{
		Call: func(context.Context, string, *wire.CallRequest) *wire.CallAnswer {
			return &wire.CallAnswer{Hello: &wire.HelloAnswer{Id: "server", Version: 3}}
		},
	}, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	client := NewClient(Identity{Name: "client"}, clock, nil)
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		request := &wire.CallRequest{Report: &wire.Report{Boxes: []*wire.BoxReport{{Box: "client", Zone: "z"}}}}
		if _, err := client.Call(context.Background(), server.Address(), request); err != nil {
			b.Fatal(err)
		}
	}
}
