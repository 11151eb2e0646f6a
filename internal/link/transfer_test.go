package link

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/internal/link/linktest"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

func messageOfLength(length int) *wire.Subscribe {
	return &wire.Subscribe{Box: strings.Repeat("x", length)}
}

// withTransferNodes runs a function in virtual time with a client of a server that
// answers each subscription with a message of a length, over the given network.
func withTransferNodes(t *testing.T, network *linktest.Network, length int, run func(t *testing.T, caller *Node)) {
	t.Helper()
	drainPools()
	defer drainPools()
	bubble.Test(t, func(t *testing.T) {
		clock := timeline.NewClock(time.Now)
		simulated := Network{Listen: network.Listen, Dial: network.Dial}
		handlers := Handlers{Subscribe: func(_ context.Context, _ string, m *Messages) {
			_ = m.Read(&wire.Subscribe{})
			_ = m.Write(messageOfLength(length)) // if it fails, the client's read fails
			_ = m.Read(&wire.Subscribe{})
		}}
		server, err := Listen(simulated, "server", Identity{Name: "server"}, clock, handlers, nil)
		if err != nil {
			t.Fatal(err)
		}
		caller := newNode(simulated, Identity{Name: "caller"}, clock, Handlers{}, nil)
		defer func() {
			_ = caller.Close()
			_ = server.Close()
		}()
		run(t, caller)
	})
}

// receive subscribes, reads one message and returns how long reading took.
func receive(t *testing.T, caller *Node) (took time.Duration, err error) {
	t.Helper()
	m, err := caller.Subscribe(t.Context(), "server", &wire.Subscribe{})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	err = m.Read(&wire.Subscribe{})
	took = time.Since(began)
	_ = m.Close()
	return took, err
}

// Guards against closing a connection as dead while a long message arrives on it.
// The answer to a ping waits behind a stream's window of data in the socket's
// buffer: 3.5 s at 600 kbit/s, which is what callers may leave of a link. The
// connection must stay open, as data arrives.
func TestConnectionIsKeptWhileReceiving(t *testing.T) {
	const length, rate = 1 << 20, 600_000 / 8
	network := &linktest.Network{DownBytesPerSecond: rate, SocketBuffer: 1 << 20}
	withTransferNodes(t, network, length, func(t *testing.T, caller *Node) {
		took, err := receive(t, caller)
		if err != nil {
			t.Errorf("the transfer failed after %v: %v", took, err)
		}
		if n := len(network.Dialled()); n != 1 {
			t.Errorf("%d connections for one transfer, want 1", n)
		}
	})
}

// Guards against closing a connection as dead while a long message is sent on it: the
// sending side receives little meanwhile.
func TestConnectionIsKeptWhileSending(t *testing.T) {
	const length, rate = 1 << 20, 400_000 / 8
	network := &linktest.Network{UpBytesPerSecond: rate, SocketBuffer: 1 << 20}
	withTransferNodes(t, network, 0, func(t *testing.T, caller *Node) {
		m, err := caller.Subscribe(t.Context(), "server", messageOfLength(length))
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Read(&wire.Subscribe{}); err != nil {
			t.Errorf("the transfer failed: %v", err)
		}
		if n := len(network.Dialled()); n != 1 {
			t.Errorf("%d connections for one transfer, want 1", n)
		}
		_ = m.Close()
	})
}

// A side that only sends receives little, and a packet of that may be lost: it then
// arrives with the first retransmission, 200 ms and a round trip later. The
// connection must stay open whichever packet is lost.
func TestConnectionIsKeptIfPacketsAreLost(t *testing.T) {
	const (
		length, rate = 4 << 20, 400_000 / 8
		latency      = 70 * time.Millisecond
		afterLoss    = 200*time.Millisecond + 3*latency
	)
	for _, each := range []int{2, 3, 5, 7} {
		network := &linktest.Network{UpBytesPerSecond: rate, SocketBuffer: 1 << 20, ExtraDelay: func(n int) time.Duration {
			if n%each == 0 {
				return afterLoss
			}
			return latency
		}}
		withTransferNodes(t, network, 0, func(t *testing.T, caller *Node) {
			began := time.Now()
			m, err := caller.Subscribe(t.Context(), "server", messageOfLength(length))
			if err != nil {
				t.Errorf("with each %dth packet lost the transfer failed after %v: %v", each, time.Since(began), err)
				return
			}
			if err := m.Read(&wire.Subscribe{}); err != nil {
				t.Errorf("with each %dth packet lost the transfer failed after %v: %v", each, time.Since(began), err)
			}
			_ = m.Close()
		})
	}
}

// A link of 400 kbit/s takes 5 s for a window of 256 KB and buffers little. Writing
// a long message must still succeed.
func TestLongMessageIsSentOverSlowLink(t *testing.T) {
	const length, rate = 1 << 20, 400_000 / 8
	network := &linktest.Network{DownBytesPerSecond: rate, SocketBuffer: 1 << 12}
	withTransferNodes(t, network, length, func(t *testing.T, caller *Node) {
		took, err := receive(t, caller)
		if err != nil {
			t.Fatalf("the transfer failed after %v: %v", took, err)
		}
		sent := proto.Size(messageOfLength(length))
		if maxTime := time.Duration(float64(sent)/rate*1.1*float64(time.Second)) + time.Second; took > maxTime {
			t.Errorf("took %v, want at most %v", took, maxTime)
		}
	})
}

// A connection that goes silent during a transfer must be detected as soon as an idle
// one.
func TestDeadConnectionIsDetectedDuringTransfer(t *testing.T) {
	const length, rate = 3 << 20, 4_000_000 / 8
	network := &linktest.Network{DownBytesPerSecond: rate, SocketBuffer: 1 << 20}
	withTransferNodes(t, network, length, func(t *testing.T, caller *Node) {
		m, err := caller.Subscribe(t.Context(), "server", &wire.Subscribe{})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- m.Read(&wire.Subscribe{}) }()
		time.Sleep(time.Second)
		network.Dialled()[0].DropTraffic()
		silent := time.Now()
		if err := <-ended; err == nil {
			t.Error("a message arrived over a silent connection")
		}
		if took := time.Since(silent); took > keepAliveInterval+keepAliveTimeout {
			t.Errorf("the silent connection was detected after %v", took)
		}
	})
}

// partialWriter is a stream whose first write writes a part and fails.
type partialWriter struct {
	io.ReadWriteCloser
	writes int
}

func (b *partialWriter) Write(p []byte) (int, error) {
	b.writes++
	if b.writes == 1 {
		return len(p) / 2, errors.New("write timed out")
	}
	return len(p), nil
}

// Nothing may be written to a stream after a partial message.
func TestNothingIsWrittenAfterPartialMessage(t *testing.T) {
	b := &partialWriter{}
	m := NewMessages(b)
	for range 2 {
		if m.Write(messageOfLength(100)) == nil {
			t.Error("writing after a partial message succeeded")
		}
	}
	if b.writes != 1 {
		t.Errorf("%d writes, want 1", b.writes)
	}
}
