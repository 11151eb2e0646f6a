package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does with the bytes that it receives.
type mode int

const (
	pass mode = iota
	// delay delays everything by delayTime.
	delay
	// stall holds bytes back in both directions until the mode changes.
	stall
	// oneWay forwards only what the dialing side sends and holds back the rest.
	oneWay
	// reset resets open connections and closes new ones.
	reset
)

var modeNames = [...]string{"pass", "delay", "silence", "oneWay", "reset"}

func (m mode) String() string { return modeNames[m] }

// connState is what the proxy does with the bytes received on one connection.
type connState int

const (
	forwarding connState = iota
	// blackholed: they are read and dropped.
	blackholed
)

const (
	delayTime         = 120 * time.Millisecond
	stallPollInterval = 20 * time.Millisecond
	bufferSize        = 16 << 10
)

// proxy forwards TCP connections to an address and injects network faults.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     mode
	conns    map[net.Conn]connState
	running  sync.WaitGroup
	// links are the proxies through which the entry boxes reach this one, by box.
	links []*proxy
	// fillers are the connections that fill the listener's queue while none is accepted.
	fillers []net.Conn
	closed  bool
	// faults are the times at which the mode changed or connections were blackholed.
	faults timestamps
}

func newProxy(listen, to string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, conns: make(map[net.Conn]connState)}
	p.running.Add(1)
	go p.accept(l)
	return p, nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// setMode changes the mode. reset also resets the connections that are open.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.faults.add()
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

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// accept serves the connections of a listener until that is closed or accepts no more for a while.
func (p *proxy) accept(l net.Listener) {
	defer p.running.Done()
	for {
		c, err := l.Accept()
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
	if !p.track(in) {
		return
	}
	defer p.untrack(in)
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		if t, ok := in.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // reset, as for a port that nobody listens on
		}
		return
	}
	defer out.Close()
	if !p.track(out) {
		return
	}
	defer p.untrack(out)
	ended := make(chan struct{}, 2)
	go func() { p.pump(out, in, true); ended <- struct{}{} }()
	go func() { p.pump(in, out, false); ended <- struct{}{} }()
	<-ended
	<-ended
}

// track adds an open connection, or reports false if it must be closed.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil || p.mode == reset {
		return false
	}
	p.conns[c] = forwarding
	return true
}

func (p *proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// pump copies bytes in one direction until either side closes.
func (p *proxy) pump(to, from net.Conn, forward bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.waitForMode(forward)
			if p.isBlackholed(from) {
				continue
			}
			if _, err := to.Write(buffer[:n]); err != nil {
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

// waitForMode blocks for as long as the mode delays or holds back bytes of a direction.
func (p *proxy) waitForMode(forward bool) {
	if p.currentMode() == delay {
		time.Sleep(delayTime)
	}
	for m := p.currentMode(); m == stall || m == oneWay && !forward; m = p.currentMode() {
		time.Sleep(stallPollInterval)
	}
}

func (p *proxy) close() {
	for _, link := range p.links {
		link.close()
	}
	p.mu.Lock()
	p.closed = true
	for _, c := range p.fillers {
		_ = c.Close()
	}
	_ = p.listener.Close()
	p.mu.Unlock()
	p.setMode(reset)
	p.running.Wait()
}
