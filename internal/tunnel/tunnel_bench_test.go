package tunnel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"ledgesill.dev/ledgesill/pkg/wire"
)

// echoServer answers every 500 bytes with 4 KB.
func echoServer(b *testing.B) net.Listener {
	b.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				request, response := make([]byte, 500), make([]byte, 4096)
				for {
					if _, err := io.ReadFull(c, request); err != nil {
						return
					}
					if _, err := c.Write(response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l
}

func exchange(b *testing.B, c net.Conn) {
	b.Helper()
	request, response := make([]byte, 500), make([]byte, 4096)
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(c, response); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkExchange measures a request of 500 bytes and a response of 4 KB on loopback, on a connection to the
// target and through a peer.
func BenchmarkExchange(b *testing.B) {
	target := echoServer(b)
	b.Run("direct", func(b *testing.B) {
		c, err := net.Dial("tcp4", target.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		defer c.Close()
		exchange(b, c)
	})
	b.Run("through a peer", func(b *testing.B) {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := NewServer(ServerConfig{
			Connect:    func(context.Context, string) (net.Conn, error) { return net.Dial("tcp4", target.Addr().String()) },
			MaxTunnels: 4,
			Pace:       func(context.Context, int) error { return nil },
			OnBackOff:  func(string, time.Duration) {},
			OnRequest:  func(*wire.TunnelRequest, *wire.TunnelAnswer) {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.Serve(ctx, l) }()
		d := &Dialer{Box: "box0", Dial: func(context.Context, string) (net.Conn, error) { return net.Dial("tcp4", l.Addr().String()) }}
		c, err := d.Open(ctx, testPeer, "t0")
		if err != nil {
			b.Fatal(err)
		}
		exchange(b, c)
		_ = c.Close()
		cancel()
		<-ended
	})
}
