package link

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"ledgesill.dev/ledgesill/pkg/timeline"
	"ledgesill.dev/ledgesill/pkg/wire"
)

// pipes is a network of connections in memory.
type pipes struct {
	accept chan net.Conn
	// wrap is put around the dialling end of each connection.
	wrap func(net.Conn) net.Conn
}

func (p *pipes) network() Network {
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
	pipes *pipes
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pipes.accept:
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

// faulty is a connection that can lose what is written, or fail it; its reads
// end a second after its closing.
type faulty struct {
	net.Conn
	silent atomic.Bool
	fails  atomic.Bool
}

func (c *faulty) Write(b []byte) (int, error) {
	switch {
	case c.fails.Load():
		return 0, errors.New("broken pipe")
	case c.silent.Load():
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faulty) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(time.Second)
	}
	return n, err
}

// emptyPools lets go of the timers that yamux keeps in a pool, which must not
// enter or leave a bubble; that takes two collections.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// linkPair runs a function in virtual time with a node that dials and one that
// answers; last returns the connection that was opened last.
func linkPair(t *testing.T, run func(t *testing.T, caller *Node, last func() *faulty)) {
	t.Helper()
	emptyPools()
	defer emptyPools()
	synctest.Test(t, func(t *testing.T) {
		var conns []*faulty
		p := &pipes{accept: make(chan net.Conn), wrap: func(c net.Conn) net.Conn {
			f := &faulty{Conn: c}
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
			},
		}
		server, err := Listen(p.network(), "server", Identity{Name: "server"}, clock, handlers, nil)
		if err != nil {
			t.Fatal(err)
		}
		caller := newNode(p.network(), Identity{Name: "caller"}, clock, Handlers{}, nil)
		run(t, caller, func() *faulty { return conns[len(conns)-1] })
		_ = caller.Close()
		_ = server.Close()
	})
}

// While a session ends that a write has failed on, the readers of its streams
// rest. If they ran in a loop, virtual time would stand still and the test hang.
func TestReadersRestWhileASessionEnds(t *testing.T) {
	linkPair(t, func(t *testing.T, caller *Node, last func() *faulty) {
		m, err := caller.Subscribe(t.Context(), "server", &wire.Subscribe{})
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- m.Read(&wire.Update{}) }()
		synctest.Wait()
		last().fails.Store(true)
		began := time.Now()
		if err := <-ended; err == nil {
			t.Error("the stream goes on over a broken connection")
		}
		if took := time.Since(began); took > keepAliveInterval+answerTimeout+2*time.Second {
			t.Errorf("the end was noticed after %v", took)
		}
	})
}

// A connection that goes silent for good is left, and calls work again over a
// new one.
func TestSilentConnectionIsLeft(t *testing.T) {
	linkPair(t, func(t *testing.T, caller *Node, last func() *faulty) {
		call := func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := caller.Call(ctx, "server", &wire.CallRequest{Hello: &wire.HelloRequest{}})
			return err
		}
		if err := call(); err != nil {
			t.Fatal(err)
		}
		last().silent.Store(true)
		if call() == nil {
			t.Fatal("a call was answered over a silent connection")
		}
		time.Sleep(keepAliveInterval + answerTimeout + time.Second) // and the closing
		if err := call(); err != nil {
			t.Errorf("after the silence was noticed: %v", err)
		}
	})
}
