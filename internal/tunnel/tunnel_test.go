package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/targetpath"
	"ledgesill.dev/ledgesill/pkg/wire"
)

var testPeer = targetpath.Peer{Name: "box1", Zone: "a1", Region: "a", Address: "box1"}

// pair is a box and a peer whose targets the test plays.
type pair struct {
	dialer *Dialer
	server *Server
	// targets are the targets' ends of the connections that the peer opened.
	targets chan net.Conn
	// peerConns are the peer's ends of the connections between the boxes.
	peerConns chan net.Conn
	// connectErr fails the peer's connections if it is set.
	connectErr error
	// toBox and toPeer are the back-offs that each side was told of.
	toBox, toPeer chan time.Duration
}

func newPair(t *testing.T, maxTunnels int) *pair {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p := &pair{targets: make(chan net.Conn, 64), peerConns: make(chan net.Conn, 64), toBox: make(chan time.Duration, 8), toPeer: make(chan time.Duration, 8)}
	p.server = NewServer(ServerConfig{
		MaxTunnels: maxTunnels,
		Connect: func(context.Context, string) (net.Conn, error) {
			if p.connectErr != nil {
				return nil, p.connectErr
			}
			near, far := net.Pipe()
			p.targets <- far
			return near, nil
		},
		Pace:      func(context.Context, int) error { return nil },
		OnBackOff: func(_ string, wait time.Duration) { p.toPeer <- wait },
		OnRequest: func(*wire.TunnelRequest, *wire.TunnelAnswer) {},
	})
	p.dialer = &Dialer{
		Box: "box0",
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			p.peerConns <- far
			running.Go(func() { p.server.ServeConn(ctx, far) })
			return near, nil
		},
		OnBackOff: func(_ string, wait time.Duration) { p.toBox <- wait },
	}
	t.Cleanup(func() {
		cancel()
		p.server.closeAll()
		running.Wait()
	})
	return p
}

// open opens a tunnel and returns the box's end and the target's.
func (p *pair) open(t *testing.T) (*Conn, net.Conn) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := p.dialer.Open(ctx, testPeer, "t0")
	if err != nil {
		t.Fatal(err)
	}
	return c, <-p.targets
}

// Bytes arrive complete and in order in both directions at once, whatever the sizes of the writes.
func TestTunnelCarriesBytesBothWays(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		box, target := p.open(t)
		random := rand.New(rand.NewPCG(1, 1))
		up, down := make([]byte, 100_000), make([]byte, 300_000)
		for i := range up {
			up[i] = byte(random.Uint32())
		}
		for i := range down {
			down[i] = byte(random.Uint32())
		}
		var running sync.WaitGroup
		send := func(to io.Writer, data []byte) {
			sizes := rand.New(rand.NewPCG(uint64(len(data)), 1))
			for len(data) > 0 {
				n := min(len(data), 1+sizes.IntN(20_000))
				if _, err := to.Write(data[:n]); err != nil {
					t.Error(err)
					return
				}
				data = data[n:]
			}
		}
		running.Go(func() { send(box, up) })
		running.Go(func() { send(target, down) })
		check := func(from io.Reader, want []byte) {
			got := make([]byte, len(want))
			if _, err := io.ReadFull(from, got); err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes arrived changed: %v", len(want), err)
			}
		}
		running.Go(func() { check(target, up) })
		running.Go(func() { check(box, down) })
		running.Wait()
		_ = box.Close()
	})
}

// Guards against a response without a length that looks complete because the peer is lost: the end of the
// target's connection, its reset and the loss of the peer are told apart.
func TestEndResetAndLostPeerDiffer(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(p *pair, target, peer net.Conn)
		want func(error) bool
	}{
		{"the target ends", func(_ *pair, target, _ net.Conn) { _ = target.Close() }, func(err error) bool { return err == io.EOF }},
		{"the target resets", func(_ *pair, target, _ net.Conn) { _ = target.(*resettingConn).reset() }, func(err error) bool { return errors.Is(err, syscall.ECONNRESET) }},
		{"the peer is lost", func(_ *pair, _, peer net.Conn) { _ = peer.Close() }, func(err error) bool {
			var lost *PeerLostError
			return errors.As(err, &lost) && !errors.Is(err, io.EOF)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				p := newPair(t, 4)
				connect := p.server.config.Connect
				p.server.config.Connect = func(ctx context.Context, target string) (net.Conn, error) {
					conn, err := connect(ctx, target)
					far := &resettingConn{Conn: <-p.targets, near: &brokenReadConn{Conn: conn}}
					p.targets <- far
					return far.near, err
				}
				box, target := p.open(t)
				go func() {
					_, _ = target.Write([]byte("half a response"))
					c.end(p, target, <-p.peerConns)
				}()
				text, err := io.ReadAll(box)
				if err == nil {
					err = io.EOF
				}
				if !c.want(err) {
					t.Errorf("read %q, then %v", text, err)
				}
				_ = box.Close()
			})
		})
	}
}

// resettingConn is a target's end that can reset the connection.
type resettingConn struct {
	net.Conn
	near *brokenReadConn
}

func (c *resettingConn) reset() error {
	c.near.broken.Store(true)
	return c.Close()
}

// A caller that leaves is known at the target at once.
func TestClosingATunnelClosesTheTargetsConnection(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		box, target := p.open(t)
		began := time.Now()
		_ = box.Close()
		if _, err := target.Read(make([]byte, 1)); err == nil {
			t.Fatal("the target's connection is open")
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("closed after %s", took)
		}
		synctest.Wait()
		if n := p.server.Open(); n != 0 {
			t.Errorf("%d tunnels are open", n)
		}
	})
}

