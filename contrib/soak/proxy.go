package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass it.
type mode int

const (
	pass mode = iota
	// delay holds every piece back for a while.
	delay
	// silence takes bytes and passes none on, either way.
	silence
	// oneWay passes on only what the caller sends.
	oneWay
	// reset breaks every connection that is used.
	reset
)

var modeNames = [...]string{"pass", "delay", "silence", "oneWay", "reset"}

func (m mode) String() string { return modeNames[m] }

// connState is what becomes of the bytes that come on one connection.
type connState int

const (
	passed connState = iota
	// silenced: they are taken and dropped.
	silenced
)

const (
	delayTime   = 120 * time.Millisecond
	silenceLook = 20 * time.Millisecond
	pieceSize   = 16 << 10
)

// proxy passes connections on to an address and can be made to misbehave.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]connState
	running  sync.WaitGroup
	// disturbed are the times at which the mode changed or connections went silent.
	disturbed moments
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: make(map[net.Conn]connState)}
	p.running.Add(1)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode; reset also breaks the connections that are open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.disturbed.add()
	if m != reset {
		return
	}
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) accept() {
	defer p.running.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Add(1)
		go p.serve(c)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer p.running.Done()
	defer in.Close()
	if !p.keep(in) {
		return
	}
	defer p.forget(in)
	out, err := net.DialTimeout("tcp4", p.to, time.Second)
	if err != nil {
		if t, ok := in.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // as a dead port does
		}
		return
	}
	defer out.Close()
	if !p.keep(out) {
		return
	}
	defer p.forget(out)
	ended := make(chan struct{}, 2)
	go func() { p.pump(out, in, true); ended <- struct{}{} }()
	go func() { p.pump(in, out, false); ended <- struct{}{} }()
	<-ended
	<-ended
}

func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil || p.mode == reset {
		return false
	}
	p.conns[c] = passed
	return true
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// pump passes bytes on one way until either side ends.
func (p *proxy) pump(to, from net.Conn, forward bool) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(forward)
			if p.isSilenced(from) {
				continue
			}
			if _, err := to.Write(piece[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				if t, ok := to.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				_ = to.Close()
				return
			}
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// hold waits as the mode asks: what is silenced goes on once the mode changes.
func (p *proxy) hold(forward bool) {
	if p.now() == delay {
		time.Sleep(delayTime)
	}
	for m := p.now(); m == silence || m == oneWay && !forward; m = p.now() {
		time.Sleep(silenceLook)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
	p.running.Wait()
}
