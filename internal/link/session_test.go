package link

import (
	"context"
	"errors"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/internal/bubble"
	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// pipeNetwork is a network of in-memory connections.
type pipeNetwork struct {
	accept chan net.Conn
	// wrap wraps the dialling end of each connection.
	wrap func(net.Conn) net.Conn
}

func (p *pipeNetwork) network() Network {
	return Network{
		Listen: func(string) (net.Listener, error) { return &pipeListener{p, make(chan struct{})}, nil },
		Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			p.accept <- far
			return p.wrap(near), nil
		},
	}
}

type pipeListener struct {
	network *pipeNetwork
	done    chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.network.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// faultyConn is a connection whose writes can be dropped or fail. Its reads return
// a second after it is closed.
type faultyConn struct {
	net.Conn
	dropWrites atomic.Bool
	failWrites atomic.Bool
	// stallInFrame makes the connection deliver nothing more behind the header of the second data
	// frame that it reads.
	stallInFrame atomic.Bool
	dataFrames   int
	closing      sync.Once
	closed       chan struct{}
}

func (c *faultyConn) Write(b []byte) (int, error) {
	switch {
	case c.failWrites.Load():
		return 0, errors.New("broken pipe")
	case c.dropWrites.Load():
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.dataFrames >= 2 {
		<-c.closed
	}
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(time.Second)
	}
	if c.stallInFrame.Load() && n == frameHeaderBytes && b[1] == dataFrame {
		c.dataFrames++
	}
	return n, err
}

func (c *faultyConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// drainPools drops the timers that yamux keeps in a sync.Pool: they must not
// cross the boundary of a synctest bubble. That takes two garbage collections.
func drainPools() {
	runtime.GC()
	runtime.GC()
}

// withNodes runs a function in virtual time with a client and a server node; last
// returns the most recently opened connection.
func withNodes(t *testing.T, run func(t *testing.T, caller *Node, last func() *faultyConn)) {
	t.Helper()
	drainPools()
	defer drainPools()
	bubble.Test(t, func(t *testing.T) {
		var conns []*faultyConn
		p := &pipeNetwork{accept: make(chan net.Conn), wrap: func(c net.Conn) net.Conn {
			f := &faultyConn{Conn: c, closed: make(chan struct{})}
			conns = append(conns, f)
			return f
		}}
		clock := timeline.NewClock(time.Now)
		handlers := Handlers{
			Call: func(context.Context, string, *wire.CallRequest) *wire.CallAnswer { return &wire.CallAnswer{} },
			Subscribe: func(ctx context.Context, _ string, m *Messages) {
				stop := context.AfterFunc(ctx, func() { _ = m.Close() })
				defer stop()
				_ = m.Read(&wire.Subscribe{})
				_ = m.Read(&wire.Subscribe{})
				_ = m.Write(&wire.Update{Limits: []*wire.TargetLimit{{Life: strings.Repeat("x", 2*maxWriteBytes)}}})
				_ = m.Read(&wire.Subscribe{})
			},
		}
		server, err := Listen(p.network(), "server", Identity{Name: "server"}, clock, handlers, nil)
		if err != nil {
			t.Fatal(err)
		}
		caller := newNode(p.network(), Identity{Name: "caller"}, clock, Handlers{}, nil)
		run(t, caller, func() *faultyConn { return conns[len(conns)-1] })
		_ = caller.Close()
		_ = server.Close()
	})
}

// Guards against readers of streams that spin while a session ends after a failed
// write. Virtual time would not advance then, and the test would hang.
func TestReadersDoNotSpinWhileSessionEnds(t *testing.T) {
	withNodes(t, func(t *testing.T, caller *Node, last func() *faultyConn) {
		m, err := caller.Subscribe(t.Context(), "server", &wire.Subscribe{})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- m.Read(&wire.Update{}) }()
		synctest.Wait()
		last().failWrites.Store(true)
		began := time.Now()
		if err := <-ended; err == nil {
			t.Error("the stream survived a broken connection")
		}
		if took := time.Since(began); took > keepAliveInterval+keepAliveTimeout+2*time.Second {
			t.Errorf("the broken connection was detected after %v", took)
		}
	})
}

// A connection that goes silent for good must be closed, so that calls succeed again
// over a new one.
func TestDeadConnectionIsReplaced(t *testing.T) {
	withNodes(t, func(t *testing.T, caller *Node, last func() *faultyConn) {
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := caller.Call(ctx, "server", &wire.CallRequest{Hello: &wire.HelloRequest{}})
			return err
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		last().dropWrites.Store(true)
		if call() == nil {
			t.Fatal("a call was answered over a silent connection")
		}
		time.Sleep(keepAliveInterval + keepAliveTimeout + time.Second) // the last second is for closing
		if err := call(); err != nil {
			t.Errorf("call after the dead connection was detected: %v", err)
		}
	})
}
