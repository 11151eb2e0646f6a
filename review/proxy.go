package main

import (
	"io"
	"net"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// proxy forwards TCP connections to a control replica. A cut holds all bytes back, as a partition
// does: they arrive when the cut heals, unless their sender has reset the connection.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// cutAll cuts off every peer, and cutPeer the one with this name.
	cutAll  bool
	cutPeer string
	conns   map[net.Conn]bool
	closed  bool
}

func newProxy(listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// setCut cuts off all peers, or the named one, or none.
func (p *proxy) setCut(all bool, peer string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAll, p.cutPeer = all, peer
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// link is one forwarded connection. Its peer is known once the dialling side has sent its name.
type link struct {
	proxy *proxy
	mu    sync.Mutex
	peer  string
	head  []byte
}

// learn looks for the name of the dialling process in the first bytes that it sends.
func (l *link) learn(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peer != "" || len(l.head) > 4096 {
		return
	}
	l.head = append(l.head, data...)
	if name := processName.Find(l.head); name != nil {
		l.peer = string(name)
	}
}

var processName = regexp.MustCompile(`(core|front)-[0-9]`)

func (l *link) isCut() bool {
	l.mu.Lock()
	peer := l.peer
	l.mu.Unlock()
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return !l.proxy.closed && (l.proxy.cutAll || peer != "" && peer == l.proxy.cutPeer)
}

func (l *link) waitHealed() {
	for l.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	defer out.Close()
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	l := &link{proxy: p}
	done := make(chan bool, 2)
	go func() { l.pump(out, in, true); done <- true }()
	go func() { l.pump(in, out, false); done <- true }()
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (l *link) pump(to, from net.Conn, dialled bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if dialled {
			l.learn(buffer[:n])
		}
		if l.isCut() {
			l.waitHealed()
			if err == nil && wasReset(from) {
				err = net.ErrClosed // a sender that has reset its connection takes its bytes back
			}
			if err != nil && err != io.EOF {
				n = 0
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// wasReset reports whether the peer has reset a connection, whose next bytes stay unread.
func wasReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	_ = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reset = err == syscall.ECONNRESET
	})
	return reset
}

func (p *proxy) close() {
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	_ = p.listener.Close()
}