// What a peer has no room for is refused at once, and a tunnel that ends makes room.
func TestTunnelsAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 2)
		first, _ := p.open(t)
		second, _ := p.open(t)
		var refused *RefusedError
		if _, err := p.dialer.Open(t.Context(), testPeer, "t0"); !errors.As(err, &refused) || refused.Result != targetpath.PeerBusy {
			t.Fatalf("got %v, want a peer that is busy", err)
		}
		_ = first.Close()
		synctest.Wait()
		third, _ := p.open(t)
		_ = second.Close()
		_ = third.Close()
	})
}

// Why the peer made no connection reaches the box, with the back-off that the target asked for.
func TestRefusalsTellTheReason(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 2)
		for _, want := range []*RefusedError{
			{"box1", targetpath.TargetDown, 0},
			{"box1", targetpath.TargetUnreached, 0},
			{"box1", targetpath.PeerCutOff, 0},
			{"box1", targetpath.TargetUnknown, 0},
			{"box1", targetpath.TargetUnknown, 1500 * time.Millisecond},
		} {
			p.connectErr = want
			var refused *RefusedError
			if _, err := p.dialer.Open(t.Context(), testPeer, "t0"); !errors.As(err, &refused) || *refused != *want {
				t.Errorf("got %v, want %v", err, want)
			}
			synctest.Wait() // until the peer has closed its end too
		}
	})
}

// A peer that shuts down refuses further tunnels, and the boxes use the open ones no longer than for the
// request in flight.
func TestDrainEndsReuse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		box, target := p.open(t)
		p.server.Drain()
		go func() { _, _ = target.Write([]byte("response")) }()
		got := make([]byte, 8)
		if _, err := io.ReadFull(box, got); err != nil || string(got) != "response" {
			t.Fatalf("got %q, %v", got, err)
		}
		if box.IsReusable() {
			t.Error("the tunnel counts as reusable")
		}
		var refused *RefusedError
		if _, err := p.dialer.Open(t.Context(), testPeer, "t0"); !errors.As(err, &refused) || refused.Result != targetpath.PeerBusy {
			t.Errorf("got %v, want a peer that is busy", err)
		}
		waited := make(chan error, 1)
		go func() { waited <- p.server.Wait(t.Context()) }()
		_ = box.Close()
		if err := <-waited; err != nil {
			t.Error(err)
		}
	})
}

// A target counts the requests of a box that asked for a back-off by its address, so each side of a tunnel tells
// the other.
func TestBackOffsCrossTheTunnel(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		box, target := p.open(t)
		go func() {
			p.server.BackOff("t0", 3*time.Second)
			time.Sleep(time.Millisecond)
			_, _ = target.Write([]byte("x"))
		}()
		if _, err := box.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		if got := <-p.toBox; got != 3*time.Second {
			t.Errorf("the box was told %s", got)
		}
		if err := box.SendBackOff(2 * time.Second); err != nil {
			t.Fatal(err)
		}
		if got := <-p.toPeer; got != 2*time.Second {
			t.Errorf("the peer was told %s", got)
		}
		_ = box.Close()
	})
}

// A box that opens a connection and sends no request is not waited for.
func TestSilentBoxIsDropped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		conn, err := p.dialer.Dial(t.Context(), "box1")
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		_, _ = conn.Read(make([]byte, 1))
		if took := time.Since(began); took != requestTimeout {
			t.Errorf("dropped after %s, want %s", took, requestTimeout)
		}
	})
}

// A deadline on the box's end is the box's own and no sign that the peer is lost.
func TestDeadlineIsNoLostPeer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := newPair(t, 4)
		box, _ := p.open(t)
		_ = box.SetDeadline(time.Unix(1, 0))
		_, err := box.Read(make([]byte, 1))
		var lost *PeerLostError
		if errors.As(err, &lost) {
			t.Errorf("got %v", err)
		}
		_ = box.Close()
	})
}

// FuzzFrames reads random bytes as frames.
func FuzzFrames(f *testing.F) {
	frame := make([]byte, headerBytes, headerBytes+5)
	putHeader(frame, dataFrame, 5)
	f.Add(append(frame, "hello"...))
	f.Add(encodeEmpty(endFrame))
	f.Add(encodeBackOff(time.Second))
	f.Add([]byte(strings.Repeat("\x01\xff", 9)))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := newConn(readOnlyConn{bytes.NewReader(data)}, "box1", "t0", func(string, time.Duration) {})
		text, err := io.ReadAll(c)
		if len(text) > len(data) {
			t.Fatalf("%d bytes of %d: %v", len(text), len(data), err)
		}
		if err == nil && !bytes.Contains(data, encodeEmpty(endFrame)) {
			t.Fatal("an end without a frame that tells it")
		}
	})
}

// readOnlyConn is a connection of which only Read is used.
type readOnlyConn struct{ io.Reader }

func (readOnlyConn) Write([]byte) (int, error)        { return 0, io.ErrClosedPipe }
func (readOnlyConn) Close() error                     { return nil }
func (readOnlyConn) LocalAddr() net.Addr              { return nil }
func (readOnlyConn) RemoteAddr() net.Addr             { return nil }
func (readOnlyConn) SetDeadline(time.Time) error      { return nil }
func (readOnlyConn) SetReadDeadline(time.Time) error  { return nil }
func (readOnlyConn) SetWriteDeadline(time.Time) error { return nil }

// brokenReadConn is the peer's end of a connection that its target may reset.
type brokenReadConn struct {
	net.Conn
	broken atomic.Bool
}

// Read implements net.Conn.
func (c *brokenReadConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.broken.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}
